package main

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"wheelgauge/keypair"
	"wheelgauge/operatorauth"
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
		Name: v.Text("store", "name"), Region: v.Text("store", "region"), Dir: v.Text("store", "folder"), SourceIP: v.Text("store", "source"),
		Peers: v.List("store", "peers"), Tick: v.Duration("store", "tick"), Heartbeat: v.Duration("store", "heartbeat"),
		ClaimTTL: v.Duration("store", "claim_ttl"), MaxClockSkew: v.Duration("store", "clock_skew"),
		OrderInterval: v.Duration("orders", "interval"), MaxLoads: v.Int("orders", "loads_at_once"), LoadTimeout: v.Duration("orders", "load_limit"),
		PeerAddress: v.Text("listen", "peer"), Advertised: v.Text("listen", "advertised"), OperatorAddress: v.Text("listen", "operator"), Log: log,
	}
	tokens, err := operatorauth.Load(v.Text("store", "tokens"))
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
	o.PeerTLS, o.Secure, o.OperatorTLS = pair.ServerConfig(), pair.ClientConfig, pair.PublicServerConfig()
	return o, nil
}

// advertisedAddress returns the address at which others reach the store.
func advertisedAddress(v *settings.Values) string {
	return cmp.Or(v.Text("listen", "advertised"), v.Text("listen", "peer"))
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
			return storenode.Initialize(v.Text("store", "folder"), v.Text("store", "name"), advertisedAddress(v), claimsOnly)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", p.Name+".ini", "settings file")
	c.Flags().BoolVar(&claimsOnly, "claims-only", false, "initialize only the claims of the region; the replica joins through its peers")
	return c
}

// recoverStore recovers a store of the resources mode.
func recoverStore(v *settings.Values, file string) error {
	return storenode.Recover(v.Text("store", "folder"), file, v.Text("store", "name"), advertisedAddress(v))
}

// recoverCommand returns the subcommand that makes a new group of what one store has, when most
// voters are lost for good.
func recoverCommand(p program.Program, run func(v *settings.Values, file string) error) *cobra.Command {
	var path, file string
	c := &cobra.Command{
		Use: "recover", Short: "Make the state of this store that of a new group, after most voters are lost for good", Args: cobra.NoArgs,
		Long: `recover makes the configuration that this store has that of a new group of which
only this store is a member. Use it only after most voters are lost for good, on
the store whose log ends last (see "Replica started." or status of each), while
all stores are stopped. Then start this store, and the others after it: they join
by themselves. Changes that no store has left are lost.`,
		RunE: func(*cobra.Command, []string) error {
			v, err := p.Load(path)
			if err != nil {
				return err
			}
			return run(v, file)
		},
	}
	c.Flags().StringVarP(&path, "config", "c", p.Name+".ini", "settings file")
	c.Flags().StringVar(&file, "from", "", "file with a state that was set aside, in place of the one in the data folder")
	return c
}
