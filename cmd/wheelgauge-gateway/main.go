// Command wheelgauge-gateway runs the gateway of an entry host.
package main

import (
	"github.com/spf13/cobra"

	"wheelgauge/program"
)

func main() {
	program.Main(program.Program{
		Name: name, Short: "Gateway of an entry host", Long: long, Example: example,
		Keys: keys, Validate: check, Run: run,
		Subcommands: []*cobra.Command{routesCommand()},
	})
}
