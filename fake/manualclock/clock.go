// Package manualclock is a clock that advances only when a test moves it.
package manualclock

import (
	"sync"
	"time"
)

// Clock implements wheelgauge.Clock. It is safe for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now time.Time
}

// New returns a clock at a fixed time.
func New() *Clock { return &Clock{now: time.Unix(1000, 0)} }

// Now implements wheelgauge.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
