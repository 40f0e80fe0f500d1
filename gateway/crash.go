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

// lifeSpan parts the time in which a server's name stands for one start of it: servers
// tell no starts here, and take some seconds to be back. Two hosts that see one end on
// both sides of a border count it twice for a request that stood at both.
const lifeSpan = 5 * time.Second

// asked tells what a request asks, the same for all its tries at all hosts.
func (rq *request) asked() wheelgauge.Fingerprint {
	if rq.print == "" {
		rq.print = fingerprint.Of([]byte(rq.call.Method), nil, []byte(rq.call.Path), rq.identity.Client, rq.call.Body)
	}
	return rq.print
}

// held refuses a request that ended the servers which ran it.
func (g *Gateway) held(rq *request) error {
	if !g.quarantine.Holds(len(rq.call.Body), rq.asked) {
		return nil
	}
	return quarantine.Refusal()
}

// ranWell notes that a request ran to a good end: it ended no server before.
func (g *Gateway) ranWell(rq *request) { g.quarantine.Ran(len(rq.call.Body), rq.asked) }

// inquestHere looks after the server that answers a request, if it is of this region.
func (g *Gateway) inquestHere(rq *request) {
	if to := rq.target.Load(); to.region == g.o.Region {
		g.inquest(rq, rq.catalog.Server(to.server))
	}
}

// inquest notes that a server ended with a request in flight, if it did: one that takes
// a new connection only broke this one off.
func (g *Gateway) inquest(rq *request, s *catalog.Server) {
	if s == nil || rq.left() || g.over(rq) {
		return
	}
	limit, cancel := context.WithTimeout(g.ctx, quarantine.InquestLimit)
	defer cancel()
	if g.servers.Reaches(limit, s.Address) {
		return
	}
	life := fmt.Sprint(s.Name, "@", time.Now().Unix()/int64(lifeSpan.Seconds()))
	ends := g.quarantine.Ended(wheelgauge.Crash{Request: rq.asked(), Size: len(rq.call.Body), Server: life})
	g.meter.Count("servers.ended")
	g.o.Log.Info("A server ended with a request in flight.", "id", rq.call.ID, "request", rq.asked(), "server", life, "ends", ends)
}
