// Package gate counts work in flight and lets a process that shuts down wait for it.
package gate

import (
	"context"
	"sync"
)

// Gate admits work until Close. It is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	count int
	shut  bool
	idle  chan struct{}
}

// New returns an open gate.
func New() *Gate { return &Gate{idle: make(chan struct{})} }

// Enter counts one piece of work, or returns false if the gate is shut.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return false
	}
	g.count++
	return true
}

// Leave ends one piece of work. It must be called once for each Enter that returned true.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.shut && g.count == 0 {
		close(g.idle)
	}
}

// Close admits no more work. It may be called more than once.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.shut && g.count == 0 {
		close(g.idle)
	}
	g.shut = true
}

// Wait returns when the gate is shut and no work is in flight, or when ctx ends.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns the amount of work in flight.
func (g *Gate) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}
