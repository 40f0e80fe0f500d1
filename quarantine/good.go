package quarantine

import (
	"sync"
	"time"

	"wheelgauge"
)

const (
	// smallBody is the largest body, in bytes, of requests that are remembered when they
	// ran well: the fingerprint of 1 kB takes 1.2 us. What many callers ask again and
	// again in the same words is small.
	smallBody = 1 << 10
	// mostGood bounds how many are remembered in each half of life.
	mostGood = 2048
)

// good remembers requests that ran well lately, for life at most and half of it at least
// unless there are too many. It is safe for concurrent use.
type good struct {
	mu      sync.Mutex
	now     func() time.Time
	since   time.Time
	lately  map[wheelgauge.Fingerprint]bool
	earlier map[wheelgauge.Fingerprint]bool
}

func newGood(now func() time.Time) *good {
	return &good{now: now, since: now(), lately: map[wheelgauge.Fingerprint]bool{}}
}

func (g *good) note(request wheelgauge.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn()
	g.lately[request] = true
}

func (g *good) has(request wheelgauge.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn()
	return g.lately[request] || g.earlier[request]
}

// turn lets go of what is old; the lock is held.
func (g *good) turn() {
	now := g.now()
	age := now.Sub(g.since)
	if age <= life/2 && len(g.lately) < mostGood {
		return
	}
	g.earlier = g.lately
	if age > life {
		g.earlier = nil
	}
	g.lately, g.since = map[wheelgauge.Fingerprint]bool{}, now
}
