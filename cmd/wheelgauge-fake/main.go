// Command wheelgauge-fake runs fakes of the external systems that wheelgauge
// depends on, for tests and demonstrations.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"wheelgauge"
)

func main() {
	root := &cobra.Command{
		Use: "wheelgauge-fake", Short: "Fakes of external systems, for tests and demonstrations", Version: wheelgauge.Version, SilenceUsage: true,
		Example: "  wheelgauge-fake engine --address 127.0.0.1:9001 --slots 8\n  wheelgauge-fake service --address 127.0.0.1:9101",
	}
	root.AddCommand(engineCommand(), serviceCommand(), directoryCommand(), hostListCommand(), weightsCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}
