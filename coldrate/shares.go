// Package coldrate bounds what a cold server gets from all hosts of its region
// together, without messages: a few hosts, the same in every host's view, have
// a part of the rate each, and the others send nothing.
package coldrate

import (
	"slices"
	"sync"
	"time"

	"wheelgauge/rendezvous"
)

const (
	// holders is how many hosts share a server's rate. With one host too many
	// while views differ, the sum stays within one and a half times the rate
	// and the burst of each.
	holders = 2
	// burst is how many requests a holder may send at once.
	burst = 1.0
)

type bucket struct {
	tokens float64
	refilled   time.Time
}

// Shares is safe for concurrent use.
type Shares struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	now     func() time.Time
}

// New returns shares that read time from now.
func New(now func() time.Time) *Shares { return &Shares{buckets: map[string]*bucket{}, now: now} }

// Mine tells whether host is one of a server's holders.
func (s *Shares) Mine(server, host string, peers []string) bool {
	if len(peers) == 0 {
		return false // nobody knows yet how many hosts there are
	}
	return slices.Contains(rendezvous.Top(server, peers, holders), host)
}

// Take takes one request of the host's part of rate, in requests a second.
func (s *Shares) Take(server, host string, peers []string, rate float64) bool {
	if !s.Mine(server, host, peers) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	b := s.buckets[server]
	if b == nil {
		b = &bucket{tokens: burst, refilled: now}
		s.buckets[server] = b
	}
	part := rate / float64(min(holders, max(1, len(peers))))
	b.tokens = min(burst, b.tokens+part*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
