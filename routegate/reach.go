package routegate

import (
	"context"
	"net/http"
	"time"

	"wheelgauge"
	"wheelgauge/peerset"
	"wheelgauge/reachability"
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

// recordSent records that the request is sent to a server.
func (c *call) recordSent(x *exchange) *reachability.Send {
	o := c.gate.options
	return o.Reach.Sent(c.service, x.pick.Server().InstanceKey(), o.Servers.ListedServers(c.service), c.expectedFirst(x.pick), func() bool { return c.move(x, o.Region) })
}

// expectedFirst returns when the first bytes of an answer are expected: of one that is not a stream,
// with its last token.
func (c *call) expectedFirst(k *serverset.Pick) time.Duration {
	if c.route.Kind == wheelgauge.RouteStream {
		return k.Wait()
	}
	if f, _, ok := k.Forecast(); ok {
		return max(k.Wait(), f.Last)
	}
	return max(k.Wait(), c.gate.waits.mean(c.route.Name))
}

// MoveSilent moves the requests that wait for servers of a service of which none sends anything any
// more, where they can go on in another region. It is called several times a second.
func (g *Gate) MoveSilent() {
	o := g.options
	isolated, moved := o.Reach.MoveSilent()
	for _, service := range isolated {
		o.Meter.Count("servers.out_of_reach")
		o.Log.Info("This host reaches no server of a service.", "service", service, "servers", o.Servers.ListedServers(service), "moved", moved, "cause", "no server sends anything")
	}
	o.Meter.Add("servers.silent_moved", int64(moved))
}

// recordReached records that a server has answered.
func (c *call) recordReached() {
	if c.gate.options.Reach.Reached(c.service) {
		c.logReached()
	}
}

func (c *call) logReached() {
	c.gate.options.Log.Info("This host reaches servers of a service again.", "id", c.id, "service", c.service)
}

// outOfReach is the refusal of a forwarded request of a service of which this host reaches no server.
func (c *call) outOfReach() *wheelgauge.Error {
	c.gate.options.Meter.Count("forward.received.out_of_reach")
	return refusal(wheelgauge.ReasonOutOfReach, http.StatusServiceUnavailable, "this host reaches no server of the service")
}

// recordForwardEnd records whether a forwarded request failed, against its region: the next try goes
// elsewhere.
func (c *call) recordForwardEnd(ctx context.Context, p *peerset.Peer, failed bool) {
	if ctx.Err() != nil || c.endedBy.unrelatedToServer() || c.expired() {
		return
	}
	c.gate.options.Peers.Ended(p, c.service, failed)
	if failed {
		c.failedRegions = append(c.failedRegions, p.Region())
	}
}
