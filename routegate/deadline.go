package routegate

import (
	"strconv"
	"time"
)

// maxCallerTimeout caps the time that a caller gives a request; it exceeds the timeout of any
// route.
const maxCallerTimeout = 24 * time.Hour

// parseTimeout reads the time in ms that a caller gives a request; ok is false without a valid
// one. Larger values are capped, as they would overflow time.Duration to a negative time.
func parseTimeout(text string) (timeout time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	return time.Duration(min(ms, float64(maxCallerTimeout.Milliseconds())) * float64(time.Millisecond)), true
}

// suspendedFor returns how long the host has been suspended in total.
func (g *Gate) suspendedFor() time.Duration { return g.options.Clock.Now().Sub(time.Now()) }

// connDeadline is when the request expires, by the monotonic clock that connections use. The
// time of its caller goes on while the host is suspended.
func (c *call) connDeadline() time.Time {
	return c.deadline.Add(c.suspendedBefore - c.gate.suspendedFor())
}

// expired reports whether the time of the request is over. It is called several times per
// request, so it reads the clock that counts suspended time only once.
func (c *call) expired() bool {
	return !c.gate.options.Clock.Now().Before(c.deadline.Add(c.suspendedBefore))
}
