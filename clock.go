package wheelgauge

import "time"

// Clock is the time source for ages, leases and deadlines. It advances while the machine is
// suspended, and it never jumps. Times of one clock can only be compared with each other, not
// with those of time.Now, of another machine, or of another start of the process.
type Clock interface {
	Now() time.Time
}

// MonotonicClock is Go's monotonic clock, which does not advance while the machine is suspended.
type MonotonicClock struct{}

// Now implements Clock.
func (MonotonicClock) Now() time.Time { return time.Now() }
