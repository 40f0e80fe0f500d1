// Command wheelgaugectl is the command-line client for operators.
package main

import "os"

func main() {
	if err := rootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
