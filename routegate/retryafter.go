package routegate

import "time"

// A refused caller returns after its remaining time divided by overloadRetryDivisor, at most
// after maxOverloadRetryAfter: the later it can return, the fewer other callers it competes with.
const (
	overloadRetryDivisor  = 4
	maxOverloadRetryAfter = 3 * time.Second
)

// overloadRetryAfter returns when a refused caller should retry. If server limits caused the
// refusal, that is when they allow requests again.
func (c *call) overloadRetryAfter() time.Duration {
	latest := min(maxOverloadRetryAfter, max(minOverloadRetryAfter, time.Until(c.connDeadline())/overloadRetryDivisor))
	earliest, limited := c.gate.options.Servers.NextDeferred(c.job())
	if after, ok := c.scheduledReturn(earliest); ok {
		return after
	}
	if !limited {
		return latest
	}
	return max(minOverloadRetryAfter, c.gate.limitRetries.next(c.service, c.gate.options.Clock.Now(), earliest, latest))
}
