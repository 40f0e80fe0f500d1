package routegate

import (
	"context"
	"net/http"

	"wheelgauge"
	"wheelgauge/callerhttp"
)

// Admit decides on a caller's request from its header. It returns the function that serves the
// request once its body has been read, or nil after it has refused the request.
func (g *Gate) Admit(ctx context.Context, r *callerhttp.Request) func(ctx context.Context) {
	return g.decide(ctx, r, false)
}

// AdmitPeer decides likewise on a request forwarded by a gateway of another region.
func (g *Gate) AdmitPeer(ctx context.Context, r *callerhttp.Request) func(ctx context.Context) {
	return g.decide(ctx, r, true)
}

// decide refuses the request or returns the function that serves it. It needs the header only.
func (g *Gate) decide(ctx context.Context, r *callerhttp.Request, forwarded bool) func(ctx context.Context) {
	c := g.newCall(r, forwarded)
	g.awaitReady(ctx)
	apiErr := g.admit(ctx, c)
	if withinShare := forwarded || r.SetOwner(c.workspaceName()); apiErr == nil && !withinShare {
		g.options.Meter.Count("requests.over_share")
		apiErr = refusal(wheelgauge.ReasonOverloaded, http.StatusServiceUnavailable, "the workspace has its share of the requests in progress at this host").WithRetryAfter(minOverloadRetryAfter)
	}
	if apiErr != nil {
		c.refuse(apiErr)
		c.close()
		return nil
	}
	r.SetExpiry(c.connDeadline)
	return func(ctx context.Context) {
		defer c.close()
		if c.mayOutlastProcess(0) {
			c.refuse(leavingRefusal()) // the host began to leave while the body arrived
			return
		}
		g.runTracked(ctx, c)
	}
}

// loggedFingerprint is empty for a request refused before its body was read.
func (c *call) loggedFingerprint() wheelgauge.Fingerprint {
	if !c.request.BodyRead() {
		return ""
	}
	return c.fingerprint()
}
