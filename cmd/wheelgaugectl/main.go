// Command wheelgaugectl is the operators' command line.
package main

import "os"

func main() {
	if err := rootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
