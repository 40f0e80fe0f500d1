// Package heartbeat is an entry host's side of membership: it sends heartbeats to
// all stores it knows of, starting from a few seeds, and takes updates from one
// of them, the primary.
package heartbeat

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/changefetch"
	"wheelgauge/peerhttp"
	"wheelgauge/periodic"
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

// Receiver receives updates from stores. Its methods are called one at a time.
type Receiver interface {
	// RouteRows takes rows of the configuration. They are in force only with the State that
	// follows the last of them.
	RouteRows(rows []wheelgauge.TableRow)
	State(s wheelgauge.ConfigHead)
	// Called when no store is known to hold a newer state.
	StateCurrent()
	// HostRows takes rows of the table of entry hosts.
	HostRows(rows []wheelgauge.TableRow)
	// HostsCurrent records that the table of entry hosts was at a time that of a store which was
	// connected to the others, and whether each live host had had time to reach that store.
	HostsCurrent(at time.Time, complete bool)
	// HallOrders takes the recent orders for halls, as of now.
	HallOrders(orders []wheelgauge.HallOrder)
	// ColdServers takes the servers that said themselves that they are cold, as of now.
	ColdServers(servers []wheelgauge.ColdServer)
	// ServerRows takes rows of a region's list of servers, as requested at a time.
	ServerRows(region string, rows []wheelgauge.TableRow, at ListTime)
	// ServersCurrent records that the list of the host's region is complete and was unchanged when
	// requested at a time.
	ServersCurrent(requestedAt time.Time)
	ServerUsage(uses []wheelgauge.ServerUsage)
	RegionUsage(regions []wheelgauge.RegionUsage, partial bool)
	// Receives the crashes by which requests are quarantined, all of them unless
	// partial.
	Crashes(crashes []wheelgauge.Crash, partial bool)
	// Receives the duration of an answered call to a store of a region.
	RoundTrip(region string, took time.Duration)
}

// ListTime is when a list of servers was requested, by the host's clock and by that of the list.
type ListTime struct {
	RequestedAt time.Time
	ClockMS     int64
	// Clock identifies the clock of the list; 0 while that is not known.
	Clock uint64
}

// CrashSource returns the crashes that the host recorded after a change, and the number
// of the last change returned.
type CrashSource interface {
	Since(change uint64) ([]wheelgauge.Crash, uint64)
}

// LimitTable holds the rate limits that servers have announced.
type LimitTable interface {
	// LocalSince returns those that this host received itself after a change, and the number of
	// the last change.
	LocalSince(change uint64) ([]wheelgauge.ServerLimit, uint64)
	// Merge adds those that others received.
	Merge(limits []wheelgauge.ServerLimit)
}

// PromiseTable holds which refused callers were told when to return.
type PromiseTable interface {
	// LocalSince returns those promised by this host after a change, and the number of the last
	// change returned.
	LocalSince(change uint64) (wheelgauge.ReturnPromises, uint64)
	// Merge adds those promised by others.
	Merge(promises wheelgauge.ReturnPromises)
}

// RolloutSource returns what the host did and observed in the rollouts in progress.
type RolloutSource interface {
	Reports() []wheelgauge.RolloutReport
	// Changes grows with each change that must be sent to all stores at once.
	Changes() uint64
}

// Options of a Client.
type Options struct {
	// Self describes the host; called for each heartbeat.
	Self func() wheelgauge.FleetHost
	// Usage returns what the host has in flight.
	Usage func() ([]wheelgauge.ServerUsage, []wheelgauge.ServiceUsage)
	// Crashes is sent to every store, so that each knows what all hosts recorded; nil
	// where none are recorded.
	Crashes CrashSource
	// Limits is sent to every store, and merges those sent by the primary; nil where none
	// are known.
	Limits LimitTable
	// Promises is sent to the primary, and merges those that it sends; nil where none are made.
	Promises PromiseTable
	// Rollouts is sent to every store, so that any of them can decide on the next step; nil
	// where none are known.
	Rollouts RolloutSource
	// Seeds are peer addresses of stores.
	Seeds []string
	// Interval is the time between heartbeats to the primary, FarInterval to stores of
	// other regions.
	Interval    time.Duration
	FarInterval time.Duration
	// Clock is used for ages and due times; the monotonic clock when nil.
	Clock    wheelgauge.Clock
	Client   *peerhttp.Client
	Receiver Receiver
	Log      logr.Logger
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
	tables  tableSync
	// crashesIndex is the highest index of the replicated log up to which a list of crashes was
	// complete.
	crashesIndex uint64
	// deliverMu serialises calls of the Receiver: one answer at a time.
	deliverMu sync.Mutex
}

// Start begins to send heartbeats.
func Start(o Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{options: o, done: make(chan error, 1), cancel: cancel, ctx: ctx, stores: map[string]*store{}}
	c.state.fetcher, c.tables.fetcher = changefetch.New(o.Client), changefetch.New(o.Client)
	if c.options.Clock == nil {
		c.options.Clock = wheelgauge.MonotonicClock{}
	}
	c.addStores(o.Seeds)
	go func() { c.done <- periodic.Run(ctx, min(startupInterval, o.Interval)/2, c.tick) }()
	return c
}

func (c *Client) now() time.Time { return c.options.Clock.Now() }

// startingUp reports whether the host still lacks what it needs to serve; the lock is held.
func (c *Client) startingUp() bool { return c.state.held.Generation == 0 || !c.tables.serversKnown }

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

// SendNow sends a heartbeat to every store at once, as when the host is leaving.
func (c *Client) SendNow() {
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
	hb := c.heartbeat(s)
	s.sentHost = hb.Host
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
		c.call(ctx, s, hb)
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
func (c *Client) heartbeat(s *store) wheelgauge.FleetHeartbeat {
	hb := wheelgauge.FleetHeartbeat{Host: c.options.Self(), Primary: s.address == c.primary, IntervalMS: c.interval(s).Milliseconds()}
	uses, totals := c.options.Usage()
	hb.ServiceTotals = totals
	if c.options.Crashes != nil {
		hb.Crashes, s.crashesSent = c.options.Crashes.Since(s.crashesAcked)
	}
	if c.options.Limits != nil {
		hb.Limits, s.limitsSent = c.options.Limits.LocalSince(s.limitsAcked)
	}
	if c.options.Rollouts != nil {
		s.rolloutsSent = c.options.Rollouts.Changes()
		hb.Rollouts = c.options.Rollouts.Reports()
	}
	if hb.Primary {
		hb.ServerUsage, hb.StoreBoot, hb.CrashesVersion, hb.LimitsVersion = uses, s.boot, s.crashesVersion, s.limitsVersion
		if c.options.Promises != nil {
			hb.Promises, s.promisesSent = c.options.Promises.LocalSince(s.promisesAcked)
			hb.PromisesVersion = max(1, s.promisesVersion) // 1: none yet, asks for all
		}
	}
	return hb
}

func (c *Client) call(ctx context.Context, s *store, hb wheelgauge.FleetHeartbeat) {
	sentAt, began := c.now(), time.Now()
	var answer wheelgauge.FleetHeartbeatResponse
	err := c.options.Client.Call(ctx, http.MethodPost, s.address, Path, hb, &answer)
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if err != nil {
		c.recordMiss(s, time.Since(began), err)
		return
	}
	c.recordAnswer(s, hb, answer)
	c.options.Receiver.RoundTrip(answer.Region, time.Since(began))
	c.deliver(s.address, hb, answer, sentAt)
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
func (c *Client) recordAnswer(s *store, hb wheelgauge.FleetHeartbeat, a wheelgauge.FleetHeartbeatResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.inFlight, s.longTimeout, s.answeredInterval, s.misses = false, false, s.sentInterval, 0
	s.answeredAt, s.connected, s.generation = c.now(), a.Connected, a.Generation
	s.region, s.hall = a.Region, a.Hall
	s.crashesAcked, s.limitsAcked = s.crashesSent, s.limitsSent
	if hb.Primary {
		s.promisesAcked = s.promisesSent // other heartbeats carry none
	}
	if s.boot != a.StoreBoot {
		// The store has restarted and lost what was sent to it before.
		s.boot, s.crashesVersion, s.crashesAcked, s.limitsAcked = a.StoreBoot, 0, 0, 0
		s.promisesVersion, s.promisesAcked = 0, 0
	}
	if hb.Primary {
		s.crashesVersion, s.limitsVersion = a.CrashesVersion, a.LimitsVersion
		s.promisesVersion = a.PromisesVersion
		if c.crashesBehind(a) {
			s.crashesVersion = 0 // asks for the list again
		}
	}
	if a.Connected && len(a.StoreAddresses) > 0 {
		c.addStores(a.StoreAddresses)
		c.removeStores(a.StoreAddresses)
		c.members = a.StoreAddresses
	}
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

// deliver passes the answer of a store to the Receiver: the updates of the primary, and that the state
// is current.
func (c *Client) deliver(address string, hb wheelgauge.FleetHeartbeat, a wheelgauge.FleetHeartbeatResponse, sentAt time.Time) {
	receiver := c.options.Receiver
	// A store that is cut off from the others may not know of a newer state.
	if a.Connected && c.current() {
		receiver.StateCurrent()
	}
	if len(a.HallOrders) > 0 {
		receiver.HallOrders(a.HallOrders)
	}
	if len(a.ColdServers) > 0 {
		receiver.ColdServers(a.ColdServers)
	}
	if !hb.Primary {
		return
	}
	if a.CrashesVersion != hb.CrashesVersion || a.StoreBoot != hb.StoreBoot {
		receiver.Crashes(a.Crashes, c.crashesPartial(a))
	}
	if c.options.Limits != nil {
		c.options.Limits.Merge(a.Limits)
	}
	if c.options.Promises != nil {
		c.options.Promises.Merge(a.Promises)
	}
	c.compareTables(address, hb.Host.Region, a, sentAt)
	receiver.ServerUsage(a.ServerUsage)
	receiver.RegionUsage(a.Regions, a.Partial)
}

// crashesBehind reports whether a store's list of crashes lacks entries of the replicated log that an
// earlier list had: a crash that is missing there was not released. The lock is held.
func (c *Client) crashesBehind(a wheelgauge.FleetHeartbeatResponse) bool {
	return a.CrashesIndex > 0 && a.CrashesIndex < c.crashesIndex
}

// crashesPartial reports whether a store's list of crashes may lack some, and records up to where a
// complete one reaches.
func (c *Client) crashesPartial(a wheelgauge.FleetHeartbeatResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Partial || !a.Connected || c.crashesBehind(a) {
		return true
	}
	c.crashesIndex = max(c.crashesIndex, a.CrashesIndex)
	return false
}
