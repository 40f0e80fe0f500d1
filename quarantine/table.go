// Package quarantine keeps requests that crash every server that runs them away from backend
// servers. Hosts record which requests were in flight at a server that crashed, stores merge
// the records of all hosts, and both attribute crashes to requests by the same rule.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wheelgauge"
)

const (
	// crashTTL is how long a crash counts that has not led to a quarantine: longer than
	// callers keep retrying a request, short enough that unrelated crashes, days apart, never
	// add up.
	crashTTL = 10 * time.Minute
	// maxEntries bounds the crashes in a table: 64 servers that crash at once, each with 64
	// requests in flight. The oldest are evicted first.
	maxEntries = 4096
	// maxReported bounds the crashes in one message: 256 crashes are 15 kB, a heartbeat's
	// part of a narrow link. The next heartbeat sends the rest.
	maxReported = 256
	// recentWindow is how long a crash counts as recent: several reporting intervals between
	// regions.
	recentWindow = 30 * time.Second
)

// crashKey identifies a crash.
type crashKey struct {
	request wheelgauge.Fingerprint
	server  string
}

// entry is one crash in a table.
type entry struct {
	crash     wheelgauge.Crash
	changedAt time.Time
	// change is the number of the entry's last change.
	change uint64
}

// snapshot holds the requests in quarantine for readers without a lock.
type snapshot struct {
	quarantined map[wheelgauge.Fingerprint]bool
	// quarantinedSizes are the body sizes of quarantined requests, suspectedSizes those of
	// requests that were in flight at a crash.
	quarantinedSizes map[int]bool
	suspectedSizes   map[int]bool
}

// Table holds crashes and derives the requests in quarantine from them. It is safe for
// concurrent use.
type Table struct {
	now func() time.Time
	// snapshot is replaced on each change.
	snapshot atomic.Pointer[snapshot]
	// good holds requests that recently ran to a good end here.
	good *goodRequests

	mu      sync.Mutex
	entries map[crashKey]*entry
	changes uint64
	// crashCounts counts the entries of each request that are not cleared, overThreshold the
	// requests with enough of them to be quarantined.
	crashCounts   map[wheelgauge.Fingerprint]int
	overThreshold int
	// persisted are crashes persisted elsewhere: for a host by its store, for a store by the
	// group of stores.
	persisted []wheelgauge.Crash
	// candidates are the crashes to report to others; candidatesVersion increases when they
	// change.
	candidates        []wheelgauge.Crash
	candidatesVersion uint64
}

// New returns an empty table that reads the time from now.
func New(now func() time.Time) *Table {
	t := &Table{now: now, entries: map[crashKey]*entry{}, crashCounts: map[wheelgauge.Fingerprint]int{}, good: newGoodRequests(now), candidatesVersion: 1}
	t.snapshot.Store(&snapshot{})
	return t
}

// Holds reports whether a request is quarantined. The fingerprint is computed only if the
// size matches: for 12 kB it takes 11 us, more than the rest of the decision.
func (t *Table) Holds(size int, request func() wheelgauge.Fingerprint) bool {
	s := t.snapshot.Load()
	return s.quarantinedSizes[size] && s.quarantined[request()]
}

// Ended records that a server crashed with a request in flight, and returns how many crashes
// of the request are recorded here.
func (t *Table) Ended(c wheelgauge.Crash) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(c)
	t.reevaluate()
	return t.crashCounts[c.Request]
}

// Ran records that a request ran to a good end, which clears it of earlier crashes.
func (t *Table) Ran(size int, request func() wheelgauge.Fingerprint) {
	suspected := t.snapshot.Load().suspectedSizes[size]
	if !suspected && size > maxRememberedBody {
		return
	}
	ran := request()
	if size <= maxRememberedBody {
		t.good.add(ran)
	}
	if !suspected {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(t.merged(), func(request wheelgauge.Fingerprint) bool { return request == ran })
	t.reevaluate()
}

// clear marks the crashes of matching requests as cleared. The caller holds the lock.
func (t *Table) clear(crashes []wheelgauge.Crash, match func(wheelgauge.Fingerprint) bool) (changed bool) {
	for _, c := range crashes {
		if !c.Cleared && match(c.Request) {
			c.Cleared = true
			t.put(c)
			changed = true
		}
	}
	return changed
}

// Merge adds crashes that a host recorded.
func (t *Table) Merge(crashes []wheelgauge.Crash) {
	if len(crashes) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.changes
	for _, c := range crashes {
		t.put(c)
	}
	if t.changes > before {
		t.reevaluate()
	}
}

// Keep replaces the crashes persisted elsewhere.
func (t *Table) Keep(crashes []wheelgauge.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.persisted, crashes) {
		return
	}
	t.persisted = slices.Clone(crashes)
	t.reevaluate()
}

// KeepBesides adds to the crashes persisted elsewhere, from a source that may not have all of
// them yet.
func (t *Table) KeepBesides(crashes []wheelgauge.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	merged, changed := Join(t.persisted, crashes)
	if !changed {
		return
	}
	t.persisted = merged
	t.reevaluate()
}

// Since returns the first maxReported crashes recorded here after a change, and the number of
// the last change returned.
func (t *Table) Since(change uint64) ([]wheelgauge.Crash, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change >= t.changes {
		return nil, change
	}
	var entries []*entry
	for _, e := range t.entries {
		if e.change > change {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.change, b.change) })
	entries = entries[:min(len(entries), maxReported)]
	out := make([]wheelgauge.Crash, 0, len(entries))
	for _, e := range entries {
		out, change = append(out, e.crash), e.change
	}
	return out, change
}

// Latest returns the crashes that changed within recentWindow, newest first, for receivers
// that get them repeatedly.
func (t *Table) Latest() []wheelgauge.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []*entry
	cutoff := t.now().Add(-recentWindow)
	for _, e := range t.entries {
		if e.changedAt.After(cutoff) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(b.change, a.change) })
	out := make([]wheelgauge.Crash, 0, min(len(entries), maxReported))
	for _, e := range entries[:min(len(entries), maxReported)] {
		out = append(out, e.crash)
	}
	return out
}

// Serious returns the crashes of requests that are quarantined or candidates for it, and a
// version number of that list. The caller must not change the list.
func (t *Table) Serious() ([]wheelgauge.Crash, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.candidates, t.candidatesVersion
}

// ToKeep returns the crashes to persist elsewhere: those that quarantine requests, and
// persisted ones that have been cleared since.
func (t *Table) ToKeep() []wheelgauge.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Clone(t.candidates)
	for _, c := range t.persisted {
		e := t.entries[crashKey{request: c.Request, server: c.Server}]
		if e != nil && e.crash.Cleared && !c.Cleared {
			out = append(out, e.crash)
		}
	}
	return out
}

// Condemned returns the quarantined requests, sorted.
func (t *Table) Condemned() []wheelgauge.Fingerprint {
	s := t.snapshot.Load()
	out := make([]wheelgauge.Fingerprint, 0, len(s.quarantined))
	for request := range s.quarantined {
		out = append(out, request)
	}
	slices.Sort(out)
	return out
}

// Prune drops crashes older than crashTTL.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	cutoff := t.now().Add(-crashTTL)
	before := len(t.entries)
	for k, e := range t.entries {
		if e.changedAt.Before(cutoff) {
			t.remove(k)
		}
	}
	if len(t.entries) < before {
		t.reevaluate()
	}
}

// put adds a crash or marks it as cleared. The caller holds the lock.
func (t *Table) put(c wheelgauge.Crash) {
	k := crashKey{request: c.Request, server: c.Server}
	e := t.entries[k]
	if e != nil && (e.crash.Cleared || !c.Cleared) {
		return
	}
	if e == nil {
		t.evictOldest()
		e = &entry{crash: wheelgauge.Crash{Cleared: true}}
		t.entries[k] = e
	}
	t.updateCount(c.Request, e.crash.Cleared, c.Cleared)
	t.changes++
	e.crash, e.changedAt, e.change = c, t.now(), t.changes
}

// updateCount updates crashCounts when an entry of a request is added, cleared or removed.
// The caller holds the lock.
func (t *Table) updateCount(request wheelgauge.Fingerprint, wasCleared, isCleared bool) {
	switch {
	case wasCleared && !isCleared:
		t.crashCounts[request]++
		if t.crashCounts[request] == crashThreshold {
			t.overThreshold++
		}
	case !wasCleared && isCleared:
		t.crashCounts[request]--
		if t.crashCounts[request] == crashThreshold-1 {
			t.overThreshold--
		}
		if t.crashCounts[request] == 0 {
			delete(t.crashCounts, request)
		}
	}
}

// remove drops an entry. The caller holds the lock.
func (t *Table) remove(k crashKey) {
	t.updateCount(k.request, t.entries[k].crash.Cleared, true)
	delete(t.entries, k)
}

// evictOldest drops the entry with the oldest change if the table is full. The caller holds
// the lock.
func (t *Table) evictOldest() {
	if len(t.entries) < maxEntries {
		return
	}
	var oldest crashKey
	var lowest uint64
	for k, e := range t.entries {
		if lowest == 0 || e.change < lowest {
			oldest, lowest = k, e.change
		}
	}
	t.remove(oldest)
}

// merged returns the crashes recorded here and those persisted elsewhere, each once and
// cleared if either is. The caller holds the lock.
func (t *Table) merged() []wheelgauge.Crash {
	out := make([]wheelgauge.Crash, 0, len(t.entries)+len(t.persisted))
	index := make(map[crashKey]int, len(t.persisted))
	for _, c := range t.persisted {
		index[crashKey{request: c.Request, server: c.Server}] = len(out)
		out = append(out, c)
	}
	for k, e := range t.entries {
		n, ok := index[k]
		if !ok {
			out = append(out, e.crash)
			continue
		}
		out[n].Cleared = out[n].Cleared || e.crash.Cleared
	}
	return out
}

// reevaluate derives the candidates and the snapshot anew. The caller holds the lock.
func (t *Table) reevaluate() {
	var candidates []wheelgauge.Crash
	// Servers that crash for other reasons leave thousands of entries of requests with one
	// crash each. Evaluating these on each heartbeat costs a store 165 ms when 64 servers
	// crash at once.
	if t.overThreshold > 0 || len(t.persisted) > 0 {
		candidates = candidateCrashes(t.merged())
		// A request that many callers repeat is in flight whenever a server crashes, at any
		// host, but also ran to a good end recently: a host that saw that clears it for all.
		if t.clear(candidates, t.good.has) {
			candidates = candidateCrashes(t.merged())
		}
	}
	if !slices.Equal(candidates, t.candidates) {
		t.candidates = candidates
		t.candidatesVersion++
	}
	s := &snapshot{quarantined: attribute(candidates), quarantinedSizes: map[int]bool{}, suspectedSizes: map[int]bool{}}
	for _, e := range t.entries {
		if !e.crash.Cleared {
			s.suspectedSizes[e.crash.Size] = true
		}
	}
	for _, c := range candidates {
		if !c.Cleared {
			s.suspectedSizes[c.Size] = true
		}
		if s.quarantined[c.Request] {
			s.quarantinedSizes[c.Size] = true
		}
	}
	t.snapshot.Store(s)
}
