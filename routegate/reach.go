package routegate

import (
	"context"
	"net/http"

	"wheelgauge"
	"wheelgauge/peerset"
	"wheelgauge/serverset"
)

// recordUnreached records that a server could not be reached, or did not begin to answer. A request
// whose time is over says nothing of the server.
func (c *call) recordUnreached(ctx context.Context, s *serverset.Server) {
	if ctx.Err() != nil || c.expired() {
		return
	}
	o := c.gate.options
	listed := o.Servers.ListedServers(c.service)
	if !o.Reach.Failed(c.service, s.InstanceKey(), listed) {
		return
	}
	o.Meter.Count("servers.out_of_reach")
	o.Log.Info("This host reaches no server of a service.", "id", c.id, "service", c.service, "servers", listed, "last", s.InstanceKey(), "cause", c.cause)
}

// recordReached records that a server has answered.
func (c *call) recordReached() {
	o := c.gate.options
	if o.Reach.Reached(c.service) {
		o.Log.Info("This host reaches servers of a service again.", "id", c.id, "service", c.service)
	}
}

// outOfReach is the refusal of a forwarded request of a service of which this host reaches no server.
func (c *call) outOfReach() *wheelgauge.Error {
	c.gate.options.Meter.Count("forward.received.out_of_reach")
	return refusal(wheelgauge.ReasonOutOfReach, http.StatusServiceUnavailable, "this host reaches no server of the service")
}

// recordForwardEnd records whether a forwarded request failed, against its region: the next try goes
// elsewhere.
func (c *call) recordForwardEnd(ctx context.Context, p *peerset.Peer, failed bool) {
	if ctx.Err() != nil || c.callerLeft || c.expired() {
		return
	}
	c.gate.options.Peers.Ended(p, c.service, failed)
	if failed {
		c.failedRegions = append(c.failedRegions, p.Region())
	}
}
