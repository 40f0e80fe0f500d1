// Package inflight counts what this process has on the way, by name, and how
// long such work takes.
package inflight

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smoothing is the weight of a new duration in the running mean.
	smoothing     = 0.1
	firstEstimate = time.Second
)

// row is one counted name.
type row struct {
	count atomic.Int64
	// base is the count when the newest report came, seen the number of that report.
	base atomic.Int64
	seen atomic.Uint64
	mean atomic.Int64
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

// Count returns how many are on the way.
func (t *Table) Count(name string) int { return int(t.row(name).count.Load()) }

// Mean returns how long one takes.
func (t *Table) Mean(name string) time.Duration {
	if m := t.row(name).mean.Load(); m > 0 {
		return time.Duration(m)
	}
	return firstEstimate
}

// Estimate corrects a late report of a load by what was started and ended here
// since it came. number identifies the report.
func (t *Table) Estimate(name string, reported int, number uint64) int {
	r := t.row(name)
	own := r.count.Load()
	if r.seen.Load() != number {
		r.base.Store(own)
		r.seen.Store(number)
	}
	return max(0, reported+int(own-r.base.Load()))
}
