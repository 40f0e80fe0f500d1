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
	"wheelgauge/fake/weightstore"
)

const shutdownTimeout = 5 * time.Second

type closer interface {
	Close(ctx context.Context) error
}

// serve blocks until ctx is done, then closes c. It returns err at once if the start failed.
func serve(ctx context.Context, c closer, err error) error {
	if err != nil {
		return err
	}
	<-ctx.Done()
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return c.Close(closeCtx)
}

// exitCrashed is the exit status of an engine that a request crashed.
const exitCrashed = 3

func engineCommand() *cobra.Command {
	o := engine.Options{Crash: func() { os.Exit(exitCrashed) }}
	c := &cobra.Command{Use: "engine", Short: "Model engine", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		e, err := engine.Start(c.Context(), o)
		return serve(c.Context(), e, err)
	}}
	f := c.Flags()
	f.StringVar(&o.Address, "address", "127.0.0.1:9001", "listen address")
	f.IntVar(&o.Slots, "slots", 8, "sequences that run at once")
	f.IntVar(&o.Queue, "queue", 256, "sequences that may wait")
	f.DurationVar(&o.Step, "step", 10*time.Millisecond, "duration of one decode step")
	f.IntVar(&o.PrefillTokens, "prefill", 256, "prompt tokens processed in each step")
	f.IntVar(&o.CacheBlocks, "cache", 512, "blocks of the prefix cache")
	f.DurationVar(&o.ReportLag, "lag", 500*time.Millisecond, "delay of load reports and cache events")
	f.Float64Var(&o.EventLossShare, "event-loss", 0.05, "fraction of cache events that are dropped")
	f.BoolVar(&o.ChecksFences, "checks-fences", false, "reject orders with an old fencing token")
	f.DurationVar(&o.LoadTime, "load-time", time.Second, "time to load a model")
	f.StringVar(&o.CrashOn, "ends-on", "", "exit when a prompt that contains this text starts to run")
	f.Float64Var(&o.RequestsPerSecond, "limit", 0, "rate limit that responses announce, in requests per second; 0 means none")
	f.Float64Var(&o.BearsRejections, "bears", 0, "rejections per second that responses say the engine bears; 0 means none")
	f.BoolVar(&o.RandomLoad, "busy", false, "report a random load each time")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the random generator")
	return c
}

func serviceCommand() *cobra.Command {
	var o service.Options
	c := &cobra.Command{Use: "service", Short: "Service that counts executions", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := service.Start(c.Context(), o)
		return serve(c.Context(), s, err)
	}}
	f := c.Flags()
	f.StringVar(&o.Address, "address", "127.0.0.1:9101", "listen address")
	f.StringVar(&o.Name, "name", "service", "server name in responses")
	f.IntVar(&o.Slots, "slots", 32, "slots in load reports")
	f.DurationVar(&o.CallTime, "time", 5*time.Millisecond, "duration of one call")
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
	c.Flags().StringVar(&address, "address", "127.0.0.1:9201", "listen address")
	c.Flags().StringVar(&file, "clients", "clients.json", "JSON file with credential, client, class and home region of each client")
	return c
}

func hostListCommand() *cobra.Command {
	var address string
	var lag time.Duration
	c := &cobra.Command{Use: "hosts", Short: "Host list of the platform, with delayed changes", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		l, err := hostlist.Start(c.Context(), address, lag)
		return serve(c.Context(), l, err)
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:9202", "listen address")
	c.Flags().DurationVar(&lag, "lag", 5*time.Second, "delay after which changes are visible")
	return c
}

func weightsCommand() *cobra.Command {
	var address string
	var rate int
	c := &cobra.Command{Use: "weights", Short: "Rate-limited weight store", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := weightstore.Start(c.Context(), address, rate)
		return serve(c.Context(), s, err)
	}}
	c.Flags().StringVar(&address, "address", "127.0.0.1:9203", "listen address")
	c.Flags().IntVar(&rate, "rate", 64<<20, "bytes per second, shared by all readers")
	return c
}
