// Package serverlimit knows which backend servers have named a limit: the
// requests a second that they take from all hosts together.
package serverlimit

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wheelgauge"
)

const (
	// entryTTL is how long a word is kept that nobody heard again: a server with a limit is
	// asked for something much sooner, if anything is asked of its service.
	entryTTL = time.Hour
	// maxPerReport bounds what is told at once: 256 words are 15 kB, a heartbeat's part of a
	// narrow link. The next heartbeat goes on.
	maxPerReport = 256
)

// entry is what a server last said of its limit.
type entry struct {
	// rate is in requests a second; named is false once the server no longer has one.
	rate  float64
	limited bool
	// at is when it was last heard.
	observed time.Time
	// change numbers the last change of what was said, own is set for one that was heard
	// here.
	change uint64
	local    bool
}

func (w entry) sameLimit(as entry) bool { return w.limited == as.limited && w.rate == as.rate }

// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries   map[string]entry
	changes uint64
	now     func() time.Time
}

// New returns an empty table that reads time from now.
func New(now func() time.Time) *Table { return &Table{entries: map[string]entry{}, now: now} }

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
	return t.set(server, entry{rate: rate, limited: true, observed: t.now(), local: true})
}

// Absent takes an answer without a limit to a request that was sent at a moment. It
// tells whether a limit ended by it: an answer to an earlier request may be from before
// the limit.
func (t *Table) Absent(server string, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.entries[server]
	if !was.limited || !sent.After(was.observed) {
		return false
	}
	return t.set(server, entry{observed: t.now(), local: true})
}

// set takes a word and tells whether it differs from the last one; the lock is held.
func (t *Table) set(server string, w entry) bool {
	was, known := t.entries[server]
	changed := !known || !w.sameLimit(was)
	w.change = was.change
	if changed {
		t.changes++
		w.change = t.changes
	} else {
		w.local = was.local
	}
	t.entries[server] = w
	return changed
}

// Rate returns the limit of a start of a server; ok is false without one.
func (t *Table) Rate(server string) (rate float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.entries[server]
	return w.rate, w.limited
}

// Get returns what is known of a server.
func (t *Table) Get(server string) wheelgauge.ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, known := t.entries[server]
	if !known {
		return wheelgauge.ServerLimit{Server: server, None: true, AgeMS: entryTTL.Milliseconds()}
	}
	return t.render(server, w)
}

func (t *Table) render(server string, w entry) wheelgauge.ServerLimit {
	return wheelgauge.ServerLimit{Server: server, Rate: w.rate, None: !w.limited, AgeMS: t.now().Sub(w.observed).Milliseconds()}
}

// Merge takes what others heard, unless something later is known here.
func (t *Table) Merge(limits []wheelgauge.ServerLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range limits {
		w := entry{rate: l.Rate, limited: !l.None, observed: t.now().Add(-time.Duration(l.AgeMS) * time.Millisecond)}
		was, known := t.entries[l.Server]
		if !known && l.None {
			continue // it says what is taken for granted
		}
		// Told to and fro, what is known already would seem later each time by the way, and
		// no answer late enough to end it.
		if !known || !w.sameLimit(was) && w.observed.After(was.observed) {
			t.set(l.Server, w)
		}
	}
}

// Since returns what changed after a change, the first of it if it is much, and the
// number of the last change returned.
func (t *Table) Since(change uint64) ([]wheelgauge.ServerLimit, uint64) {
	return t.since(change, false)
}

// Heard returns the same of what was heard here.
func (t *Table) Heard(change uint64) ([]wheelgauge.ServerLimit, uint64) { return t.since(change, true) }

func (t *Table) since(change uint64, own bool) ([]wheelgauge.ServerLimit, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change >= t.changes {
		return nil, change
	}
	var servers []string
	for server, w := range t.entries {
		if w.change > change && (w.local || !own) {
			servers = append(servers, server)
		}
	}
	if len(servers) == 0 {
		return nil, t.changes
	}
	slices.SortFunc(servers, func(a, b string) int { return cmp.Compare(t.entries[a].change, t.entries[b].change) })
	last := t.changes
	if len(servers) > maxPerReport {
		servers = servers[:maxPerReport]
		last = t.entries[servers[maxPerReport-1]].change
	}
	out := make([]wheelgauge.ServerLimit, 0, len(servers))
	for _, server := range servers {
		out = append(out, t.render(server, t.entries[server]))
	}
	return out, last
}

// Limited returns the starts of servers that have a limit.
func (t *Table) Limited() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]bool{}
	for server, w := range t.entries {
		if w.limited {
			out[server] = true
		}
	}
	return out
}

// Prune forgets what nobody heard for long.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, w := range t.entries {
		if t.now().Sub(w.observed) > entryTTL {
			delete(t.entries, server)
		}
	}
}
