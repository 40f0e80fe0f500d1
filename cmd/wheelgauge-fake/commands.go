package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"wheelgauge/fake/directory"
	"wheelgauge/fake/engine"
	"wheelgauge/fake/hostlist"
	"wheelgauge/fake/service"
	"wheelgauge/fake/weights"
)

const stopLimit = 5 * time.Second

type closer interface {
	Close(ctx context.Context) error
}

// serve waits for the end of ctx and closes what was started.
func serve(ctx context.Context, c closer, err error) error {
	if err != nil {
		return err
	}
	<-ctx.Done()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	return c.Close(limit)
}

// exitEnded is the status of an engine that a request ended.
const exitEnded = 3

func engineCommand() *cobra.Command {
	o := engine.Options{End: func() { os.Exit(exitEnded) }}
	c := &cobra.Command{Use: "engine", Short: "Model engine", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		e, err := engine.Start(c.Context(), o)
		return serve(c.Context(), e, err)
	}}
	f := c.Flags()
	f.StringVar(&o.Address, "address", "127.0.0.1:9001", "listener")
	f.IntVar(&o.Slots, "slots", 8, "sequences at once")
	f.IntVar(&o.Queue, "queue", 256, "sequences that may wait")
	f.DurationVar(&o.Step, "step", 10*time.Millisecond, "time of one token")
	f.IntVar(&o.PrefillTokens, "prefill", 256, "prompt tokens taken in each step")
	f.IntVar(&o.CacheBlocks, "cache", 512, "blocks of the prefix cache")
	f.DurationVar(&o.ReportLag, "lag", 500*time.Millisecond, "how late load reports and cache events are")
	f.Float64Var(&o.EventLoss, "event-loss", 0.05, "part of cache events that is lost")
	f.BoolVar(&o.ChecksFences, "checks-fences", false, "refuse orders with an old fence")
	f.DurationVar(&o.LoadTime, "load-time", time.Second, "time to load a model")
	f.StringVar(&o.EndsOn, "ends-on", "", "end when a prompt that holds this text runs")
	f.Float64Var(&o.Limit, "limit", 0, "requests a second that answers name as a limit")
	f.BoolVar(&o.Busy, "busy", false, "report a load that changes all the time")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the losses")
	return c
}

func serviceCommand() *cobra.Command {
	var o service.Options
	c := &cobra.Command{Use: "service", Short: "Plain service that counts executions", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := service.Start(c.Context(), o)
		return serve(c.Context(), s, err)
	}}
	f := c.Flags()
	f.StringVar(&o.Address, "address", "127.0.0.1:9101", "listener")
	f.StringVar(&o.Name, "name", "service", "name in receipts")
	f.IntVar(&o.Slots, "slots", 32, "slots that are reported")
	f.DurationVar(&o.Time, "time", 5*time.Millisecond, "time of one call")
	return c
}

func directoryCommand() *cobra.Command {
	var address, file string
	c := &cobra.Command{Use: "directory", Short: "Client directory", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		clients, err := directory.Read(file)
		if err != nil {
			return err
		}
		d, err := directory.Start(c.Context(), address, clients)
		return serve(c.Context(), d, err)
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:9201", "listener")
	c.Flags().StringVar(&file, "clients", "clients.json", "list of credential, client, class and home")
	return c
}

func hostListCommand() *cobra.Command {
	var address string
	var lag time.Duration
	c := &cobra.Command{Use: "hosts", Short: "Platform's list of hosts, which lags", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		l, err := hostlist.Start(c.Context(), address, lag)
		return serve(c.Context(), l, err)
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:9202", "listener")
	c.Flags().DurationVar(&lag, "lag", 5*time.Second, "how late changes show")
	return c
}

func weightsCommand() *cobra.Command {
	var address string
	var rate int
	c := &cobra.Command{Use: "weights", Short: "Rate-limited weight store", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := weights.Start(c.Context(), address, rate)
		return serve(c.Context(), s, err)
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:9203", "listener")
	c.Flags().IntVar(&rate, "rate", 64<<20, "bytes a second, for all readers")
	return c
}
