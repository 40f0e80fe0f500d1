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
hosts and the list of backend servers. At the very first start of a system the
seeds found the group together; every other store joins through them.`
	routesExample = `  wheelgauge-store routes --config store.ini`
)

var routesKeys = []settings.Key{
	{Section: "host", Name: "name", Type: settings.Text, Required: true, Help: "name of this host, unique"},
	{Section: "host", Name: "region", Type: settings.Text, Required: true, Help: "region of this host"},
	{Section: "host", Name: "hall", Type: settings.Text, Required: true, Help: "hall of this host"},
	{Section: "host", Name: "halls", Type: settings.List, Required: true, Help: "all halls with their regions, as HALL:REGION"},
	{Section: "store", Name: "folder", Type: settings.Text, Required: true, Help: "data folder"},
	{Section: "store", Name: "first", Type: settings.Bool, Default: "false", Help: "true only when the whole system starts for the first time"},
	{Section: "store", Name: "tick", Type: settings.Duration, Default: "50ms", Min: 0.001, Max: 10, Help: "unit of elections: 20 to 40 ticks without a leader start one"},
	{Section: "listen", Name: "peer", Type: settings.Address, Required: true, Help: "listener for stores and gateways"},
	{Section: "listen", Name: "control", Type: settings.Address, Help: "listener for operators"},
	{Section: "listen", Name: "entry", Type: settings.Address, Help: "listener that tells callers which hosts to use"},
	{Section: "listen", Name: "metrics", Type: settings.Address, Help: "listener for metrics"},
	{Section: "listen", Name: "clear", Type: settings.Bool, Default: "false", Help: "let hosts and operators talk in the clear off loopback, on a closed network"},
	{Section: "stores", Name: "seeds", Type: settings.List, Required: true, Help: "hosts of some stores, with or without a port"},
	{Section: "stores", Name: "port", Type: settings.Int, Required: true, Min: 1, Max: 65535, Help: "port of the stores' peer listeners"},
	{Section: "servers", Name: "list", Type: settings.Address, Required: true, Help: "address of the list of backend servers"},
	{Section: "servers", Name: "poll", Type: settings.Duration, Default: "1s", Min: 0.05, Max: 60, Help: "how often the list is read"},
	{Section: "caps", Name: "window_seconds", Type: settings.Float, Default: "8", Min: 1, Max: 3600, Help: "spans in which what workspaces send is bounded"},
	{Section: "caps", Name: "overage", Type: settings.Float, Default: "0.1", Max: 1, Help: "part of a cap's rate and burst that may be sent beyond it in such a span; stores need it as they do not ask each other at each request"},
	{Section: "caps", Name: "slack", Type: settings.Float, Default: "0", Max: 1e12, Help: "what may be sent beyond that, in units of the cap; large requests need it where caps are small"},
	{Section: "limits", Name: "memory_mb", Type: settings.Int, Default: "0", Max: 1 << 20, Help: "memory of the process; 0 means no limit"},
	{Section: "dialect", Name: "name", Type: settings.Choice, Choices: dialect.Names(), Default: dialect.Native, Help: "how callers, servers and operators speak"},
}

// routes is the command that serves the routes mode.
func routes() *cobra.Command {
	p := program.Program{
		Name: routesName, Prefix: name, Short: "Store of the routes mode", Long: routesLong, Example: routesExample,
		Keys: routesKeys, Check: checkRoutes, Run: runRoutes,
	}
	return p.Command()
}

func checkRoutes(v *settings.Values) error {
	if _, err := halls(v); err != nil {
		return err
	}
	return program.CheckClear(v, "peer", "control")
}

// halls reads HALL:REGION pairs.
func halls(v *settings.Values) (map[string]string, error) {
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
	d := dialect.Named(v.Text("dialect", "name"))
	regions, err := halls(v)
	if err != nil {
		return err
	}
	o := confstore.Options{
		Name: v.Text("host", "name"), Region: v.Text("host", "region"), Hall: v.Text("host", "hall"), Halls: regions,
		Dir: v.Text("store", "folder"), First: v.Bool("store", "first"), Tick: v.Duration("store", "tick"),
		Peer: v.Text("listen", "peer"), Metrics: v.Text("listen", "metrics"),
		Seeds:     program.Seeds(v.List("stores", "seeds"), v.Int("stores", "port")),
		PollEvery: v.Duration("servers", "poll"), CapSlack: v.Float("caps", "slack"),
		CapWindow: time.Duration(v.Float("caps", "window_seconds") * float64(time.Second)), CapOverage: v.Float("caps", "overage"),
		Decode: d.Decode, List: d.ServerList(v.Text("servers", "list")), Log: log,
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

// listeners are those for operators and callers.
func listeners(v *settings.Values, d dialect.Dialect) []confstore.Listener {
	var out []confstore.Listener
	if address := v.Text("listen", "control"); address != "" {
		out = append(out, confstore.Listener{Address: address, Handler: d.Control, Options: httpserve.Options{BodyBytes: d.BodyBytes}})
	}
	if address := v.Text("listen", "entry"); address != "" {
		out = append(out, confstore.Listener{Address: address, Handler: d.Entry})
	}
	return out
}
