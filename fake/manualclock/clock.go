// Package manualclock is a clock that stands still until a test moves it.
package manualclock

import "time"

// Clock implements wheelgauge.Clock. It is for one goroutine.
type Clock struct{ at time.Time }

// New returns a clock at some moment.
func New() *Clock { return &Clock{at: time.Unix(1000, 0)} }

// Now implements wheelgauge.Clock.
func (c *Clock) Now() time.Time { return c.at }

// Pass moves the clock on.
func (c *Clock) Pass(d time.Duration) { c.at = c.at.Add(d) }
