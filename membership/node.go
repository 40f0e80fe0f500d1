package membership

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/every"
	"wheelgauge/peerhttp"
	"wheelgauge/quarantine"
	"wheelgauge/rendezvous"
	"wheelgauge/serverlimit"
)

// Paths of membership on the peer listener.
const (
	PathBeat    = "/peer/heartbeat"
	PathSummary = "/peer/summary"
)

const (
	pollersPerServer = 2
	maxPolls         = 16
	// hubRetryIntervals is how many intervals pass before a preferred hub is tried again.
	hubRetryIntervals = 5
	// warmUpViews is how many views a hub must have sent before a host that is missing
	// from them counts as dead.
	warmUpViews = 2 * missedIntervals
	// returnRamp is the time in which a recovered backend server is brought back to its
	// full share of requests: its caches are cold.
	returnRamp = 20 * time.Second
	minRamp    = 0.2
)

// Options of a Node.
type Options struct {
	Host     string
	Region   string
	Hall     string
	Boot     uint64
	Interval time.Duration
	Client   *peerhttp.Client
	Catalog  func() *catalog.Catalog
	// Poll requests the load of a backend server.
	Poll func(ctx context.Context, s *catalog.Server) (wheelgauge.LoadReport, error)
	// Asks returns the number of waiting requests that may be forwarded to another region,
	// by pool.
	Asks func() map[string]int
	// Crashes holds those that this host recorded, and those kept of all hosts.
	Crashes *quarantine.Table
	// Limits holds those that servers announced to this host or to others.
	Limits *serverlimit.Table
	// Clock is used for the age of heartbeats and reports; the monotonic clock when nil.
	Clock wheelgauge.Clock
	Log   logr.Logger
}

// Node takes part in membership for one gateway.
type Node struct {
	options Options
	hub     *Hub

	mu          sync.RWMutex
	leaving     bool
	hosts       map[string]wheelgauge.HostEntry
	servers     map[string]*ServerState
	names       map[int]string
	models      map[int]string
	regions     map[string]wheelgauge.RegionSummary
	hubBoot     uint64
	viewVersion uint64
	hubIndex    int
	ticks       int
	views       int // received from this hub
	// crashesAcked is the last change of this host's own crashes that the hub knows,
	// crashesVersion identifies the list last received of all hosts' crashes.
	crashesAcked   uint64
	crashesVersion uint64
	// limitsAcked and limitsVersion are the same for servers' rate limits.
	limitsAcked   uint64
	limitsVersion uint64
	hubAddress    string

	cancel context.CancelFunc
	done   chan error
}

// Start begins to send heartbeats.
func Start(ctx context.Context, options Options) *Node {
	ctx, cancel := context.WithCancel(ctx)
	if options.Clock == nil {
		options.Clock = wheelgauge.SteadyClock{}
	}
	if options.Crashes == nil {
		options.Crashes = quarantine.New(options.Clock.Now)
	}
	if options.Limits == nil {
		options.Limits = serverlimit.New(options.Clock.Now)
	}
	n := &Node{
		options: options, hub: NewHub(options.Region, options.Boot, options.Interval, options.Catalog, options.Clock.Now),
		hosts: map[string]wheelgauge.HostEntry{}, servers: map[string]*ServerState{}, names: map[int]string{}, models: map[int]string{}, regions: map[string]wheelgauge.RegionSummary{},
		cancel: cancel, done: make(chan error, 1),
	}
	go func() { n.done <- n.run(ctx) }()
	return n
}

// Hub returns this gateway's own hub, which is used while the region's store host is
// unreachable.
func (n *Node) Hub() *Hub { return n.hub }

// Close stops the heartbeats and waits for the last one.
func (n *Node) Close() error {
	n.cancel()
	return <-n.done
}

// Leave announces in the next heartbeats that this host accepts no new requests.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

func (n *Node) run(ctx context.Context) error {
	n.tick(ctx)
	return every.Interval(ctx, n.options.Interval, n.tick)
}

// tick polls servers, sends the heartbeat and exchanges summaries for one interval.
func (n *Node) tick(ctx context.Context) {
	c := n.options.Catalog()
	if c == nil {
		return
	}
	tickCtx, cancel := context.WithTimeout(ctx, n.options.Interval)
	defer cancel()
	polled := n.poll(tickCtx, c)
	n.sendHeartbeat(tickCtx, c, polled)
	n.exchange(tickCtx, c)
}

// assigned returns the servers that this host polls: those of its hall for which it is among
// the pollersPerServer live hosts of the highest rendezvous score. Servers of a hall without
// live hosts are polled by hosts of the whole region.
func (n *Node) assigned(c *catalog.Catalog) []*catalog.Server {
	halls := map[string][]string{}
	var all []string
	for _, h := range c.Hosts(n.options.Region) {
		if h.Name == n.options.Host || n.HostAlive(h.Name) || n.mayBeAlive(h.Name) {
			halls[h.Hall] = append(halls[h.Hall], h.Name)
			all = append(all, h.Name)
		}
	}
	var out []*catalog.Server
	for _, s := range c.RegionServers(n.options.Region) {
		pollers := halls[s.Hall]
		if len(pollers) == 0 {
			pollers = all
		}
		if slices.Contains(rendezvous.Top(s.Name, pollers, pollersPerServer), n.options.Host) {
			out = append(out, s)
		}
	}
	return out
}

func (n *Node) poll(ctx context.Context, c *catalog.Catalog) []wheelgauge.ServerEntry {
	servers := n.assigned(c)
	out := make([]wheelgauge.ServerEntry, len(servers))
	var group errgroup.Group
	group.SetLimit(maxPolls)
	for i, s := range servers {
		group.Go(func() error {
			out[i] = n.pollOne(ctx, s)
			return nil
		})
	}
	_ = group.Wait() // a server that does not answer is an entry, not an error
	return out
}

func (n *Node) pollOne(ctx context.Context, s *catalog.Server) wheelgauge.ServerEntry {
	pollCtx, cancel := context.WithTimeout(ctx, n.options.Interval*3/4)
	defer cancel()
	load, err := n.options.Poll(pollCtx, s)
	if err != nil {
		return wheelgauge.ServerEntry{Server: s.Name}
	}
	return wheelgauge.ServerEntry{Server: s.Name, Alive: true, Leaving: load.Leaving, Running: load.Running, Waiting: load.Waiting, Models: strings.Join(load.Models, ",")}
}

// hubs returns the addresses to try, best first: the region's stores, then
// gateways in an order that all hosts agree on. This host's own address is empty.
func (n *Node) hubs(c *catalog.Catalog) []string {
	var out, names []string
	for _, h := range c.Hosts(n.options.Region) {
		if h.Store != "" {
			out = append(out, h.Store)
		}
		names = append(names, h.Name)
	}
	slices.Sort(out)
	for _, name := range rendezvous.Top(n.options.Region, names, len(names)) {
		if name == n.options.Host {
			out = append(out, "")
			continue
		}
		out = append(out, c.Host(name).Peer)
	}
	return out
}

func (n *Node) sendHeartbeat(ctx context.Context, c *catalog.Catalog, polled []wheelgauge.ServerEntry) {
	hubs := n.hubs(c)
	n.mu.Lock()
	n.ticks++
	if n.ticks%hubRetryIntervals == 0 {
		n.hubIndex = 0
	}
	index := min(n.hubIndex, len(hubs)-1)
	b := wheelgauge.Heartbeat{
		Host: n.options.Host, Boot: n.options.Boot, Leaving: n.leaving, Generation: c.Generation(),
		Asks: n.options.Asks(), Servers: polled, Since: n.viewVersion, Hub: n.hubBoot, CrashesAt: n.crashesVersion, LimitsAt: n.limitsVersion,
	}
	var crashChange, limitChange uint64
	b.Crashes, crashChange = n.options.Crashes.Since(n.crashesAcked)
	b.Limits, limitChange = n.options.Limits.Heard(n.limitsAcked)
	n.mu.Unlock()
	for ; index >= 0 && index < len(hubs); index++ {
		view, err := n.send(ctx, hubs[index], b)
		if err == nil {
			n.applyView(view, hubs[index], index)
			n.applyCrashes(view, crashChange)
			n.applyLimits(view, limitChange)
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hubIndex = min(index+1, len(hubs)-1)
	n.applyServers(polled)
}

func (n *Node) send(ctx context.Context, address string, b wheelgauge.Heartbeat) (wheelgauge.View, error) {
	if address == "" {
		return n.hub.Beat(b), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, n.options.Interval/2)
	defer cancel()
	var v wheelgauge.View
	err := n.options.Client.Call(callCtx, http.MethodPost, address, PathBeat, b, &v)
	return v, err
}

func (n *Node) applyView(v wheelgauge.View, hub string, index int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hubAddress != hub {
		n.options.Log.Info("Heartbeats go to another hub.", "hub", hub)
		n.hubAddress = hub
	}
	n.hubIndex, n.hubBoot, n.viewVersion = index, v.Hub, v.Version
	n.views++
	if v.Full {
		n.views = 0
		clear(n.hosts)
		clear(n.names)
		clear(n.models)
	}
	for _, h := range v.Hosts {
		n.hosts[h.Host] = h
	}
	n.applyServers(n.unpack(v))
	for _, r := range v.Regions {
		n.regions[r.Region] = r
	}
}

// applyCrashes keeps the crashes of all hosts that a hub sends. A hub that has just begun to
// answer does not know all of them yet: it is sent all of this host's again, and those missing
// from its list are kept.
func (n *Node) applyCrashes(v wheelgauge.View, acked uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashesAcked = acked
	if v.Full {
		n.crashesAcked = 0
	}
	if v.CrashesAt == n.crashesVersion && !v.Full {
		return
	}
	if n.views < warmUpViews {
		n.crashesVersion = 0 // requests the list again
		n.options.Crashes.KeepBesides(v.Crashes)
		return
	}
	n.crashesVersion = v.CrashesAt
	n.options.Crashes.Keep(v.Crashes)
}

// applyLimits merges the rate limits of servers that a hub sends. A hub that has just begun
// to answer is sent all of this host's again.
func (n *Node) applyLimits(v wheelgauge.View, acked uint64) {
	n.options.Limits.Merge(v.Limits)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limitsAcked, n.limitsVersion = acked, v.LimitsAt
	if v.Full {
		n.limitsAcked = 0
	}
}

// unpack returns the loads of a view with the names that the hub's numbers stand for.
func (n *Node) unpack(v wheelgauge.View) []wheelgauge.ServerEntry {
	for number, name := range v.Names {
		n.names[number] = name
	}
	maps.Copy(n.models, v.Models)
	out := make([]wheelgauge.ServerEntry, 0, len(v.Loads))
	for _, l := range v.Loads {
		if name, ok := n.names[l.Number()]; ok {
			out = append(out, l.Entry(name, n.models[l.Number()]))
		}
	}
	return out
}

// applyServers puts entries into the server table; the lock is held.
func (n *Node) applyServers(entries []wheelgauge.ServerEntry) {
	now := n.options.Clock.Now()
	for _, e := range entries {
		s := n.servers[e.Server]
		if s == nil {
			s = &ServerState{}
			n.servers[e.Server] = s
		}
		if s.Known && !s.Alive && e.Alive {
			s.Since = now
		}
		s.ServerEntry, s.Known = e, true
		s.Reported++
	}
}

// exchange sends this region's summary to the others while this host is the region's
// hub.
func (n *Node) exchange(ctx context.Context, c *catalog.Catalog) {
	n.mu.RLock()
	isHub := n.hubAddress == ""
	n.mu.RUnlock()
	if isHub {
		Exchange(ctx, n.hub, c, n.options.Client)
	}
}

// Exchange sends a hub's summary to one hub of each other region.
func Exchange(ctx context.Context, hub *Hub, c *catalog.Catalog, client *peerhttp.Client) {
	summary := hub.Summary()
	var group errgroup.Group
	for _, region := range c.Regions() {
		if region == hub.region {
			continue
		}
		group.Go(func() error {
			exchangeRegion(ctx, hub, c, client, region, summary)
			return nil
		})
	}
	_ = group.Wait() // an unreachable region expires by itself
}

func exchangeRegion(ctx context.Context, hub *Hub, c *catalog.Catalog, client *peerhttp.Client, region string, summary wheelgauge.RegionSummary) {
	for _, h := range c.Hosts(region) {
		if h.Store == "" {
			continue
		}
		var theirs wheelgauge.RegionSummary
		if err := client.Call(ctx, http.MethodPost, h.Store, PathSummary, summary, &theirs); err == nil {
			hub.TakeRegion(theirs)
			return
		}
	}
}
