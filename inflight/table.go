// Package inflight counts the requests that this process has in flight, by name
// (a server, pool or region), and tracks how long they take.
package inflight

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// meanWeight is the weight of a new duration in the moving average.
	meanWeight  = 0.1
	initialMean = time.Second
	// recentWeight is the weight of a new time to the first byte; recentDecay is the
	// time in which the recent value decays to a third without new samples.
	recentWeight = 0.3
	recentDecay  = 2 * time.Second
	// ageFactor scales the mean age of pending requests to a time to the first byte;
	// the mean age of fewer than minPending requests is not significant.
	ageFactor  = 2
	minPending = 2
	// lateThreshold is a mean age too high to be explained by prefill.
	lateThreshold = 100 * time.Millisecond
)

// epoch is the zero of start times, so that their sums stay small.
var epoch = time.Now()

// row holds the counters of one name.
type row struct {
	count atomic.Int64
	// baseCount is the count at the newest load report, reportNumber that report's number.
	baseCount    atomic.Int64
	reportNumber atomic.Uint64
	meanNanos    atomic.Int64
	// pending is the number of requests without a first byte yet.
	pending atomic.Int64
	// startSum is the sum of their start times, in nanoseconds since epoch.
	startSum      atomic.Int64
	mu            sync.Mutex
	recentSeconds float64 // decaying average time to the first byte
	recentAt      time.Time
}

// Table holds the counters of all names. It is safe for concurrent use.
type Table struct {
	rows sync.Map // *row by name
}

func (t *Table) row(name string) *row {
	if r, ok := t.rows.Load(name); ok {
		return r.(*row)
	}
	r, _ := t.rows.LoadOrStore(name, &row{})
	return r.(*row)
}

// Start counts one more request in flight.
func (t *Table) Start(name string) { t.row(name).count.Add(1) }

// End counts one request less; took is its duration, or 0 if it is not a sample.
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

// StartPending counts one more request, started then, that waits for its first byte.
func (t *Table) StartPending(name string, started time.Time) {
	r := t.row(name)
	r.pending.Add(1)
	r.startSum.Add(int64(started.Sub(epoch)))
}

// EndPending counts one request less that waits for its first byte; arrived says
// whether that came.
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

// RecentFirstByte returns the current time to the first byte: the recent average, which
// decays without new samples, or twice the mean age of pending requests, whichever is more.
// Twice, because a pending request has on average waited for half of its time.
func (t *Table) RecentFirstByte(name string) time.Duration {
	r := t.row(name)
	r.mu.Lock()
	recent := r.decayedFirstByte(time.Now())
	r.mu.Unlock()
	return max(time.Duration(recent*float64(time.Second)), ageFactor*r.meanPendingAge())
}

// meanPendingAge returns the mean age of the requests that wait for a first byte.
func (r *row) meanPendingAge() time.Duration {
	n := r.pending.Load()
	if n < minPending {
		return 0
	}
	return time.Since(epoch) - time.Duration(r.startSum.Load()/n)
}

// Overdue returns the number of requests that wait for a first byte if their mean age is
// longer than a prefill takes, else 0.
func (t *Table) Overdue(name string) int {
	r := t.row(name)
	if r.meanPendingAge() < lateThreshold {
		return 0
	}
	return int(r.pending.Load())
}

// Count returns the number of requests in flight.
func (t *Table) Count(name string) int { return int(t.row(name).count.Load()) }

// MeanDuration returns the moving average of request durations.
func (t *Table) MeanDuration(name string) time.Duration {
	if m := t.row(name).meanNanos.Load(); m > 0 {
		return time.Duration(m)
	}
	return initialMean
}

// Snapshot holds the counters of a name at one time.
type Snapshot struct {
	// Count is the number of requests in flight, Pending how many of them have no first byte.
	Count   int
	Pending int
	// Load is the last reported load, corrected by the requests that this process started
	// and ended since the report arrived.
	Load int
}

// Snapshot returns the counters of a name; number identifies the load report that reported
// is from.
func (t *Table) Snapshot(name string, reported int, number uint64) Snapshot {
	r := t.row(name)
	own := r.count.Load()
	if r.reportNumber.Load() != number {
		r.baseCount.Store(own)
		r.reportNumber.Store(number)
	}
	return Snapshot{Count: int(own), Pending: int(r.pending.Load()), Load: max(0, reported+int(own-r.baseCount.Load()))}
}
