package routegate

import (
	"net/http"
	"time"

	"wheelgauge"
	"wheelgauge/httpfield"
	"wheelgauge/peerset"
	"wheelgauge/serverask"
	"wheelgauge/serverset"
)

// restSpread is within what time after a rest callers come back that were refused in it.
const restSpread = 500 * time.Millisecond

// hearAsk takes what a server's answer asks of this host: a rest, or nothing more as it
// leaves. It tells whether the answer asks for a rest.
func (c *call) hearAsk(x *exchange, k *serverset.Pick) (rests bool) {
	status := x.head.StatusCode()
	if status == http.StatusMisdirectedRequest {
		return false // another server answered
	}
	c.hearLeaving(x, k)
	if status != http.StatusServiceUnavailable {
		return false
	}
	values := httpfield.Values(x.head, "Retry-After")
	wait, ok := serverask.ParseRest(values, httpfield.Values(x.head, "Date"))
	switch {
	case !ok && len(values) > 0:
		c.gate.options.Meter.Count("servers.rests.unreadable")
	case ok && wait > 0:
		c.gate.options.Meter.Count("servers.rests")
		if k.Rest(wait) {
			c.gate.options.Log.Info("A server asks for a rest.", "id", c.id, "server", k.Server().Life(), "rest_ms", wait.Milliseconds(), "status", status, "forwarded", c.forwarded)
		}
	}
	return ok && wait > 0
}

func (c *call) hearLeaving(x *exchange, k *serverset.Pick) {
	name := c.gate.options.Names.Leaving
	if name == "" {
		return
	}
	leaving, ok := serverask.ParseLeaving(httpfield.Values(x.head, name))
	if !ok {
		c.gate.options.Meter.Count("servers.leaving.unreadable")
	}
	if leaving && k.Leave() {
		c.gate.options.Meter.Count("servers.leaving")
		c.gate.options.Log.Info("A server says that it leaves.", "id", c.id, "server", k.Server().Life(), "status", x.head.StatusCode(), "forwarded", c.forwarded)
	}
}

// mayStillSend tells whether the server chosen still takes the request: it may have asked for
// none while a permit or a connection was waited for.
func (c *call) mayStillSend(k *serverset.Pick) bool {
	if k.Allowed() {
		return true
	}
	asked, now := k.Asked(), c.gate.options.Clock.Now()
	c.gate.options.Meter.Count("servers.asked.kept")
	c.gate.options.Log.V(1).Info("A server asked for no request while one was on its way.", "id", c.id, "server", k.Server().Life(),
		"rest_left_ms", asked.Left(now).Milliseconds(), "leaving", asked.Leaving(), "forwarded", c.forwarded, "sends", c.sends, "resumed", c.request.Begun())
	return false
}

// hearPeerRest tells whether a gateway refused a request as all servers there rest, and
// takes until when.
func (c *call) hearPeerRest(x *exchange, p *peerset.Peer) bool {
	wait, ok := serverask.ParseRest(httpfield.Values(x.head, "Retry-After"), nil)
	if !ok || wheelgauge.Reason(httpfield.Value(x.head, wheelgauge.HeaderReason)) != wheelgauge.ReasonResting {
		return false
	}
	c.gate.options.Peers.Rest(p, c.service, wait)
	return true
}

// restOver returns when the first server takes the request again, where all that might take
// it rest, in this region and at the gateways of others that were asked; ok is false if there
// is another reason to wait.
func (c *call) restOver() (after time.Duration, ok bool) {
	o := c.gate.options
	if c.allowedIn(o.Region) {
		job := serverset.NewJob(c.service, c.prompt, c.rank, nil).Within(c.allowedIn).Of(c.versions)
		if after, ok = o.Servers.RestOver(job); ok && after == 0 {
			return 0, false
		}
	}
	if c.forwarded {
		return after, ok
	}
	if there, rest := o.Peers.RestOver(c.service, c.allowedIn); rest && (!ok || there < after) {
		return there, true
	}
	return after, ok
}

// afterRest says when a caller comes back that was refused as servers rest: they return one
// after another as fast as the service answers, within restSpread.
func (c *call) afterRest(over time.Duration) time.Duration {
	over = (over + time.Millisecond - 1).Truncate(time.Millisecond)
	return c.gate.returns.next(c.service, c.gate.options.Clock.Now(), over, over+restSpread)
}
