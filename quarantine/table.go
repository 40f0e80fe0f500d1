// Package quarantine keeps requests away from backend servers that end every server
// which begins to run them. Hosts note which requests were in flight at a server that
// ended, stores join what all hosts noted, and both condemn by the same rule.
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
	// life is how long a crash counts that did not help to condemn a request: longer
	// than callers come back with one, short enough that unrelated ends, days apart,
	// never add up.
	life = 10 * time.Minute
	// mostCrashes bounds what a table holds: 64 servers that end at once, each with 64
	// requests in flight. The oldest go first.
	mostCrashes = 4096
	// mostTold bounds what is told at once: 256 crashes are 15 kB, a heartbeat's part of
	// a narrow link. The next heartbeat goes on.
	mostTold = 256
	// latest is how long a crash is among the latest: some tellings between regions.
	latest = 30 * time.Second
)

// key tells crashes apart.
type key struct {
	request wheelgauge.Fingerprint
	server  string
}

// entry is one crash as it is known here.
type entry struct {
	crash wheelgauge.Crash
	seen  time.Time
	// change numbers the entry's last change.
	change uint64
}

// held is what is condemned now, for readers without a lock.
type held struct {
	requests map[wheelgauge.Fingerprint]bool
	// sizes are those of the bodies of condemned requests, suspected those of requests
	// under which a server ended.
	sizes     map[int]bool
	suspected map[int]bool
}

// Table is safe for concurrent use.
type Table struct {
	now func() time.Time
	// condemned is replaced with each change.
	condemned atomic.Pointer[held]
	// good are requests that ran well here lately.
	good *good

	mu      sync.Mutex
	entries map[key]*entry
	changes uint64
	// ends counts the entries of each request that are not cleared, condemnable how many
	// requests have enough of them to be condemned.
	ends        map[wheelgauge.Fingerprint]int
	condemnable int
	// kept are crashes that somebody else keeps: for a host its store, for a store
	// the group of stores.
	kept []wheelgauge.Crash
	// told is what others are told, told anew under the number at when it changes.
	told []wheelgauge.Crash
	at   uint64
}

// New returns an empty table that reads time from now.
func New(now func() time.Time) *Table {
	t := &Table{now: now, entries: map[key]*entry{}, ends: map[wheelgauge.Fingerprint]int{}, good: newGood(now), at: 1}
	t.condemned.Store(&held{})
	return t
}

// Holds tells whether a request is condemned. Its fingerprint is asked for only if it
// may be: of 12 kB it takes 11 us, more than all else of the decision.
func (t *Table) Holds(size int, request func() wheelgauge.Fingerprint) bool {
	h := t.condemned.Load()
	return h.sizes[size] && h.requests[request()]
}

// Ended notes that a server ended with a request in flight, and tells how many did here
// so far.
func (t *Table) Ended(c wheelgauge.Crash) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(c)
	t.settle()
	return t.ends[c.Request]
}

// Ran notes that a request ran to a good end: it ended no server before.
func (t *Table) Ran(size int, request func() wheelgauge.Fingerprint) {
	suspected := t.condemned.Load().suspected[size]
	if !suspected && size > smallBody {
		return
	}
	ran := request()
	if size <= smallBody {
		t.good.note(ran)
	}
	if !suspected {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(t.all(), func(request wheelgauge.Fingerprint) bool { return request == ran })
	t.settle()
}

// clear notes that some requests did not end the servers that they stood at; the lock is
// held.
func (t *Table) clear(crashes []wheelgauge.Crash, which func(wheelgauge.Fingerprint) bool) (changed bool) {
	for _, c := range crashes {
		if !c.Cleared && which(c.Request) {
			c.Cleared = true
			t.put(c)
			changed = true
		}
	}
	return changed
}

// Merge takes what a host noted.
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
		t.settle()
	}
}

// Keep takes all that somebody else keeps, in place of what it kept before.
func (t *Table) Keep(crashes []wheelgauge.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.kept, crashes) {
		return
	}
	t.kept = slices.Clone(crashes)
	t.settle()
}

// KeepBesides takes what somebody else keeps who does not know everything yet.
func (t *Table) KeepBesides(crashes []wheelgauge.Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	joined, changed := Join(t.kept, crashes)
	if !changed {
		return
	}
	t.kept = joined
	t.settle()
}

// Since returns what was noted here after a change, the first of it if it is much, and
// the number of the last change returned.
func (t *Table) Since(change uint64) ([]wheelgauge.Crash, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if change >= t.changes {
		return nil, change
	}
	var news []*entry
	for _, e := range t.entries {
		if e.change > change {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b *entry) int { return cmp.Compare(a.change, b.change) })
	news = news[:min(len(news), mostTold)]
	out := make([]wheelgauge.Crash, 0, len(news))
	for _, e := range news {
		out, change = append(out, e.crash), e.change
	}
	return out, change
}

// Latest returns the crashes that changed last, for whoever is told of them again and
// again.
func (t *Table) Latest() []wheelgauge.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []*entry
	since := t.now().Add(-latest)
	for _, e := range t.entries {
		if e.seen.After(since) {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b *entry) int { return cmp.Compare(b.change, a.change) })
	out := make([]wheelgauge.Crash, 0, min(len(news), mostTold))
	for _, e := range news[:min(len(news), mostTold)] {
		out = append(out, e.crash)
	}
	return out
}

// Serious returns the crashes by which requests are condemned, or nearly were, and a
// number that changes with them. The list must not be changed.
func (t *Table) Serious() ([]wheelgauge.Crash, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.told, t.at
}

// ToKeep returns what whoever keeps crashes for this table should keep: those by which
// requests are condemned, and which of those kept are cleared since.
func (t *Table) ToKeep() []wheelgauge.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Clone(t.told)
	for _, c := range t.kept {
		e := t.entries[key{request: c.Request, server: c.Server}]
		if e != nil && e.crash.Cleared && !c.Cleared {
			out = append(out, e.crash)
		}
	}
	return out
}

// Condemned returns the requests that are held back, by name.
func (t *Table) Condemned() []wheelgauge.Fingerprint {
	h := t.condemned.Load()
	out := make([]wheelgauge.Fingerprint, 0, len(h.requests))
	for request := range h.requests {
		out = append(out, request)
	}
	slices.Sort(out)
	return out
}

// Prune forgets crashes that are too old to count.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.now().Add(-life)
	before := len(t.entries)
	for k, e := range t.entries {
		if e.seen.Before(old) {
			t.drop(k)
		}
	}
	if len(t.entries) < before {
		t.settle()
	}
}

// put adds a crash, or that it is cleared; the lock is held.
func (t *Table) put(c wheelgauge.Crash) {
	k := key{request: c.Request, server: c.Server}
	e := t.entries[k]
	if e != nil && (e.crash.Cleared || !c.Cleared) {
		return
	}
	if e == nil {
		t.makeRoom()
		e = &entry{crash: wheelgauge.Crash{Cleared: true}}
		t.entries[k] = e
	}
	t.count(c.Request, e.crash.Cleared, c.Cleared)
	t.changes++
	e.crash, e.seen, e.change = c, t.now(), t.changes
}

// count notes that an entry of a request is cleared, or no more; the lock is held.
func (t *Table) count(request wheelgauge.Fingerprint, was, is bool) {
	switch {
	case was && !is:
		t.ends[request]++
		if t.ends[request] == condemnedBy {
			t.condemnable++
		}
	case !was && is:
		t.ends[request]--
		if t.ends[request] == condemnedBy-1 {
			t.condemnable--
		}
		if t.ends[request] == 0 {
			delete(t.ends, request)
		}
	}
}

// drop forgets an entry; the lock is held.
func (t *Table) drop(k key) {
	t.count(k.request, t.entries[k].crash.Cleared, true)
	delete(t.entries, k)
}

// makeRoom drops the entry that changed longest ago when there are too many; the lock
// is held.
func (t *Table) makeRoom() {
	if len(t.entries) < mostCrashes {
		return
	}
	var oldest key
	var first uint64
	for k, e := range t.entries {
		if first == 0 || e.change < first {
			oldest, first = k, e.change
		}
	}
	t.drop(oldest)
}

// all returns what was noted here and what is kept elsewhere, each crash once and
// cleared if either says so; the lock is held.
func (t *Table) all() []wheelgauge.Crash {
	out := make([]wheelgauge.Crash, 0, len(t.entries)+len(t.kept))
	at := make(map[key]int, len(t.kept))
	for _, c := range t.kept {
		at[key{request: c.Request, server: c.Server}] = len(out)
		out = append(out, c)
	}
	for k, e := range t.entries {
		n, ok := at[k]
		if !ok {
			out = append(out, e.crash)
			continue
		}
		out[n].Cleared = out[n].Cleared || e.crash.Cleared
	}
	return out
}

// settle judges anew; the lock is held.
func (t *Table) settle() {
	var told []wheelgauge.Crash
	// Servers that end by themselves leave some thousand entries of one end each: looked
	// through at each heartbeat they cost a store 165 ms when 64 servers end at once.
	if t.condemnable > 0 || len(t.kept) > 0 {
		told = serious(t.all())
		// What many ask again and again is in flight whenever a server ends, at any host, and
		// ran well at this one meanwhile: a host that saw it clears it for all.
		if t.clear(told, t.good.has) {
			told = serious(t.all())
		}
	}
	if !slices.Equal(told, t.told) {
		t.told = told
		t.at++
	}
	h := &held{requests: condemn(told), sizes: map[int]bool{}, suspected: map[int]bool{}}
	for _, e := range t.entries {
		if !e.crash.Cleared {
			h.suspected[e.crash.Size] = true
		}
	}
	for _, c := range told {
		if !c.Cleared {
			h.suspected[c.Size] = true
		}
		if h.requests[c.Request] {
			h.sizes[c.Size] = true
		}
	}
	t.condemned.Store(h)
}
