package confstore

import (
	"context"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/permitclient"
)

// servePermits answers an entry host that is to send a request to a server with a limit;
// false means another path.
func (n *Node) servePermits(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, permitclient.Path, func(ask wheelgauge.PermitAsk) (wheelgauge.PermitAnswer, error) {
		return n.permit(ask), nil
	})
}

func (n *Node) permit(ask wheelgauge.PermitAsk) wheelgauge.PermitAnswer {
	a := n.permits.Answer(ask)
	if a.Granted {
		n.meter.Count("permits.granted")
	} else {
		n.meter.Count("permits.refused")
	}
	return a
}

func (n *Node) pruneLimits(context.Context) {
	n.limits.Prune()
	n.permits.Prune()
}

// addLimits adds the limits that changed since the host was told last.
func (n *Node) addLimits(a *wheelgauge.BeatAnswer, b wheelgauge.Beat) {
	since := b.LimitsAt
	if b.Store != n.boot {
		since = 0 // it counts by another start of a store
	}
	a.Limits, a.LimitsAt = n.limits.Since(since)
}
