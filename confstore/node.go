// Package confstore implements the store of the routes mode. It holds the
// replicated configuration and the table of entry hosts, and distributes the
// list of backend servers to them.
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
	"wheelgauge/capallocator"
	"wheelgauge/changefeed"
	"wheelgauge/changelog"
	"wheelgauge/coldprobe"
	"wheelgauge/configstate"
	"wheelgauge/hallorders"
	"wheelgauge/hosttable"
	"wheelgauge/httpserve"
	"wheelgauge/meter"
	"wheelgauge/ordercheck"
	"wheelgauge/peerhttp"
	"wheelgauge/periodic"
	"wheelgauge/permitissuer"
	"wheelgauge/promiserelay"
	"wheelgauge/quarantine"
	"wheelgauge/replica"
	"wheelgauge/rollout/controller"
	"wheelgauge/rollout/sequential"
	"wheelgauge/routehistory"
	"wheelgauge/routetable"
	"wheelgauge/serverlimit"
	"wheelgauge/serverlist"
	"wheelgauge/stallwatch"
	"wheelgauge/streamorigin"
	"wheelgauge/versionhistory"
	"wheelgauge/votergroup"
)

const (
	folderReplica = "replica"
	// servedPrefix marks, in metrics, calls that the store serves; calls that it makes have no
	// prefix.
	servedPrefix = "served"
	// voters is the size of the quorum group: five voters survive the loss of two disks at once.
	voters = 5
	// unknownGauge is the value of a metric that only the leader knows, at the other stores.
	unknownGauge = -1
	// suspendCheckInterval is how often a store checks whether it was suspended or stalled.
	suspendCheckInterval = 250 * time.Millisecond
	// configInterval is how often a store checks for a configuration to pass on; hosts that ask
	// earlier need not wait for it.
	configInterval = 50 * time.Millisecond
	// limitPruneInterval is how often limits of servers that are no longer reported are removed.
	limitPruneInterval = time.Minute
	// listenerCloseTimeout bounds the shutdown of all listeners, which close in parallel: an
	// operation in progress takes three seconds at most, and four listeners closed one
	// after another could exceed the shutdown grace period.
	listenerCloseTimeout = 3200 * time.Millisecond
)

// Listener is an additional listener of the store, for operators or callers. The
// dialect provides its handler.
type Listener struct {
	Address string
	Handler func(o wheelgauge.Operations) fasthttp.RequestHandler
	Options httpserve.Options
}

// Options configures a Node.
type Options struct {
	Name   string
	Region string
	Hall   string
	// RegionByHall gives the region of each hall.
	RegionByHall map[string]string
	Dir          string
	// PeerAddress is the address of the listener for other stores and hosts, MetricsAddress
	// that of the metrics listener.
	PeerAddress    string
	MetricsAddress string
	// Seeds are peer addresses of stores; this store may be among them.
	Seeds []string
	// RefreshSeeds returns the seeds as they are configured now; it may be nil.
	RefreshSeeds func() []string
	// Bootstrap is set at the first start of the whole system: the seeds form the replica
	// group.
	Bootstrap    bool
	Tick         time.Duration
	PollInterval time.Duration
	// CapWindow, CapOverage and CapSlack bound the use of caps; see capallocator.Options.
	CapWindow  time.Duration
	CapOverage float64
	CapSlack   float64
	// Clock measures ages and leases. If nil, a clock is used that counts suspended time.
	Clock        wheelgauge.Clock
	DecodeRoutes wheelgauge.RouteDecoder
	ServerList   wheelgauge.ServerList
	// ColdSource asks servers themselves whether they are cold; nil if they cannot be asked.
	ColdSource wheelgauge.ColdSource
	Listeners  []Listener
	Log        logr.Logger
}

// Node is a running store.
type Node struct {
	o        Options
	boot     uint64
	started  time.Time
	machine  *configstate.Machine
	feed     *changefeed.Feed
	config   configTable
	routeSet atomic.Pointer[wheelgauge.RouteSet]
	// routeIndex is the index of routeSet for lookups.
	routeIndex atomic.Pointer[routetable.Table]
	replica    *replica.Replica
	// orders carries out the orders of operators.
	orders    *ordercheck.Runner
	hosts     *hosttable.Table
	client    *peerhttp.Client
	meter     *meter.Meter
	listeners []*httpserve.Server
	// ctx ends when the store stops.
	ctx  context.Context
	stop context.CancelFunc
	// taskResults has one channel for each periodic task; it receives the result when the task
	// ends.
	taskResults []chan error

	servers *serverlist.Table
	lists   listFetches
	peers   peerStores
	caps    *capallocator.Allocator
	crashes *quarantine.Table
	// crashesIndex is the index of the replicated log up to which crashes has all.
	crashesIndex atomic.Uint64
	// limits are the rate limits reported by servers; permits issues permits within them.
	limits  *serverlimit.Table
	permits *permitissuer.Issuer
	// promises are those that hosts made to refused callers in the last seconds.
	promises *promiserelay.Relay
	// streams holds what began the streams of the region's callers, versions the versions that
	// were listed lately; versionsRecorded is the version of the list last recorded there, which
	// only updateStreams uses.
	streams          *streamorigin.Table
	versions         *versionhistory.History
	versionsRecorded uint64
	// hallOrders are the latest orders of operators for halls.
	hallOrders *hallorders.Table
	// coldProber asks the region's servers whether they are cold, while this store is cut off.
	coldProber *coldprobe.Prober
	// connectedAt is when this store was first connected to the others, in Unix nanoseconds of
	// its clock; 0 if it never was.
	connectedAt atomic.Int64
	// rolloutController decides the next step of each rollout; rolloutClock tracks elapsed times.
	rolloutController *controller.Controller
	rolloutClock      rolloutClock
	// quarantinedSince is when this store first knew of each quarantined request; only
	// syncCrashes uses it.
	quarantinedSince map[wheelgauge.Fingerprint]time.Time
	// capsVersion is the configuration version whose caps the allocator uses; only
	// updateCaps uses it.
	capsVersion uint64
	// invalidEntries counts, by region, the entries of the server list that described no
	// valid server at its last reading; only pollLists uses it.
	invalidEntries map[string]wheelgauge.InvalidEntries
	// updateCalls are the running calls that send updates to other stores and fetch lists from
	// them; none starts once the tasks and the listeners have ended.
	updateCalls sync.WaitGroup
}

// Recover makes the configuration in the data folder, or in a file that holds a state that was set
// aside, that of a new group of which only the store at the peer address is a member.
func Recover(dir, file, peerAddress string) error {
	return replica.Recover(filepath.Join(dir, folderReplica), file, peerAddress, peerAddress)
}

// Open starts a store.
func Open(ctx context.Context, o Options) (*Node, error) {
	ctx, stop := context.WithCancel(ctx)
	if o.Clock == nil {
		o.Clock = bootclock.NewOrMonotonic(o.Log)
	}
	now := o.Clock.Now
	n := &Node{
		o: o, boot: uint64(time.Now().UnixNano()), started: now(), machine: configstate.New(), hosts: hosttable.New(now),
		client: peerhttp.NewClient(nil, ""), meter: meter.New(), ctx: ctx, stop: stop,
		invalidEntries: map[string]wheelgauge.InvalidEntries{},
	}
	n.client.OnCall(n.meter.CountCall)
	n.feed = changefeed.New()
	n.config.rows, n.config.table, n.config.history = changelog.New(), routetable.New(&wheelgauge.RouteSet{}), routehistory.New(now)
	n.feed.Add(wheelgauge.TableRoutes, n.config.rows, true)
	n.feed.Add(wheelgauge.TableHosts, n.hosts.Changes(), false)
	n.rolloutController = controller.New(func() wheelgauge.VersionEvaluator { return sequential.New() }, now)
	n.servers = serverlist.New(now)
	n.crashes = quarantine.New(now)
	n.limits = serverlimit.New(now)
	n.permits = permitissuer.New(n.limits, now)
	n.promises = promiserelay.New(now)
	n.hallOrders = hallorders.New(now)
	n.coldProber = n.newColdProber()
	n.streams, n.versions = streamorigin.New(maxStreams, now), versionhistory.New(now)
	n.caps = capallocator.New(capallocator.Options{Self: o.PeerAddress, Boot: n.boot, Window: o.CapWindow, Overage: o.CapOverage, Slack: o.CapSlack, Now: now})
	if err := n.open(ctx); err != nil {
		stop()
		return nil, err
	}
	n.runTask(func() error {
		n.pollLists(ctx) // hosts that start together with this store wait for the first list
		return periodic.Run(ctx, o.PollInterval, n.pollLists)
	})
	n.runTask(func() error { return periodic.Run(ctx, updateInterval, n.sendUpdates) })
	n.runTask(func() error { return periodic.Run(ctx, capsUpdateInterval, n.updateCaps) })
	n.runTask(func() error { return periodic.Run(ctx, configInterval, n.followConfig) })
	n.runTask(func() error { return periodic.Run(ctx, refusalLogInterval, n.logRefusals) })
	n.runTask(func() error { return periodic.Run(ctx, crashSyncInterval, n.syncCrashes) })
	n.runTask(func() error { return periodic.Run(ctx, rolloutInterval, n.advanceRollouts) })
	n.runTask(func() error { return periodic.Run(ctx, limitPruneInterval, n.pruneLimits) })
	n.runTask(func() error { return periodic.Run(ctx, streamUpdateInterval, n.updateStreams) })
	if o.ColdSource != nil {
		n.runTask(func() error { return periodic.Run(ctx, coldProbeInterval, n.probeColdServers) })
	}
	watch := stallwatch.New(o.Clock, o.Log)
	n.runTask(func() error {
		return periodic.Run(ctx, suspendCheckInterval, func(context.Context) { watch.Check(suspendCheckInterval) })
	})
	o.Log.Info("Store serves.", "name", o.Name, "peer", o.PeerAddress, "seeds", o.Seeds, "first", o.Bootstrap)
	return n, nil
}

func (n *Node) now() time.Time { return n.o.Clock.Now() }

// wallUnixMS returns the time of day, which differs between stores and may jump.
func wallUnixMS() int64 { return time.Now().UnixMilli() }

// runTask starts a task that runs until the store stops.
func (n *Node) runTask(run func() error) {
	result := make(chan error, 1)
	n.taskResults = append(n.taskResults, result)
	go func() { result <- run() }()
}

func (n *Node) open(ctx context.Context) error {
	o := n.o
	ro := replica.Options{
		Dir: filepath.Join(o.Dir, folderReplica), Name: o.PeerAddress, Address: o.PeerAddress, Peers: o.Seeds, RefreshPeers: o.RefreshSeeds, Voters: voters,
		Tick: o.Tick, Client: n.client, Log: o.Log.WithName("replica"),
	}
	if o.Bootstrap {
		ro.InitialVoters = o.Seeds
	}
	var err error
	if n.replica, err = replica.Open(context.WithoutCancel(ctx), ro, n.machine); err != nil {
		return fmt.Errorf("open replica: %w", err)
	}
	n.orders = ordercheck.New(n.replica, n.o.Clock)
	if err := n.listen(o.PeerAddress, n.servePeer, httpserve.Options{}); err != nil {
		return err
	}
	for _, l := range o.Listeners {
		if err := n.listen(l.Address, l.Handler(n), l.Options); err != nil {
			return err
		}
	}
	if o.MetricsAddress == "" {
		return nil
	}
	return n.listen(o.MetricsAddress, n.serveMetrics, httpserve.Options{})
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
	if !n.serveCaps(ctx) && !n.servePermits(ctx) && !n.serveHeartbeat(ctx) && !n.serveStreams(ctx) && !n.serveChanges(ctx) && !n.serveLookup(ctx) && !n.serveUpdate(ctx) && !n.replica.Handle(ctx) {
		peerhttp.NotFound(ctx)
		return
	}
	n.meter.CountCall(servedPrefix+string(ctx.Path()), len(ctx.Response.Body()), received)
}

func (n *Node) serveMetrics(ctx *fasthttp.RequestCtx) {
	n.meter.Gauge("generation", int64(n.machine.State().Generation))
	n.meter.Gauge("log.bytes", n.replica.Status().LogBytes)
	n.meter.Gauge("disk.refuses", gaugeOf(n.replica.DiskUnwritable()))
	n.meter.Gauge("disk.unverified", gaugeOf(n.replica.Status().Unverified))
	n.reportGroup()
	ctx.SetContentType("application/json")
	n.meter.WriteJSON(ctx)
}

// gaugeOf returns 1 for true.
func gaugeOf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// reportGroup sets the metrics of the replica group: unknownGauge at a store that does not lead.
func (n *Node) reportGroup() {
	status := n.replica.Status()
	leaderlessMS, silentVoters := int64(0), int64(0)
	if l := status.Leaderless; l != nil {
		leaderlessMS, silentVoters = l.ForMS, int64(l.SilentVoters())
	}
	n.meter.Gauge("group.leaderless_ms", leaderlessMS)
	n.meter.Gauge("group.voters.silent", silentVoters)
	h := status.Health
	if h == nil {
		h = &votergroup.Health{Wanted: voters, Voters: unknownGauge, Replying: unknownGauge, Learners: unknownGauge, Tolerated: unknownGauge}
	}
	n.meter.Gauge("group.voters.wanted", int64(h.Wanted))
	n.meter.Gauge("group.voters", int64(h.Voters))
	n.meter.Gauge("group.voters.replying", int64(h.Replying))
	n.meter.Gauge("group.learners", int64(h.Learners))
	n.meter.Gauge("group.failures.tolerated", int64(h.Tolerated))
}

// Done receives the error if the replica ends by itself.
func (n *Node) Done() <-chan error { return n.replica.Done() }

// Close stops the store and waits until it has ended.
func (n *Node) Close() error {
	n.stop()
	var errs []error
	for _, result := range n.taskResults {
		errs = append(errs, <-result)
	}
	n.replica.Leave(context.Background())
	// A stalled peer keeps its connection open; it will retry at another store.
	closeCtx, cancel := context.WithTimeout(context.Background(), listenerCloseTimeout)
	defer cancel()
	unfinished, err := httpserve.CloseAll(closeCtx, n.listeners)
	if len(unfinished) > 0 {
		n.o.Log.Info("Listeners closed with connections still open.", "addresses", unfinished)
	}
	n.updateCalls.Wait()
	errs = append(errs, err, n.replica.Close())
	n.client.CloseIdle()
	n.o.Log.Info("Bytes by kind of call.", "bytes", n.meter.BytesByKind())
	return errors.Join(errs...)
}
