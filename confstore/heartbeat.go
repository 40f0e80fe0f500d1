package confstore

import (
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/heartbeat"
	"wheelgauge/peerhttp"
	"wheelgauge/statefeed"
)

// serveHeartbeat handles an entry host's heartbeat; false means another path.
func (n *Node) serveHeartbeat(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, heartbeat.Path, func(b wheelgauge.FleetHeartbeat) (wheelgauge.FleetHeartbeatResponse, error) {
		n.meter.Count("beats")
		n.hosts.RecordHeartbeat(b, time.Duration(b.IntervalMS)*time.Millisecond)
		n.caps.HostSeen(b.Host.Name, b.Host.Boot)
		n.crashes.Merge(b.Crashes)
		n.limits.Merge(b.Limits)
		n.rolloutController.Take(b.Host.Name, b.Host.Boot, b.Rollouts)
		return n.heartbeatResponse(b), nil
	})
}

// serveState handles requests of entry hosts for the state; false means another path.
func (n *Node) serveState(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, statefeed.Path, func(r wheelgauge.StateRequest) (wheelgauge.StateChunk, error) {
		n.meter.Count("state.parts")
		return n.statePart(r)
	})
}

// statePart returns a chunk of the state. A host that has no state also gets the crashes of
// quarantined requests, since it serves as soon as it has the state, from whichever store.
func (n *Node) statePart(r wheelgauge.StateRequest) (wheelgauge.StateChunk, error) {
	part, err := n.feed.Chunk(r)
	if err == nil && r.Generation == 0 && part.Offset == 0 {
		n.crashes.SetPersisted(n.machine.State().Crashes)
		part.Crashes, _ = n.crashes.Candidates()
	}
	return part, err
}

// serve handles calls to one path with f; false means another path.
func serve[Req, Resp any](ctx *fasthttp.RequestCtx, path string, f func(Req) (Resp, error)) bool {
	if string(ctx.Path()) != path {
		return false
	}
	peerhttp.Serve(ctx, f)
	return true
}

func (n *Node) heartbeatResponse(b wheelgauge.FleetHeartbeat) wheelgauge.FleetHeartbeatResponse {
	a := n.localResponse(b)
	a.Connected, a.StoreAddresses = n.replica.LeaderAddress() != "", n.replica.MemberAddresses()
	if b.Primary {
		n.addCrashes(&a, b)
	}
	return a
}

// localResponse returns the heartbeat response without the fields that the replica provides.
func (n *Node) localResponse(b wheelgauge.FleetHeartbeat) wheelgauge.FleetHeartbeatResponse {
	a := wheelgauge.FleetHeartbeatResponse{StoreBoot: n.boot, Generation: n.machine.State().Generation, Region: n.o.Region, Hall: n.o.Hall}
	if !b.Primary {
		return a
	}
	sameStore := b.StoreBoot == n.boot // versions count from one start of a store
	hosts, version := n.hosts.Hosts()
	a.Partial = n.now().Sub(n.started) < warmUpPeriod
	// The lowest bit marks a partial table, so that hosts get the table again once it is complete.
	a.HostsVersion = 2 * version
	if a.Partial {
		a.HostsVersion++
	}
	if !sameStore || b.HostsVersion != a.HostsVersion {
		a.Hosts = hosts
	}
	n.addServers(&a, b, sameStore)
	n.addLimits(&a, b)
	a.ServerUsage = n.hosts.UsageWithout(b.Host.Region, b.Host.Name)
	a.Regions = n.regionUses()
	return a
}
