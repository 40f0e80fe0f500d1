package quarantine

import (
	"time"

	"wheelgauge"
)

// orderedChange is a change of an entry.
type orderedChange struct {
	key    crashKey
	change uint64
}

// put adds a crash or trial, or marks it as cleared or a trial as tried. The caller holds the lock.
func (t *Table) put(c wheelgauge.Crash) {
	k := crashKey{request: c.Fingerprint, server: c.Server}
	e := t.entries[k]
	if e != nil && (e.crash.Cleared || !c.Cleared && !isNewlyTried(e.crash, c)) {
		return
	}
	if e == nil {
		t.evictOldest()
		e = &entry{crash: wheelgauge.Crash{Cleared: true}}
		t.entries[k] = e
	}
	if c.Trial == "" {
		t.updateCount(c.Fingerprint, e.crash.Cleared, c.Cleared)
	}
	t.changes++
	at := t.now().Add(-time.Duration(c.AgoMS) * time.Millisecond)
	c.AgoMS = 0
	e.crash, e.changedAt, e.change = c, at, t.changes
	t.order = append(t.order, orderedChange{key: k, change: t.changes})
}

// isNewlyTried reports whether an update tells that a trial was sent.
func isNewlyTried(known, update wheelgauge.Crash) bool {
	return update.Trial != "" && update.Tried && !known.Tried
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
	if e := t.entries[k]; e.crash.Trial == "" {
		t.updateCount(k.request, e.crash.Cleared, true)
	}
	delete(t.entries, k)
}

// evictOldest drops the entry with the oldest change if the table is full. The caller holds
// the lock.
func (t *Table) evictOldest() {
	for len(t.entries) >= maxEntries {
		oldest := t.order[0]
		t.order = t.order[1:]
		if e := t.entries[oldest.key]; e != nil && e.change == oldest.change {
			t.remove(oldest.key)
		}
	}
}
