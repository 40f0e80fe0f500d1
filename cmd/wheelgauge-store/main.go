// Command wheelgauge-store runs a store: a replica of the configuration, the claims of a
// region and its hub.
package main

import (
	"github.com/spf13/cobra"

	"wheelgauge/program"
)

func main() {
	p := program.Program{
		Name: name, Short: "Store on a host with a disk", Long: long, Example: example,
		Keys: keys, Validate: check, Run: run,
	}
	p.Subcommands = []*cobra.Command{foundCommand(p), recoverCommand(p, recoverStore), routesCommand()}
	program.Main(p)
}
