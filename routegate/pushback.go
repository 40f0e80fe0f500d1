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

// backoffRetrySpread is the time after the end of a backoff over which refused callers return.
const backoffRetrySpread = 500 * time.Millisecond

// observePushback evaluates whether the answer of a server asks this host to back off, or
// announces that the server leaves. It reports whether to back off.
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
			c.gate.options.Log.Info("A server asks to back off.", "id", c.id, "server", k.Server().InstanceKey(), "backoff_ms", wait.Milliseconds(), "status", status, "forwarded", c.forwarded)
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
	if leaving && k.MarkLeaving() {
		c.gate.options.Meter.Count("servers.leaving")
		c.gate.options.Log.Info("A server says that it leaves.", "id", c.id, "server", k.Server().InstanceKey(), "status", x.head.StatusCode(), "forwarded", c.forwarded)
	}
}

// stillAccepted reports whether the chosen server still accepts the request: it may have
// pushed back while the request waited for a permit or a connection.
func (c *call) stillAccepted(k *serverset.Pick) bool {
	if k.Allowed() {
		return true
	}
	state, now := k.Pushback(), c.gate.options.Clock.Now()
	c.gate.options.Meter.Count("servers.pushback.kept")
	c.gate.options.Log.V(1).Info("A server pushed back after it was chosen for a request.", "id", c.id, "server", k.Server().InstanceKey(),
		"backoff_left_ms", state.Remaining(now).Milliseconds(), "leaving", state.Leaving(), "forwarded", c.forwarded, "sends", c.sends, "resumed", c.request.Started())
	return false
}

// observePeerBackoff reports whether a gateway refused a request because all its servers back
// off, and records until when.
func (c *call) observePeerBackoff(x *exchange, p *peerset.Peer) bool {
	wait, ok := pushback.ParseRetryAfter(httpfield.Values(x.head, "Retry-After"), nil)
	if !ok || wheelgauge.Reason(httpfield.Value(x.head, wheelgauge.HeaderReason)) != wheelgauge.ReasonBackoff {
		return false
	}
	c.gate.options.Peers.BackOff(p, c.service, wait)
	return true
}

// backoffLeft returns when the first server accepts the request again if all candidates back
// off, in this region and at the gateways of other regions that were tried; ok is false if the
// request is refused for another reason.
func (c *call) backoffLeft() (after time.Duration, ok bool) {
	o := c.gate.options
	if c.allowedIn(o.Region) {
		job := serverset.NewJob(c.service, c.prompt, c.rank, nil).WithRegions(c.allowedIn).WithVersions(c.versionFilter)
		if after, ok = o.Servers.BackoffEnds(job); ok && after == 0 {
			return 0, false
		}
	}
	if c.forwarded {
		return after, ok
	}
	if remote, backsOff := o.Peers.BackoffRemaining(c.service, c.allowedIn); backsOff && (!ok || remote < after) {
		return remote, true
	}
	return after, ok
}

// backoffRetryAfter returns when a caller refused during a backoff should retry: one after
// another at the rate that the service answers, within backoffRetrySpread.
func (c *call) backoffRetryAfter(remaining time.Duration) time.Duration {
	remaining = (remaining + time.Millisecond - 1).Truncate(time.Millisecond)
	if after, ok := c.scheduledReturn(remaining); ok {
		return max(remaining, after) // servers have said that they take nothing before
	}
	return c.gate.backoffRetries.next(c.service, c.gate.options.Clock.Now(), remaining, remaining+backoffRetrySpread)
}
