package routegate

import (
	"net/http"
	"time"

	"wheelgauge"
	"wheelgauge/httpfield"
	"wheelgauge/peerset"
	"wheelgauge/pushback"
	"wheelgauge/serverset"
)

// backoffRetrySpread is within what time after a backoff callers come back that were refused in it.
const backoffRetrySpread = 500 * time.Millisecond

// observePushback takes what a server's answer asks of this host: to back off, or nothing more as it
// leaves. It tells whether the answer asks to back off.
func (c *call) observePushback(x *exchange, k *serverset.Pick) (backsOff bool) {
	status := x.head.StatusCode()
	if status == http.StatusMisdirectedRequest {
		return false // another server answered
	}
	c.observeLeaving(x, k)
	if status != http.StatusServiceUnavailable {
		return false
	}
	values := httpfield.Values(x.head, "Retry-After")
	wait, ok := pushback.ParseRetryAfter(values, httpfield.Values(x.head, "Date"))
	switch {
	case !ok && len(values) > 0:
		c.gate.options.Meter.Count("servers.backoffs.unreadable")
	case ok && wait > 0:
		c.gate.options.Meter.Count("servers.backoffs")
		if k.BackOff(wait) {
			c.gate.options.Log.Info("A server asks to back off.", "id", c.id, "server", k.Server().Life(), "backoff_ms", wait.Milliseconds(), "status", status, "forwarded", c.forwarded)
		}
	}
	return ok && wait > 0
}

func (c *call) observeLeaving(x *exchange, k *serverset.Pick) {
	name := c.gate.options.Names.Leaving
	if name == "" {
		return
	}
	leaving, ok := pushback.ParseLeaving(httpfield.Values(x.head, name))
	if !ok {
		c.gate.options.Meter.Count("servers.leaving.unreadable")
	}
	if leaving && k.Leave() {
		c.gate.options.Meter.Count("servers.leaving")
		c.gate.options.Log.Info("A server says that it leaves.", "id", c.id, "server", k.Server().Life(), "status", x.head.StatusCode(), "forwarded", c.forwarded)
	}
}

// stillAccepted tells whether the server chosen still takes the request: it may have asked for
// none while a permit or a connection was waited for.
func (c *call) stillAccepted(k *serverset.Pick) bool {
	if k.Allowed() {
		return true
	}
	state, now := k.Pushback(), c.gate.options.Clock.Now()
	c.gate.options.Meter.Count("servers.pushback.kept")
	c.gate.options.Log.V(1).Info("A server pushed back while a request was on its way.", "id", c.id, "server", k.Server().Life(),
		"backoff_left_ms", state.Left(now).Milliseconds(), "leaving", state.Leaving(), "forwarded", c.forwarded, "sends", c.sends, "resumed", c.request.Begun())
	return false
}

// observePeerBackoff tells whether a gateway refused a request as all servers there back off, and
// takes until when.
func (c *call) observePeerBackoff(x *exchange, p *peerset.Peer) bool {
	wait, ok := pushback.ParseRetryAfter(httpfield.Values(x.head, "Retry-After"), nil)
	if !ok || wheelgauge.Reason(httpfield.Value(x.head, wheelgauge.HeaderReason)) != wheelgauge.ReasonBackoff {
		return false
	}
	c.gate.options.Peers.BackOff(p, c.service, wait)
	return true
}

// backoffLeft returns when the first server takes the request again, where all that might take
// it rest, in this region and at the gateways of others that were asked; ok is false if there
// is another reason to wait.
func (c *call) backoffLeft() (after time.Duration, ok bool) {
	o := c.gate.options
	if c.allowedIn(o.Region) {
		job := serverset.NewJob(c.service, c.prompt, c.rank, nil).Within(c.allowedIn).Of(c.versionChoice)
		if after, ok = o.Servers.BackoffEnds(job); ok && after == 0 {
			return 0, false
		}
	}
	if c.forwarded {
		return after, ok
	}
	if remote, backsOff := o.Peers.BackoffEnds(c.service, c.allowedIn); backsOff && (!ok || remote < after) {
		return remote, true
	}
	return after, ok
}

// backoffRetryAfter says when a caller comes back that was refused as servers back off: they return one
// after another as fast as the service answers, within returnSpread.
func (c *call) backoffRetryAfter(remaining time.Duration) time.Duration {
	remaining = (remaining + time.Millisecond - 1).Truncate(time.Millisecond)
	return c.gate.backoffRetries.next(c.service, c.gate.options.Clock.Now(), remaining, remaining+backoffRetrySpread)
}
