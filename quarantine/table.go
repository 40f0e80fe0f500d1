// Package quarantine keeps requests that crash every server that runs them away from backend
// servers: single requests by their whole content, and all that hold a part of a prompt. Hosts
// record which requests were in flight at a server that crashed, stores merge the records of all
// hosts, and both attribute crashes by the same rule.
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
	// maxEntries bounds the crashes in a table: 32 servers that crash at once, each with 64
	// requests in flight whose prompts have a part that no other holds. The oldest are evicted first.
	maxEntries = 4096
	// maxReported bounds the crashes in one message: 256 crashes are 15 kB, a heartbeat's
	// part of a narrow link. The next heartbeat sends the rest.
	maxReported = 256
	// recentWindow is how long a crash counts as recent: several reporting intervals between
	// regions.
	recentWindow = 30 * time.Second
	// partProofTTL is how long the output of a request that holds a part counts against a later
	// crash of that part. Servers may begin to crash on a part that they bore before.
	partProofTTL = 3 * time.Second
	// suspectThreshold is how many servers must have crashed with a request or part in flight
	// before it is suspected: it is not tried again at another server then.
	suspectThreshold = 2
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

// Table holds crashes and derives the requests in quarantine from them. It is safe for
// concurrent use.
type Table struct {
	now func() time.Time
	// snapshot is replaced on each change, but after crashes only when it is read: dozens of
	// requests are in flight at one, and each records it.
	snapshot atomic.Pointer[snapshot]
	stale    atomic.Bool
	// good holds requests that recently ran to a good end here, goodLarge those of them with
	// larger bodies, provenParts the parts of prompts that servers have just produced output for.
	good        *goodRequests
	goodLarge   *goodRequests
	hashing     *hashBudget
	provenParts *goodRequests

	mu      sync.Mutex
	entries map[crashKey]*entry
	// order holds the changes of entries, oldest first; a later change of an entry makes its
	// earlier ones void.
	order   []orderedChange
	changes uint64
	// crashCounts counts the entries of each request that are not cleared, overThreshold the
	// requests with enough of them to be quarantined.
	crashCounts   map[wheelgauge.Fingerprint]int
	overThreshold int
	// persisted are crashes persisted elsewhere: for a host by its store, for a store by the
	// group of stores.
	persisted []wheelgauge.Crash
	// candidates are the crashes of what is or may be quarantined, reported those to report to
	// others: candidates and what was cleared lately. reportedVersion increases when they change.
	candidates      []wheelgauge.Crash
	reported        []wheelgauge.Crash
	reportedVersion uint64
	// trialHost is the name of this host in trials, empty if it makes none; trials are those of
	// quarantined requests that came here.
	trialHost string
	trials    map[wheelgauge.Fingerprint]*trial
}

// New returns an empty table that reads the time from now.
func New(now func() time.Time) *Table {
	t := &Table{now: now, entries: map[crashKey]*entry{}, crashCounts: map[wheelgauge.Fingerprint]int{}, trials: map[wheelgauge.Fingerprint]*trial{}, good: newGoodRequests(now, crashTTL), goodLarge: newGoodRequests(now, largeTTL), hashing: newHashBudget(now), provenParts: newGoodRequests(now, partProofTTL), reportedVersion: 1}
	t.snapshot.Store(&snapshot{})
	return t
}

// IsQuarantined reports whether a request is quarantined. The fingerprint is computed only if the
// size matches: for 12 kB it takes 11 us, more than the rest of the decision.
func (t *Table) IsQuarantined(size int, request func() wheelgauge.Fingerprint) bool {
	s := t.view()
	return s.quarantinedSizes[size] && s.quarantined[request()]
}

// HoldsQuarantinedPart reports whether a part of a prompt is quarantined. The fingerprints are
// computed only if any part is.
func (t *Table) HoldsQuarantinedPart(parts func() []wheelgauge.Fingerprint) bool {
	s := t.view()
	return s.quarantinedParts && slices.ContainsFunc(parts(), func(part wheelgauge.Fingerprint) bool { return s.quarantined[part] })
}

// IsSuspected reports whether a request or a part of its prompt was in flight when several servers
// crashed.
func (t *Table) IsSuspected(request func() wheelgauge.Fingerprint, parts func() []wheelgauge.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashCounts) == 0 {
		return false
	}
	suspected := func(f wheelgauge.Fingerprint) bool { return t.crashCounts[f] >= suspectThreshold }
	return suspected(request()) || slices.ContainsFunc(parts(), suspected)
}

// RecordCrash records that a server crashed with a request in flight, and the parts of its prompt
// in order, and returns how many crashes of the request are recorded here. Parts that a server has
// just produced output for are not to blame.
func (t *Table) RecordCrash(c wheelgauge.Crash, parts ...wheelgauge.Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(c)
	for n, part := range parts {
		if !t.provenParts.has(part) {
			t.put(wheelgauge.Crash{Fingerprint: part, Depth: n + 1, Server: c.Server})
		}
	}
	t.stale.Store(true)
	return t.crashCounts[c.Fingerprint]
}

// RecordOutput records that a server has produced output for a prompt and goes on, which clears
// the parts of the prompt of earlier crashes.
func (t *Table) RecordOutput(parts []wheelgauge.Fingerprint) {
	crashed := t.view().crashedParts
	isCleared := false
	for _, part := range parts {
		t.provenParts.add(part)
		isCleared = isCleared || crashed[part]
	}
	if !isCleared {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held := func(f wheelgauge.Fingerprint) bool { return slices.Contains(parts, f) }
	t.clear(t.merged(held), wheelgauge.Crash.IsPart)
	t.reevaluate()
}

// HasSuspectOf reports whether a request with a body of some size was in flight at a crash.
func (t *Table) HasSuspectOf(size int) bool { return t.view().suspectedSizes[size] }

// RecordSuccess records that a request ran to a good end, which clears it of earlier crashes.
func (t *Table) RecordSuccess(size int, request func() wheelgauge.Fingerprint) {
	suspected := t.view().suspectedSizes[size]
	if !suspected && size > smallBody && !t.hashing.take(size) {
		return
	}
	ran := request()
	if size <= smallBody {
		t.good.add(ran)
	} else {
		t.goodLarge.add(ran)
	}
	if !suspected {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(t.merged(func(f wheelgauge.Fingerprint) bool { return f == ran }), func(wheelgauge.Crash) bool { return true })
	t.reevaluate()
}

// isGood reports whether the request or part of a crash ran well here recently.
func (t *Table) isGood(c wheelgauge.Crash) bool {
	if c.IsPart() {
		return t.provenParts.has(c.Fingerprint)
	}
	return t.good.has(c.Fingerprint) || t.goodLarge.has(c.Fingerprint)
}

// clear marks the matching crashes as cleared. The caller holds the lock.
func (t *Table) clear(crashes []wheelgauge.Crash, match func(wheelgauge.Crash) bool) (changed bool) {
	for _, c := range crashes {
		if !c.Cleared && match(c) {
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

// SetPersisted replaces the crashes persisted elsewhere.
func (t *Table) SetPersisted(crashes []wheelgauge.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.persisted, crashes) {
		return
	}
	t.persisted = slices.Clone(crashes)
	t.absorbCleared()
	t.reevaluate()
}

// absorbCleared clears the entries that are known elsewhere as cleared, so that they stay so once
// that is not reported any more. The caller holds the lock.
func (t *Table) absorbCleared() {
	for _, c := range t.persisted {
		if c.Cleared && t.entries[crashKey{request: c.Fingerprint, server: c.Server}] != nil {
			t.put(c)
		}
	}
}

// AddPersisted adds to the crashes persisted elsewhere, from a source that may not have all of
// them yet.
func (t *Table) AddPersisted(crashes []wheelgauge.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	merged, changed := MergePersisted(t.persisted, crashes)
	if !changed {
		return
	}
	t.persisted = merged
	t.absorbCleared()
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
		out, change = append(out, t.report(e)), e.change
	}
	return out, change
}

// report returns the crash of an entry with its age.
func (t *Table) report(e *entry) wheelgauge.Crash {
	c := e.crash
	c.AgoMS = t.now().Sub(e.changedAt).Milliseconds()
	return c
}

// Recent returns the crashes that changed within recentWindow, newest first, for receivers
// that get them repeatedly.
func (t *Table) Recent() []wheelgauge.Crash {
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
		out = append(out, t.report(e))
	}
	return out
}

// Candidates returns the crashes of requests that are quarantined or candidates for it, those of
// candidates that were cleared within recentWindow, and a version number of that list. The caller
// must not change the list.
func (t *Table) Candidates() ([]wheelgauge.Crash, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.reported, t.reportedVersion
}

// CrashesToPersist returns the crashes to persist elsewhere: those that quarantine requests,
// persisted ones that have been cleared since, and the trials that hosts ask for.
func (t *Table) CrashesToPersist() []wheelgauge.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	out := slices.Clone(t.candidates)
	for _, c := range t.persisted {
		e := t.entries[crashKey{request: c.Fingerprint, server: c.Server}]
		if e != nil && e.crash.Cleared && !c.Cleared {
			out = append(out, e.crash)
		}
	}
	return append(out, t.askedTrials()...)
}

// Quarantined returns the quarantined requests, sorted.
func (t *Table) Quarantined() []wheelgauge.Fingerprint {
	s := t.view()
	out := make([]wheelgauge.Fingerprint, 0, len(s.quarantined))
	for request := range s.quarantined {
		out = append(out, request)
	}
	slices.Sort(out)
	return out
}

// Crashes returns the crashes of a request or part that are not cleared.
func (t *Table) Crashes(f wheelgauge.Fingerprint) []wheelgauge.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(t.merged(func(g wheelgauge.Fingerprint) bool { return g == f }), func(c wheelgauge.Crash) bool { return c.Cleared })
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
		t.order = slices.DeleteFunc(t.order, func(o orderedChange) bool {
			e := t.entries[o.key]
			return e == nil || e.change != o.change
		})
		t.reevaluate()
	}
}
