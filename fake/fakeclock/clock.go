// Package fakeclock is a clock that a test can move forward, as if the machine had been
// suspended.
package fakeclock

import (
	"sync/atomic"
	"time"
)

// Clock implements wheelgauge.Clock: the monotonic clock plus simulated suspensions. It is
// safe for concurrent use.
type Clock struct{ suspended atomic.Int64 }

// Now implements wheelgauge.Clock.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// Suspend moves the clock forward by a duration that the monotonic clock does not count.
func (c *Clock) Suspend(d time.Duration) { c.suspended.Add(int64(d)) }
