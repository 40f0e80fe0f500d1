package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"wheelgauge/confstore"
	"wheelgauge/dialect"
	"wheelgauge/httpserve"
	"wheelgauge/program"
	"wheelgauge/settings"
)

const (
	routesName = "routes"
	routesLong = `routes keeps one replica of the routes mode's configuration, the table of entry
hosts and the list of backend servers. At the first start of a system the
seeds form the group together; every other store joins through them.`
	routesExample = `  wheelgauge-store routes --config store.ini`
)

var routesKeys = []settings.Key{
	{Section: "host", Name: "name", Type: settings.Text, Required: true, Help: "name of this host, unique"},
	{Section: "host", Name: "region", Type: settings.Text, Required: true, Help: "region of this host"},
	{Section: "host", Name: "hall", Type: settings.Text, Required: true, Help: "hall of this host"},
	{Section: "host", Name: "halls", Type: settings.List, Required: true, Help: "all halls and their regions, as HALL:REGION"},
	{Section: "store", Name: "folder", Type: settings.Text, Required: true, Help: "data folder"},
	{Section: "store", Name: "first", Type: settings.Bool, Default: "false", Help: "true only at the first start of the whole system"},
	{Section: "store", Name: "tick", Type: settings.Duration, Default: "50ms", Min: 0.001, Max: 10, Help: "tick of the Raft clock: 20 to 40 ticks without a leader start an election"},
	{Section: "listen", Name: "peer", Type: settings.Address, Required: true, Help: "listen address for stores and gateways"},
	{Section: "listen", Name: "control", Type: settings.Address, Help: "listen address for operators"},
	{Section: "listen", Name: "entry", Type: settings.Address, Help: "listen address at which callers fetch the list of entry hosts"},
	{Section: "listen", Name: "metrics", Type: settings.Address, Help: "listen address for metrics"},
	{Section: "listen", Name: "clear", Type: settings.Bool, Default: "false", Help: "allow unencrypted connections of hosts and operators off loopback, on a closed network"},
	{Section: "stores", Name: "seeds", Type: settings.List, Required: true, Help: "hosts of some stores, with or without a port"},
	{Section: "stores", Name: "port", Type: settings.Int, Required: true, Min: 1, Max: 65535, Help: "port of the stores' peer listeners"},
	{Section: "servers", Name: "list", Type: settings.Address, Required: true, Help: "address of the list of backend servers"},
	{Section: "servers", Name: "poll", Type: settings.Duration, Default: "1s", Min: 0.05, Max: 60, Help: "interval at which the list is read"},
	{Section: "caps", Name: "window_seconds", Type: settings.Float, Default: "8", Min: 1, Max: 3600, Help: "length of the windows in which the requests of workspaces are bounded"},
	{Section: "caps", Name: "overage", Type: settings.Float, Default: "0.1", Max: 1, Help: "fraction of a cap's rate and burst that may be exceeded in a window; needed as stores do not coordinate on each request"},
	{Section: "caps", Name: "slack", Type: settings.Float, Default: "0", Max: 1e12, Help: "additional units of the cap that may be used in a window; needed for requests that are large compared with the cap"},
	{Section: "limits", Name: "memory_mb", Type: settings.Int, Default: "0", Max: 1 << 20, Help: "memory available to the process in MB; 0 means no limit"},
	{Section: "dialect", Name: "name", Type: settings.Choice, Choices: dialect.Names(), Default: dialect.Native, Help: "protocol of callers, servers and operators"},
}

// routesCommand returns the subcommand that runs a store of the routes mode.
func routesCommand() *cobra.Command {
	p := program.Program{
		Name: routesName, Prefix: name, Short: "Store of the routes mode", Long: routesLong, Example: routesExample,
		Keys: routesKeys, Validate: checkRoutes, Run: runRoutes,
	}
	p.Subcommands = []*cobra.Command{recoverCommand(p, func(v *settings.Values, file string) error {
		return confstore.Recover(v.Text("store", "folder"), file, v.Text("listen", "peer"))
	})}
	return p.Command()
}

func checkRoutes(v *settings.Values) error {
	if _, err := parseHalls(v); err != nil {
		return err
	}
	return program.CheckCleartext(v, "peer", "control")
}

// parseHalls returns the region of each hall.
func parseHalls(v *settings.Values) (map[string]string, error) {
	out := map[string]string{}
	for _, pair := range v.List("host", "halls") {
		hall, region, ok := strings.Cut(pair, ":")
		if !ok || hall == "" || region == "" {
			return nil, fmt.Errorf("[host] halls: got %q, expected HALL:REGION", pair)
		}
		out[hall] = region
	}
	return out, nil
}

func runRoutes(ctx context.Context, v *settings.Values, log logr.Logger) error {
	program.LimitMemory(v.Int("limits", "memory_mb"))
	d := dialect.ByName(v.Text("dialect", "name"))
	regions, err := parseHalls(v)
	if err != nil {
		return err
	}
	o := confstore.Options{
		Name: v.Text("host", "name"), Region: v.Text("host", "region"), Hall: v.Text("host", "hall"), RegionByHall: regions,
		Dir: v.Text("store", "folder"), Bootstrap: v.Bool("store", "first"), Tick: v.Duration("store", "tick"),
		PeerAddress: v.Text("listen", "peer"), MetricsAddress: v.Text("listen", "metrics"),
		Seeds: seeds(v), RefreshSeeds: func() []string { return reloadSeeds(v, log) },
		PollInterval: v.Duration("servers", "poll"), CapSlack: v.Float("caps", "slack"),
		CapWindow: time.Duration(v.Float("caps", "window_seconds") * float64(time.Second)), CapOverage: v.Float("caps", "overage"),
		DecodeRoutes: d.Decode, ServerList: d.ServerList(v.Text("servers", "list")), ColdSource: d.ColdSource, Log: log,
	}
	o.Listeners = listeners(v, d)
	n, err := confstore.Open(context.WithoutCancel(ctx), o)
	if err != nil {
		return fmt.Errorf("open store: %w", err)
	}
	select {
	case <-ctx.Done():
	case err := <-n.Done():
		return fmt.Errorf("replica ended: %w", err)
	}
	err = n.Close()
	log.Info("Store has stopped.")
	return err
}

func seeds(v *settings.Values) []string {
	return program.SeedAddresses(v.List("stores", "seeds"), v.Int("stores", "port"))
}

// reloadSeeds returns the seeds that the settings file has now, none if it cannot be read.
func reloadSeeds(v *settings.Values, log logr.Logger) []string {
	current, err := v.Reload()
	if err != nil {
		log.V(1).Info("Settings cannot be read again for their seeds.", "cause", err.Error())
		return nil
	}
	return seeds(current)
}

// listeners returns the listeners for operators and callers.
func listeners(v *settings.Values, d dialect.Dialect) []confstore.Listener {
	var out []confstore.Listener
	if address := v.Text("listen", "control"); address != "" {
		out = append(out, confstore.Listener{Address: address, Handler: d.OperatorHandler, Options: httpserve.Options{MaxBodyBytes: d.MaxBodyBytes}})
	}
	if address := v.Text("listen", "entry"); address != "" {
		out = append(out, confstore.Listener{Address: address, Handler: d.EntryHandler})
	}
	return out
}
