// Package stallwatch detects that the process was stalled: its machine was suspended, or the
// process was stopped or not scheduled.
package stallwatch

import (
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
)

// minStall is the shortest stall that is reported: a busy machine causes shorter ones.
const minStall = time.Second

// Watcher compares a clock that counts suspended time with the monotonic one. It must not be
// used concurrently.
type Watcher struct {
	clock     wheelgauge.Clock
	monotonic wheelgauge.Clock
	log       logr.Logger

	lastTime      time.Time
	lastMonotonic time.Time
}

// New returns a watcher that starts now.
func New(clock wheelgauge.Clock, log logr.Logger) *Watcher {
	w := &Watcher{clock: clock, monotonic: wheelgauge.MonotonicClock{}, log: log}
	w.lastTime, w.lastMonotonic = clock.Now(), w.monotonic.Now()
	return w
}

// Check is called once per interval. It returns the time since the last call beyond interval,
// 0 below minStall, and how long the machine was suspended, by the difference between the
// clocks. It logs a stall: the process's data is older by that much, and leases may have
// expired.
func (w *Watcher) Check(interval time.Duration) (stalled, suspended time.Duration) {
	now, monotonic := w.clock.Now(), w.monotonic.Now()
	elapsed := now.Sub(w.lastTime)
	suspended = elapsed - monotonic.Sub(w.lastMonotonic)
	w.lastTime, w.lastMonotonic = now, monotonic
	stalled = elapsed - interval
	if stalled < minStall {
		return 0, 0
	}
	w.log.Info("The process stood still.", "stood_ms", stalled.Milliseconds(), "suspended_ms", max(0, suspended).Milliseconds())
	return stalled, max(0, suspended)
}
