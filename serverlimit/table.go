// Package serverlimit knows which backend servers have named a limit: the
// requests a second that they take from all hosts together.
package serverlimit

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

// word is what a server last said of its limit.
type word struct {
	// rate is in requests a second; named is false once the server no longer has one.
	rate  float64
	named bool
	at    time.Time
}

// Table is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	words map[string]word
	now   func() time.Time
}

// New returns an empty table that reads time from now.
func New(now func() time.Time) *Table { return &Table{words: map[string]word{}, now: now} }

// Parse reads a limit in requests a second; ok is false for anything that is none.
func Parse(text string) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, false
	}
	return rate, true
}

// Named takes the limit that a start of a server named in an answer. It tells whether
// that is new.
func (t *Table) Named(server string, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.words[server]
	t.words[server] = word{rate: rate, named: true, at: t.now()}
	return !was.named || was.rate != rate
}

// Absent takes an answer without a limit to a request that was sent at a moment. It
// tells whether a limit ended by it: an answer to an earlier request may be from before
// the limit.
func (t *Table) Absent(server string, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.words[server]
	if !was.named || !sent.After(was.at) {
		return false
	}
	t.words[server] = word{at: t.now()}
	return true
}

// Rate returns the limit of a start of a server; ok is false without one.
func (t *Table) Rate(server string) (rate float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.words[server]
	return w.rate, w.named
}
