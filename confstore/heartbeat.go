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
	return serve(ctx, heartbeat.Path, func(hb wheelgauge.FleetHeartbeat) (wheelgauge.FleetHeartbeatResponse, error) {
		n.meter.Count("beats")
		n.hosts.RecordHeartbeat(hb, time.Duration(hb.IntervalMS)*time.Millisecond)
		n.caps.HostSeen(hb.Host.Name, hb.Host.Boot)
		n.crashes.Merge(hb.Crashes)
		n.limits.Merge(hb.Limits)
		n.promises.Add(hb.Host.Region, hb.Host.Name, hb.Promises)
		n.rolloutController.Take(hb.Host.Name, hb.Host.Boot, hb.Rollouts)
		return n.heartbeatResponse(hb), nil
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

func (n *Node) heartbeatResponse(hb wheelgauge.FleetHeartbeat) wheelgauge.FleetHeartbeatResponse {
	a := n.localResponse(hb)
	a.Connected, a.StoreAddresses = n.replica.LeaderAddress() != "", n.replica.MemberAddresses()
	if hb.Primary {
		n.addCrashes(&a, hb)
		n.addPromises(&a, hb)
	}
	return a
}

// localResponse returns the heartbeat response without the fields that the replica provides.
func (n *Node) localResponse(hb wheelgauge.FleetHeartbeat) wheelgauge.FleetHeartbeatResponse {
	a := wheelgauge.FleetHeartbeatResponse{StoreBoot: n.boot, Generation: n.machine.State().Generation, Region: n.o.Region, Hall: n.o.Hall}
	if !hb.Primary {
		return a
	}
	sameStore := hb.StoreBoot == n.boot // versions count from one start of a store
	hosts, version := n.hosts.Hosts()
	a.Partial = n.now().Sub(n.started) < warmUpPeriod
	// The lowest bit marks a partial table, so that hosts get the table again once it is complete.
	a.HostsVersion = 2 * version
	if a.Partial {
		a.HostsVersion++
	}
	if !sameStore || hb.HostsVersion != a.HostsVersion {
		a.Hosts = hosts
	}
	n.addServers(&a, hb, sameStore)
	n.addLimits(&a, hb)
	a.ServerUsage = n.hosts.UsageWithout(hb.Host.Region, hb.Host.Name)
	a.Regions = n.regionUses()
	return a
}
