// Command wheelgauge-load generates the load of a scenario and reports latencies, costs and
// errors as callers see them.
package main

import "wheelgauge/program"

func main() {
	program.Main(program.Program{
		Name: name, Short: "Load generator", Long: long, Example: example,
		Keys: keys, Validate: check, Run: run,
	})
}
