package gateway

import "time"

// maxDeadline is the longest time that a caller may give a request: a number of ms that is
// too large for a time would be over before it began.
const maxDeadline = 24 * time.Hour

// suspended is for how long the host was suspended so far.
func (g *Gateway) suspended() time.Duration { return g.clock.Now().Sub(time.Now()) }

// localDeadline is when the request's time is over, by the steady clock that connections go by. Its
// caller's time goes on while the host is suspended.
func (g *Gateway) localDeadline(rq *request) time.Time { return rq.call.Deadline.Add(rq.suspendedAtStart - g.suspended()) }

// expired tells whether the request's time is over; of the clock that counts suspended time one
// reading is enough.
func (g *Gateway) expired(rq *request) bool {
	return !g.clock.Now().Before(rq.call.Deadline.Add(rq.suspendedAtStart))
}
