// Package bootclock is a clock that counts the time for which the machine was suspended.
// The steady clock, by which time.Now is compared, stands still then: a store that
// sleeps for ten seconds would go by leases that have lapsed everywhere else.
package bootclock

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

// fresh is how long, by the steady clock, a reading of the boot clock is good: it is a
// system call of 280 ns, three times time.Now, and a request asks some ten times. Time
// that was lost is noticed 5 ms after waking at the latest.
const fresh = 5 * time.Millisecond

// reading is what the boot clock told last.
type reading struct {
	at   time.Time
	lost time.Duration
}

// Clock implements wheelgauge.Clock. It is safe for concurrent use.
type Clock struct {
	// boot reads the boot clock, now the steady one.
	boot func() (time.Duration, error)
	now  func() time.Time

	began     time.Time
	beganBoot time.Duration
	last      atomic.Pointer[reading]
	mu        sync.Mutex
}

// New returns a clock that begins now. With the error it goes by the steady clock alone:
// suspended time is not counted.
func New() (*Clock, error) { return newClock(bootTime, time.Now) }

// OrSteady returns a clock that begins now, and logs if it must go by the steady one.
func OrSteady(log logr.Logger) *Clock {
	c, err := New()
	if err != nil {
		log.Info("The clock is the steady one.", "cause", err.Error())
	}
	return c
}

func newClock(boot func() (time.Duration, error), now func() time.Time) (*Clock, error) {
	c := &Clock{boot: boot, now: now, began: now()}
	at, err := boot()
	if err != nil {
		c.boot = func() (time.Duration, error) { return c.now().Sub(c.began), nil }
		at = 0
		err = fmt.Errorf("suspended time is not counted: %w", err)
	}
	c.beganBoot = at
	c.last.Store(&reading{at: c.began})
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
	if d := now.Sub(last.at); d < 0 || d < fresh {
		return now.Add(last.lost)
	}
	return now.Add(c.read(now))
}

// read reads the boot clock anew. What was lost never becomes less: the two clocks are
// read one after the other, and the time between must not count back.
func (c *Clock) read(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.last.Load()
	if now.Before(last.at) {
		return last.lost
	}
	at, err := c.boot()
	if err != nil {
		return last.lost // it could be read at the start: it will be again
	}
	lost := max(last.lost, at-c.beganBoot-now.Sub(c.began))
	if lost-last.lost < grain {
		lost = last.lost
	}
	c.last.Store(&reading{at: now, lost: lost})
	return lost
}

// grain is the least time that counts as lost: less passes between two readings when
// another process runs between them.
const grain = 100 * time.Millisecond
