package routegate

import (
	"time"

	"wheelgauge"
)

const (
	// usableTimeDivisor times the moment told is the time that a caller has left: callers wait
	// for a third of it at most.
	usableTimeDivisor = 3
	// minUsefulReturn is the shortest time after which returning may find other load than now:
	// what other hosts have in flight is known 150 ms later.
	minUsefulReturn = 150 * time.Millisecond
	// returnLogInterval is the sampling of promises and returns in the log: one in this many.
	returnLogInterval = 32
)

// recogniseReturn finds out whether the caller was told to come now.
func (c *call) recogniseReturn() {
	o := c.gate.options
	if o.Returns == nil || c.forwarded {
		return
	}
	var early bool
	c.returning, early = o.Returns.Returning(len(c.request.Body()), c.fingerprint)
	o.Returns.Arrived(c.service, c.returning)
	switch {
	case c.returning:
		o.Meter.Count("returns.in_window")
	case early:
		o.Meter.Count("returns.early")
	}
}

// recordServed records that an answer has begun.
func (c *call) recordServed() {
	if r := c.gate.options.Returns; r != nil && !c.forwarded {
		r.Served(c.service)
	}
}

// recordReturnEnd counts how a request ended whose caller came when it was told to.
func (c *call) recordReturnEnd(ok bool) {
	switch {
	case !c.returning:
	case ok:
		c.gate.options.Meter.Count("returns.kept")
	case c.endedBy != endedByCaller && c.runs == 0:
		c.gate.options.Meter.Count("returns.refused_again")
	}
}

// promisedShare is the part of the room that is kept from this request for callers that were
// told to come now.
func (c *call) promisedShare() float64 {
	if c.gate.options.Returns == nil || c.returning || c.forwarded {
		return 0
	}
	return c.gate.options.Returns.PromisedShare(c.service, c.rank)
}

// usableReturns returns after what time the caller may return at the soonest and at the latest.
func (c *call) usableReturns() (earliest, latest time.Duration) {
	left := time.Until(c.connDeadline())
	latest = left / usableTimeDivisor
	earliest = min(minOverloadRetryAfter, latest)
	// The answer has to fit in what is left then, if the route was ever served here.
	return earliest, min(latest, max(earliest, left-c.gate.durations.get(c.route.Name, 0).mean))
}

// scheduledReturn returns when the refused caller should return by the schedule, not before
// servers take requests again; zero if no moment is of use to it. ok is false without a
// schedule.
func (c *call) scheduledReturn(servers time.Duration) (after time.Duration, ok bool) {
	o := c.gate.options
	if o.Returns == nil || c.forwarded {
		return 0, false
	}
	earliest, latest := c.usableReturns()
	if latest < minUsefulReturn {
		o.Meter.Count("returns.none")
		return 0, true
	}
	earliest = max(earliest, servers)
	r := wheelgauge.RefusedRequest{
		Service: c.service, Rank: c.rank, Fingerprint: c.fingerprint(), BodyBytes: len(c.request.Body()),
		Earliest: min(earliest, latest), Latest: latest, Returning: c.returning || earliest > latest,
	}
	next := o.Returns.Next(r)
	kind := "returns.unpromised"
	if next.Promised {
		kind = "returns.promised"
	}
	o.Meter.Count(kind)
	if c.gate.returnsLogged.Add(1)%returnLogInterval == 1 {
		o.Log.Info("A refused caller is told when to return.", "id", c.id, "request", r.Fingerprint, "service", c.service, "rank", c.rank, "cause", c.cause,
			"after_ms", next.After.Milliseconds(), "promised", next.Promised, "returning", c.returning, "earliest_ms", earliest.Milliseconds(), "latest_ms", latest.Milliseconds(),
			"served_rate", next.ServedRate, "new_rate", next.NewRate, "room_rate", next.RoomRate)
	}
	return next.After, true
}
