package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"wheelgauge/dialect"
	"wheelgauge/entrynode"
	"wheelgauge/program"
	"wheelgauge/retrybudget"
	"wheelgauge/settings"
)

const (
	routesName = "routes"
	// Values of [engines] model.
	fixedModel   = "fixed"
	learnedModel = "learned"
	routesLong   = `routes serves any HTTP request by host name and path, on hosts that discover one
another through a few seeds. Routes, services and limits form one configuration
with a version number set by the operator.`
	routesExample = `  wheelgauge-gateway routes --config gateway.ini`
)

var routesKeys = []settings.Key{
	{Section: "host", Name: "name", Type: settings.Text, Required: true, Help: "name of this host, unique"},
	{Section: "host", Name: "region", Type: settings.Text, Required: true, Help: "region of this host"},
	{Section: "host", Name: "hall", Type: settings.Text, Required: true, Help: "hall of this host"},
	{Section: "listen", Name: "caller", Type: settings.Address, Required: true, Help: "listen address for callers"},
	{Section: "listen", Name: "ready", Type: settings.Address, Help: "listen address for readiness checks"},
	{Section: "listen", Name: "peer", Type: settings.Address, Required: true, Help: "listen address for other hosts"},
	{Section: "listen", Name: "metrics", Type: settings.Address, Help: "listen address for metrics"},
	{Section: "listen", Name: "clear", Type: settings.Bool, Default: "false", Help: "allow unencrypted connections between hosts off loopback, on a closed network"},
	{Section: "stores", Name: "seeds", Type: settings.List, Required: true, Help: "hosts of some stores, with or without a port"},
	{Section: "stores", Name: "port", Type: settings.Int, Required: true, Min: 1, Max: 65535, Help: "port of the stores' peer listeners"},
	{Section: "members", Name: "heartbeat", Type: settings.Duration, Default: "150ms", Min: 0.02, Max: 60, Help: "interval of heartbeats to the region's stores; the load that hosts know of each other is about as old"},
	{Section: "members", Name: "far_heartbeat", Type: settings.Duration, Default: "1s", Min: 0.02, Max: 60, Help: "interval of heartbeats to other stores"},
	{Section: "drain", Name: "grace_seconds", Type: settings.Float, Default: "8", Min: 2, Max: 3600, Help: "time from the stop signal until the process must have exited"},
	{Section: "retry", Name: "ratio", Type: settings.Float, Default: "0.2", Max: 10, Help: "retries for each first attempt, over all hosts"},
	{Section: "retry", Name: "slack", Type: settings.Float, Default: "50", Max: 1e6, Help: "additional retries in each window, over all hosts"},
	{Section: "retry", Name: "window_seconds", Type: settings.Float, Default: "10", Min: 1, Max: 3600, Help: "length of the window"},
	{Section: "forward", Name: "credits", Type: settings.Bool, Default: "false", Help: "forward to a region only what it has room for, and turn back forwarded requests that would be late"},
	{Section: "rollout", Name: "share", Type: settings.Float, Default: "0.1", Max: 1, Help: "fraction of a service's requests that may go to the target version before the rollout's time limit, from all hosts"},
	{Section: "rollout", Name: "slack", Type: settings.Float, Default: "50", Max: 1e9, Help: "additional requests that may go to the target version, from all hosts"},
	{Section: "engines", Name: "model", Type: settings.Choice, Choices: []string{fixedModel, learnedModel}, Default: fixedModel, Help: "how waits at model engines are predicted: by fixed figures, or as learned from this host's requests"},
	{Section: "flood", Name: "refuse_early", Type: settings.Bool, Default: "false", Help: "refuse requests before their bodies are read, where the header decides"},
	{Section: "flood", Name: "share_connections", Type: settings.Bool, Default: "false", Help: "divide callers' connections among workspaces while they are near the limit"},
	{Section: "returns", Name: "schedule", Type: settings.Bool, Default: "false", Help: "tell refused callers to return one after another as room comes free, and serve them first then"},
	{Section: "limits", Name: "memory_mb", Type: settings.Int, Default: "0", Max: 1 << 20, Help: "memory available to the process in MB; 0 means no limit"},
	{Section: "admission", Name: "waiting_room", Type: settings.Bool, Default: "false", Help: "hold requests that no server would take in time until there is room, where their time allows"},
	{Section: "admission", Name: "workspace_shares", Type: settings.Bool, Default: "false", Help: "while there is not room for all, refuse workspaces first that ask for and get more than their share"},
	{Section: "dialect", Name: "name", Type: settings.Choice, Choices: dialect.Names(), Default: dialect.Native, Help: "protocol of callers, servers and operators"},
}

// routesCommand returns the subcommand that runs a gateway of the routes mode.
func routesCommand() *cobra.Command {
	p := program.Program{
		Name: routesName, Prefix: name, Short: "Serve any HTTP request by host name and path", Long: routesLong, Example: routesExample,
		Keys: routesKeys, Validate: checkRoutes, Run: runRoutes,
	}
	return p.Command()
}

func checkRoutes(v *settings.Values) error {
	return program.CheckCleartext(v, "peer")
}

func runRoutes(ctx context.Context, v *settings.Values, log logr.Logger) error {
	program.LimitMemory(v.Int("limits", "memory_mb"))
	d := dialect.ByName(v.Text("dialect", "name"))
	o := entrynode.Options{
		Name: v.Text("host", "name"), Region: v.Text("host", "region"), Hall: v.Text("host", "hall"),
		CallerAddress: v.Text("listen", "caller"), ReadyAddress: v.Text("listen", "ready"), PeerAddress: v.Text("listen", "peer"), MetricsAddress: v.Text("listen", "metrics"),
		Seeds:             program.SeedAddresses(v.List("stores", "seeds"), v.Int("stores", "port")),
		HeartbeatInterval: v.Duration("members", "heartbeat"), FarHeartbeatInterval: v.Duration("members", "far_heartbeat"),
		GracePeriod: seconds(v.Float("drain", "grace_seconds")),
		Budget: retrybudget.Options{
			Ratio: v.Float("retry", "ratio"), Slack: v.Float("retry", "slack"), Window: seconds(v.Float("retry", "window_seconds")),
		},
		MemoryLimit:  int64(v.Int("limits", "memory_mb")) << 20,
		RolloutShare: v.Float("rollout", "share"), RolloutSlack: v.Float("rollout", "slack"),
		LearnEngines:   v.Text("engines", "model") == learnedModel,
		ForwardCredits: v.Bool("forward", "credits"),
		Flood:          entrynode.FloodOptions{RefuseEarly: v.Bool("flood", "refuse_early"), ShareConns: v.Bool("flood", "share_connections")},
		WaitingRoom:    v.Bool("admission", "waiting_room"), WorkspaceShares: v.Bool("admission", "workspace_shares"),
		ScheduleReturns: v.Bool("returns", "schedule"),
		DecodeRoutes:    d.Decode, Names: d.Headers, Log: log,
	}
	n, err := entrynode.Open(context.WithoutCancel(ctx), o)
	if err != nil {
		return fmt.Errorf("open gateway: %w", err)
	}
	<-ctx.Done()
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.GracePeriod)
	defer cancel()
	err = n.Close(closeCtx)
	log.Info("Gateway has stopped.")
	return err
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
