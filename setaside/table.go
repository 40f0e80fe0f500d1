// Package setaside keeps work from backend servers that fail, and tries them
// again gently: one call after a pause that doubles with each failure.
package setaside

import (
	"sync"
	"time"
)

const (
	firstPause = 500 * time.Millisecond
	mostPause  = 15 * time.Second
	// tolerated failures in a row before a server is set aside.
	tolerated = 2
)

type row struct {
	failures int
	until    time.Time
	trying   bool
}

// Table is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]*row
}

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]*row{}} }

// Allowed tells whether a server may get work now. While a server is set
// aside, one caller at a time is allowed once the pause is over.
func (t *Table) Allowed(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[name]
	if r == nil || r.failures < tolerated {
		return true
	}
	return !r.trying && now.After(r.until)
}

// Chosen tells that a server that was allowed gets a call.
func (t *Table) Chosen(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rows[name]; r != nil && r.failures >= tolerated {
		r.trying = true
	}
}

// Failed counts a failure.
func (t *Table) Failed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[name]
	if r == nil {
		r = &row{}
		t.rows[name] = r
	}
	r.failures++
	r.trying = false
	pause := firstPause << min(max(0, r.failures-tolerated), 10)
	r.until = now.Add(min(pause, mostPause))
}

// Worked forgets the failures.
func (t *Table) Worked(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, name)
}
