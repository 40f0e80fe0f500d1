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

// permitPart is the part of its objective that a request waits at most for a server whose
// limit does not allow it yet: enough is left to be answered in time.
const permitPart = 0.25

// hearLimit takes what an answer says of the server's limit, and writes a line when that
// changes.
func (c *call) hearLimit(x *exchange, s *serverset.Server) {
	name := c.gate.options.Names.Limit
	if name == "" || x.head.StatusCode() == http.StatusMisdirectedRequest {
		return // another server answered
	}
	server, values := s.Life(), httpfield.Values(x.head, name)
	rate, named := least(values)
	switch {
	case named:
		if c.gate.options.Limits.Named(server, rate) {
			c.gate.options.Meter.Count("servers.limited")
			c.gate.options.Log.Info("A server names a limit.", "id", c.id, "server", server, "rate", rate, "status", x.head.StatusCode())
		}
	case len(values) > 0:
		c.gate.options.Meter.Count("servers.limit.unreadable")
	case isSuccess(x.head.StatusCode()) && c.gate.options.Limits.Absent(server, x.clock):
		c.gate.options.Log.Info("A server's limit ends.", "id", c.id, "server", server)
	}
}

// least returns the smallest limit among the values of a header; ok is false if none can
// be read.
func least(values [][]byte) (rate float64, ok bool) {
	for _, v := range values {
		if r, good := serverlimit.Parse(string(v)); good && (!ok || r < rate) {
			rate, ok = r, true
		}
	}
	return rate, ok
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// placePermitted places the request where it may be sent: a limit that a server names binds
// all hosts together. Kept by each for itself, or passed over because a server that is
// asked for less looks idle, it is broken by as much as there are hosts.
func (c *call) placePermitted(ctx context.Context) place {
	p := c.place()
	for p.pick != nil && !c.permitted(ctx, p.pick, 0) {
		if ctx.Err() != nil || c.over() {
			return place{}
		}
		p = c.place()
	}
	if p.pick != nil || p.peer != nil || p.leaving {
		return p
	}
	// Nothing takes it now: better served by a limited server soon than refused.
	patience := min(wheelgauge.MostPermitWait, time.Duration(permitPart*float64(c.route.Objective)))
	for k := c.limited(patience); k != nil && ctx.Err() == nil; k = c.limited(patience) {
		if c.permitted(ctx, k, patience) {
			return place{pick: k}
		}
	}
	return p
}

// limited chooses a server whose limit allows something again within a time.
func (c *call) limited(patience time.Duration) *serverset.Pick {
	if c.gate.options.Permits == nil || !c.allowedIn(c.gate.options.Region) {
		return nil
	}
	return c.gate.options.Servers.ChooseLimited(c.job(), patience)
}

// permitted tells whether the request may go to the server chosen, and waits until it may.
func (c *call) permitted(ctx context.Context, k *serverset.Pick, patience time.Duration) bool {
	server := k.Server().Life()
	if _, limited := c.gate.options.Limits.Rate(server); !limited || c.gate.options.Permits == nil {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, c.due())
	defer cancel()
	began := time.Now()
	defer func() { c.permitWait += time.Since(began) }()
	for ctx.Err() == nil {
		rate, _ := c.gate.options.Limits.Rate(server)
		after, ok := c.gate.options.Permits.Take(ctx, server, patience)
		if !ok {
			c.gate.options.Meter.Count("permits.refused")
			k.Defer(after)
			return false
		}
		if c.awaitPermit(ctx, server, rate, after) {
			c.gate.turns.served(c.service, c.gate.options.Clock.Now())
			k.Sent()
			return true
		}
		patience = max(0, patience-after)
	}
	k.Done(serverset.Left)
	return false
}

// awaitPermit waits until a permit is due that was given under a limit. One that was given
// ahead is not good any more if the limit changed meanwhile: a server that wants less now
// would get all that was given ahead by its earlier limit.
func (c *call) awaitPermit(ctx context.Context, server string, was float64, after time.Duration) bool {
	if after <= 0 {
		return true
	}
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case <-timer.C:
		rate, _ := c.gate.options.Limits.Rate(server)
		return rate == was
	case <-ctx.Done():
		return false
	}
}
