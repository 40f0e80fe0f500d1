package routegate

import (
	"context"
	"net/http"
	"time"

	"wheelgauge"
	"wheelgauge/httpfield"
	"wheelgauge/serverlimit"
	"wheelgauge/serverset"
)

// maxPlaceTries is how many servers are asked for a place at once, and how many of them a request
// waits for: each is a round trip to a store, and other requests of the host ask the rest.
const maxPlaceTries = 3

// permitWaitShare is the share of its objective that a request waits at most for a permit of a
// rate-limited server; the rest is left for the answer.
const permitWaitShare = 0.25

// limitTexts are the lines and counters of a kind of limit.
type limitTexts struct{ begins, ends, counter, unreadable string }

var limitTextsOf = map[wheelgauge.LimitKind]limitTexts{
	wheelgauge.LimitRequests:   {"A server names a limit.", "A server's limit ends.", "servers.limited", "servers.limit.unreadable"},
	wheelgauge.LimitRejections: {"A server names the rejections that it bears.", "A server names no rejections any more.", "servers.brittle", "servers.brittle.unreadable"},
}

// observeLimits records the limits that an answer announces for its server, and logs changes.
func (c *call) observeLimits(x *exchange, s *serverset.Server) {
	c.observeLimit(x, s, wheelgauge.LimitRequests, c.gate.options.Names.Limit)
	c.observeLimit(x, s, wheelgauge.LimitRejections, c.gate.options.Names.Brittle)
}

func (c *call) observeLimit(x *exchange, s *serverset.Server, kind wheelgauge.LimitKind, name string) {
	if name == "" || x.head.StatusCode() == http.StatusMisdirectedRequest {
		return // another server answered
	}
	server, values, texts := s.InstanceKey(), httpfield.Values(x.head, name), limitTextsOf[kind]
	rate, ok := smallestLimit(values)
	switch {
	case ok:
		if c.gate.options.Limits.Observe(kind, server, rate) {
			c.gate.options.Meter.Count(texts.counter)
			c.gate.options.Log.Info(texts.begins, "id", c.id, "server", server, "rate", rate, "status", x.head.StatusCode())
		}
	case len(values) > 0:
		c.gate.options.Meter.Count(texts.unreadable)
	case isSuccess(x.head.StatusCode()) && c.gate.options.Limits.ObserveNone(kind, server, x.sentClock):
		c.gate.options.Log.Info(texts.ends, "id", c.id, "server", server)
	}
}

// smallestLimit returns the smallest limit among the values of a header; ok is false if none
// is valid.
func smallestLimit(values [][]byte) (rate float64, ok bool) {
	for _, v := range values {
		if r, valid := serverlimit.Parse(string(v)); valid && (!ok || r < rate) {
			rate, ok = r, true
		}
	}
	return rate, ok
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// placeWithPermit chooses a server that the request may be sent to. The limits that a server
// announces apply to all hosts together: enforced by each host on its own, or ignored
// because a limited server looks idle, they would be exceeded by a factor of the number of
// hosts.
func (c *call) placeWithPermit(ctx context.Context) placement {
	refusedBefore := c.noPlaces
	p := c.choosePlacement()
	for p.pick != nil && !c.takePermit(ctx, p.pick, 0) {
		if ctx.Err() != nil || c.expired() {
			return placement{}
		}
		if c.noPlaces-refusedBefore >= maxPlaceTries {
			p = placement{}
			break
		}
		p = c.choosePlacement()
	}
	if p.pick != nil || p.peer != nil || p.leaving {
		return p
	}
	// No server accepts it now: waiting for one that limits its requests is better than refusing.
	refusedBefore = c.noPlaces
	left := min(wheelgauge.MaxPermitLead, time.Duration(permitWaitShare*float64(c.route.LatencyObjective)))
	for left >= 0 && ctx.Err() == nil && c.noPlaces-refusedBefore < maxPlaceTries {
		k := c.chooseLimited(left)
		if k == nil {
			return p
		}
		began := time.Now()
		if c.takePermit(ctx, k, left) {
			return placement{pick: k}
		}
		left -= time.Since(began)
	}
	return p
}

// chooseLimited chooses a server whose limit allows a request within maxWait.
func (c *call) chooseLimited(maxWait time.Duration) *serverset.Pick {
	if c.gate.options.Permits == nil || !c.allowedIn(c.gate.options.Region) {
		return nil
	}
	return c.gate.options.Servers.ChooseDeferred(c.job(), maxWait)
}

// takePermit reports whether the request may be sent to the chosen server, and waits until it
// may.
func (c *call) takePermit(ctx context.Context, k *serverset.Pick, maxWait time.Duration) bool {
	if c.gate.options.Permits == nil {
		return true
	}
	began := time.Now()
	defer func() { c.permitWait += time.Since(began) }()
	left, ok := c.takePlace(ctx, k, maxWait)
	return ok && c.takeRate(ctx, k, left)
}

// takePlace takes a place at the chosen server, and returns what is left of the time to wait. A
// server that fails if it has to reject many requests gets one only while it has room.
func (c *call) takePlace(ctx context.Context, k *serverset.Pick, maxWait time.Duration) (left time.Duration, ok bool) {
	began := time.Now()
	server, permits := k.Server().InstanceKey(), c.gate.options.Permits
	bears, brittle := k.Bears()
	if brittle {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.connDeadline())
		defer cancel()
	}
	after, ok := permits.Enter(ctx, wheelgauge.PlaceQuery{Server: server, Slots: k.Slots(), Brittle: brittle, Bears: bears, Rank: c.rank, MaxWait: maxWait})
	switch {
	case ok:
		k.OnEnd(func() { permits.Leave(server) })
		if !brittle {
			return maxWait, true
		}
		c.gate.limitRetries.served(c.service, c.gate.options.Clock.Now())
		k.Sent()
		return max(0, maxWait-time.Since(began)), true
	case ctx.Err() != nil:
		k.Done(serverset.Abandoned)
		return 0, false
	}
	c.gate.options.Meter.Count("places.refused")
	c.noPlaces++
	k.Defer(after)
	return 0, false
}

// takeRate takes a permit of a server that limits the requests a second.
func (c *call) takeRate(ctx context.Context, k *serverset.Pick, maxWait time.Duration) bool {
	server := k.Server().InstanceKey()
	if _, limited := c.gate.options.Limits.Rate(server); !limited {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, c.connDeadline())
	defer cancel()
	for ctx.Err() == nil {
		rate, _ := c.gate.options.Limits.Rate(server)
		after, ok := c.gate.options.Permits.Acquire(ctx, server, maxWait)
		if !ok {
			c.gate.options.Meter.Count("permits.refused")
			k.Defer(after)
			return false
		}
		if c.waitForPermit(ctx, server, rate, after) {
			c.gate.limitRetries.served(c.service, c.gate.options.Clock.Now())
			k.Sent()
			return true
		}
		maxWait = max(0, maxWait-after)
	}
	k.Done(serverset.Abandoned)
	return false
}

// recordPlaces records what an answer says of the places of its server.
func (c *call) recordPlaces(x *exchange, k *serverset.Pick, r serverset.LoadReport, loadKnown, rejected bool) {
	if c.gate.options.Permits == nil {
		return
	}
	a := wheelgauge.PlaceAnswer{Rejected: rejected, LoadKnown: loadKnown, Running: r.Running(), Waiting: r.Waiting()}
	if !rejected && c.route.Kind == wheelgauge.RouteStream && isSuccess(x.head.StatusCode()) {
		a.Running = max(0, a.Running-1) // the stream itself goes on
	}
	c.gate.options.Permits.Answered(k.Server().InstanceKey(), a)
}

// waitForPermit waits until a permit granted ahead of time is due. It is void if the limit has
// changed since: a server that lowers its limit would otherwise still get everything granted
// ahead under the old one.
func (c *call) waitForPermit(ctx context.Context, server string, grantedRate float64, after time.Duration) bool {
	if after <= 0 {
		return true
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-timer.C:
		rate, _ := c.gate.options.Limits.Rate(server)
		return rate == grantedRate
	case <-ctx.Done():
		return false
	}
}
