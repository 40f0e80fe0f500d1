package confstore

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/cappurse"
)

const (
	// refusedEvery is how often refusals are logged, mostRefused of how many caps.
	refusedEvery = time.Second
	mostRefused  = 8
	// capsEvery is how often the bank is told of a new configuration and of other stores:
	// callers of a new workspace wait for neither.
	capsEvery = 100 * time.Millisecond
)

// serveCaps answers an entry host that draws units; false means another path.
func (n *Node) serveCaps(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, cappurse.Path, func(ask wheelgauge.CapAsk) (wheelgauge.CapAnswer, error) {
		return n.bank.Draw(ask), nil
	})
}

// keepCaps tells the bank of the caps in force and of the other stores.
func (n *Node) keepCaps(context.Context) {
	n.bank.SetMembers(n.replica.MemberAddresses())
	version := n.machine.State().Version
	if version == n.capsVersion {
		return
	}
	if set := n.routes(); set != nil {
		n.bank.SetCaps(set.Workspaces)
		n.capsVersion = version
	}
}

// logCaps writes which caps refused something lately.
func (n *Node) logCaps(context.Context) {
	refusing := n.bank.Refusing()
	for _, u := range refusing[:min(mostRefused, len(refusing))] {
		n.o.Log.Info("Cap refuses.", "workspace", u.Workspace, "share", u.Share, "rate", u.Rate, "level", int64(u.Level),
			"demand", int64(u.Demand), "granted", int64(u.Granted), "refused", int64(u.Refused), "requests", u.Refusals, "caps", len(refusing))
	}
}
