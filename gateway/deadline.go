package gateway

import "time"

// maxDeadline is the longest deadline that a caller may set: a number of milliseconds that
// overflows time.Duration would have expired at once.
const maxDeadline = 24 * time.Hour

// suspended returns the total time that the host has been suspended so far.
func (g *Gateway) suspended() time.Duration { return g.clock.Now().Sub(time.Now()) }

// localDeadline returns the request's deadline on the monotonic clock, which connections use. It
// moves earlier by the time the host was suspended, because the caller's time goes on then.
func (g *Gateway) localDeadline(rq *request) time.Time {
	return rq.call.Deadline.Add(rq.suspendedAtStart - g.suspended())
}

// expired reports whether the request's deadline has passed. It reads only the clock that counts
// suspended time, once.
func (g *Gateway) expired(rq *request) bool {
	return !g.clock.Now().Before(rq.call.Deadline.Add(rq.suspendedAtStart))
}

// timeLeft is how long the request may still take.
func (g *Gateway) timeLeft(rq *request) time.Duration { return time.Until(g.localDeadline(rq)) }
