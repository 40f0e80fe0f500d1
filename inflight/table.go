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
	// meanWeight is the weight of a new duration in the running mean.
	meanWeight     = 0.1
	initialMean = time.Second
	// recentWeight is the weight of a new time to the first byte; recentLife
	// how long it takes to fall to a third when none comes.
	recentWeight = 0.3
	recentDecay   = 2 * time.Second
	// ageFactor and leastPending: a mean age of fewer says little.
	ageFactor    = 2
	minPending = 2
	// lateThreshold is a mean age that a prefill does not explain.
	lateThreshold = 100 * time.Millisecond
)

// epoch keeps sums of times small.
var epoch = time.Now()

// row is one counted name.
type row struct {
	count atomic.Int64
	// base is the count when the newest report came, seen the number of that report.
	baseCount atomic.Int64
	reportNumber atomic.Uint64
	meanNanos atomic.Int64
	// pending counts those without a first byte yet.
	pending atomic.Int64
	// began is the sum of their starts, in nanoseconds since the table's epoch.
	startSum  atomic.Int64
	mu     sync.Mutex
	recentSeconds float64 // time to the first byte lately, in seconds
	recentAt     time.Time
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
	prev := r.meanNanos.Load()
	if prev == 0 {
		r.meanNanos.Store(int64(took))
		return
	}
	r.meanNanos.Store(prev + int64(meanWeight*float64(int64(took)-prev)))
}

// StartPending counts one more, started then, that has no first byte yet.
func (t *Table) StartPending(name string, started time.Time) {
	r := t.row(name)
	r.pending.Add(1)
	r.startSum.Add(int64(started.Sub(epoch)))
}

// EndPending counts one less without a first byte; came tells whether it came.
func (t *Table) EndPending(name string, started time.Time, arrived bool) {
	r := t.row(name)
	r.pending.Add(-1)
	r.startSum.Add(-int64(started.Sub(epoch)))
	if arrived {
		r.addFirstByte(time.Since(started).Seconds(), time.Now())
	}
}

func (r *row) addFirstByte(seconds float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	prev := r.decayedFirstByte(now)
	r.recentSeconds, r.recentAt = prev+recentWeight*(seconds-prev), now
}

func (r *row) decayedFirstByte(now time.Time) float64 {
	return r.recentSeconds * math.Exp(-float64(now.Sub(r.recentAt))/float64(recentDecay))
}

// RecentFirstByte returns how long a first byte takes now: as it was lately, which fades
// when nothing comes, or twice the age of those that wait, whichever is more.
// What waits has on average waited for half of its time.
func (t *Table) RecentFirstByte(name string) time.Duration {
	r := t.row(name)
	r.mu.Lock()
	recent := r.decayedFirstByte(time.Now())
	r.mu.Unlock()
	return max(time.Duration(recent*float64(time.Second)), ageFactor*r.meanPendingAge())
}

// meanPendingAge returns the mean age of those that wait for a first byte.
func (r *row) meanPendingAge() time.Duration {
	n := r.pending.Load()
	if n < minPending {
		return 0
	}
	return time.Since(epoch) - time.Duration(r.startSum.Load()/n)
}

// Overdue returns how many wait for a first byte for longer than a prefill takes.
func (t *Table) Overdue(name string) int {
	r := t.row(name)
	if r.meanPendingAge() < lateThreshold {
		return 0
	}
	return int(r.pending.Load())
}

// Count returns how many are on the way.
func (t *Table) Count(name string) int { return int(t.row(name).count.Load()) }

// MeanDuration returns how long one takes.
func (t *Table) MeanDuration(name string) time.Duration {
	if m := t.row(name).meanNanos.Load(); m > 0 {
		return time.Duration(m)
	}
	return initialMean
}

// Snapshot is what is known of a name at one time.
type Snapshot struct {
	// Count is how many are on the way, Pending how many of them have no first byte.
	Count   int
	Pending int
	// Load is a late report, corrected by what was started and ended here since
	// it came.
	Load int
}

// Snapshot returns what is known of a name; number identifies the report.
func (t *Table) Snapshot(name string, reported int, number uint64) Snapshot {
	r := t.row(name)
	own := r.count.Load()
	if r.reportNumber.Load() != number {
		r.baseCount.Store(own)
		r.reportNumber.Store(number)
	}
	return Snapshot{Count: int(own), Pending: int(r.pending.Load()), Load: max(0, reported+int(own-r.baseCount.Load()))}
}
