// Package inflight counts what this process has on the way, by name, and how
// long such work takes.
package inflight

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smoothing is the weight of a new duration in the running mean.
	smoothing     = 0.1
	firstEstimate = time.Second
	// recentWeight is the weight of a new time to the first byte; recentLife
	// how long it takes to fall to a third when none comes.
	recentWeight = 0.3
	recentLife   = 2 * time.Second
	// ageFactor and leastPending: a mean age of fewer says little.
	ageFactor    = 2
	leastPending = 2
	// lateAge is a mean age that a prefill does not explain.
	lateAge = 100 * time.Millisecond
)

// epoch keeps sums of times small.
var epoch = time.Now()

// row is one counted name.
type row struct {
	count atomic.Int64
	// base is the count when the newest report came, seen the number of that report.
	base atomic.Int64
	seen atomic.Uint64
	mean atomic.Int64
	// pending counts those without a first byte yet.
	pending atomic.Int64
	// began is the sum of their starts, in nanoseconds since the table's epoch.
	began  atomic.Int64
	mu     sync.Mutex
	recent float64 // time to the first byte lately, in seconds
	at     time.Time
}

// Table is safe for concurrent use.
type Table struct {
	rows sync.Map // of *row by name
}

func (t *Table) row(name string) *row {
	if r, ok := t.rows.Load(name); ok {
		return r.(*row)
	}
	r, _ := t.rows.LoadOrStore(name, &row{})
	return r.(*row)
}

// Start counts one more.
func (t *Table) Start(name string) { t.row(name).count.Add(1) }

// End counts one less; took is how long it was, 0 if it does not count as a sample.
func (t *Table) End(name string, took time.Duration) {
	r := t.row(name)
	r.count.Add(-1)
	if took <= 0 {
		return
	}
	was := r.mean.Load()
	if was == 0 {
		r.mean.Store(int64(took))
		return
	}
	r.mean.Store(was + int64(smoothing*float64(int64(took)-was)))
}

// Sent counts one more, started then, that has no first byte yet.
func (t *Table) Sent(name string, started time.Time) {
	r := t.row(name)
	r.pending.Add(1)
	r.began.Add(int64(started.Sub(epoch)))
}

// First counts one less without a first byte; came tells whether it came.
func (t *Table) First(name string, started time.Time, came bool) {
	r := t.row(name)
	r.pending.Add(-1)
	r.began.Add(-int64(started.Sub(epoch)))
	if came {
		r.note(time.Since(started).Seconds(), time.Now())
	}
}

func (r *row) note(seconds float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.decayed(now)
	r.recent, r.at = was+recentWeight*(seconds-was), now
}

func (r *row) decayed(now time.Time) float64 {
	return r.recent * math.Exp(-float64(now.Sub(r.at))/float64(recentLife))
}

// Recent returns how long a first byte takes now: as it was lately, which fades
// when nothing comes, or twice the age of those that wait, whichever is more.
// What waits has on average waited for half of its time.
func (t *Table) Recent(name string) time.Duration {
	r := t.row(name)
	r.mu.Lock()
	lately := r.decayed(time.Now())
	r.mu.Unlock()
	return max(time.Duration(lately*float64(time.Second)), ageFactor*r.age())
}

// age returns the mean age of those that wait for a first byte.
func (r *row) age() time.Duration {
	n := r.pending.Load()
	if n < leastPending {
		return 0
	}
	return time.Since(epoch) - time.Duration(r.began.Load()/n)
}

// Late returns how many wait for a first byte for longer than a prefill takes.
func (t *Table) Late(name string) int {
	r := t.row(name)
	if r.age() < lateAge {
		return 0
	}
	return int(r.pending.Load())
}

// Count returns how many are on the way.
func (t *Table) Count(name string) int { return int(t.row(name).count.Load()) }

// Mean returns how long one takes.
func (t *Table) Mean(name string) time.Duration {
	if m := t.row(name).mean.Load(); m > 0 {
		return time.Duration(m)
	}
	return firstEstimate
}

// Look is what is known of a name at one time.
type Look struct {
	// Count is how many are on the way, Pending how many of them have no first byte.
	Count   int
	Pending int
	// Load is a late report, corrected by what was started and ended here since
	// it came.
	Load int
}

// Look returns what is known of a name; number identifies the report.
func (t *Table) Look(name string, reported int, number uint64) Look {
	r := t.row(name)
	own := r.count.Load()
	if r.seen.Load() != number {
		r.base.Store(own)
		r.seen.Store(number)
	}
	return Look{Count: int(own), Pending: int(r.pending.Load()), Load: max(0, reported+int(own-r.base.Load()))}
}
