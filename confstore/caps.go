package confstore

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/capclient"
)

const (
	// refusalLogInterval is how often refusals are logged, maxLoggedCaps for how many caps at most.
	refusalLogInterval = time.Second
	maxLoggedCaps      = 8
	// capsUpdateInterval is how often the allocator gets a changed configuration and the list
	// of stores. It is short so that callers of a new workspace need not wait.
	capsUpdateInterval = 100 * time.Millisecond
)

// serveCaps handles entry hosts' requests for cap units; false means another path.
func (n *Node) serveCaps(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, capclient.Path, func(request wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error) {
		return n.caps.Draw(request), nil
	})
}

// updateCaps passes the current caps and the list of stores to the allocator.
func (n *Node) updateCaps(context.Context) {
	n.caps.SetMembers(n.replica.MemberAddresses())
	version := n.machine.State().Version
	if version == n.capsVersion {
		return
	}
	if set := n.routes(); set != nil {
		n.caps.SetCaps(set.Workspaces)
		n.capsVersion = version
	}
}

// logRefusals logs the caps that refused requests since the last call.
func (n *Node) logRefusals(context.Context) {
	refusing := n.caps.TakeRefusals()
	for _, u := range refusing[:min(maxLoggedCaps, len(refusing))] {
		n.o.Log.Info("Cap refuses.", "workspace", u.Workspace, "share", u.Share, "rate", u.Rate, "level", int64(u.Level),
			"demand", int64(u.Demand), "granted", int64(u.Granted), "refused", int64(u.Refused), "requests", u.Refusals, "caps", len(refusing))
	}
}
