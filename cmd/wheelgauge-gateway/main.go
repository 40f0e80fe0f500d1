// Command wheelgauge-gateway is the entry host's gateway.
package main

import (
	"github.com/spf13/cobra"

	"wheelgauge/program"
)

func main() {
	program.Main(program.Program{
		Name: name, Short: "Gateway of an entry host", Long: long, Example: example,
		Keys: keys, Check: check, Run: run,
		More: []*cobra.Command{routes()},
	})
}
