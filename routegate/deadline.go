package routegate

import (
	"strconv"
	"time"
)

// maxCallerTimeout is the longest time that a caller may give a request: longer than any route
// allows.
const maxCallerTimeout = 24 * time.Hour

// parseTimeout reads the time in ms that a caller gives a request; ok is false without one. One
// that is too long to be a time would be over before it began.
func parseTimeout(text string) (timeout time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	return time.Duration(min(ms, float64(maxCallerTimeout.Milliseconds())) * float64(time.Millisecond)), true
}

// suspendedFor is for how long the host was suspended so far.
func (g *Gate) suspendedFor() time.Duration { return g.options.Clock.Now().Sub(time.Now()) }

// connDeadline is when the request's time is over, by the steady clock that connections go by. Its
// caller's time goes on while the host is suspended.
func (c *call) connDeadline() time.Time {
	return c.deadline.Add(c.suspendedBefore - c.gate.suspendedFor())
}

// expired tells whether the request's time is over. It is asked several times a request: of
// the clock that counts suspended time one reading is enough.
func (c *call) expired() bool {
	return !c.gate.options.Clock.Now().Before(c.deadline.Add(c.suspendedBefore))
}
