// Package coldrate bounds the requests that all hosts of a region send to a cold server,
// without messages: a few hosts, the same ones in every host's view, have an equal share of
// the rate, and the others send nothing.
package coldrate

import (
	"slices"
	"sync"
	"time"

	"wheelgauge/rendezvous"
)

const (
	// holders is how many hosts share a server's rate. While views differ there may be one
	// host too many, and the sum stays within one and a half times the rate and the burst of
	// each.
	holders = 2
	// burst is how many requests a holder may send at once.
	burst = 1.0
)

type bucket struct {
	tokens   float64
	refilled time.Time
}

// Shares applies the shares of one host. It is safe for concurrent use.
type Shares struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	now     func() time.Time
}

// New returns shares that read time from now.
func New(now func() time.Time) *Shares { return &Shares{buckets: map[string]*bucket{}, now: now} }

// isHolder reports whether host is one of a server's holders.
func isHolder(server, host string, peers []string) bool {
	if len(peers) == 0 {
		return false // the number of hosts is not known yet
	}
	return slices.Contains(rendezvous.Top(server, peers, holders), host)
}

// Take takes one request from the host's share of rate, in requests a second.
func (s *Shares) Take(server, host string, peers []string, rate float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.refilled(server, host, peers, rate)
	if b == nil || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Allows reports whether Take would take a request now.
func (s *Shares) Allows(server, host string, peers []string, rate float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.refilled(server, host, peers, rate)
	return b != nil && b.tokens >= 1
}

// refilled returns the host's bucket for a server with what its share has added; nil without a
// share. The lock is held.
func (s *Shares) refilled(server, host string, peers []string, rate float64) *bucket {
	if !isHolder(server, host, peers) {
		return nil
	}
	now := s.now()
	b := s.buckets[server]
	if b == nil {
		b = &bucket{tokens: burst, refilled: now}
		s.buckets[server] = b
	}
	share := rate / float64(min(holders, max(1, len(peers))))
	b.tokens = min(burst, b.tokens+share*now.Sub(b.refilled).Seconds())
	b.refilled = now
	return b
}
