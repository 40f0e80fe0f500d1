// Package entrynode is the gateway of the routes mode: listeners for callers
// and for other gateways, request routing to the backend servers, and
// heartbeats, whose responses keep its tables current.
package entrynode

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/bodybudget"
	"wheelgauge/bootclock"
	"wheelgauge/callerhttp"
	"wheelgauge/capclient"
	"wheelgauge/countconn"
	"wheelgauge/enginemodel"
	"wheelgauge/forwardcredits"
	"wheelgauge/heartbeat"
	"wheelgauge/httpserve"
	"wheelgauge/lookupclient"
	"wheelgauge/meter"
	"wheelgauge/originclient"
	"wheelgauge/peerhttp"
	"wheelgauge/peerset"
	"wheelgauge/periodic"
	"wheelgauge/permitclient"
	"wheelgauge/promises"
	"wheelgauge/quarantine"
	"wheelgauge/reachability"
	"wheelgauge/retrybudget"
	"wheelgauge/rollout/selector"
	"wheelgauge/rollout/tally"
	"wheelgauge/routegate"
	"wheelgauge/serverlimit"
	"wheelgauge/serverset"
	"wheelgauge/sharers"
	"wheelgauge/stallwatch"
	"wheelgauge/waitroom"
)

const (
	// pruneInterval is the interval between removals of idle connections and expired entries.
	pruneInterval = time.Second
	// warmInterval is the interval at which idle connections to other regions are opened
	// ahead of use: two round trips of a long link, so that enough connections are open by
	// the second round of a burst of requests.
	warmInterval = 250 * time.Millisecond
	// lastRequestMargin is how long before the end of the grace period the last requests
	// are accepted. It leaves time for requests that take longer than expected, such as
	// those over a link to another region (160 ms round trip, as much again to connect).
	lastRequestMargin = 700 * time.Millisecond
	// closeMargin is how long before the end of the grace period the last connections
	// are closed: the process needs some 50 ms to exit.
	closeMargin = 250 * time.Millisecond
	// listenerCloseTimeout bounds the closing of the readiness and metrics listeners.
	listenerCloseTimeout = 200 * time.Millisecond
	// staleEntryTime is how long most callers with an old list of entry hosts keep sending
	// requests here: at low load the list is valid for 2 s. Callers that keep it longer
	// cannot connect and use another host of their list.
	staleEntryTime = 1800 * time.Millisecond
	// crossRegionResponseTime is the longest response time of a store in another region:
	// the round trip of a long link and one retransmission.
	crossRegionResponseTime = 400 * time.Millisecond
	// drainCheckInterval is how often a draining host checks whether it may stop.
	drainCheckInterval = 50 * time.Millisecond
	// maxCallerConns and maxPeerConns keep connections well below the file descriptor
	// limit of a small host.
	maxCallerConns = 1500
	maxPeerConns   = 800
	// connMemoryShare is the share of the host's memory that connections may use when
	// their peers read slowly.
	connMemoryShare = 0.7
	// bodyMemoryShare is the share that bodies of requests in progress may use. A body that is
	// read takes up to twice its length while its buffer grows.
	bodyMemoryShare = 0.2
)

// Options configures a Node.
type Options struct {
	Name   string
	Region string
	Hall   string
	// Listen addresses; those for readiness and metrics may be empty.
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	Seeds          []string
	// Intervals of heartbeats to the region's stores and to those of other regions.
	HeartbeatInterval    time.Duration
	FarHeartbeatInterval time.Duration
	GracePeriod          time.Duration
	// How long before the end of the grace period the last requests are accepted;
	// lastRequestMargin if zero.
	LastRequestMargin time.Duration
	Budget            retrybudget.Options
	// ForwardCredits limits what is forwarded to regions to their room.
	ForwardCredits bool
	// MemoryLimit is the memory limit of the process in bytes; 0 means none.
	MemoryLimit int64
	// Before a rollout's time limit, all hosts together may send this share of the service's
	// requests to the target version, plus a fixed number of requests.
	RolloutShare float64
	RolloutSlack float64
	// LearnEngines predicts waits at model engines by a learned model instead of fixed figures.
	LearnEngines bool
	Flood        FloodOptions
	// WaitingRoom holds requests until there is room for them, WorkspaceShares divides scarce
	// room among workspaces.
	WaitingRoom, WorkspaceShares bool
	// ScheduleReturns tells refused callers to return one after another, and recognises those
	// that do.
	ScheduleReturns bool
	// Client calls stores; nil creates one.
	Client *peerhttp.Client
	// Clock for ages, leases and deadlines; nil means one that counts suspended time.
	Clock        wheelgauge.Clock
	DecodeRoutes wheelgauge.RouteDecoder
	Names        wheelgauge.HeaderNames
	Log          logr.Logger
}

// Node is a running gateway.
type Node struct {
	options Options
	// bodies bounds the bodies of callers' and forwarded requests together.
	bodies  *bodybudget.Budget
	boot    uint64
	gate    *routegate.Gate
	servers *serverset.Table
	// sharers are the hosts among which the rates of servers are shared.
	sharers *sharers.View
	peers   *peerset.Table
	budget  *retrybudget.Budget
	// credits is nil unless they are turned on.
	credits wheelgauge.ForwardCredits
	caps    *capclient.Client
	// quarantine rejects requests that crash servers.
	quarantine *quarantine.Table
	// reach tells of which services this host reaches no server.
	reach *reachability.Tracker
	// limits are the rate limits that servers have reported.
	limits   *serverlimit.Table
	permits  *permitclient.Client
	versions *selector.Selector
	// engines is nil unless LearnEngines is set.
	engines *enginemodel.Model
	// promises are nil unless returns are scheduled.
	promises     *promises.Table
	tally        *tally.Tally
	origins      *originclient.Client
	room         *waitroom.Room
	meter        *meter.Meter
	heartbeats   atomic.Pointer[heartbeat.Client]
	client       *peerhttp.Client
	callerServer *callerhttp.Server
	peerServer   *callerhttp.Server
	listeners    []*httpserve.Server
	turnedAway   turnedAwayLog
	cancel       context.CancelFunc
	pruneDone    chan error
	warmDone     chan error
	permitsDone  chan error
	leaving      atomic.Bool
	// generation is that of the applied state; updates arrive one at a time.
	generation uint64
	hosts      knownHosts
	// hasShares is set while this host has shares of common rates, by its view of the hosts.
	hasShares bool
	// pendingRoutes are the rows of the configuration received since the last state, by key.
	pendingRoutes map[string]wheelgauge.TableRow
	// completeTotals is set once the usage totals of all regions were complete.
	completeTotals bool
}

// Open starts the gateway, which serves callers from then on.
func Open(ctx context.Context, o Options) (*Node, error) {
	ctx, stop := context.WithCancel(ctx)
	n := &Node{options: o, boot: uint64(time.Now().UnixNano()), pendingRoutes: map[string]wheelgauge.TableRow{}, meter: meter.New(), cancel: stop, pruneDone: make(chan error, 1), warmDone: make(chan error, 1), permitsDone: make(chan error, 1), client: o.Client}
	if n.client == nil {
		n.client = peerhttp.NewClient(peerhttp.NewDialer("", nil).WrapConns(n.countBytes), "")
		n.client.OnCall(n.meter.CountCall)
	}
	if n.options.Clock == nil {
		n.options.Clock = bootclock.NewOrMonotonic(o.Log)
	}
	clock := n.options.Clock
	n.servers = serverset.New(serverset.Place{Host: o.Name, Hall: o.Hall}, n.service, clock.Now)
	n.sharers = sharers.New(clock.Now)
	n.servers.SetSharers(func() ([]string, time.Duration) { return n.sharers.Hosts(), n.sharers.Age() })
	n.peers = peerset.New(o.Region, o.FarHeartbeatInterval+crossRegionResponseTime, clock.Now)
	n.budget = retrybudget.New(o.Budget, clock.Now)
	if o.ForwardCredits {
		n.credits = forwardcredits.New(forwardcredits.Options{Region: o.Region, Service: n.service, Now: clock.Now})
	}
	n.caps = capclient.New(capclient.Options{Host: o.Name, Boot: n.boot, Stores: n.stores, Draw: n.requestCaps, Now: clock.Now})
	n.quarantine = quarantine.New(clock.Now)
	n.quarantine.SetTrialHost(fmt.Sprintf("%s@%x", o.Name, n.boot))
	n.reach = reachability.New(clock.Now)
	n.servers.SetOutOfReach(n.reach.IsOutOfReach)
	n.limits = serverlimit.New(clock.Now)
	n.servers.SetLimits(n.limits.Rate)
	n.servers.SetRejections(func(server string) (float64, bool) { return n.limits.RateOf(wheelgauge.LimitRejections, server) })
	n.learnEngines()
	n.permits = permitclient.New(permitclient.Options{
		Host: o.Name, Boot: n.boot, Limits: n.limits, Stores: n.regionStores, Sharers: n.sharers.LastHosts, Request: n.requestPermit, Now: clock.Now,
	})
	n.versions = selector.New(selector.Options{Host: o.Name, Share: o.RolloutShare, Slack: o.RolloutSlack, Now: clock.Now})
	n.tally = tally.New()
	n.origins = n.newOrigins()
	returns, promiseTable := n.newReturns()
	gateOptions := routegate.Options{
		Region: o.Region, Names: o.Names, Servers: n.servers, Peers: n.peers, Budget: n.budget, Meter: n.meter, Log: o.Log.WithName("gate"),
		Caps: n.caps, Quarantine: n.quarantine, Reach: n.reach, Limits: n.limits, Permits: n.permits, Clock: clock,
		Versions: n.versions, Tally: n.tally, Origins: n.origins, Credits: n.credits, Returns: returns, Lookup: lookupclient.New(lookupclient.Options{Stores: n.stores, Fetch: n.fetchState, Request: n.lookUp, Now: clock.Now}),
	}
	n.openAdmission(&gateOptions)
	n.gate = routegate.New(gateOptions)
	if err := n.listen(); err != nil {
		stop()
		return nil, err
	}
	n.heartbeats.Store(heartbeat.Start(heartbeat.Options{
		Self: n.self, Usage: n.servers.Uses, Crashes: n.quarantine, Limits: n.limits, Promises: promiseTable, Rollouts: rolloutReports{n.versions, n.tally}, Seeds: o.Seeds, Interval: o.HeartbeatInterval, FarInterval: o.FarHeartbeatInterval,
		Clock: clock, Client: n.client, Receiver: n, Log: o.Log.WithName("beat"),
	}))
	go func() { n.permitsDone <- n.permits.Run(ctx) }()
	go func() { n.pruneDone <- periodic.Run(ctx, pruneInterval, n.prune) }()
	watcher := stallwatch.New(clock, o.Log)
	go func() {
		n.warmDone <- periodic.Run(ctx, warmInterval, func(ctx context.Context) {
			n.checkSuspension(watcher)
			n.gate.MoveSilent()
			n.peers.OpenIdle(ctx)
			n.origins.Tick()
		})
	}()
	o.Log.Info("Gateway serves.", "name", o.Name, "callers", o.CallerAddress, "peer", o.PeerAddress, "seeds", o.Seeds,
		"learns_engines", o.LearnEngines, "forward_credits", o.ForwardCredits, "refuse_early", o.Flood.RefuseEarly, "share_connections", o.Flood.ShareConns, "returns_schedule", o.ScheduleReturns)
	return n, nil
}

// stores returns the stores that may be called; none before the heartbeat client has started.
func (n *Node) stores() []wheelgauge.StoreEndpoint {
	if client := n.heartbeats.Load(); client != nil {
		return client.Stores()
	}
	return nil
}

// requestCaps requests units of workspaces' caps from a store.
func (n *Node) requestCaps(ctx context.Context, address string, req wheelgauge.CapUnitsRequest) (resp wheelgauge.CapUnitsResponse, err error) {
	err = n.client.Call(ctx, http.MethodPost, address, capclient.Path, req, &resp)
	return resp, err
}

// lookUp asks a store for one route or server.
func (n *Node) lookUp(ctx context.Context, address string, req wheelgauge.LookupRequest) (resp wheelgauge.LookupResponse, err error) {
	err = n.client.Call(ctx, http.MethodPost, address, lookupclient.Path, req, &resp)
	return resp, err
}

// fetchState fetches the configuration from a store that was seen to hold a newer one.
func (n *Node) fetchState(ctx context.Context, address string) {
	if client := n.heartbeats.Load(); client != nil {
		client.FetchFrom(ctx, address)
	}
}

// regionStores returns the stores of the host's region; none before the heartbeat client has started.
func (n *Node) regionStores() []wheelgauge.RegionStore {
	if client := n.heartbeats.Load(); client != nil {
		return client.RegionStores()
	}
	return nil
}

// requestPermit requests from a store the permit to send a request to a server with a limit.
func (n *Node) requestPermit(ctx context.Context, address string, req wheelgauge.PermitRequest) (resp wheelgauge.PermitResponse, err error) {
	err = n.client.Call(ctx, http.MethodPost, address, permitclient.Path, req, &resp)
	return resp, err
}

// countBytes wraps a connection to a store to count its bytes in the meter.
func (n *Node) countBytes(c net.Conn) net.Conn {
	return countconn.New(c, func(b int64) { n.meter.Add("control.bytes.in", b) }, func(b int64) { n.meter.Add("control.bytes.out", b) })
}

func (n *Node) listen() error {
	var err error
	n.bodies = bodybudget.New(int64(bodyMemoryShare * float64(n.options.MemoryLimit)))
	n.callerServer, err = callerhttp.Listen(n.options.CallerAddress, n.callerOptions())
	if err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	n.peerServer, err = callerhttp.Listen(n.options.PeerAddress, n.peerOptions())
	if err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	for address, handler := range map[string]fasthttp.RequestHandler{n.options.ReadyAddress: n.serveReady, n.options.MetricsAddress: n.serveMetrics} {
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

// connLimit lowers a listener's connection limit to its share of the host's memory.
func connLimit(memory int64, limit int) int {
	if memory <= 0 {
		return limit
	}
	share := float64(limit) / (maxCallerConns + maxPeerConns)
	return min(limit, int(connMemoryShare*share*float64(memory)/wheelgauge.MaxSlowConnBytes))
}

// peerLimits allows forwarded requests larger headers than callers may send, as gateways
// add some, and a longer idle time.
func (n *Node) peerLimits() wheelgauge.CallerLimits {
	l := n.gate.Limits()
	l.MaxHeaderBytes *= 2
	l.IdleTimeout = time.Minute
	return l
}

func (n *Node) service(name string) *wheelgauge.Service {
	if t := n.gate.RouteTable(); t != nil {
		return t.Service(name)
	}
	return nil
}

func (n *Node) self() wheelgauge.FleetHost {
	return wheelgauge.FleetHost{
		Name: n.options.Name, Region: n.options.Region, Hall: n.options.Hall, CallerAddress: n.options.CallerAddress, PeerAddress: n.options.PeerAddress,
		Boot: n.boot, Leaving: n.leaving.Load(), Ready: n.gate.Ready(), OutOfReach: strings.Join(n.reach.OutOfReach(), ","),
	}
}

// checkSuspension ends requests whose deadline passed while the host was suspended.
func (n *Node) checkSuspension(w *stallwatch.Watcher) {
	if _, suspended := w.Check(warmInterval); suspended > 0 {
		n.options.Log.Info("Requests are ended whose time went by.", "ended", n.gate.EndExpired())
	}
}

func (n *Node) prune(context.Context) {
	n.servers.Prune()
	n.peers.Prune()
	n.quarantine.Prune()
	n.limits.Prune()
	if n.promises != nil {
		n.promises.Prune()
	}
	n.tally.Retain(n.versions.RunningRollouts())
	n.logTurnedAway()
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
	n.gaugeEngines()
	n.meter.Gauge("requests.serving", int64(n.callerServer.InFlight()))
	n.meter.Gauge("streams.origins.known", int64(n.origins.Known()))
	n.gaugeConns()
	ctx.SetContentType("application/json")
	n.meter.WriteJSON(ctx)
}

// Close drains the gateway: it is removed from the list of entry hosts, still serves
// callers that have its address, finishes requests in flight, and stops. Requests that
// cannot be finished within the grace period are rejected, so that another host may serve them.
func (n *Node) Close(ctx context.Context) error {
	n.options.Log.Info("Gateway drains.", "serving", n.callerServer.InFlight())
	now := n.options.Clock.Now()
	lastRequest, end := now.Add(n.options.GracePeriod-cmp.Or(n.options.LastRequestMargin, lastRequestMargin)), now.Add(n.options.GracePeriod-closeMargin)
	n.gate.ShutDownBy(lastRequest)
	n.leaving.Store(true)
	n.callerServer.Drain()
	n.peerServer.Drain()
	n.heartbeats.Load().SendNow()
	n.awaitDrain(ctx, lastRequest)
	// Clients of readiness and metrics retry.
	short, cancelShort := context.WithTimeout(ctx, listenerCloseTimeout)
	defer cancelShort()
	_, err := httpserve.CloseAll(short, n.listeners)
	errs := []error{err}
	limit, cancel := n.withDeadline(ctx, end)
	defer cancel()
	defer context.AfterFunc(limit, n.client.Abort)() // calls to stores that do not answer outlast it
	errs = append(errs, n.closeRoom(), n.callerServer.Close(limit), n.peerServer.Close(limit))
	n.caps.Close()
	n.origins.Close()
	n.cancel()
	errs = append(errs, n.heartbeats.Load().Close(), <-n.pruneDone, <-n.warmDone, <-n.permitsDone)
	n.servers.Close()
	n.peers.Close()
	n.client.CloseIdle()
	n.options.Log.Info("Bytes by kind of call.", "bytes", n.meter.BytesByKind())
	return errors.Join(errs...)
}

// withDeadline returns a context that ends at a time of the host's clock. That clock counts
// suspended time, as does the grace period of whatever stops the host; the timeouts of
// connections do not. cancel waits for the goroutine to end.
func (n *Node) withDeadline(ctx context.Context, end time.Time) (limited context.Context, cancel func()) {
	limited, expire := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		done <- periodic.Run(limited, drainCheckInterval, func(context.Context) {
			if !n.options.Clock.Now().Before(end) {
				expire()
			}
		})
	}()
	return limited, func() {
		expire()
		<-done
	}
}

// awaitDrain keeps serving callers that still have the address. It returns when the last
// requests have been accepted, or when staleEntryTime has passed and none is in flight.
func (n *Node) awaitDrain(ctx context.Context, lastRequest time.Time) {
	start := n.options.Clock.Now()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && n.options.Clock.Now().Before(lastRequest) {
		if n.options.Clock.Now().Sub(start) > staleEntryTime && n.callerServer.InFlight()+n.peerServer.InFlight() == 0 {
			return
		}
		<-ticker.C
	}
}
