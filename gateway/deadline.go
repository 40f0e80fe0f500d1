package gateway

import "time"

// longestLimit is the longest time that a caller may give a request: a number of ms that is
// too large for a time would be over before it began.
const longestLimit = 24 * time.Hour

// asleep is for how long the host was suspended so far.
func (g *Gateway) asleep() time.Duration { return g.clock.Now().Sub(time.Now()) }

// due is when the request's time is over, by the steady clock that connections go by. Its
// caller's time goes on while the host is suspended.
func (g *Gateway) due(rq *request) time.Time { return rq.call.Deadline.Add(rq.asleep - g.asleep()) }

// over tells whether the request's time is over; of the clock that counts suspended time one
// reading is enough.
func (g *Gateway) over(rq *request) bool {
	return !g.clock.Now().Before(rq.call.Deadline.Add(rq.asleep))
}
