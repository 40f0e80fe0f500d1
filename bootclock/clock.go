// Package bootclock provides a clock that includes the time for which the machine was
// suspended. The monotonic clock, which time.Now compares by, stops during suspension: a
// store that was suspended for ten seconds would use leases that have expired everywhere
// else.
package bootclock

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

// maxReadingAge is how long, by the monotonic clock, a reading of the boot clock is reused.
// A reading is a system call of 280 ns, three times the cost of time.Now, and a request
// needs the time about ten times. Suspended time is noticed at most 5 ms after resuming.
const maxReadingAge = 5 * time.Millisecond

// reading is the last reading of the boot clock.
type reading struct {
	at        time.Time
	suspended time.Duration
}

// Clock implements wheelgauge.Clock. It is safe for concurrent use.
type Clock struct {
	// boot reads the boot clock and now the monotonic clock.
	boot func() (time.Duration, error)
	now  func() time.Time

	start     time.Time
	startBoot time.Duration
	last      atomic.Pointer[reading]
	mu        sync.Mutex
}

// New returns a clock that starts now. If it also returns an error, the clock is monotonic
// and does not count suspended time.
func New() (*Clock, error) { return newClock(bootTime, time.Now) }

// NewOrMonotonic returns a clock that starts now, and logs if it has to be the monotonic one.
func NewOrMonotonic(log logr.Logger) *Clock {
	c, err := New()
	if err != nil {
		log.Info("The clock is the steady one.", "cause", err.Error())
	}
	return c
}

func newClock(boot func() (time.Duration, error), now func() time.Time) (*Clock, error) {
	c := &Clock{boot: boot, now: now, start: now()}
	at, err := boot()
	if err != nil {
		c.boot = func() (time.Duration, error) { return c.now().Sub(c.start), nil }
		at = 0
		err = fmt.Errorf("suspended time is not counted: %w", err)
	}
	c.startBoot = at
	c.last.Store(&reading{at: c.start})
	return c, err
}

func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read the boot clock: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// Now implements wheelgauge.Clock.
func (c *Clock) Now() time.Time {
	now := c.now()
	last := c.last.Load()
	if d := now.Sub(last.at); d < 0 || d < maxReadingAge {
		return now.Add(last.suspended)
	}
	return now.Add(c.read(now))
}

// read reads the boot clock. The suspended time never decreases: the two clocks are read one
// after the other, and the time in between must not be subtracted.
func (c *Clock) read(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last.Load()
	if now.Before(last.at) {
		return last.suspended
	}
	at, err := c.boot()
	if err != nil {
		return last.suspended // it was readable at the start, so later reads will succeed
	}
	suspended := max(last.suspended, at-c.startBoot-now.Sub(c.start))
	if suspended-last.suspended < minSuspension {
		suspended = last.suspended
	}
	c.last.Store(&reading{at: now, suspended: suspended})
	return suspended
}

// minSuspension is the shortest time that counts as suspended: a shorter one may pass between
// the readings of the two clocks while another process runs.
const minSuspension = 100 * time.Millisecond
