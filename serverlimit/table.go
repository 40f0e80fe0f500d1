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
	// life is how long a word is kept that nobody heard again: a server with a limit is
	// asked for something much sooner, if anything is asked of its service.
	life = time.Hour
	// mostTold bounds what is told at once: 256 words are 15 kB, a heartbeat's part of a
	// narrow link. The next heartbeat goes on.
	mostTold = 256
)

// word is what a server last said of its limit.
type word struct {
	// rate is in requests a second; named is false once the server no longer has one.
	rate  float64
	named bool
	// at is when it was last heard.
	at time.Time
	// change numbers the last change of what was said, own is set for one that was heard
	// here.
	change uint64
	own    bool
}

func (w word) same(as word) bool { return w.named == as.named && w.rate == as.rate }

// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	words   map[string]word
	changes uint64
	now     func() time.Time
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
	return t.set(server, word{rate: rate, named: true, at: t.now(), own: true})
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
	return t.set(server, word{at: t.now(), own: true})
}

// set takes a word and tells whether it differs from the last one; the lock is held.
func (t *Table) set(server string, w word) bool {
	was, known := t.words[server]
	changed := !known || !w.same(was)
	w.change = was.change
	if changed {
		t.changes++
		w.change = t.changes
	} else {
		w.own = was.own
	}
	t.words[server] = w
	return changed
}

// Rate returns the limit of a start of a server; ok is false without one.
func (t *Table) Rate(server string) (rate float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.words[server]
	return w.rate, w.named
}

// Word returns what is known of a server.
func (t *Table) Word(server string) wheelgauge.ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, known := t.words[server]
	if !known {
		return wheelgauge.ServerLimit{Server: server, None: true, AgeMS: life.Milliseconds()}
	}
	return t.render(server, w)
}

func (t *Table) render(server string, w word) wheelgauge.ServerLimit {
	return wheelgauge.ServerLimit{Server: server, Rate: w.rate, None: !w.named, AgeMS: t.now().Sub(w.at).Milliseconds()}
}

// Merge takes what others heard, unless something later is known here.
func (t *Table) Merge(limits []wheelgauge.ServerLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range limits {
		w := word{rate: l.Rate, named: !l.None, at: t.now().Add(-time.Duration(l.AgeMS) * time.Millisecond)}
		was, known := t.words[l.Server]
		if !known && l.None {
			continue // it says what is taken for granted
		}
		// Told to and fro, what is known already would seem later each time by the way, and
		// no answer late enough to end it.
		if !known || !w.same(was) && w.at.After(was.at) {
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
	for server, w := range t.words {
		if w.change > change && (w.own || !own) {
			servers = append(servers, server)
		}
	}
	if len(servers) == 0 {
		return nil, t.changes
	}
	slices.SortFunc(servers, func(a, b string) int { return cmp.Compare(t.words[a].change, t.words[b].change) })
	last := t.changes
	if len(servers) > mostTold {
		servers = servers[:mostTold]
		last = t.words[servers[mostTold-1]].change
	}
	out := make([]wheelgauge.ServerLimit, 0, len(servers))
	for _, server := range servers {
		out = append(out, t.render(server, t.words[server]))
	}
	return out, last
}

// Limited returns the starts of servers that have a limit.
func (t *Table) Limited() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]bool{}
	for server, w := range t.words {
		if w.named {
			out[server] = true
		}
	}
	return out
}

// Prune forgets what nobody heard for long.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, w := range t.words {
		if t.now().Sub(w.at) > life {
			delete(t.words, server)
		}
	}
}
