// Package routegate serves requests in the routes mode. It matches the route, chooses the
// region and the backend server, retries what may be retried, and relays answers byte for
// byte.
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
	"wheelgauge/configfloor"
	"wheelgauge/httpfield"
	"wheelgauge/meter"
	"wheelgauge/peerset"
	"wheelgauge/prompt"
	"wheelgauge/quarantine"
	"wheelgauge/reachability"
	"wheelgauge/retrybudget"
	"wheelgauge/rollout/selector"
	"wheelgauge/rollout/tally"
	"wheelgauge/routehistory"
	"wheelgauge/routetable"
	"wheelgauge/serverlimit"
	"wheelgauge/serverset"
)

const (
	// startupWait is the longest that a request waits at a host that has just started for the
	// data needed to place it. Stores that start together with the hosts deliver it within
	// that time; a caller refused at once would come back no earlier and have one attempt
	// less.
	startupWait = 500 * time.Millisecond
	// startupWindow is how long after its start a host lets requests wait at all. A host
	// without configuration or servers by then is cut off from the stores, and refuses at
	// once.
	startupWindow = 1200 * time.Millisecond
	// startupRetryAfter is the Retry-After of a host that has no configuration or servers yet.
	// Stores deliver them within a few of the frequent heartbeats sent after a start.
	startupRetryAfter = 400 * time.Millisecond
	// leavingRetryAfter sends callers of a leaving host to another host at once.
	leavingRetryAfter = time.Millisecond
	// minOverloadRetryAfter is the shortest Retry-After of a request refused for load.
	minOverloadRetryAfter = 500 * time.Millisecond
)

// Options configure a Gate.
type Options struct {
	// Region is the region of the host.
	Region string
	Names  wheelgauge.HeaderNames
	// Servers are the backend servers of the region, Peers the gateways of all regions.
	Servers *serverset.Table
	Peers   *peerset.Table
	Budget  *retrybudget.Budget
	// Reach tells whether this host reaches servers; a tracker private to the gate when nil.
	Reach *reachability.Tracker
	// Credits limit what is forwarded to other regions; nil limits nothing, and no forwarded
	// request is turned back.
	Credits wheelgauge.ForwardCredits
	// Caps enforces the rate caps of workspaces; nil enforces none.
	Caps wheelgauge.CapLimiter
	// Clock measures ages and deadlines; the monotonic clock, which stops while the host is
	// suspended, when nil.
	Clock wheelgauge.Clock
	// Quarantine refuses requests that crash servers; a table private to the gate when nil.
	Quarantine *quarantine.Table
	// Limits are the request rates announced by servers; a table private to the gate when nil.
	Limits *serverlimit.Table
	// Permits enforces the limits of servers across hosts; nil enforces none.
	Permits wheelgauge.PermitSource
	// Room holds requests until there is room for them; nil refuses them at once.
	Room wheelgauge.WaitingRoom
	// Shares divides scarce room among workspaces; nil treats all alike.
	Shares wheelgauge.WorkspaceShares
	// Lookup asks stores for single routes and servers while the tables held are old; nil uses
	// these.
	Lookup wheelgauge.Lookup
	// Returns tells refused callers when to return; nil tells all of a route the same.
	Returns wheelgauge.ReturnSchedule
	// Origins holds what began streams, for callers that take them up again; a gate without it
	// knows of none but those in progress.
	Origins wheelgauge.StreamOrigins
	// Versions chooses the service versions that may get a request during a rollout, and Tally
	// counts how they answer. When nil, the gate uses empty ones of its own.
	Versions *selector.Selector
	Tally    *tally.Tally
	Meter    *meter.Meter
	Log      logr.Logger
}

// Gate routes requests to backend servers and gateways of other regions. It is safe for
// concurrent use.
type Gate struct {
	options Options
	table   atomic.Pointer[routetable.Table]
	// floor is the oldest version by which requests may still be judged.
	floor *configfloor.Floor
	// routes are the routes that were in force lately.
	routes       *routehistory.History
	serversKnown atomic.Bool
	// ready is closed once requests can be placed.
	ready     chan struct{}
	readyOnce sync.Once
	// unframed are the services that answer without marking the end.
	unframed unframedServices
	// unproven are runs of theirs that may have crashed the server.
	unproven unprovenRuns
	// startupDeadline ends waiting for ready; each request waits for startupWait at most.
	startupDeadline time.Time
	startupWait     time.Duration
	// startupWaiters is the number of requests that wait for ready now.
	startupWaiters atomic.Int64
	// confirmedAt is when the configuration was last known to be the newest.
	confirmedAt     atomic.Pointer[time.Time]
	reservedHeaders map[string]bool
	endToEndHeaders map[string]bool
	successes       atomic.Uint64
	// leaving is nil unless the process is shutting down.
	leaving   atomic.Pointer[departure]
	durations routeDurations
	active    inFlightCalls
	waits     waitStats
	creditLog creditLog
	// rejections samples the log of requests that servers rejected.
	rejections rejectionLog
	// weights are computed once for each configuration.
	weights atomic.Pointer[shareWeights]
	// limitRetries spreads the return of callers refused because of server limits,
	// backoffRetries of those refused while servers back off.
	limitRetries   retrySchedules
	backoffRetries retrySchedules
	// returnsLogged samples the log of what refused callers are told.
	returnsLogged atomic.Uint64
}

// New returns a gate without a configuration. It refuses every request as not run.
func New(o Options) *Gate {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(time.Now)
	}
	if o.Reach == nil {
		o.Reach = reachability.New(time.Now)
	}
	if o.Limits == nil {
		o.Limits = serverlimit.New(time.Now)
	}
	if o.Versions == nil {
		o.Versions = selector.New(selector.Options{Now: time.Now})
	}
	if o.Tally == nil {
		o.Tally = tally.New()
	}
	if o.Clock == nil {
		o.Clock = wheelgauge.MonotonicClock{}
	}
	return &Gate{
		options: o, floor: configfloor.New(), routes: routehistory.New(o.Clock.Now), reservedHeaders: reservedNames(o.Names), endToEndHeaders: endToEndNames(o.Names), ready: make(chan struct{}),
		startupDeadline: time.Now().Add(startupWindow), startupWait: startupWait,
	}
}

// SetTable applies a configuration, which must not be older than the one before.
func (g *Gate) SetTable(t *routetable.Table) {
	g.routes.Add(t)
	g.table.Store(t)
	g.floor.Hold(t.Version())
	g.signalReady()
}

// signalReady releases requests that wait at startup once they can be placed.
func (g *Gate) signalReady() {
	if g.Ready() {
		g.readyOnce.Do(func() { close(g.ready) })
	}
}

// awaitReady waits until requests can be placed, for startupWait at most.
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

// ConfirmConfig records that no newer configuration is known now.
func (g *Gate) ConfirmConfig() {
	now := g.options.Clock.Now()
	g.confirmedAt.Store(&now)
}

// configAge returns how long ago the configuration was last known to be the newest; -1 if it
// never was.
func (g *Gate) configAge() time.Duration {
	at := g.confirmedAt.Load()
	if at == nil {
		return -1
	}
	return g.options.Clock.Now().Sub(*at)
}

// SetServersKnown records that the list of servers has arrived.
func (g *Gate) SetServersKnown() {
	g.serversKnown.Store(true)
	g.signalReady()
}

// Ready reports whether requests can be placed.
func (g *Gate) Ready() bool { return g.table.Load() != nil && g.serversKnown.Load() }

// RouteTable returns the active configuration; nil when there is none.
func (g *Gate) RouteTable() *routetable.Table { return g.table.Load() }

// Limits returns the limits on callers' connections and requests.
func (g *Gate) Limits() wheelgauge.CallerLimits {
	if t := g.table.Load(); t != nil {
		return t.Limits()
	}
	return wheelgauge.CallerLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Serve answers a caller's request.
func (g *Gate) Serve(ctx context.Context, r *callerhttp.Request) { g.serve(ctx, r, false) }

// ServePeer answers a request forwarded by a gateway of another region. It is never forwarded
// again.
func (g *Gate) ServePeer(ctx context.Context, r *callerhttp.Request) { g.serve(ctx, r, true) }

func (g *Gate) serve(ctx context.Context, r *callerhttp.Request, forwarded bool) {
	if run := g.decide(ctx, r, forwarded); run != nil {
		run(ctx)
	}
}

// runTracked runs a request and registers it, so that EndExpired can end it.
func (g *Gate) runTracked(ctx context.Context, c *call) {
	g.active.add(c)
	defer g.active.remove(c)
	c.recogniseReturn()
	c.run(ctx)
}

// newCall parses the headers that routing depends on.
func (g *Gate) newCall(r *callerhttp.Request, forwarded bool) *call {
	h, n := r.Header(), g.options.Names
	c := &call{gate: g, request: r, forwarded: forwarded, id: string(httpfield.Value(h, n.RequestID)), started: r.Arrived()}
	c.suspendedBefore = g.suspendedFor()
	c.prompt = prompt.Parse(string(httpfield.Value(h, n.PromptParts)), string(httpfield.Value(h, n.TokenCounts)), string(httpfield.Value(h, n.OutputHint)))
	c.lastEventID, c.resumes = string(httpfield.Value(h, n.LastEventID)), string(httpfield.Value(h, n.Resumes))
	if forwarded {
		c.admittedBy = parseNumber(httpfield.Value(h, wheelgauge.HeaderConfigVersion))
		c.admittedRoute = parseNumber(httpfield.Value(h, wheelgauge.HeaderRouteDigest))
	}
	if timeout, ok := parseTimeout(string(httpfield.Value(h, n.Deadline))); ok {
		c.deadline = r.Arrived().Add(timeout)
	}
	return c
}

// admit matches the route and identifies the workspace, or returns why the request is refused.
func (g *Gate) admit(ctx context.Context, c *call) *wheelgauge.Error {
	if g.table.Load() == nil {
		return refusal(wheelgauge.ReasonNoConfiguration, http.StatusServiceUnavailable, "no configuration is known yet").WithRetryAfter(startupRetryAfter)
	}
	if apiErr := g.judge(ctx, c); apiErr != nil {
		return apiErr
	}
	routeDeadline := c.started.Add(c.route.Timeout)
	if c.deadline.IsZero() || routeDeadline.Before(c.deadline) {
		c.deadline = routeDeadline
	}
	if c.mayOutlastProcess(0) {
		return leavingRefusal()
	}
	if !g.serversKnown.Load() {
		return refusal(wheelgauge.ReasonNoServer, http.StatusServiceUnavailable, "no servers are known yet").WithRetryAfter(startupRetryAfter)
	}
	c.service = routetable.PickService(c.route)
	if c.forwarded && c.continues() {
		if apiErr := c.adoptOrigin(); apiErr != nil {
			return apiErr
		}
	}
	if c.forwarded && !g.options.Reach.MayTake(c.service) {
		return c.outOfReach()
	}
	return nil
}

func leavingRefusal() *wheelgauge.Error {
	return refusal(wheelgauge.ReasonDraining, http.StatusServiceUnavailable, "this host is leaving").WithRetryAfter(leavingRetryAfter)
}

func refusal(reason wheelgauge.Reason, status int, detail string) *wheelgauge.Error {
	return wheelgauge.NewError(reason, wheelgauge.OutcomeNotRun, status, detail)
}
