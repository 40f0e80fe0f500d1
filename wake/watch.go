// Package wake notices that a process stood still: its machine was suspended, or the
// process was frozen or not given the processor.
package wake

import (
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
)

// least is the least time that is worth a line: less is lost in a busy second.
const least = time.Second

// Watch compares two clocks at each look. It is used by one goroutine.
type Watch struct {
	clock  wheelgauge.Clock
	steady wheelgauge.Clock
	log    logr.Logger

	seen       time.Time
	seenSteady time.Time
}

// New returns a watch that begins now.
func New(clock wheelgauge.Clock, log logr.Logger) *Watch {
	w := &Watch{clock: clock, steady: wheelgauge.SteadyClock{}, log: log}
	w.seen, w.seenSteady = clock.Now(), w.steady.Now()
	return w
}

// Look tells how much time has passed since the last look, should it be an interval, and
// how much of it the steady clock did not count. It writes one line if the process stood
// still: what it knew is as much older, and leases have run out by as much.
func (w *Watch) Look(interval time.Duration) (stood, suspended time.Duration) {
	now, steady := w.clock.Now(), w.steady.Now()
	passed := now.Sub(w.seen)
	suspended = passed - steady.Sub(w.seenSteady)
	w.seen, w.seenSteady = now, steady
	stood = passed - interval
	if stood < least {
		return 0, 0
	}
	w.log.Info("The process stood still.", "stood_ms", stood.Milliseconds(), "suspended_ms", max(0, suspended).Milliseconds())
	return stood, max(0, suspended)
}
