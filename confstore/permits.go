package confstore

import (
	"context"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/permitclient"
)

// servePermits handles entry hosts' requests for permits to send to a server with limits;
// false means another path.
func (n *Node) servePermits(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, permitclient.Path, func(request wheelgauge.PermitRequest) (wheelgauge.PermitResponse, error) {
		return n.requestPermit(request), nil
	})
}

func (n *Node) requestPermit(request wheelgauge.PermitRequest) wheelgauge.PermitResponse {
	a := n.permits.Answer(request)
	kind := "permits"
	switch {
	case request.Place != nil:
		kind = "places"
	case request.Uses != nil:
		n.meter.Count("places.reports")
		return a
	}
	if a.Granted {
		n.meter.Count(kind + ".granted")
	} else {
		n.meter.Count(kind + ".refused")
	}
	return a
}

func (n *Node) pruneLimits(context.Context) {
	n.limits.Prune()
	n.permits.Prune()
}

// addLimits adds the limits that changed since the version that the host has.
func (n *Node) addLimits(a *wheelgauge.FleetHeartbeatResponse, hb wheelgauge.FleetHeartbeat) {
	since := hb.LimitsVersion
	if hb.StoreBoot != n.boot {
		since = 0 // the version counts from another start of a store
	}
	a.Limits, a.LimitsVersion = n.limits.Since(since)
}
