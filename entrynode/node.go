// Package entrynode is the gateway of the routes mode: listeners for callers
// and for other gateways, the gate between them and the backend servers, and
// the heartbeats that keep its tables.
package entrynode

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/beat"
	"wheelgauge/bootclock"
	"wheelgauge/callerhttp"
	"wheelgauge/cappurse"
	"wheelgauge/countconn"
	"wheelgauge/every"
	"wheelgauge/httpserve"
	"wheelgauge/meter"
	"wheelgauge/peerhttp"
	"wheelgauge/peerset"
	"wheelgauge/permitclient"
	"wheelgauge/quarantine"
	"wheelgauge/retrybudget"
	"wheelgauge/rollout/ledger"
	"wheelgauge/rollout/tally"
	"wheelgauge/routegate"
	"wheelgauge/serverlimit"
	"wheelgauge/serverset"
	"wheelgauge/wake"
)

const (
	// pruneEvery is how often idle connections are looked through.
	pruneEvery = time.Second
	// warmEvery is how often connections to other regions are opened ahead of their
	// use: two ways there and back, so that a wave of requests is met by the second
	// round.
	warmEvery = 250 * time.Millisecond
	// stopMargin is what is left of the grace when the last requests are taken:
	// those that take longer than expected, such as over a link to another region
	// (160 ms there and back, as much again to connect), are still answered.
	stopMargin = 700 * time.Millisecond
	// cutMargin is what is left of the grace when the last connections are cut:
	// the process needs some 50 ms to end.
	cutMargin = 250 * time.Millisecond
	// listenerStop bounds the end of the listeners for readiness and for metrics.
	listenerStop = 200 * time.Millisecond
	// strayTime is how long most callers still come that hold an old entry answer:
	// in a calm region it holds for 2 s. Those that keep it longer find the host
	// gone and take another of its names.
	strayTime = 1800 * time.Millisecond
	// farAnswer is how long a store of another region takes to answer at most:
	// a long link there and back, and a lost packet sent again.
	farAnswer = 400 * time.Millisecond
	// drainCheck is how often a leaving host looks whether it may end.
	drainCheck = 50 * time.Millisecond
	// callerConns and peerConns bound connections, well below the descriptors
	// of a small host.
	callerConns = 1500
	peerConns   = 800
	// connsPart of the host's memory is for connections whose other side reads slowly.
	connsPart = 0.7
)

// Options of a Node.
type Options struct {
	Name   string
	Region string
	Hall   string
	// Caller, Ready, Peer and Metrics are addresses of listeners; Ready and
	// Metrics may be empty.
	Caller  string
	Ready   string
	Peer    string
	Metrics string
	Seeds   []string
	// Interval is that of heartbeats to the region's stores, FarInterval to others.
	Interval    time.Duration
	FarInterval time.Duration
	Grace       time.Duration
	// Last is what is left of the grace when the last requests are taken;
	// stopMargin when zero.
	Last   time.Duration
	Budget retrybudget.Options
	// Memory is the limit of the process, in bytes; 0 means none.
	Memory int64
	// RolloutShare of a service's requests, and RolloutSlack besides, may go to the version
	// that it is rolled out to before the rollout's time limit, from all hosts together.
	RolloutShare float64
	RolloutSlack float64
	// Client calls stores; one of the node's own when nil.
	Client *peerhttp.Client
	// Clock judges ages, leases and deadlines; one that counts suspended time when nil.
	Clock  wheelgauge.Clock
	Decode wheelgauge.RouteDecoder
	Names  wheelgauge.HeaderNames
	Log    logr.Logger
}

// Node is a running gateway.
type Node struct {
	o       Options
	boot    uint64
	gate    *routegate.Gate
	servers *serverset.Table
	peers   *peerset.Table
	budget  *retrybudget.Budget
	purse   *cappurse.Purse
	// quarantine holds requests back that end servers.
	quarantine *quarantine.Table
	// limits are those that servers have named.
	limits    *serverlimit.Table
	permits   *permitclient.Client
	versions  *ledger.Ledger
	tally     *tally.Tally
	meter     *meter.Meter
	beats     atomic.Pointer[beat.Client]
	client    *peerhttp.Client
	callers   *callerhttp.Server
	forwards  *callerhttp.Server
	listeners []*httpserve.Server
	stop      context.CancelFunc
	pruned    chan error
	warmed    chan error
	leaving   atomic.Bool
	// generation is that of the state in force; News is told one at a time.
	generation uint64
	hosts      []wheelgauge.FleetHost
	// told is set once the sums of all regions were whole.
	told bool
}

// Open starts a gateway.
func Open(ctx context.Context, o Options) (*Node, error) {
	ctx, stop := context.WithCancel(ctx)
	n := &Node{o: o, boot: uint64(time.Now().UnixNano()), meter: meter.New(), stop: stop, pruned: make(chan error, 1), warmed: make(chan error, 1), client: o.Client}
	if n.client == nil {
		n.client = peerhttp.NewClient(peerhttp.NewDialer("", nil).Wrap(n.counted), "")
		n.client.Watch(n.meter.Call)
	}
	if n.o.Clock == nil {
		n.o.Clock = bootclock.OrSteady(o.Log)
	}
	clock := n.o.Clock
	n.servers = serverset.New(serverset.Place{Host: o.Name, Hall: o.Hall}, n.service, clock.Now)
	n.peers = peerset.New(o.Region, o.FarInterval+farAnswer, clock.Now)
	n.budget = retrybudget.New(o.Budget, clock.Now)
	n.purse = cappurse.New(cappurse.Options{Host: o.Name, Boot: n.boot, Stores: n.stores, Ask: n.askCaps, Now: clock.Now})
	n.quarantine = quarantine.New(clock.Now)
	n.limits = serverlimit.New(clock.Now)
	n.servers.SetLimits(n.limits.Rate)
	n.permits = permitclient.New(permitclient.Options{
		Host: o.Name, Limits: n.limits, Stores: n.regionStores, Sharers: n.servers.Sharers, Ask: n.askPermit, Now: clock.Now,
	})
	n.versions = ledger.New(ledger.Options{Host: o.Name, Share: o.RolloutShare, Slack: o.RolloutSlack, Now: clock.Now})
	n.tally = tally.New()
	n.gate = routegate.New(routegate.Options{
		Region: o.Region, Names: o.Names, Servers: n.servers, Peers: n.peers, Budget: n.budget, Meter: n.meter, Log: o.Log.WithName("gate"),
		Caps: n.purse, Quarantine: n.quarantine, Limits: n.limits, Permits: n.permits, Clock: clock,
		Versions: n.versions, Tally: n.tally,
	})
	if err := n.listen(); err != nil {
		stop()
		return nil, err
	}
	n.beats.Store(beat.Start(beat.Options{
		Self: n.self, Report: n.servers.Uses, Crashes: n.quarantine, Limits: n.limits, Rollouts: rolloutReports{n.versions, n.tally}, Seeds: o.Seeds, Interval: o.Interval, FarInterval: o.FarInterval,
		Clock: clock, Client: n.client, News: n, Log: o.Log.WithName("beat"),
	}))
	go func() { n.pruned <- every.Interval(ctx, pruneEvery, n.prune) }()
	watch := wake.New(clock, o.Log)
	go func() {
		n.warmed <- every.Interval(ctx, warmEvery, func(ctx context.Context) {
			n.look(watch)
			n.peers.Warm(ctx)
		})
	}()
	o.Log.Info("Gateway serves.", "name", o.Name, "callers", o.Caller, "peer", o.Peer, "seeds", o.Seeds)
	return n, nil
}

// stores returns those that may be asked; none before heartbeats began.
func (n *Node) stores() []wheelgauge.StoreAt {
	if beats := n.beats.Load(); beats != nil {
		return beats.Stores()
	}
	return nil
}

// askCaps draws units of workspaces' caps at a store.
func (n *Node) askCaps(ctx context.Context, address string, ask wheelgauge.CapAsk) (a wheelgauge.CapAnswer, err error) {
	err = n.client.Call(ctx, http.MethodPost, address, cappurse.Path, ask, &a)
	return a, err
}

// regionStores returns the stores of the host's region; none before heartbeats began.
func (n *Node) regionStores() []wheelgauge.RegionStore {
	if beats := n.beats.Load(); beats != nil {
		return beats.RegionStores()
	}
	return nil
}

// askPermit asks a store whether a request may go to a server with a limit.
func (n *Node) askPermit(ctx context.Context, address string, ask wheelgauge.PermitAsk) (a wheelgauge.PermitAnswer, err error) {
	err = n.client.Call(ctx, http.MethodPost, address, permitclient.Path, ask, &a)
	return a, err
}

// counted tells the meter of the bytes to and from stores.
func (n *Node) counted(c net.Conn) net.Conn {
	return countconn.New(c, func(b int64) { n.meter.Add("control.bytes.in", b) }, func(b int64) { n.meter.Add("control.bytes.out", b) })
}

func (n *Node) listen() error {
	var err error
	n.callers, err = callerhttp.Listen(n.o.Caller, callerhttp.Options{Limits: n.gate.Limits, Serve: n.gate.Serve, Conns: connsWithin(n.o.Memory, callerConns)})
	if err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	n.forwards, err = callerhttp.Listen(n.o.Peer, callerhttp.Options{Limits: n.peerLimits, Serve: n.gate.ServePeer, Conns: connsWithin(n.o.Memory, peerConns)})
	if err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	for address, handler := range map[string]fasthttp.RequestHandler{n.o.Ready: n.serveReady, n.o.Metrics: n.serveMetrics} {
		if address == "" {
			continue
		}
		l, err := httpserve.Listen(address, handler, httpserve.Options{})
		if err != nil {
			return fmt.Errorf("start gateway: %w", err)
		}
		n.listeners = append(n.listeners, l)
	}
	return nil
}

// connsWithin bounds a listener's connections by its part of the host's memory.
func connsWithin(memory int64, most int) int {
	if memory <= 0 {
		return most
	}
	part := float64(most) / (callerConns + peerConns)
	return min(most, int(connsPart*part*float64(memory)/wheelgauge.SlowConnBytes))
}

// peerLimits let forwarded requests carry a little more than callers may send.
func (n *Node) peerLimits() wheelgauge.Limits {
	l := n.gate.Limits()
	l.HeaderBytes *= 2
	l.IdleTimeout = time.Minute
	return l
}

func (n *Node) service(name string) *wheelgauge.Service {
	if t := n.gate.Table(); t != nil {
		return t.Service(name)
	}
	return nil
}

func (n *Node) self() wheelgauge.FleetHost {
	return wheelgauge.FleetHost{
		Name: n.o.Name, Region: n.o.Region, Hall: n.o.Hall, Caller: n.o.Caller, Peer: n.o.Peer,
		Boot: n.boot, Leaving: n.leaving.Load(), Ready: n.gate.Ready(),
	}
}

// look ends requests whose time went by while the host was suspended.
func (n *Node) look(w *wake.Watch) {
	if _, suspended := w.Look(warmEvery); suspended > 0 {
		n.o.Log.Info("Requests are ended whose time went by.", "ended", n.gate.Wake())
	}
}

func (n *Node) prune(context.Context) {
	n.servers.Prune()
	n.peers.Prune()
	n.quarantine.Prune()
	n.limits.Prune()
	n.tally.Keep(n.versions.Runs())
}

func (n *Node) serveReady(ctx *fasthttp.RequestCtx) {
	if n.leaving.Load() || !n.gate.Ready() {
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(http.StatusOK)
}

func (n *Node) serveMetrics(ctx *fasthttp.RequestCtx) {
	n.meter.Gauge("connections.dialed", int64(n.servers.Dialed()))
	n.meter.Gauge("requests.serving", int64(n.callers.Serving()))
	ctx.SetContentType("application/json")
	n.meter.WriteJSON(ctx)
}

// Close drains the gateway: it goes off the entry list, still takes callers
// that have its address, finishes what is in flight, and stops. What could not
// be finished within the grace is refused, for another host to take.
func (n *Node) Close(ctx context.Context) error {
	n.o.Log.Info("Gateway drains.", "serving", n.callers.Serving())
	now := n.o.Clock.Now()
	last, end := now.Add(n.o.Grace-cmp.Or(n.o.Last, stopMargin)), now.Add(n.o.Grace-cutMargin)
	n.gate.LeaveBy(last)
	n.leaving.Store(true)
	n.callers.Drain()
	n.forwards.Drain()
	n.beats.Load().Now()
	n.await(ctx, last)
	// Whoever asks for readiness or metrics asks again.
	brief, done := context.WithTimeout(ctx, listenerStop)
	defer done()
	_, err := httpserve.CloseAll(brief, n.listeners)
	errs := []error{err}
	limit, cancel := n.within(ctx, end)
	defer cancel()
	errs = append(errs, n.callers.Close(limit), n.forwards.Close(limit))
	n.purse.Close()
	n.stop()
	errs = append(errs, n.beats.Load().Close(), <-n.pruned, <-n.warmed)
	n.servers.Close()
	n.peers.Close()
	n.client.CloseIdle()
	n.o.Log.Info("Bytes by kind of call.", "bytes", n.meter.Bytes())
	return errors.Join(errs...)
}

// within returns a context that ends at a moment of the host's clock. Whoever stops the
// host counts the time for which the machine was suspended, too; connections do not. cancel
// waits.
func (n *Node) within(ctx context.Context, end time.Time) (limit context.Context, cancel func()) {
	limit, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		ended <- every.Interval(limit, drainCheck, func(context.Context) {
			if !n.o.Clock.Now().Before(end) {
				stop()
			}
		})
	}()
	return limit, func() {
		stop()
		<-ended
	}
}

// await lets callers that still hold the address come in until no more requests
// are taken, or until the last one is answered.
func (n *Node) await(ctx context.Context, last time.Time) {
	began := n.o.Clock.Now()
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for ctx.Err() == nil && n.o.Clock.Now().Before(last) {
		if n.o.Clock.Now().Sub(began) > strayTime && n.callers.Serving()+n.forwards.Serving() == 0 {
			return
		}
		<-ticker.C
	}
}
