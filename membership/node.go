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
	// retryBetter is how many intervals pass before a better hub is tried again.
	retryBetter = 5
	// settledViews is how many views of a hub must have come before a host that
	// it does not name counts as dead.
	settledViews = 2 * missedBeats
	// returnRamp is how long a backend server that came back takes to get its
	// whole share again: its caches are cold.
	returnRamp  = 20 * time.Second
	rampMinimum = 0.2
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
	// Poll asks a backend server for its load.
	Poll func(ctx context.Context, s *catalog.Server) (wheelgauge.LoadReport, error)
	// Asks returns the work that waits here and may go away, by pool.
	Asks func() map[string]int
	// Crashes are those that this host noted, and keeps of what all hosts did.
	Crashes *quarantine.Table
	// Limits are those that servers have named to this host, and what others heard.
	Limits *serverlimit.Table
	// Clock judges who is heard; the steady one when nil.
	Clock wheelgauge.Clock
	Log   logr.Logger
}

// Node is the member of one gateway.
type Node struct {
	options Options
	hub     *Hub

	mu      sync.RWMutex
	leaving bool
	hosts   map[string]wheelgauge.HostEntry
	servers map[string]*ServerState
	names   map[int]string
	models  map[int]string
	regions map[string]wheelgauge.RegionSummary
	viewHub uint64
	version uint64
	at      int
	beats   int
	views   int // from this hub
	// crashes is the last change of the host's own that the hub knows of, crashesAt
	// names the list held of all hosts'.
	crashes   uint64
	crashesAt uint64
	// limits and limitsAt are the same of the limits of servers.
	limits   uint64
	limitsAt uint64
	target   string

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

// Hub returns the hub that stands in while the region's store host is away.
func (n *Node) Hub() *Hub { return n.hub }

// Close stops the heartbeats and waits.
func (n *Node) Close() error {
	n.cancel()
	return <-n.done
}

// Leave says in the next heartbeats that this host takes no new work.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

func (n *Node) run(ctx context.Context) error {
	n.tick(ctx)
	return every.Interval(ctx, n.options.Interval, n.tick)
}

// tick runs the systems of one interval over the tables.
func (n *Node) tick(ctx context.Context) {
	c := n.options.Catalog()
	if c == nil {
		return
	}
	limit, cancel := context.WithTimeout(ctx, n.options.Interval)
	defer cancel()
	polled := n.poll(limit, c)
	n.beat(limit, c, polled)
	n.exchange(limit, c)
}

// assigned returns the servers of this hall that this host polls: those it is
// among the best live hosts for. A hall without live hosts is served by the region.
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
	limit, cancel := context.WithTimeout(ctx, n.options.Interval*3/4)
	defer cancel()
	load, err := n.options.Poll(limit, s)
	if err != nil {
		return wheelgauge.ServerEntry{Server: s.Name}
	}
	return wheelgauge.ServerEntry{Server: s.Name, Alive: true, Leaving: load.Leaving, Running: load.Running, Waiting: load.Waiting, Models: strings.Join(load.Models, ",")}
}

// hubs returns the addresses to try, best first: the region's stores, then
// gateways in an order that all hosts agree on. self is empty.
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

func (n *Node) beat(ctx context.Context, c *catalog.Catalog, polled []wheelgauge.ServerEntry) {
	hubs := n.hubs(c)
	n.mu.Lock()
	n.beats++
	if n.beats%retryBetter == 0 {
		n.at = 0
	}
	at := min(n.at, len(hubs)-1)
	b := wheelgauge.Heartbeat{
		Host: n.options.Host, Boot: n.options.Boot, Leaving: n.leaving, Generation: c.Generation(),
		Asks: n.options.Asks(), Servers: polled, Since: n.version, Hub: n.viewHub, CrashesAt: n.crashesAt, LimitsAt: n.limitsAt,
	}
	var told, heard uint64
	b.Crashes, told = n.options.Crashes.Since(n.crashes)
	b.Limits, heard = n.options.Limits.Heard(n.limits)
	n.mu.Unlock()
	for ; at >= 0 && at < len(hubs); at++ {
		view, err := n.send(ctx, hubs[at], b)
		if err == nil {
			n.take(view, hubs[at], at)
			n.takeCrashes(view, told)
			n.takeLimits(view, heard)
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at = min(at+1, len(hubs)-1)
	n.applyOwn(polled)
}

func (n *Node) send(ctx context.Context, address string, b wheelgauge.Heartbeat) (wheelgauge.View, error) {
	if address == "" {
		return n.hub.Beat(b), nil
	}
	limit, cancel := context.WithTimeout(ctx, n.options.Interval/2)
	defer cancel()
	var v wheelgauge.View
	err := n.options.Client.Call(limit, http.MethodPost, address, PathBeat, b, &v)
	return v, err
}

func (n *Node) take(v wheelgauge.View, hub string, at int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target != hub {
		n.options.Log.Info("Heartbeats go to another hub.", "hub", hub)
		n.target = hub
	}
	n.at, n.viewHub, n.version = at, v.Hub, v.Version
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
	n.applyOwn(n.unpack(v))
	for _, r := range v.Regions {
		n.regions[r.Region] = r
	}
}

// takeCrashes keeps what a hub tells of the crashes of all hosts. One that has just begun
// to answer knows nothing yet: it is told all again, and takes nothing back.
func (n *Node) takeCrashes(v wheelgauge.View, told uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashes = told
	if v.Full {
		n.crashes = 0
	}
	if v.CrashesAt == n.crashesAt && !v.Full {
		return
	}
	if n.views < settledViews {
		n.crashesAt = 0 // to be told once more
		n.options.Crashes.KeepBesides(v.Crashes)
		return
	}
	n.crashesAt = v.CrashesAt
	n.options.Crashes.Keep(v.Crashes)
}

// takeLimits takes what a hub tells of the limits of servers. One that has just begun to
// answer is told all again.
func (n *Node) takeLimits(v wheelgauge.View, heard uint64) {
	n.options.Limits.Merge(v.Limits)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits, n.limitsAt = heard, v.LimitsAt
	if v.Full {
		n.limits = 0
	}
}

// unpack gives loads the names that go with their numbers at the hub.
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

// applyOwn puts entries into the server table.
func (n *Node) applyOwn(entries []wheelgauge.ServerEntry) {
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

// exchange sends this region's summary to the others while this host stands in
// as hub.
func (n *Node) exchange(ctx context.Context, c *catalog.Catalog) {
	n.mu.RLock()
	mine := n.target == ""
	n.mu.RUnlock()
	if mine {
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
			exchangeOne(ctx, hub, c, client, region, summary)
			return nil
		})
	}
	_ = group.Wait() // a region that is not reached expires by itself
}

func exchangeOne(ctx context.Context, hub *Hub, c *catalog.Catalog, client *peerhttp.Client, region string, summary wheelgauge.RegionSummary) {
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
