// Package confstore is the store of the routes mode: the replicated
// configuration, the table of entry hosts, and the list of backend servers that
// hosts are told of.
package confstore

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/bootclock"
	"wheelgauge/capbank"
	"wheelgauge/configlog"
	"wheelgauge/every"
	"wheelgauge/hosttable"
	"wheelgauge/httpserve"
	"wheelgauge/meter"
	"wheelgauge/peerhttp"
	"wheelgauge/permitissuer"
	"wheelgauge/quarantine"
	"wheelgauge/replica"
	"wheelgauge/rollout/director"
	"wheelgauge/rollout/sequential"
	"wheelgauge/serverlimit"
	"wheelgauge/serverlist"
	"wheelgauge/statefeed"
	"wheelgauge/wake"
)

const (
	folderReplica = "replica"
	// servedPrefix tells calls that the store answers from those that it makes.
	servedPrefix = "served"
	// voters survive the loss of two disks at once.
	voters = 5
	// wakeEvery is how often a store looks whether it stood still.
	wakeEvery = 250 * time.Millisecond
	// pruneEvery is how often limits of servers are looked through that nobody hears of.
	pruneEvery = time.Minute
	// listenerStop bounds the end of all listeners together: an order under way takes
	// three seconds at most. One after another, four could take longer than the grace.
	listenerStop = 3200 * time.Millisecond
)

// Listener is a further listener of the store, for operators or callers, whose
// handler a dialect gives.
type Listener struct {
	Address string
	Handler func(o wheelgauge.Operations) fasthttp.RequestHandler
	Options httpserve.Options
}

// Options of a Node.
type Options struct {
	Name   string
	Region string
	Hall   string
	// Halls gives the region of each hall.
	Halls map[string]string
	Dir   string
	// Peer is the address of the peers' listener, Metrics that of the metrics.
	Peer    string
	Metrics string
	// Seeds are peer addresses of stores, this one's among them perhaps.
	Seeds []string
	// First is set when the whole system starts for the first time.
	First     bool
	Tick      time.Duration
	PollEvery time.Duration
	// CapWindow, CapOverage and CapSlack are what caps are bounded by; see capbank.Options.
	CapWindow  time.Duration
	CapOverage float64
	CapSlack   float64
	// Clock judges ages and leases; one that counts suspended time when nil.
	Clock     wheelgauge.Clock
	Decode    wheelgauge.RouteDecoder
	List      wheelgauge.ServerList
	Listeners []Listener
	Log       logr.Logger
}

// Node is a running store.
type Node struct {
	o         Options
	boot      uint64
	started   time.Time
	machine   *configlog.Machine
	feed      *statefeed.Feed
	decoded   atomic.Pointer[wheelgauge.RouteSet]
	replica   *replica.Replica
	hosts     *hosttable.Table
	client    *peerhttp.Client
	meter     *meter.Meter
	listeners []*httpserve.Server
	stop      context.CancelFunc
	// tasks are what the store does again and again; each reports its end.
	tasks []chan error

	servers *serverlist.Table
	members members
	bank    *capbank.Bank
	crashes *quarantine.Table
	// limits are those that servers have named, permits what is given of them.
	limits  *serverlimit.Table
	permits *permitissuer.Issuer
	// director decides how rollouts go on, ages tells how long they have run.
	director *director.Director
	ages     rolloutAges
	// heldSince is when this store first knew of each request that is held back; only
	// keepCrashes uses it.
	heldSince map[wheelgauge.Fingerprint]time.Time
	// capsVersion is that of the configuration whose caps the bank has; only keepCaps
	// uses it.
	capsVersion uint64
	// foreign are the entries of each region's list that named no server at its last
	// reading; only poll uses it.
	foreign map[string]wheelgauge.ForeignEntries
	// passing are the calls that tell other stores; no more begin once the tasks ended.
	passing sync.WaitGroup
}

// Open starts a store.
func Open(ctx context.Context, o Options) (*Node, error) {
	ctx, stop := context.WithCancel(ctx)
	if o.Clock == nil {
		o.Clock = bootclock.OrSteady(o.Log)
	}
	now := o.Clock.Now
	n := &Node{
		o: o, boot: uint64(time.Now().UnixNano()), started: now(), machine: configlog.New(), hosts: hosttable.New(now),
		client: peerhttp.NewClient(nil, ""), meter: meter.New(), stop: stop,
		foreign: map[string]wheelgauge.ForeignEntries{},
	}
	n.client.Watch(n.meter.Call)
	n.feed = statefeed.New(n.fleetState)
	n.director = director.New(func() wheelgauge.VersionJudge { return sequential.New() }, now)
	n.servers = serverlist.New(n.boot, now)
	n.crashes = quarantine.New(now)
	n.limits = serverlimit.New(now)
	n.permits = permitissuer.New(n.limits, now)
	n.bank = capbank.New(capbank.Options{Self: o.Peer, Boot: n.boot, Window: o.CapWindow, Overage: o.CapOverage, Slack: o.CapSlack, Now: now})
	if err := n.open(ctx); err != nil {
		stop()
		return nil, err
	}
	n.task(func() error {
		n.poll(ctx) // hosts that start together with this store wait for it
		return every.Interval(ctx, o.PollEvery, n.poll)
	})
	n.task(func() error { return every.Interval(ctx, newsEvery, n.pass) })
	n.task(func() error { return every.Interval(ctx, capsEvery, n.keepCaps) })
	n.task(func() error { return every.Interval(ctx, refusedEvery, n.logCaps) })
	n.task(func() error { return every.Interval(ctx, crashesEvery, n.keepCrashes) })
	n.task(func() error { return every.Interval(ctx, rolloutsEvery, n.keepRollouts) })
	n.task(func() error { return every.Interval(ctx, pruneEvery, n.pruneLimits) })
	watch := wake.New(o.Clock, o.Log)
	n.task(func() error { return every.Interval(ctx, wakeEvery, func(context.Context) { watch.Look(wakeEvery) }) })
	o.Log.Info("Store serves.", "name", o.Name, "peer", o.Peer, "seeds", o.Seeds, "first", o.First)
	return n, nil
}

func (n *Node) now() time.Time { return n.o.Clock.Now() }

// task runs until the store stops.
func (n *Node) task(run func() error) {
	ended := make(chan error, 1)
	n.tasks = append(n.tasks, ended)
	go func() { ended <- run() }()
}

func (n *Node) open(ctx context.Context) error {
	o := n.o
	ro := replica.Options{
		Dir: filepath.Join(o.Dir, folderReplica), Name: o.Peer, Address: o.Peer, Peers: o.Seeds, Voters: voters,
		Tick: o.Tick, Client: n.client, Log: o.Log.WithName("replica"),
	}
	if o.First {
		ro.Founders = o.Seeds
	}
	var err error
	if n.replica, err = replica.Open(context.WithoutCancel(ctx), ro, n.machine); err != nil {
		return fmt.Errorf("open replica: %w", err)
	}
	if err := n.listen(o.Peer, n.servePeer, httpserve.Options{}); err != nil {
		return err
	}
	for _, l := range o.Listeners {
		if err := n.listen(l.Address, l.Handler(n), l.Options); err != nil {
			return err
		}
	}
	if o.Metrics == "" {
		return nil
	}
	return n.listen(o.Metrics, n.serveMetrics, httpserve.Options{})
}

func (n *Node) listen(address string, handler fasthttp.RequestHandler, o httpserve.Options) error {
	l, err := httpserve.Listen(address, handler, o)
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	n.listeners = append(n.listeners, l)
	return nil
}

func (n *Node) servePeer(ctx *fasthttp.RequestCtx) {
	received := len(ctx.Request.Body())
	if !n.serveCaps(ctx) && !n.servePermits(ctx) && !n.serveBeat(ctx) && !n.serveState(ctx) && !n.serveNews(ctx) && !n.replica.Handle(ctx) {
		peerhttp.NotFound(ctx)
		return
	}
	n.meter.Call(servedPrefix+string(ctx.Path()), len(ctx.Response.Body()), received)
}

func (n *Node) serveMetrics(ctx *fasthttp.RequestCtx) {
	n.meter.Gauge("generation", int64(n.machine.State().Generation))
	n.meter.Gauge("log.bytes", n.replica.Status().Bytes)
	refuses := int64(0)
	if n.replica.Refuses() {
		refuses = 1
	}
	n.meter.Gauge("disk.refuses", refuses)
	ctx.SetContentType("application/json")
	n.meter.WriteJSON(ctx)
}

// Done gives the error that ended the replica by itself.
func (n *Node) Done() <-chan error { return n.replica.Done() }

// Close stops the store and waits.
func (n *Node) Close() error {
	n.stop()
	var errs []error
	for _, ended := range n.tasks {
		errs = append(errs, <-ended)
	}
	n.passing.Wait()
	// A peer that is frozen keeps its connection open; it asks again elsewhere.
	limit, cancel := context.WithTimeout(context.Background(), listenerStop)
	defer cancel()
	cut, err := httpserve.CloseAll(limit, n.listeners)
	if len(cut) > 0 {
		n.o.Log.Info("Listeners end with connections open.", "addresses", cut)
	}
	errs = append(errs, err, n.replica.Close())
	n.client.CloseIdle()
	n.o.Log.Info("Bytes by kind of call.", "bytes", n.meter.Bytes())
	return errors.Join(errs...)
}
