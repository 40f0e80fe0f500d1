// Command wheelgauge-store keeps the configuration, a region's claims and its hub.
package main

import (
	"github.com/spf13/cobra"

	"wheelgauge/program"
)

func main() {
	p := program.Program{
		Name: name, Short: "Store of a host with a disk", Long: long, Example: example,
		Keys: keys, Check: check, Run: run,
	}
	p.More = []*cobra.Command{found(p), routes()}
	program.Main(p)
}
