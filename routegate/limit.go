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

// permitWaitShare is the part of its objective that a request waits at most for a server whose
// limit does not allow it yet: enough is left to be answered in time.
const permitWaitShare = 0.25

// observeLimit takes what an answer says of the server's limit, and writes a line when that
// changes.
func (c *call) observeLimit(x *exchange, s *serverset.Server) {
	name := c.gate.options.Names.Limit
	if name == "" || x.head.StatusCode() == http.StatusMisdirectedRequest {
		return // another server answered
	}
	server, values := s.Life(), httpfield.Values(x.head, name)
	rate, ok := smallestLimit(values)
	switch {
	case ok:
		if c.gate.options.Limits.Named(server, rate) {
			c.gate.options.Meter.Count("servers.limited")
			c.gate.options.Log.Info("A server names a limit.", "id", c.id, "server", server, "rate", rate, "status", x.head.StatusCode())
		}
	case len(values) > 0:
		c.gate.options.Meter.Count("servers.limit.unreadable")
	case isSuccess(x.head.StatusCode()) && c.gate.options.Limits.Absent(server, x.sentClock):
		c.gate.options.Log.Info("A server's limit ends.", "id", c.id, "server", server)
	}
}

// smallestLimit returns the smallest limit among the values of a header; ok is false if none can
// be read.
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

// placeWithPermit places the request where it may be sent: a limit that a server names binds
// all hosts together. Kept by each for itself, or passed over because a server that is
// asked for less looks idle, it is broken by as much as there are hosts.
func (c *call) placeWithPermit(ctx context.Context) placement {
	p := c.choosePlacement()
	for p.pick != nil && !c.takePermit(ctx, p.pick, 0) {
		if ctx.Err() != nil || c.expired() {
			return placement{}
		}
		p = c.choosePlacement()
	}
	if p.pick != nil || p.peer != nil || p.leaving {
		return p
	}
	// Nothing takes it now: better served by a limited server soon than refused.
	maxWait := min(wheelgauge.MostPermitWait, time.Duration(permitWaitShare*float64(c.route.Objective)))
	for k := c.chooseLimited(maxWait); k != nil && ctx.Err() == nil; k = c.chooseLimited(maxWait) {
		if c.takePermit(ctx, k, maxWait) {
			return placement{pick: k}
		}
	}
	return p
}

// chooseLimited chooses a server whose limit allows something again within a time.
func (c *call) chooseLimited(maxWait time.Duration) *serverset.Pick {
	if c.gate.options.Permits == nil || !c.allowedIn(c.gate.options.Region) {
		return nil
	}
	return c.gate.options.Servers.ChooseLimited(c.job(), maxWait)
}

// takePermit tells whether the request may go to the server chosen, and waits until it may.
func (c *call) takePermit(ctx context.Context, k *serverset.Pick, maxWait time.Duration) bool {
	server := k.Server().Life()
	if _, limited := c.gate.options.Limits.Rate(server); !limited || c.gate.options.Permits == nil {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, c.connDeadline())
	defer cancel()
	began := time.Now()
	defer func() { c.permitWait += time.Since(began) }()
	for ctx.Err() == nil {
		rate, _ := c.gate.options.Limits.Rate(server)
		after, ok := c.gate.options.Permits.Take(ctx, server, maxWait)
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
	k.Done(serverset.Left)
	return false
}

// waitForPermit waits until a permit is due that was given under a limit. One that was given
// ahead is not good any more if the limit changed meanwhile: a server that wants less now
// would get all that was given ahead by its earlier limit.
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
