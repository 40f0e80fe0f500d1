// Package routegate serves the requests of the routes mode: it finds the
// route, decides in which region and on which backend server a request runs,
// repeats what may be repeated, and relays answers byte for byte.
package routegate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/callerhttp"
	"wheelgauge/httpfield"
	"wheelgauge/meter"
	"wheelgauge/peerset"
	"wheelgauge/prompt"
	"wheelgauge/quarantine"
	"wheelgauge/retrybudget"
	"wheelgauge/rollout/ledger"
	"wheelgauge/rollout/tally"
	"wheelgauge/routetable"
	"wheelgauge/serverlimit"
	"wheelgauge/serverset"
)

const (
	// startupWait is how long a request waits at a host that has just started for what is
	// needed to place it: as long as stores that start with the hosts take to tell it.
	// Refused at once, callers would come back as late and have one try less.
	startupWait = 500 * time.Millisecond
	// startupWindow is how long after its start a host lets requests wait at all: one that
	// still knows nothing then is cut off, and says so at once.
	startupWindow = 1200 * time.Millisecond
	// startupRetryAfter is when a caller of a host comes back that does not know its
	// configuration or servers yet: stores tell it within some eager heartbeats.
	startupRetryAfter = 400 * time.Millisecond
	// leavingRetryAfter is when a caller of a leaving host goes to another one.
	leavingRetryAfter = time.Millisecond
	// minOverloadRetryAfter is when a caller comes back that was refused for load.
	minOverloadRetryAfter = 500 * time.Millisecond
)

// Options of a Gate.
type Options struct {
	// Region is the host's own.
	Region string
	Names  wheelgauge.HeaderNames
	// Servers are those of the region, Peers the gateways of all regions.
	Servers *serverset.Table
	Peers   *peerset.Table
	Budget  *retrybudget.Budget
	// Caps holds what workspaces may send; nil lets all through.
	Caps wheelgauge.CapLimiter
	// Clock judges ages and deadlines; the steady one when nil.
	Clock wheelgauge.Clock
	// Quarantine holds requests back that end servers; one of the gate's own when nil.
	Quarantine *quarantine.Table
	// Limits are those that servers have named; a table of the gate's own when nil.
	Limits *serverlimit.Table
	// Permits bounds what servers with a limit get; nil lets all through.
	Permits wheelgauge.Permits
	// Versions says which versions of a service get a request while it is in a rollout, Tally
	// counts how they answer; those of the gate's own, which know of none, when nil.
	Versions *ledger.Ledger
	Tally    *tally.Tally
	Meter    *meter.Meter
	Log      logr.Logger
}

// Gate is safe for concurrent use.
type Gate struct {
	options      Options
	table        atomic.Pointer[routetable.Table]
	serversKnown atomic.Bool
	// ready is closed once requests can be placed.
	ready     chan struct{}
	readyOnce sync.Once
	// waitUntil is until when requests wait for that, each for startWait at most.
	startupDeadline time.Time
	startupWait     time.Duration
	// starting is how many wait now.
	startupWaiters atomic.Int64
	// confirmed is when the configuration was last known to be the newest.
	confirmedAt     atomic.Pointer[time.Time]
	reservedHeaders map[string]bool
	successes       atomic.Uint64
	// leaving is nil while the process does not leave.
	leaving   atomic.Pointer[departure]
	durations routeDurations
	active    inFlightCalls
	waits     waitStats
	// turns are those of callers that wait for limits of servers, returns those that wait
	// until servers take work again.
	limitRetries   retrySchedules
	backoffRetries retrySchedules
}

// New returns a gate without a configuration: it refuses everything as not run.
func New(o Options) *Gate {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(time.Now)
	}
	if o.Limits == nil {
		o.Limits = serverlimit.New(time.Now)
	}
	if o.Versions == nil {
		o.Versions = ledger.New(ledger.Options{Now: time.Now})
	}
	if o.Tally == nil {
		o.Tally = tally.New()
	}
	if o.Clock == nil {
		o.Clock = wheelgauge.SteadyClock{}
	}
	return &Gate{
		options: o, reservedHeaders: reservedNames(o.Names), ready: make(chan struct{}),
		startupDeadline: time.Now().Add(startupWindow), startupWait: startupWait,
	}
}

// SetTable puts a configuration in force.
func (g *Gate) SetTable(t *routetable.Table) {
	g.table.Store(t)
	g.signalReady()
}

// signalReady lets requests go on that wait for what is needed to place them.
func (g *Gate) signalReady() {
	if g.Ready() {
		g.readyOnce.Do(func() { close(g.ready) })
	}
}

// awaitReady waits until requests can be placed, but not for long.
func (g *Gate) awaitReady(ctx context.Context) {
	wait := min(g.startupWait, time.Until(g.startupDeadline))
	if wait <= 0 || g.Ready() {
		return
	}
	g.startupWaiters.Add(1)
	defer g.startupWaiters.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Confirm tells that no newer configuration is known now.
func (g *Gate) Confirm() {
	now := g.options.Clock.Now()
	g.confirmedAt.Store(&now)
}

// configAge is how long ago the configuration was last known to be the newest;
// -1 if it never was.
func (g *Gate) configAge() time.Duration {
	at := g.confirmedAt.Load()
	if at == nil {
		return -1
	}
	return g.options.Clock.Now().Sub(*at)
}

// SetListed tells that the servers are known.
func (g *Gate) SetListed() {
	g.serversKnown.Store(true)
	g.signalReady()
}

// Ready tells whether requests can be placed.
func (g *Gate) Ready() bool { return g.table.Load() != nil && g.serversKnown.Load() }

// Table returns the configuration in force; nil when there is none.
func (g *Gate) Table() *routetable.Table { return g.table.Load() }

// Limits returns what callers may send.
func (g *Gate) Limits() wheelgauge.Limits {
	if t := g.table.Load(); t != nil {
		return t.Limits()
	}
	return wheelgauge.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Serve answers a caller's request.
func (g *Gate) Serve(ctx context.Context, r *callerhttp.Request) { g.serve(ctx, r, false) }

// ServePeer answers a request that a gateway of another region forwarded. It
// is never forwarded again.
func (g *Gate) ServePeer(ctx context.Context, r *callerhttp.Request) { g.serve(ctx, r, true) }

func (g *Gate) serve(ctx context.Context, r *callerhttp.Request, forwarded bool) {
	c := g.newCall(r, forwarded)
	g.awaitReady(ctx)
	if apiErr := g.admit(c); apiErr != nil {
		c.refuse(apiErr)
	} else {
		g.runTracked(ctx, c)
	}
	c.close()
}

// runTracked runs a request, which may be ended from outside.
func (g *Gate) runTracked(ctx context.Context, c *call) {
	g.active.add(c)
	defer g.active.remove(c)
	c.run(ctx)
}

// newCall gathers what decides about a request.
func (g *Gate) newCall(r *callerhttp.Request, forwarded bool) *call {
	h, n := r.Header(), g.options.Names
	c := &call{gate: g, request: r, forwarded: forwarded, id: string(httpfield.Value(h, n.RequestID)), started: r.Arrived()}
	c.suspendedBefore = g.suspendedFor()
	c.prompt = prompt.Parse(string(httpfield.Value(h, n.Prompt)), string(httpfield.Value(h, n.Tokens)), string(httpfield.Value(h, n.Hint)))
	c.lastEventID = string(httpfield.Value(h, n.LastEvent))
	if timeout, ok := parseTimeout(string(httpfield.Value(h, n.Deadline))); ok {
		c.deadline = r.Arrived().Add(timeout)
	}
	return c
}

// admit finds the route, or says why the request is refused.
func (g *Gate) admit(c *call) *wheelgauge.Error {
	t := g.table.Load()
	if t == nil {
		return refusal(wheelgauge.ReasonNoConfiguration, http.StatusServiceUnavailable, "no configuration is known yet").WithRetryAfter(startupRetryAfter)
	}
	c.version = t.Version()
	h := c.request.Header()
	c.route = t.Match(string(h.Host()), string(h.RequestURI()))
	if c.route == nil {
		return refusal(wheelgauge.ReasonNotFound, http.StatusNotFound, "no route for this host and path")
	}
	if apiErr := g.identify(c, t); apiErr != nil {
		return apiErr
	}
	c.rank = t.Rank(c.workspace, c.route)
	if c.noCommonHome() {
		return refusal(wheelgauge.ReasonResidency, http.StatusMisdirectedRequest, "route and workspace have no home in common")
	}
	if g.mayOutlastProcess(c.route.Name, c.route.Timeout, 0) {
		return leavingRefusal()
	}
	routeDeadline := c.started.Add(c.route.Timeout)
	if c.deadline.IsZero() || routeDeadline.Before(c.deadline) {
		c.deadline = routeDeadline
	}
	if !g.serversKnown.Load() {
		return refusal(wheelgauge.ReasonNoServer, http.StatusServiceUnavailable, "no servers are known yet").WithRetryAfter(startupRetryAfter)
	}
	c.service = routetable.Pick(c.route)
	return nil
}

func leavingRefusal() *wheelgauge.Error {
	return refusal(wheelgauge.ReasonDraining, http.StatusServiceUnavailable, "this host is leaving").WithRetryAfter(leavingRetryAfter)
}

func refusal(reason wheelgauge.Reason, status int, detail string) *wheelgauge.Error {
	return wheelgauge.NewError(reason, wheelgauge.OutcomeNotRun, status, detail)
}
