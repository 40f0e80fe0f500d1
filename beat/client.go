// Package beat is an entry host's side of membership: it sends heartbeats to
// all stores it knows of, starting from a few seeds, and takes its news from
// one of them, the primary.
package beat

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/every"
	"wheelgauge/peerhttp"
	"wheelgauge/statefetch"
)

// Path is where stores take heartbeats.
const Path = "/v1/beat"

const (
	// callTimeout bounds one beat: several links' delay and a busy store.
	callTimeout = time.Second
	// eagerInterval and eagerTimeout hold until the host knows all it needs to
	// serve: stores that start at the same moment answer from one beat to the next.
	// After a beat without an answer the next one may take eagerPatience: a connect
	// and an answer over a long link take longer than eagerTimeout, and a host whose
	// region holds no configuration would learn of none. The one after is short
	// again, as a store that was dark hears a new connection sooner than an old one.
	eagerInterval = 100 * time.Millisecond
	eagerTimeout  = 350 * time.Millisecond
	eagerPatience = 800 * time.Millisecond
	// freshBeats is how many intervals old a store's answer may be before
	// another store becomes the primary.
	freshBeats = 3
	// secondPart times the interval passes between beats to a store of the region that
	// is not the primary: it only has to notice soon that the host is gone.
	secondPart = 2
	// mostMisses is how many calls in a row a store may fail to answer: one may be lost.
	mostMisses = 2
)

// News takes what stores tell. Its methods are called one at a time.
type News interface {
	State(s wheelgauge.FleetState)
	// SameState says that no store is known to hold a newer state.
	SameState()
	// Hosts and Regions are told what is new; partial news leave out what the
	// store may not have heard of yet.
	Hosts(hosts []wheelgauge.FleetHost, partial bool)
	Servers(list []wheelgauge.Server, asked time.Time)
	// SameServers says that the last list was still true when asked for anew.
	SameServers(asked time.Time)
	Uses(uses []wheelgauge.ServerUse)
	Regions(regions []wheelgauge.RegionUse, partial bool)
	// Crashes are those of requests to hold back, all of them unless partial.
	Crashes(crashes []wheelgauge.Crash, partial bool)
	// Reached tells how long a call to a store of a region took.
	Reached(region string, took time.Duration)
}

// CrashLog gives the crashes that the host noted after a change, and the number of the
// last change given.
type CrashLog interface {
	Since(change uint64) ([]wheelgauge.Crash, uint64)
}

// LimitLog holds the limits that servers have named.
type LimitLog interface {
	// Heard returns those that the host heard itself after a change, and the number of
	// the last change.
	Heard(change uint64) ([]wheelgauge.ServerLimit, uint64)
	// Merge takes what others heard.
	Merge(limits []wheelgauge.ServerLimit)
}

// RolloutLog tells what the host did and saw in the rollouts that are under way.
type RolloutLog interface {
	Reports() []wheelgauge.RolloutReport
	// Changes grows when all stores are to hear of it at once.
	Changes() uint64
}

// Options of a Client.
type Options struct {
	// Self tells of the host at each beat.
	Self func() wheelgauge.FleetHost
	// Report gives what the host has in flight.
	Report func() ([]wheelgauge.ServerUse, []wheelgauge.ServiceUse)
	// Crashes is told to every store, so that each knows what all hosts noted; nil
	// where none are noted.
	Crashes CrashLog
	// Limits is told to every store, and takes what the primary tells; nil where none are
	// known.
	Limits LimitLog
	// Rollouts is told to every store, so that any of them can decide how they go on; nil
	// where none are known.
	Rollouts RolloutLog
	// Seeds are peer addresses of stores.
	Seeds []string
	// Interval is that of beats to the primary, FarInterval to stores of other regions.
	Interval    time.Duration
	FarInterval time.Duration
	// Clock judges ages and what is due; the steady one when nil.
	Clock  wheelgauge.Clock
	Client *peerhttp.Client
	News   News
	Log    logr.Logger
}

// Client is a running sender of heartbeats.
type Client struct {
	options Options
	done    chan error
	cancel  context.CancelFunc
	ctx     context.Context
	group   sync.WaitGroup

	mu      sync.Mutex
	stores  map[string]*store
	primary string
	// members are the stores of the group, as one in touch told last; none before.
	members []string
	lag     lag
	// listed is set once the servers are known, listedAt when their list was
	// asked for.
	listed   bool
	listedAt time.Time
	// taking guards News: one answer at a time.
	taking sync.Mutex
	// fetcher is used by one fetch at a time.
	fetcher *statefetch.Fetcher
}

// Start begins to send.
func Start(o Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{options: o, done: make(chan error, 1), cancel: cancel, ctx: ctx, stores: map[string]*store{}, fetcher: statefetch.New(o.Client)}
	if c.options.Clock == nil {
		c.options.Clock = wheelgauge.SteadyClock{}
	}
	c.learn(o.Seeds)
	go func() { c.done <- every.Interval(ctx, min(eagerInterval, o.Interval)/2, c.tick) }()
	return c
}

func (c *Client) now() time.Time { return c.options.Clock.Now() }

// eager tells whether the host still lacks what it needs to serve; the lock is held.
func (c *Client) eager() bool { return c.lag.held.Generation == 0 || !c.listed }

// Close stops sending and waits.
func (c *Client) Close() error {
	c.cancel()
	err := <-c.done
	c.group.Wait()
	return err
}

// learn adds stores that are not known yet.
func (c *Client) learn(addresses []string) {
	for _, a := range addresses {
		if c.stores[a] == nil {
			c.stores[a] = &store{address: a}
		}
	}
}

// tick sends the beats that are due.
func (c *Client) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choosePrimary()
	now, self, rollouts := c.now(), c.options.Self(), c.rolloutChanges()
	for _, s := range c.stores {
		if s.calling || now.Before(s.due) && s.told == self && !c.hasCrashes(s) && (rollouts <= s.rollouts || !s.reached()) {
			continue
		}
		c.start(ctx, s, now)
	}
	c.follow()
}

// hasCrashes tells whether there is a crash that a store which answers was not told of: it
// is told at once, as each further server that ends is one less for all callers.
func (c *Client) hasCrashes(s *store) bool {
	if c.options.Crashes == nil || !s.reached() {
		return false
	}
	news, _ := c.options.Crashes.Since(s.crashes)
	return len(news) > 0
}

// rolloutChanges numbers what stores are to hear of rollouts at once: they wait for the last
// host.
func (c *Client) rolloutChanges() uint64 {
	if c.options.Rollouts == nil {
		return 0
	}
	return c.options.Rollouts.Changes()
}

// Now sends a beat to every store at once, as when the host is leaving.
func (c *Client) Now() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.stores {
		c.start(c.ctx, s, c.now())
	}
}

// start sends one beat; the lock is held.
func (c *Client) start(ctx context.Context, s *store, now time.Time) {
	s.calling, s.sent = true, c.interval(s)
	s.due = now.Add(s.sent)
	b := c.beat(s)
	s.told = b.Host
	timeout := callTimeout
	if c.eager() {
		s.due, timeout = now.Add(min(eagerInterval, c.options.Interval)), eagerTimeout
		if s.patient {
			timeout = eagerPatience
		}
	}
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		c.call(ctx, s, b)
	}()
}

func (c *Client) interval(s *store) time.Duration {
	switch {
	case s.region == "" || s.address == c.primary:
		return c.options.Interval
	case s.region == c.options.Self().Region:
		return min(c.options.FarInterval, secondPart*c.options.Interval)
	}
	return c.options.FarInterval
}

// beat renders what a store is told; the lock is held.
func (c *Client) beat(s *store) wheelgauge.Beat {
	b := wheelgauge.Beat{Host: c.options.Self(), Primary: s.address == c.primary, IntervalMS: c.interval(s).Milliseconds()}
	uses, totals := c.options.Report()
	b.Totals = totals
	if c.options.Crashes != nil {
		b.Crashes, s.crashesSent = c.options.Crashes.Since(s.crashes)
	}
	if c.options.Limits != nil {
		b.Limits, s.limitsSent = c.options.Limits.Heard(s.limits)
	}
	if c.options.Rollouts != nil {
		s.rollouts = c.options.Rollouts.Changes()
		b.Rollouts = c.options.Rollouts.Reports()
	}
	if b.Primary {
		b.Uses, b.Store, b.Hosts, b.Servers, b.CrashesAt, b.LimitsAt = uses, s.boot, s.hosts, s.servers, s.crashesAt, s.limitsAt
		if !c.listedAt.IsZero() {
			b.ListAgeMS = max(1, c.now().Sub(c.listedAt).Milliseconds())
		}
	}
	return b
}

func (c *Client) call(ctx context.Context, s *store, b wheelgauge.Beat) {
	asked, began := c.now(), time.Now()
	var answer wheelgauge.BeatAnswer
	err := c.options.Client.Call(ctx, http.MethodPost, s.address, Path, b, &answer)
	c.taking.Lock()
	defer c.taking.Unlock()
	if err != nil {
		c.missed(s, time.Since(began), err)
		return
	}
	answer = c.fresh(answer, asked)
	c.take(s, b, answer)
	c.options.News.Reached(answer.Region, time.Since(began))
	c.tell(b, answer, asked)
}

// fresh takes a list of servers that is older than the one in force out of an
// answer: a store that was no host's primary lately has not read it.
func (c *Client) fresh(a wheelgauge.BeatAnswer, asked time.Time) wheelgauge.BeatAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := listedAt(a, asked)
	switch {
	case a.ServersAt == 0:
	case a.Servers != nil && listed.Before(c.listedAt):
		a.Servers, a.ServersAt = nil, 0
	default:
		c.listedAt = listed
	}
	return a
}

// listedAt is when the list of an answer was asked for.
func listedAt(a wheelgauge.BeatAnswer, asked time.Time) time.Time {
	return asked.Add(-time.Duration(a.ServersAgeMS) * time.Millisecond)
}

func (c *Client) missed(s *store, took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.calling = false
	s.misses++
	s.patient = !s.patient
	if s.address == c.primary {
		c.options.Log.Info("Primary store does not answer.", "store", s.address, "took_ms", took.Milliseconds(), "generation", c.lag.held.Generation,
			"newest", c.newest(), "cause", err.Error())
	}
}

// take notes what an answer says of the store.
func (c *Client) take(s *store, b wheelgauge.Beat, a wheelgauge.BeatAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.calling, s.patient, s.every, s.misses = false, false, s.sent, 0
	s.answered, s.inTouch, s.generation = c.now(), a.InTouch, a.Generation
	s.region, s.hall = a.Region, a.Hall
	s.crashes, s.limits = s.crashesSent, s.limitsSent
	if s.boot != a.Store {
		// It has forgotten what it was told before.
		s.boot, s.hosts, s.servers, s.crashesAt, s.crashes, s.limits = a.Store, 0, 0, 0, 0, 0
	}
	if b.Primary {
		s.hosts, s.servers, s.crashesAt, s.limitsAt = a.HostsAt, a.ServersAt, a.CrashesAt, a.LimitsAt
	}
	if a.InTouch && len(a.Stores) > 0 {
		c.learn(a.Stores)
		c.forget(a.Stores)
		c.members = a.Stores
	}
	c.listed = c.listed || len(a.Servers) > 0
	if c.eager() {
		c.askPrimary()
	}
	c.noteLag()
	c.follow()
}

// askPrimary asks a primary that was just found for its news, which a host that has
// just started waits for; the lock is held.
func (c *Client) askPrimary() {
	c.choosePrimary()
	s := c.stores[c.primary]
	if s != nil && s.due.IsZero() && !s.calling && c.ctx.Err() == nil {
		c.start(c.ctx, s, c.now())
	}
}

// forget drops stores that are no members, unless they are seeds.
func (c *Client) forget(members []string) {
	for a := range c.stores {
		if !slices.Contains(members, a) && !slices.Contains(c.options.Seeds, a) {
			delete(c.stores, a)
		}
	}
}

// tell hands news on: those of the primary, and that the state is current.
func (c *Client) tell(b wheelgauge.Beat, a wheelgauge.BeatAnswer, asked time.Time) {
	n := c.options.News
	// A store that is cut off from the others does not know of what is newer.
	if a.InTouch && c.current() {
		n.SameState()
	}
	if !b.Primary {
		return
	}
	if a.Hosts != nil {
		n.Hosts(a.Hosts, a.Partial)
	}
	if a.CrashesAt != b.CrashesAt || a.Store != b.Store {
		n.Crashes(a.Crashes, a.Partial || !a.InTouch)
	}
	if c.options.Limits != nil {
		c.options.Limits.Merge(a.Limits)
	}
	listed := listedAt(a, asked)
	switch {
	case a.Servers != nil:
		n.Servers(a.Servers, listed)
	case a.ServersAt > 0:
		n.SameServers(listed)
	}
	n.Uses(a.Uses)
	n.Regions(a.Regions, a.Partial)
}
