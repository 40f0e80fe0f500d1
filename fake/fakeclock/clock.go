// Package fakeclock is a clock that a test moves, as if the machine had been suspended.
package fakeclock

import (
	"sync/atomic"
	"time"
)

// Clock implements wheelgauge.Clock: the steady clock and what it was moved by. It is
// safe for concurrent use.
type Clock struct{ lost atomic.Int64 }

// Now implements wheelgauge.Clock.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.lost.Load())) }

// Suspend moves the clock on by a time that the steady one does not count.
func (c *Clock) Suspend(d time.Duration) { c.lost.Add(int64(d)) }
