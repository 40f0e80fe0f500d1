package quarantine

import (
	"sync"
	"time"

	"wheelgauge"
)

const (
	// maxRememberedBody is the largest body, in bytes, of requests that are remembered after
	// a good run: fingerprinting 1 kB takes 1.2 us. Requests that many callers repeat
	// verbatim are small.
	maxRememberedBody = 1 << 10
	// maxGoodPerGeneration bounds how many requests each generation of half the TTL holds.
	maxGoodPerGeneration = 2048
)

// goodRequests remembers requests that recently ran to a good end, or the parts of their prompts,
// in two generations: each for at most ttl, and for at least half of it unless a generation is
// full. It is safe for concurrent use.
type goodRequests struct {
	mu        sync.Mutex
	now       func() time.Time
	ttl       time.Duration
	rotatedAt time.Time
	current   map[wheelgauge.Fingerprint]bool
	previous  map[wheelgauge.Fingerprint]bool
}

func newGoodRequests(now func() time.Time, ttl time.Duration) *goodRequests {
	return &goodRequests{now: now, ttl: ttl, rotatedAt: now(), current: map[wheelgauge.Fingerprint]bool{}}
}

func (g *goodRequests) add(request wheelgauge.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	g.current[request] = true
}

func (g *goodRequests) has(request wheelgauge.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	return g.current[request] || g.previous[request]
}

// rotate drops the previous generation when the current one is old or full. The caller holds
// the lock.
func (g *goodRequests) rotate() {
	now := g.now()
	age := now.Sub(g.rotatedAt)
	if age <= g.ttl/2 && len(g.current) < maxGoodPerGeneration {
		return
	}
	g.previous = g.current
	if age > g.ttl {
		g.previous = nil
	}
	g.current, g.rotatedAt = map[wheelgauge.Fingerprint]bool{}, now
}
