package confstore

import (
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/heartbeat"
	"wheelgauge/peerhttp"
)

// serveHeartbeat handles an entry host's heartbeat; false means another path.
func (n *Node) serveHeartbeat(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, heartbeat.Path, func(hb wheelgauge.FleetHeartbeat) (wheelgauge.FleetHeartbeatResponse, error) {
		n.meter.Count("beats")
		if err := n.hosts.RecordHeartbeat(hb, time.Duration(hb.IntervalMS)*time.Millisecond); err != nil {
			return wheelgauge.FleetHeartbeatResponse{}, err
		}
		n.caps.HostSeen(hb.Host.Name, hb.Host.Boot)
		n.crashes.Merge(hb.Crashes)
		n.limits.Merge(hb.Limits)
		n.promises.Add(hb.Host.Region, hb.Host.Name, hb.Promises)
		n.rolloutController.Take(hb.Host.Name, hb.Host.Boot, hb.Rollouts)
		return n.heartbeatResponse(hb), nil
	})
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
	a.AllHosts = a.Connected && n.hasHeardAllHosts()
	if hb.Primary {
		n.addCrashes(&a, hb)
		n.addPromises(&a, hb)
	}
	return a
}

// localResponse returns the heartbeat response without the fields that the replica provides.
func (n *Node) localResponse(hb wheelgauge.FleetHeartbeat) wheelgauge.FleetHeartbeatResponse {
	a := wheelgauge.FleetHeartbeatResponse{StoreBoot: n.boot, Generation: n.machine.State().Generation, Region: n.o.Region, Hall: n.o.Hall}
	// Hosts keep work off the servers of these halls, so none are told in a region that is cut off:
	// its callers can be served nowhere else, and probes find the servers that are cold.
	if n.peers.hearsOtherRegion(n.o.Region, n.now().Add(-otherRegionTimeout)) {
		a.HallOrders = n.hallOrders.Recent()
	}
	if hb.Host.Region == n.o.Region && n.coldProber != nil {
		a.ColdServers = n.coldProber.Cold()
	}
	if !hb.Primary {
		return a
	}
	a.Partial = n.warmingUp()
	a.TablesDigest = n.feed.Digest()
	if status, ok := n.servers.Status(hb.Host.Region); ok {
		a.Servers = &wheelgauge.ListStatus{AgeMS: status.AgeMS, ClockMS: status.ClockMS, Clock: status.Clock}
	}
	n.addLimits(&a, hb)
	a.ServerUsage = n.hosts.UsageWithout(hb.Host.Region, hb.Host.Name)
	a.Regions = n.regionUses()
	return a
}

// hasHeardAllHosts reports whether each live host has had time to reach this store. Hosts learn of
// all stores only from one that is connected to the others. It is called while this store is.
func (n *Node) hasHeardAllHosts() bool {
	now := n.now()
	if n.connectedAt.CompareAndSwap(0, now.UnixNano()) {
		return false
	}
	return now.Sub(time.Unix(0, n.connectedAt.Load())) >= warmUpPeriod
}

// otherRegionTimeout is how long after the last update of a store of another region this one's region
// counts as cut off.
const otherRegionTimeout = 4 * updateInterval

// warmingUp reports whether hosts may exist that have not sent a heartbeat to this store yet.
func (n *Node) warmingUp() bool { return n.now().Sub(n.started) < warmUpPeriod }
