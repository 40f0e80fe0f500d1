// Package beat is an entry host's side of membership: it sends heartbeats to
// all stores it knows of, starting from a few seeds, and takes updates from one
// of them, the primary.
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

// Path is where stores receive heartbeats.
const Path = "/v1/beat"

const (
	// callTimeout bounds one heartbeat: the delay of several links and a busy store.
	callTimeout = time.Second
	// startupInterval and startupTimeout apply until the host knows all it needs to
	// serve: stores that start at the same time become ready between two heartbeats.
	// After a heartbeat without an answer the next one may take startupLongTimeout: a
	// connect and an answer over a long link take longer than startupTimeout, and a host
	// whose region holds no configuration would never get one. The one after that is short
	// again, as a store that was unreachable answers a new connection sooner than an old one.
	startupInterval    = 100 * time.Millisecond
	startupTimeout     = 350 * time.Millisecond
	startupLongTimeout = 800 * time.Millisecond
	// maxAnswerAge is the number of intervals after which a store without a newer
	// answer counts as unreachable, and another one becomes the primary.
	maxAnswerAge = 3
	// secondaryFactor times the interval passes between heartbeats to a store of the
	// region that is not the primary: it only has to detect soon that the host is dead.
	secondaryFactor = 2
	// maxMisses is the number of consecutive unanswered calls after which a store counts
	// as unreachable: a single one may be lost.
	maxMisses = 2
)

// News receives updates from stores. Its methods are called one at a time.
type News interface {
	State(s wheelgauge.FleetState)
	// SameState reports that no store is known to hold a newer state.
	SameState()
	// Hosts and Regions receive what changed; a partial update may lack what the store
	// has not received yet.
	Hosts(hosts []wheelgauge.FleetHost, partial bool)
	Servers(list []wheelgauge.Server, requestedAt time.Time)
	// SameServers reports that the last list was unchanged when requested again.
	SameServers(requestedAt time.Time)
	Uses(uses []wheelgauge.ServerUse)
	Regions(regions []wheelgauge.RegionUse, partial bool)
	// Crashes receives the crashes by which requests are quarantined, all of them unless
	// partial.
	Crashes(crashes []wheelgauge.Crash, partial bool)
	// Reached receives the duration of an answered call to a store of a region.
	Reached(region string, took time.Duration)
}

// CrashSource returns the crashes that the host recorded after a change, and the number
// of the last change returned.
type CrashSource interface {
	Since(change uint64) ([]wheelgauge.Crash, uint64)
}

// LimitTable holds the rate limits that servers have announced.
type LimitTable interface {
	// Heard returns those that this host received itself after a change, and the number of
	// the last change.
	Heard(change uint64) ([]wheelgauge.ServerLimit, uint64)
	// Merge adds those that others received.
	Merge(limits []wheelgauge.ServerLimit)
}

// RolloutLog returns what the host did and observed in the rollouts in progress.
type RolloutLog interface {
	Reports() []wheelgauge.RolloutReport
	// Changes grows with each change that must be sent to all stores at once.
	Changes() uint64
}

// Options of a Client.
type Options struct {
	// Self describes the host; called for each heartbeat.
	Self func() wheelgauge.FleetHost
	// Report returns what the host has in flight.
	Report func() ([]wheelgauge.ServerUse, []wheelgauge.ServiceUse)
	// Crashes is sent to every store, so that each knows what all hosts recorded; nil
	// where none are recorded.
	Crashes CrashSource
	// Limits is sent to every store, and merges those sent by the primary; nil where none
	// are known.
	Limits LimitTable
	// Rollouts is sent to every store, so that any of them can decide on the next step; nil
	// where none are known.
	Rollouts RolloutLog
	// Seeds are peer addresses of stores.
	Seeds []string
	// Interval is the time between heartbeats to the primary, FarInterval to stores of
	// other regions.
	Interval    time.Duration
	FarInterval time.Duration
	// Clock is used for ages and due times; the monotonic clock when nil.
	Clock  wheelgauge.Clock
	Client *peerhttp.Client
	News   News
	Log    logr.Logger
}

// Client sends heartbeats until it is closed.
type Client struct {
	options Options
	done    chan error
	cancel  context.CancelFunc
	ctx     context.Context
	group   sync.WaitGroup

	mu      sync.Mutex
	stores  map[string]*store
	primary string
	// members are the addresses of the group's stores, as last reported by a store that is
	// connected to the others; nil until then.
	members []string
	state   stateSync
	// serversKnown is set once a list of servers has arrived; listTime is when the
	// current list was requested.
	serversKnown bool
	listTime     time.Time
	// deliverMu serialises calls of News: one answer at a time.
	deliverMu sync.Mutex
	// fetcher is used by one fetch at a time.
	fetcher *statefetch.Fetcher
}

// Start begins to send heartbeats.
func Start(o Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{options: o, done: make(chan error, 1), cancel: cancel, ctx: ctx, stores: map[string]*store{}, fetcher: statefetch.New(o.Client)}
	if c.options.Clock == nil {
		c.options.Clock = wheelgauge.SteadyClock{}
	}
	c.addStores(o.Seeds)
	go func() { c.done <- every.Interval(ctx, min(startupInterval, o.Interval)/2, c.tick) }()
	return c
}

func (c *Client) now() time.Time { return c.options.Clock.Now() }

// startingUp reports whether the host still lacks what it needs to serve; the lock is held.
func (c *Client) startingUp() bool { return c.state.held.Generation == 0 || !c.serversKnown }

// Close stops sending and waits for calls in flight.
func (c *Client) Close() error {
	c.cancel()
	err := <-c.done
	c.group.Wait()
	return err
}

// addStores adds stores that are not known yet.
func (c *Client) addStores(addresses []string) {
	for _, a := range addresses {
		if c.stores[a] == nil {
			c.stores[a] = &store{address: a}
		}
	}
}

// tick sends the heartbeats that are due.
func (c *Client) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choosePrimary()
	now, self, rollouts := c.now(), c.options.Self(), c.rolloutVersion()
	for _, s := range c.stores {
		if s.inFlight || now.Before(s.dueAt) && s.sentHost == self && !c.hasUnsentCrashes(s) && (rollouts <= s.rolloutsSent || !s.responding()) {
			continue
		}
		c.send(ctx, s, now)
	}
	c.startFetch()
}

// hasUnsentCrashes reports whether there is a crash that was not sent to a store which
// responds. It is sent at once, as each further server that crashes is lost to all callers.
func (c *Client) hasUnsentCrashes(s *store) bool {
	if c.options.Crashes == nil || !s.responding() {
		return false
	}
	unsent, _ := c.options.Crashes.Since(s.crashesAcked)
	return len(unsent) > 0
}

// rolloutVersion numbers the rollout changes that must be sent at once: stores wait for the
// last host.
func (c *Client) rolloutVersion() uint64 {
	if c.options.Rollouts == nil {
		return 0
	}
	return c.options.Rollouts.Changes()
}

// Now sends a heartbeat to every store at once, as when the host is leaving.
func (c *Client) Now() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.stores {
		c.send(c.ctx, s, c.now())
	}
}

// send sends one heartbeat in the background; the lock is held.
func (c *Client) send(ctx context.Context, s *store, now time.Time) {
	s.inFlight, s.sentInterval = true, c.interval(s)
	s.dueAt = now.Add(s.sentInterval)
	b := c.heartbeat(s)
	s.sentHost = b.Host
	timeout := callTimeout
	if c.startingUp() {
		s.dueAt, timeout = now.Add(min(startupInterval, c.options.Interval)), startupTimeout
		if s.longTimeout {
			timeout = startupLongTimeout
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
		return min(c.options.FarInterval, secondaryFactor*c.options.Interval)
	}
	return c.options.FarInterval
}

// heartbeat builds the message for a store; the lock is held.
func (c *Client) heartbeat(s *store) wheelgauge.Beat {
	b := wheelgauge.Beat{Host: c.options.Self(), Primary: s.address == c.primary, IntervalMS: c.interval(s).Milliseconds()}
	uses, totals := c.options.Report()
	b.Totals = totals
	if c.options.Crashes != nil {
		b.Crashes, s.crashesSent = c.options.Crashes.Since(s.crashesAcked)
	}
	if c.options.Limits != nil {
		b.Limits, s.limitsSent = c.options.Limits.Heard(s.limitsAcked)
	}
	if c.options.Rollouts != nil {
		s.rolloutsSent = c.options.Rollouts.Changes()
		b.Rollouts = c.options.Rollouts.Reports()
	}
	if b.Primary {
		b.Uses, b.Store, b.Hosts, b.Servers, b.CrashesAt, b.LimitsAt = uses, s.boot, s.hostsVersion, s.serversVersion, s.crashesVersion, s.limitsVersion
		if !c.listTime.IsZero() {
			b.ListAgeMS = max(1, c.now().Sub(c.listTime).Milliseconds())
		}
	}
	return b
}

func (c *Client) call(ctx context.Context, s *store, b wheelgauge.Beat) {
	sentAt, began := c.now(), time.Now()
	var answer wheelgauge.BeatAnswer
	err := c.options.Client.Call(ctx, http.MethodPost, s.address, Path, b, &answer)
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if err != nil {
		c.recordMiss(s, time.Since(began), err)
		return
	}
	answer = c.dropOlderList(answer, sentAt)
	c.recordAnswer(s, b, answer)
	c.options.News.Reached(answer.Region, time.Since(began))
	c.deliver(b, answer, sentAt)
}

// dropOlderList removes a list of servers from an answer if it is older than the current
// one: a store that was not the primary of any host lately may hold an old list.
func (c *Client) dropOlderList(a wheelgauge.BeatAnswer, sentAt time.Time) wheelgauge.BeatAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	requestedAt := listTime(a, sentAt)
	switch {
	case a.ServersAt == 0:
	case a.Servers != nil && requestedAt.Before(c.listTime):
		a.Servers, a.ServersAt = nil, 0
	default:
		c.listTime = requestedAt
	}
	return a
}

// listTime returns when the list of an answer was requested.
func listTime(a wheelgauge.BeatAnswer, sentAt time.Time) time.Time {
	return sentAt.Add(-time.Duration(a.ServersAgeMS) * time.Millisecond)
}

func (c *Client) recordMiss(s *store, took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.inFlight = false
	s.misses++
	s.longTimeout = !s.longTimeout
	if s.address == c.primary {
		c.options.Log.Info("Primary store does not answer.", "store", s.address, "took_ms", took.Milliseconds(), "generation", c.state.held.Generation,
			"newest", c.newest(), "cause", err.Error())
	}
}

// recordAnswer updates the store from its answer.
func (c *Client) recordAnswer(s *store, b wheelgauge.Beat, a wheelgauge.BeatAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.inFlight, s.longTimeout, s.answeredInterval, s.misses = false, false, s.sentInterval, 0
	s.answeredAt, s.connected, s.generation = c.now(), a.InTouch, a.Generation
	s.region, s.hall = a.Region, a.Hall
	s.crashesAcked, s.limitsAcked = s.crashesSent, s.limitsSent
	if s.boot != a.Store {
		// The store has restarted and lost what was sent to it before.
		s.boot, s.hostsVersion, s.serversVersion, s.crashesVersion, s.crashesAcked, s.limitsAcked = a.Store, 0, 0, 0, 0, 0
	}
	if b.Primary {
		s.hostsVersion, s.serversVersion, s.crashesVersion, s.limitsVersion = a.HostsAt, a.ServersAt, a.CrashesAt, a.LimitsAt
	}
	if a.InTouch && len(a.Stores) > 0 {
		c.addStores(a.Stores)
		c.removeStores(a.Stores)
		c.members = a.Stores
	}
	c.serversKnown = c.serversKnown || len(a.Servers) > 0
	if c.startingUp() {
		c.contactPrimary()
	}
	c.updateLag()
	c.startFetch()
}

// contactPrimary sends a heartbeat to a newly chosen primary at once, as a host that has
// just started waits for its updates; the lock is held.
func (c *Client) contactPrimary() {
	c.choosePrimary()
	s := c.stores[c.primary]
	if s != nil && s.dueAt.IsZero() && !s.inFlight && c.ctx.Err() == nil {
		c.send(c.ctx, s, c.now())
	}
}

// removeStores drops stores that are not members, unless they are seeds.
func (c *Client) removeStores(members []string) {
	for a := range c.stores {
		if !slices.Contains(members, a) && !slices.Contains(c.options.Seeds, a) {
			delete(c.stores, a)
		}
	}
}

// deliver passes an answer to News: the updates of the primary, and that the state is
// current.
func (c *Client) deliver(b wheelgauge.Beat, a wheelgauge.BeatAnswer, sentAt time.Time) {
	n := c.options.News
	// A store that is cut off from the others may not know of a newer state.
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
	requestedAt := listTime(a, sentAt)
	switch {
	case a.Servers != nil:
		n.Servers(a.Servers, requestedAt)
	case a.ServersAt > 0:
		n.SameServers(requestedAt)
	}
	n.Uses(a.Uses)
	n.Regions(a.Regions, a.Partial)
}
