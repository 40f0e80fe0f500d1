package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/adapter/directory"
	"wheelgauge/adapter/hostlist"
	"wheelgauge/away"
	"wheelgauge/gateway"
	"wheelgauge/keypair"
	"wheelgauge/peerhttp"
	"wheelgauge/routing/affinity"
	"wheelgauge/routing/baseline"
	"wheelgauge/settings"
)

func run(ctx context.Context, v *settings.Values, log logr.Logger) error {
	o, err := gatewayOptions(v, log)
	if err != nil {
		return err
	}
	g, err := gateway.Open(context.WithoutCancel(ctx), o)
	if err != nil {
		return err
	}
	<-ctx.Done()
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), v.Duration("drain", "limit"))
	defer cancel()
	g.Drain(closeCtx)
	err = g.Close(closeCtx)
	log.Info("Gateway has stopped.")
	return err
}

func gatewayOptions(v *settings.Values, log logr.Logger) (gateway.Options, error) {
	client := peerhttp.NewClient(peerhttp.NewDialer(v.Text("host", "source"), nil), "")
	o := gateway.Options{
		Host: v.Text("host", "name"), Region: v.Text("host", "region"), Hall: v.Text("host", "hall"),
		Caller: v.Text("listen", "caller"), Peer: v.Text("listen", "peer"), Operator: v.Text("listen", "operator"),
		Source: v.Text("host", "source"),
		Stores: v.List("stores", "addresses"), Peers: v.List("peers", "addresses"), Dir: v.Text("data", "folder"),
		HeaderBytes: v.Int("listen", "header_bytes"), BodyBytes: v.Int("listen", "body_bytes"),
		Conns: v.Int("listen", "connections"), ReadTimeout: v.Duration("listen", "read_timeout"),
		LongestWait: v.Duration("requests", "longest_wait"), DefaultLimit: v.Duration("requests", "deadline"),
		AffinityBytes: v.Int("requests", "affinity_bytes"), DrainNotice: v.Duration("drain", "notice"),
		EntryTTL: v.Duration("entry", "ttl"), Heartbeat: v.Duration("members", "heartbeat"),
		WatchWait: v.Duration("stores", "wait"), StoreSilent: v.Duration("stores", "silent"),
		Directory: directory.New(v.Text("platform", "directory"), client),
		Decider: away.New(v.Text("routing", "away"), away.Weights{
			Second: v.Float("routing", "second_value"), Share: v.Float("routing", "away_cost"), ColdPrefill: v.Duration("routing", "cold_prefill"),
		}),
		Log: log,
	}
	if address := v.Text("platform", "host_list"); address != "" {
		o.HostList = hostlist.New(address, client)
	}
	picker, err := newPicker(v.Text("routing", "picker"))
	if err != nil {
		return o, err
	}
	o.Picker = picker
	return o, setTLS(v, &o)
}

func newPicker(name string) (wheelgauge.Picker, error) {
	if name == pickerAffinity {
		return affinity.New(0), nil
	}
	return baseline.New(name)
}

func setTLS(v *settings.Values, o *gateway.Options) error {
	if v.Text("tls", "certificate") == "" {
		if v.Bool("tls", "callers") {
			return errors.New("[tls] callers: expected a certificate")
		}
		return nil
	}
	pair, err := keypair.Load(v.Text("tls", "certificate"), v.Text("tls", "key"), v.Text("tls", "authority"))
	if err != nil {
		return fmt.Errorf("[tls]: %w", err)
	}
	o.PeerTLS, o.Secure = pair.Server(), pair.Client
	if v.Bool("tls", "callers") {
		o.CallerTLS = pair.Open()
	}
	return nil
}
