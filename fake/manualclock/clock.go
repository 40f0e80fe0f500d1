// Package manualclock is a clock that advances only when a test moves it.
package manualclock

import "time"

// Clock implements wheelgauge.Clock. It is not safe for concurrent use.
type Clock struct{ now time.Time }

// New returns a clock at a fixed time.
func New() *Clock { return &Clock{now: time.Unix(1000, 0)} }

// Now implements wheelgauge.Clock.
func (c *Clock) Now() time.Time { return c.now }

// Pass moves the clock forward.
func (c *Clock) Pass(d time.Duration) { c.now = c.now.Add(d) }
