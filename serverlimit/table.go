// Package serverlimit records the limits that backend servers have announced: the requests a
// second that each accepts from all hosts together, and those that it can reject.
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
	// entryTTL is how long an entry is kept that no host observed again. A limited server gets
	// a request much sooner if there is any demand for its service.
	entryTTL = time.Hour
	// maxPerReport bounds the entries of one report: 256 entries are 15 kB, the share of a
	// heartbeat on a slow link. The next heartbeat continues.
	maxPerReport = 256
)

// key is a limit of a server.
type key struct {
	server string
	kind   wheelgauge.LimitKind
}

// entry is the latest value of a limit.
type entry struct {
	// rate is in requests a second; limited is false once the server no longer has the limit.
	rate    float64
	limited bool
	// observed is when it was last observed.
	observed time.Time
	// change numbers the last change of the entry; local is set if it was observed by this
	// process.
	change uint64
	local  bool
}

func (e entry) sameLimit(other entry) bool { return e.limited == other.limited && e.rate == other.rate }

// Table holds the limits of servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[key]entry
	changes uint64
	now     func() time.Time
}

// New returns an empty table that reads time from now.
func New(now func() time.Time) *Table { return &Table{entries: map[key]entry{}, now: now} }

// Parse parses a limit in requests a second; ok is false if text is not a valid limit.
func Parse(text string) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, false
	}
	return rate, true
}

// ObserveLimit is Observe for the requests that a server accepts.
func (t *Table) ObserveLimit(server string, rate float64) bool {
	return t.Observe(wheelgauge.LimitRequests, server, rate)
}

// ObserveNoLimit is ObserveNone for the requests that a server accepts.
func (t *Table) ObserveNoLimit(server string, sent time.Time) bool {
	return t.ObserveNone(wheelgauge.LimitRequests, server, sent)
}

// Observe records a limit that a server instance sent with an answer, and reports whether it is
// new.
func (t *Table) Observe(kind wheelgauge.LimitKind, server string, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set(key{server, kind}, entry{rate: rate, limited: true, observed: t.now(), local: true})
}

// ObserveNone records an answer without a limit to a request sent at the given time, and reports
// whether that ended a limit. An answer to an earlier request does not: it may be from before
// the limit.
func (t *Table) ObserveNone(kind wheelgauge.LimitKind, server string, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{server, kind}
	previous := t.entries[k]
	if !previous.limited || !sent.After(previous.observed) {
		return false
	}
	return t.set(k, entry{observed: t.now(), local: true})
}

// set stores an entry and reports whether the limit changed. The lock must be held.
func (t *Table) set(k key, e entry) bool {
	previous, known := t.entries[k]
	changed := !known || !e.sameLimit(previous)
	e.change = previous.change
	if changed {
		t.changes++
		e.change = t.changes
	} else {
		e.local = previous.local
	}
	t.entries[k] = e
	return changed
}

// Rate returns the requests a second that a server instance accepts; ok is false if it has no such
// limit.
func (t *Table) Rate(server string) (rate float64, ok bool) {
	return t.RateOf(wheelgauge.LimitRequests, server)
}

// RateOf returns a limit of a server instance; ok is false if it has none of the kind.
func (t *Table) RateOf(kind wheelgauge.LimitKind, server string) (rate float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[key{server, kind}]
	return e.rate, e.limited
}

// Get returns what is known of the requests that a server accepts, in the form sent to others.
func (t *Table) Get(server string) wheelgauge.ServerLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{server, wheelgauge.LimitRequests}
	e, known := t.entries[k]
	if !known {
		return wheelgauge.ServerLimit{Server: server, Removed: true, AgeMS: entryTTL.Milliseconds()}
	}
	return t.export(k, e)
}

func (t *Table) export(k key, e entry) wheelgauge.ServerLimit {
	return wheelgauge.ServerLimit{Server: k.server, Kind: k.kind, Rate: e.rate, Removed: !e.limited, AgeMS: t.now().Sub(e.observed).Milliseconds()}
}

// Merge applies limits observed by others, unless a later observation is known.
func (t *Table) Merge(limits []wheelgauge.ServerLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range limits {
		e := entry{rate: l.Rate, limited: !l.Removed, observed: t.now().Add(-time.Duration(l.AgeMS) * time.Millisecond)}
		k := key{l.Server, l.Kind}
		previous, known := t.entries[k]
		if !known && l.Removed {
			continue // no limit is the default
		}
		// The age does not include the latency of the exchange: an equal limit would seem
		// observed later with each exchange, and no answer would be late enough to end it.
		if !known || !e.sameLimit(previous) && e.observed.After(previous.observed) {
			t.set(k, e)
		}
	}
}

// Since returns what changed after a change, the first maxPerReport entries of it, and the
// number of the last change returned.
func (t *Table) Since(change uint64) ([]wheelgauge.ServerLimit, uint64) {
	return t.since(change, false)
}

// LocalSince is like Since for limits observed by this process.
func (t *Table) LocalSince(change uint64) ([]wheelgauge.ServerLimit, uint64) {
	return t.since(change, true)
}

func (t *Table) since(change uint64, localOnly bool) ([]wheelgauge.ServerLimit, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change >= t.changes {
		return nil, change
	}
	var keys []key
	for k, e := range t.entries {
		if e.change > change && (e.local || !localOnly) {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return nil, t.changes
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Compare(t.entries[a].change, t.entries[b].change) })
	last := t.changes
	if len(keys) > maxPerReport {
		keys = keys[:maxPerReport]
		last = t.entries[keys[maxPerReport-1]].change
	}
	out := make([]wheelgauge.ServerLimit, 0, len(keys))
	for _, k := range keys {
		out = append(out, t.export(k, t.entries[k]))
	}
	return out, last
}

// Limited returns the server instances that limit the requests that they accept.
func (t *Table) Limited() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]bool{}
	for k, e := range t.entries {
		if e.limited && k.kind == wheelgauge.LimitRequests {
			out[k.server] = true
		}
	}
	return out
}

// Prune drops entries that have not been observed within entryTTL.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, e := range t.entries {
		if t.now().Sub(e.observed) > entryTTL {
			delete(t.entries, k)
		}
	}
}
