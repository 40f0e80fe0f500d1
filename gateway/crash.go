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

// instanceWindow parts the time in which a server's name stands for one start of it: servers
// tell no starts here, and take some seconds to be back. Two hosts that see one end on
// both sides of a border count it twice for a request that stood at both.
const instanceWindow = 5 * time.Second

// fingerprint tells what a request asks, the same for all its tries at all hosts.
func (rq *request) fingerprint() wheelgauge.Fingerprint {
	if rq.cachedFingerprint == "" {
		rq.cachedFingerprint = fingerprint.Of([]byte(rq.call.Method), nil, []byte(rq.call.Path), rq.identity.Client, rq.call.Body)
	}
	return rq.cachedFingerprint
}

// checkQuarantine refuses a request that ended the servers which ran it.
func (g *Gateway) checkQuarantine(rq *request) error {
	if !g.quarantine.Holds(len(rq.call.Body), rq.fingerprint) {
		return nil
	}
	return quarantine.Refusal()
}

// noteSuccess notes that a request ran to a good end: it ended no server before.
func (g *Gateway) noteSuccess(rq *request) { g.quarantine.Ran(len(rq.call.Body), rq.fingerprint) }

// attributeLocalCrash looks after the server that answers a request, if it is of this region.
func (g *Gateway) attributeLocalCrash(rq *request) {
	if to := rq.target.Load(); to.region == g.options.Region {
		g.attributeCrash(rq, rq.catalog.Server(to.server))
	}
}

// attributeCrash notes that a server ended with a request in flight, if it did: one that takes
// a new connection only broke this one off.
func (g *Gateway) attributeCrash(rq *request, s *catalog.Server) {
	if s == nil || rq.callerLeft() || g.expired(rq) {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, quarantine.InquestLimit)
	defer cancel()
	if g.servers.Reachable(ctx, s.Address) {
		return
	}
	instance := fmt.Sprint(s.Name, "@", time.Now().Unix()/int64(instanceWindow.Seconds()))
	crashes := g.quarantine.Ended(wheelgauge.Crash{Request: rq.fingerprint(), Size: len(rq.call.Body), Server: instance})
	g.meter.Count("servers.ended")
	g.options.Log.Info("A server ended with a request in flight.", "id", rq.call.ID, "request", rq.fingerprint(), "server", instance, "ends", crashes)
}
