// Package streamorigin holds in memory what began streams, at hosts and at stores, for as long as
// the streams may be taken up.
package streamorigin

import (
	"sync"
	"time"

	"wheelgauge"
)

const (
	// maxTTL bounds how long an origin is held, whatever its message says.
	maxTTL = 10 * time.Minute
	// makeRoomInterval is how often a full table is searched for what has expired: not for each
	// origin, as that takes 5 ms at 100,000 of them.
	makeRoomInterval = 500 * time.Millisecond
)

// entry is one origin.
type entry struct {
	service, version string
	expiresAt        time.Time
	// ambiguous is set once two origins were reported for the same stream.
	ambiguous bool
}

// Table is safe for concurrent use.
type Table struct {
	capacity int
	now      func() time.Time

	mu      sync.Mutex
	entries map[wheelgauge.StreamKey]entry
	dropped uint64
	// prunedAt is when what has expired was last removed.
	prunedAt time.Time
}

// New returns an empty table for a number of origins that reads the time from now.
func New(capacity int, now func() time.Time) *Table {
	return &Table{capacity: capacity, now: now, entries: map[wheelgauge.StreamKey]entry{}}
}

// Add adds origins, or extends the time for which they are held. Of two different origins of a
// stream neither holds: callers may use a request ID twice.
func (t *Table) Add(origins ...wheelgauge.StreamOrigin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, o := range origins {
		t.add(o, now)
	}
}

func (t *Table) add(o wheelgauge.StreamOrigin, now time.Time) {
	expiresAt := now.Add(min(maxTTL, max(0, o.TTL())))
	e, ok := t.entries[o.Key]
	switch {
	case ok && now.Before(e.expiresAt):
		e.ambiguous = e.ambiguous || e.service != o.Service || e.version != o.Version
		if expiresAt.After(e.expiresAt) {
			e.expiresAt = expiresAt
		}
	case !ok && len(t.entries) >= t.capacity && !t.makeRoom(now):
		t.dropped++
		return
	default:
		e = entry{service: o.Service, version: o.Version, expiresAt: expiresAt}
	}
	t.entries[o.Key] = e
}

// makeRoom removes what has expired, and reports whether there is room; the lock is held.
func (t *Table) makeRoom(now time.Time) bool {
	if since := now.Sub(t.prunedAt); since >= makeRoomInterval || since < 0 {
		t.prune(now)
	}
	return len(t.entries) < t.capacity
}

// Find returns what began a stream; ok is false if that is not known.
func (t *Table) Find(key wheelgauge.StreamKey) (o wheelgauge.StreamOrigin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	now := t.now()
	if !ok || e.ambiguous || !now.Before(e.expiresAt) {
		return wheelgauge.StreamOrigin{}, false
	}
	return e.origin(key, now), true
}

func (e entry) origin(key wheelgauge.StreamKey, now time.Time) wheelgauge.StreamOrigin {
	return wheelgauge.StreamOrigin{Key: key, Service: e.service, Version: e.version, TTLMS: e.expiresAt.Sub(now).Milliseconds()}
}

// All returns all origins that are held, in no particular order.
func (t *Table) All() []wheelgauge.StreamOrigin {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make([]wheelgauge.StreamOrigin, 0, len(t.entries))
	for key, e := range t.entries {
		if !e.ambiguous && now.Before(e.expiresAt) {
			out = append(out, e.origin(key, now))
		}
	}
	return out
}

// Services returns the services of the origins that are held.
func (t *Table) Services() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]bool{}
	for _, e := range t.entries {
		out[e.service] = true
	}
	return out
}

// Prune removes what has expired.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(t.now())
}

// prune also removes what is left from before the clock was set back; the lock is held.
func (t *Table) prune(now time.Time) {
	t.prunedAt = now
	for key, e := range t.entries {
		if !now.Before(e.expiresAt) || e.expiresAt.Sub(now) > maxTTL {
			delete(t.entries, key)
		}
	}
}

// Len returns the number of origins held.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Dropped returns how many origins were not taken for lack of room.
func (t *Table) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dropped
}
