// Package promises keeps which refused requests were told when to return, by this host or by
// others of its region, and recognises them when they do.
package promises

import (
	"sync"
	"sync/atomic"
	"time"

	"wheelgauge"
)

const (
	// MaxAhead is the latest moment that may be promised. Overload lasts seconds.
	MaxAhead = 6 * time.Second
	// earlyTolerance covers that other hosts know the moment as later, by the time that its
	// messages were under way.
	earlyTolerance = 200 * time.Millisecond
	// lateTolerance is how long after its moment a caller is still recognised: it connects
	// anew, over a long link with one retransmission.
	lateTolerance = time.Second
	// maxEntries bounds the promises known: 6 s of 600 promises a second in a region.
	maxEntries = 4096
	// maxReported bounds the promises of one message: 32 are 350 bytes.
	maxReported = 32
)

// entry is what is known of one request.
type entry struct {
	at   time.Time
	size uint16
	used bool
	// change is that of a promise made here, 0 for one that another host made.
	change uint64
}

// made is a promise made here, with the number of its change.
type made struct {
	hash   wheelgauge.RequestHash
	change uint64
}

// Table is safe for concurrent use. Requests with the same content share a promise.
type Table struct {
	now func() time.Time
	// outstanding is the number of entries, for readers without the lock.
	outstanding atomic.Int64

	mu      sync.Mutex
	entries map[wheelgauge.RequestHash]entry
	// sizes counts the entries by body size.
	sizes   map[uint16]int
	local   []made
	changes uint64
	// pruned is when expired entries were last removed.
	pruned time.Time
}

// New returns an empty table that reads the time from now.
func New(now func() time.Time) *Table {
	return &Table{now: now, entries: map[wheelgauge.RequestHash]entry{}, sizes: map[uint16]int{}}
}

// expired reports whether an entry is no longer valid. One too far ahead is left from before the
// clock was set back.
func (e entry) expired(now time.Time) bool {
	return now.After(e.at.Add(lateTolerance)) || e.at.Sub(now) > MaxAhead+lateTolerance
}

// Add records a promise made here. It returns false if there are too many already.
func (t *Table) Add(f wheelgauge.Fingerprint, bodyBytes int, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := wheelgauge.HashOf(f)
	if !t.put(hash, entry{at: at, size: uint16(bodyBytes), change: t.changes + 1}) {
		return false
	}
	t.changes++
	t.local = append(t.local, made{hash: hash, change: t.changes})
	return true
}

// Ahead returns the moment promised to a request, if it is still to come: who asks again
// before gets no other one.
func (t *Table) Ahead(f wheelgauge.Fingerprint) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[wheelgauge.HashOf(f)]
	now := t.now()
	return e.at, ok && !e.used && !e.expired(now) && e.at.After(now)
}

// put adds or replaces an entry. It returns false if the table is full; the lock is held.
func (t *Table) put(hash wheelgauge.RequestHash, e entry) bool {
	now := t.now()
	if now.Sub(t.pruned) > lateTolerance || now.Before(t.pruned) || len(t.entries) >= maxEntries {
		t.prune(now)
	}
	if _, ok := t.entries[hash]; ok {
		t.remove(hash)
	}
	if len(t.entries) >= maxEntries {
		return false
	}
	t.entries[hash] = e
	t.sizes[e.size]++
	t.outstanding.Store(int64(len(t.entries)))
	return true
}

// remove drops an entry; the lock is held.
func (t *Table) remove(hash wheelgauge.RequestHash) {
	size := t.entries[hash].size
	delete(t.entries, hash)
	if t.sizes[size]--; t.sizes[size] == 0 {
		delete(t.sizes, size)
	}
	t.outstanding.Store(int64(len(t.entries)))
}

// prune drops what has expired; the lock is held.
func (t *Table) prune(now time.Time) {
	t.pruned = now
	for hash, e := range t.entries {
		if e.expired(now) {
			t.remove(hash)
		}
	}
	kept := t.local[:0]
	for _, m := range t.local {
		if t.entries[m.hash].change == m.change {
			kept = append(kept, m)
		}
	}
	t.local = kept
}

// Prune drops promises whose moment has passed.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(t.now())
}

// Take reports whether a request returns at the moment promised to it, and uses up the promise;
// early is set if it comes before. The fingerprint is computed only if the size of the body is
// that of a promise: for 12 kB it takes 11 us.
func (t *Table) Take(bodyBytes int, fingerprint func() wheelgauge.Fingerprint) (returning, early bool) {
	if t.outstanding.Load() == 0 || !t.hasSize(uint16(bodyBytes)) {
		return false, false
	}
	hash := wheelgauge.HashOf(fingerprint())
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[hash]
	now := t.now()
	switch {
	case !ok || e.used || e.size != uint16(bodyBytes) || e.expired(now):
		return false, false
	case now.Before(e.at.Add(-earlyTolerance)):
		return false, true
	}
	e.used = true
	t.entries[hash] = e
	return true, false
}

func (t *Table) hasSize(size uint16) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sizes[size] > 0
}

// LocalSince returns the first promises made here after a change whose moment is still to come,
// and the number of the last change returned.
func (t *Table) LocalSince(change uint64) (wheelgauge.ReturnPromises, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out wheelgauge.ReturnPromises
	for _, m := range t.local {
		if m.change <= change {
			continue
		}
		if len(out) == maxReported {
			return out, change
		}
		change = m.change
		if e := t.entries[m.hash]; e.change == m.change && !e.used && !e.expired(now) {
			out = append(out, wheelgauge.ReturnPromise{Hash: m.hash, BodySize: e.size, In: e.at.Sub(now)})
		}
	}
	return out, change
}

// Merge adds promises that others made. One that is known already stays as it is, unless the new
// moment is later than the window of the known one.
func (t *Table) Merge(list wheelgauge.ReturnPromises) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, p := range list {
		e := entry{at: now.Add(p.In), size: p.BodySize}
		if e.expired(now) {
			continue
		}
		if known, ok := t.entries[p.Hash]; ok && !known.expired(now) && !e.at.After(known.at.Add(lateTolerance)) {
			continue
		}
		t.put(p.Hash, e)
	}
}
