package gateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/clienthosts"
	"wheelgauge/connpeek"
	"wheelgauge/httpserve"
	"wheelgauge/peerhttp"
	"wheelgauge/rendezvous"
)

const refusedBodyBytes = 1

// headerReceived checks residency before the body is read: a request that will be
// refused is passed to the handler after the first byte of its body.
func (g *Gateway) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	var rq request
	if err := g.identify(h, &rq); err != nil {
		return fasthttp.RequestConfig{MaxRequestBodySize: refusedBodyBytes}
	}
	return fasthttp.RequestConfig{WriteTimeout: writeTimeout(h, g.classDeadline(&rq))}
}

// peerHeaderReceived gives forwarded requests the time to write their answers.
func (g *Gateway) peerHeaderReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{WriteTimeout: writeTimeout(h, g.options.DefaultDeadline)}
}

// writeTimeout returns how long an answer may take to be written: for all the time of a request, if
// it is longer than that of others.
func writeTimeout(h *fasthttp.RequestHeader, fallback time.Duration) time.Duration {
	limit, _ := parseDeadline(h, fallback) // a malformed one is refused later
	return max(limit+lateWriteTime, httpserve.WriteTimeout)
}

// answerReadError answers a request that could not be parsed or read.
func (g *Gateway) answerReadError(ctx *fasthttp.RequestCtx, err error) {
	g.meter.Count("refused.malformed")
	fault := badRequest("the request cannot be read: " + err.Error())
	if _, ok := errors.AsType[*fasthttp.ErrSmallBuffer](err); ok {
		fault = wheelgauge.NewError(wheelgauge.ReasonTooLarge, wheelgauge.OutcomeNotRun, http.StatusRequestHeaderFieldsTooLarge, "the headers are too large")
	}
	if slow, ok := errors.AsType[net.Error](err); ok && slow.Timeout() {
		fault = wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusRequestTimeout, "the request was not received completely in time")
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		fault = g.bodyTooLarge()
	}
	ctx.SetConnectionClose()
	peerhttp.WriteError(ctx, fault)
}

// serveCaller handles the callers' listener.
func (g *Gateway) serveCaller(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == pathEntry {
		g.serveEntry(ctx)
		return
	}
	rq, err := g.readCallerRequest(ctx)
	g.serve(ctx, rq, err, g.admitCaller)
}

// serve admits a request and runs it while the gate is open. The code that ends the
// request must call Leave on the gate.
func (g *Gateway) serve(ctx *fasthttp.RequestCtx, rq *request, err error, admit func(*fasthttp.RequestCtx, *request) error) {
	if err == nil && !g.serving.Enter() {
		err = wheelgauge.NewError(wheelgauge.ReasonDraining, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
			"this host is draining").WithEntries(g.entries(rq))
	}
	if err != nil {
		g.refuse(ctx, rq, err)
		return
	}
	if err := admit(ctx, rq); err != nil {
		g.finishWithError(ctx, rq, err)
		return
	}
	conn := ctx.Conn()
	rq.callerGone = func() bool { return rq.cancelled.Load() || connpeek.PeerClosed(conn) }
	g.execute(ctx, rq)
}

// admitCaller applies the caller's rate limit, reads the body and finds the route.
func (g *Gateway) admitCaller(ctx *fasthttp.RequestCtx, rq *request) error {
	if err := g.applyRateLimit(rq); err != nil {
		return err
	}
	if err := g.readBody(ctx, rq); err != nil {
		return err
	}
	return g.findRoute(rq)
}

// refuse answers a request that was not dispatched. The connection is closed
// if its body was not read.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, rq *request, err error) {
	fault := wheelgauge.AsError(err).WithRequestID(rq.call.ID)
	g.meter.Count("refused." + string(fault.Reason()))
	if rq.call.Body == nil && ctx.Request.Header.ContentLength() != 0 {
		ctx.SetConnectionClose()
	}
	ctx.Response.Header.Set(wheelgauge.HeaderRequestID, rq.call.ID)
	peerhttp.WriteError(ctx, fault)
}

// serveEntry answers GET /v1/entry.
func (g *Gateway) serveEntry(ctx *fasthttp.RequestCtx) {
	var rq request
	err := g.identify(&ctx.Request.Header, &rq)
	if err != nil && wheelgauge.AsError(err).Reason() != wheelgauge.ReasonResidency {
		peerhttp.WriteError(ctx, err)
		return
	}
	g.meter.Count("entry.lists")
	peerhttp.WriteJSON(ctx, wheelgauge.EntryList{Entries: g.entries(&rq), TTLMS: g.options.EntryTTL.Milliseconds()})
}

func (g *Gateway) entries(rq *request) []wheelgauge.EntryHost {
	return clienthosts.List(rq.catalog, rq.identity, g.options.Region, g.usable)
}

// homeRegion returns the region that stores the claims of a client.
func (rq *request) homeRegion() string {
	regions := rq.catalog.AllowedRegions(rq.identity)
	for _, region := range regions {
		if region == rq.identity.HomeRegion {
			return region
		}
	}
	if len(regions) == 0 {
		return ""
	}
	return rendezvous.Top(rq.identity.Client, regions, 1)[0]
}
