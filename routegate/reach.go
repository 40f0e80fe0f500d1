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

// recordSent records that the request is sent to a server. One that may run again, if only at its
// caller's next try, is ended if the server is silent.
func (c *call) recordSent(x *exchange) *reachability.Send {
	var abort func()
	if c.route.Repeatable() {
		abort = func() {
			x.silenced.Store(true)
			x.conn.Abort()
		}
	}
	o := c.gate.options
	return o.Reach.Sent(c.service, x.pick.Server().InstanceKey(), o.Servers.ListedServers(c.service), c.expectedFirst(x.pick), abort)
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

// EndSilent ends the requests that wait for servers of a service of which none sends anything any
// more; they are sent elsewhere. It is called several times a second.
func (g *Gate) EndSilent() {
	o := g.options
	isolated, ended := o.Reach.AbortSilent()
	for _, service := range isolated {
		o.Meter.Count("servers.out_of_reach")
		o.Log.Info("This host reaches no server of a service.", "service", service, "servers", o.Servers.ListedServers(service), "ended", ended, "cause", "no server sends anything")
	}
	o.Meter.Add("servers.silent_ended", int64(ended))
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
	if ctx.Err() != nil || c.endedBy.unrelatedToServer() || c.expired() {
		return
	}
	c.gate.options.Peers.Ended(p, c.service, failed)
	if failed {
		c.failedRegions = append(c.failedRegions, p.Region())
	}
}
