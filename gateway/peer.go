package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/confwatch"
	"wheelgauge/membership"
	"wheelgauge/peerhttp"
	"wheelgauge/permitclient"
)

// otherVersionRetryAfter is the time in which all gateways get a change of the configuration.
const otherVersionRetryAfter = 300 * time.Millisecond

// servePeer handles the listener for other gateways.
func (g *Gateway) servePeer(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == membership.PathHeartbeat:
		peerhttp.Serve(ctx, peerhttp.NoError(g.node.LocalHub().Heartbeat))
	case path == permitclient.Path:
		peerhttp.Serve(ctx, peerhttp.NoError(g.node.LocalHub().Permit))
	case path == membership.PathSummary:
		peerhttp.Serve(ctx, peerhttp.NoError(g.node.LocalHub().Exchange))
	case path == confwatch.PathList:
		peerhttp.WriteJSON(ctx, g.watcher.List())
	case path == confwatch.PathGeneration:
		peerhttp.WriteJSON(ctx, wheelgauge.WatchResponse{Generation: g.watcher.List().Generation})
	case path == pathCancel:
		if rq, ok := g.forwarded.Load(string(ctx.QueryArgs().Peek("id"))); ok {
			rq.(*request).cancelled.Store(true)
		}
	case strings.HasPrefix(path, pathForward):
		g.serveForward(ctx)
	default:
		peerhttp.NotFound(ctx)
	}
}

// serveForward serves a request from a gateway of another region. Such a request
// is never forwarded again.
func (g *Gateway) serveForward(ctx *fasthttp.RequestCtx) {
	rq, err := g.readPeerRequest(ctx)
	g.forwarded.Store(rq.call.ID, rq)
	defer g.forwarded.Delete(rq.call.ID)
	g.serve(ctx, rq, err, func(_ *fasthttp.RequestCtx, rq *request) error {
		g.meter.Count("away.received")
		return g.findSenderRoute(rq)
	})
}

// parseRouteDigest returns the digest of the route by which the forwarding gateway admitted a request;
// 0 if it did not say.
func parseRouteDigest(h *fasthttp.RequestHeader) uint64 {
	digest, err := strconv.ParseUint(string(h.Peek(wheelgauge.HeaderRouteDigest)), 10, 64)
	if err != nil {
		return 0
	}
	return digest
}

// findSenderRoute finds the route of a forwarded request. It is turned back if the configuration
// here sends it elsewhere than that of the gateway which forwarded it: one of the two is older.
func (g *Gateway) findSenderRoute(rq *request) error {
	err := g.findRoute(rq)
	if rq.senderRoute == 0 || rq.route != nil && rq.route.Digest == rq.senderRoute {
		return err
	}
	g.meter.Count("requests.other_version")
	return wheelgauge.NewError(wheelgauge.ReasonOtherVersion, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "the configuration here handles this request in another way").
		WithRetryAfter(otherVersionRetryAfter)
}

func (g *Gateway) readPeerRequest(ctx *fasthttp.RequestCtx) (*request, error) {
	h := &ctx.Request.Header
	rq := &request{started: time.Now(), suspendedAtStart: g.suspended(), forwarded: true}
	rq.target.Store(&target{region: g.options.Region})
	rq.call.ID = string(h.Peek(wheelgauge.HeaderRequestID))
	rq.call.Method = string(ctx.Method())
	rq.call.Path = strings.TrimPrefix(string(ctx.RequestURI()), pathForward)
	rq.call.ContentType = string(h.ContentType())
	rq.call.Body = append([]byte(nil), ctx.PostBody()...)
	rq.call.IdempotencyKey = string(h.Peek(wheelgauge.HeaderIdempotencyKey))
	rq.call.SkipTokens, _ = strconv.Atoi(string(h.Peek("X-Resume-From")))
	if rq.call.SkipTokens > 0 {
		began := string(h.Peek(wheelgauge.HeaderStreamVersion)) // empty where servers have no version
		rq.began = &began
	}
	rq.call.Priority, _ = strconv.Atoi(string(h.Peek("X-Priority")))
	rq.notRepeatable = len(h.Peek(wheelgauge.HeaderNotRepeatable)) > 0
	rq.senderRoute = parseRouteDigest(h)
	rq.mustAccept = len(h.Peek(wheelgauge.HeaderMustAccept)) > 0
	rq.identity = wheelgauge.Identity{
		Client: string(h.Peek(wheelgauge.HeaderClient)), Class: string(h.Peek(wheelgauge.HeaderClass)), HomeRegion: string(h.Peek(wheelgauge.HeaderHome)),
	}
	limit, err := parseDeadline(h, g.options.DefaultDeadline)
	rq.call.Deadline = rq.started.Add(limit)
	if err != nil {
		return rq, err
	}
	if rq.identity.Client == "" || len(h.Peek(wheelgauge.HeaderForwardedFrom)) == 0 {
		return rq, badRequest("a forwarded request must name its client and the region that forwarded it")
	}
	rq.catalog, err = g.currentCatalog()
	if err != nil {
		return rq, err
	}
	return rq, g.checkResidency(rq)
}

// statusAnswer answers GET /status on the operators' port.
type statusAnswer struct {
	Host            string                     `json:"host"`
	Region          string                     `json:"region"`
	Generation      uint64                     `json:"generation"`
	Draining        bool                       `json:"draining"`
	Hub             string                     `json:"hub"`
	SinceProgress   string                     `json:"since_store_progress"`
	OpenConnections map[string]int             `json:"open_connections"`
	Servers         []serverStatus             `json:"servers"`
	Regions         []wheelgauge.RegionSummary `json:"regions"`
}

type serverStatus struct {
	wheelgauge.ServerStatus
	InFlight int `json:"in_flight"`
}

// serveOperator handles the operators' port.
func (g *Gateway) serveOperator(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("application/json")
		g.updateGauges()
		g.meter.WriteJSON(ctx)
	case "/ready":
		if _, err := g.currentCatalog(); err != nil || g.draining.Load() {
			peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonNoConfiguration, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "not ready"))
			return
		}
		peerhttp.WriteJSON(ctx, struct{}{})
	case "/status":
		peerhttp.WriteJSON(ctx, g.status())
	default:
		peerhttp.NotFound(ctx)
	}
}

func (g *Gateway) updateGauges() {
	if c := g.watcher.Current(); c != nil {
		g.meter.Gauge("config.generation", int64(c.Generation()))
	}
	g.meter.Gauge("config.since_progress_ms", time.Since(g.watcher.LastProgress()).Milliseconds())
	g.meter.Gauge("requests.condemned", int64(len(g.quarantine.Quarantined())))
	g.meter.Gauge("connections.callers", int64(g.callerServer.OpenConns()))
	g.meter.Gauge("connections.peers", int64(g.peerServer.OpenConns()))
}

func (g *Gateway) status() statusAnswer {
	out := statusAnswer{
		Host: g.options.Host, Region: g.options.Region, Draining: g.draining.Load(), Hub: g.node.HubAddress(),
		SinceProgress:   time.Since(g.watcher.LastProgress()).Round(time.Millisecond).String(),
		OpenConnections: map[string]int{"callers": g.callerServer.OpenConns(), "peers": g.peerServer.OpenConns()},
	}
	c := g.watcher.Current()
	if c == nil {
		return out
	}
	out.Generation = c.Generation()
	for _, s := range c.ServersInRegion(g.options.Region) {
		out.Servers = append(out.Servers, serverStatus{g.node.Server(s.Name).ServerStatus, g.inflight.Count(s.Name)})
	}
	for _, region := range c.Regions() {
		if region != g.options.Region {
			out.Regions = append(out.Regions, g.node.Region(region))
		}
	}
	return out
}
