package quarantine

import (
	"sync"
	"time"

	"wheelgauge"
)

const (
	// smallBody is the largest body, in bytes, of requests that are all remembered after a good
	// run: fingerprinting 1 kB takes 1.2 us.
	smallBody = 1 << 10
	// hashedPerSecond is how many bytes of larger bodies are fingerprinted to remember their
	// requests, 4 ms of work. What many callers repeat verbatim is soon among them.
	hashedPerSecond = 4 << 20
	// largeTTL is how long a good run of a request with a larger body counts against its crashes.
	// Servers may begin to crash on a request that they bore before.
	largeTTL = 3 * time.Second
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

// hashBudget bounds how many bytes are fingerprinted. It is safe for concurrent use.
type hashBudget struct {
	mu       sync.Mutex
	now      func() time.Time
	filledAt time.Time
	left     float64
}

func newHashBudget(now func() time.Time) *hashBudget {
	return &hashBudget{now: now, filledAt: now(), left: hashedPerSecond}
}

// take reports whether a body may be fingerprinted. One that exceeds what is left is taken too, and
// later ones wait for it.
func (b *hashBudget) take(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.left = min(hashedPerSecond, b.left+hashedPerSecond*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.left <= 0 {
		return false
	}
	b.left -= float64(size)
	return true
}
