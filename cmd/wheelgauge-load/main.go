// Command wheelgauge-load sends a scenario and reports what callers saw.
package main

import "wheelgauge/program"

func main() {
	program.Main(program.Program{
		Name: name, Short: "Load and experiment tool", Long: long, Example: example,
		Keys: keys, Check: check, Run: run,
	})
}
