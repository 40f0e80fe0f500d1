package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"wheelgauge/keypair"
	"wheelgauge/operators"
	"wheelgauge/program"
	"wheelgauge/settings"
	"wheelgauge/storenode"
)

const shutdownTimeout = 20 * time.Second

func run(ctx context.Context, v *settings.Values, log logr.Logger) error {
	o, err := storeOptions(v, log)
	if err != nil {
		return err
	}
	n, err := storenode.Open(context.WithoutCancel(ctx), o)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err := <-n.Done():
		return fmt.Errorf("replica ended: %w", err)
	}
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err = n.Close(closeCtx)
	log.Info("Store has stopped.")
	return err
}

func storeOptions(v *settings.Values, log logr.Logger) (storenode.Options, error) {
	o := storenode.Options{
		Name: v.Text("store", "name"), Region: v.Text("store", "region"), Dir: v.Text("store", "folder"), Source: v.Text("store", "source"),
		Peers: v.List("store", "peers"), Tick: v.Duration("store", "tick"), Heartbeat: v.Duration("store", "heartbeat"),
		ClaimTTL: v.Duration("store", "claim_ttl"), Skew: v.Duration("store", "clock_skew"),
		OrderInterval: v.Duration("orders", "interval"), LoadsAtOnce: v.Int("orders", "loads_at_once"), LoadLimit: v.Duration("orders", "load_limit"),
		Peer: v.Text("listen", "peer"), Advertised: v.Text("listen", "advertised"), Operator: v.Text("listen", "operator"), Log: log,
	}
	tokens, err := operators.Load(v.Text("store", "tokens"))
	if err != nil {
		return o, err
	}
	o.Tokens = tokens
	if v.Text("tls", "certificate") == "" {
		return o, nil
	}
	pair, err := keypair.Load(v.Text("tls", "certificate"), v.Text("tls", "key"), v.Text("tls", "authority"))
	if err != nil {
		return o, fmt.Errorf("[tls]: %w", err)
	}
	o.PeerTLS, o.Secure, o.OperatorTLS = pair.Server(), pair.Client, pair.Open()
	return o, nil
}

// foundCommand returns the subcommand that initializes the first store of a system. A running
// store never does that by itself.
func foundCommand(p program.Program) *cobra.Command {
	var path string
	var claimsOnly bool
	c := &cobra.Command{
		Use: "found", Short: "Initialize the data folder as the first store of a new system", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v, err := p.Load(path)
			if err != nil {
				return err
			}
			address := v.Text("listen", "advertised")
			if address == "" {
				address = v.Text("listen", "peer")
			}
			return storenode.Found(v.Text("store", "folder"), v.Text("store", "name"), address, claimsOnly)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", p.Name+".ini", "settings file")
	c.Flags().BoolVar(&claimsOnly, "claims-only", false, "initialize only the claims of the region; the replica joins through its peers")
	return c
}
