package gateway

import (
	"context"
	"fmt"
	"time"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/fingerprint"
	"wheelgauge/quarantine"
)

// instanceWindow is the time within which crashes of a server name count as those of one
// instance: servers report no start time here, and take some seconds to restart. If two hosts
// see the same crash on both sides of a window boundary, it counts twice for a request that
// both had in flight.
const instanceWindow = 5 * time.Second

// maxJudgedParts bounds the messages of a chat, from the first, that may be to blame for a crash.
const maxJudgedParts = 16

// fingerprint identifies a request by its content, so that it is the same for all its attempts
// on all hosts.
func (rq *request) fingerprint() wheelgauge.Fingerprint {
	if rq.cachedFingerprint == "" {
		rq.cachedFingerprint = fingerprint.Of([]byte(rq.call.Method), nil, []byte(rq.call.Path), rq.identity.Client, rq.call.Body)
	}
	return rq.cachedFingerprint
}

// partList returns the identities of the messages that other requests may hold too.
func (rq *request) partList() []wheelgauge.Fingerprint { return rq.parts }

// checkQuarantine refuses a request that crashed the servers which ran it, or holds a message that
// did.
func (g *Gateway) checkQuarantine(rq *request) error {
	if !g.quarantine.HoldsQuarantinedPart(rq.partList) && !g.quarantine.IsQuarantined(len(rq.call.Body), rq.fingerprint) {
		return nil
	}
	return quarantine.RejectionError()
}

// holdsSuspectedPart reports whether a message of a request may have crashed several servers.
// Another try could cost one more.
func (g *Gateway) holdsSuspectedPart(rq *request) bool {
	return len(rq.parts) > 0 && g.quarantine.IsSuspected(func() wheelgauge.Fingerprint { return "" }, rq.partList)
}

// noteSuccess records that a request completed, so earlier crashes were not caused by it.
func (g *Gateway) noteSuccess(rq *request) {
	g.quarantine.RecordSuccess(len(rq.call.Body), rq.fingerprint)
	g.recordOutput(rq)
}

// recordOutput records that a server produces output for a prompt, so none of its messages crashes
// servers. The gateway that is connected to the server records it.
func (g *Gateway) recordOutput(rq *request) {
	if rq.target.Load().region == g.options.Region {
		g.quarantine.RecordOutput(rq.parts)
	}
}

// attributeLocalCrash calls attributeCrash for the server that answers a request, if it is in
// this region.
func (g *Gateway) attributeLocalCrash(rq *request) {
	if to := rq.target.Load(); to.region == g.options.Region {
		g.attributeCrash(rq, rq.catalog.Server(to.server))
	}
}

// attributeCrash records that a server crashed with a request in flight. A server that still
// accepts a new connection has not crashed; it only closed this one.
func (g *Gateway) attributeCrash(rq *request, s *catalog.Server) {
	if s == nil || rq.callerLeft() || g.expired(rq) {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, quarantine.ProbeTimeout)
	defer cancel()
	if g.servers.Reachable(ctx, s.Address) {
		return
	}
	instance := fmt.Sprint(s.Name, "@", time.Now().Unix()/int64(instanceWindow.Seconds()))
	crashes := g.quarantine.RecordCrash(wheelgauge.Crash{Fingerprint: rq.fingerprint(), BodyBytes: len(rq.call.Body), Server: instance}, rq.parts...)
	g.meter.Count("servers.ended")
	g.options.Log.Info("A server ended with a request in flight.", "id", rq.call.ID, "request", rq.fingerprint(), "server", instance, "ends", crashes)
}
