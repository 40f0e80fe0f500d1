package routegate

import (
	"strconv"
	"time"
)

// longestLimit is the longest time that a caller may give a request: longer than any route
// allows.
const longestLimit = 24 * time.Hour

// limitOf reads the time in ms that a caller gives a request; ok is false without one. One
// that is too long to be a time would be over before it began.
func limitOf(text string) (limit time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	return time.Duration(min(ms, float64(longestLimit.Milliseconds())) * float64(time.Millisecond)), true
}

// asleep is for how long the host was suspended so far.
func (g *Gate) asleep() time.Duration { return g.options.Clock.Now().Sub(time.Now()) }

// due is when the request's time is over, by the steady clock that connections go by. Its
// caller's time goes on while the host is suspended.
func (c *call) due() time.Time { return c.deadline.Add(c.asleep - c.gate.asleep()) }

// over tells whether the request's time is over. It is asked several times a request: of
// the clock that counts suspended time one reading is enough.
func (c *call) over() bool {
	return !c.gate.options.Clock.Now().Before(c.deadline.Add(c.asleep))
}
