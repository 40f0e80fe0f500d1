// Package gate counts work in flight and lets a leaving process wait for its end.
package gate

import (
	"context"
	"sync"
)

// Gate is open until Shut. It is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	count int
	shut  bool
	idle  chan struct{}
}

// New returns an open gate.
func New() *Gate { return &Gate{idle: make(chan struct{})} }

// Enter counts one more, or returns false once the gate is shut.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return false
	}
	g.count++
	return true
}

// Leave counts one less. It is called once for each Enter that returned true.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.shut && g.count == 0 {
		close(g.idle)
	}
}

// Shut lets nothing more in. It may be called again.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.shut && g.count == 0 {
		close(g.idle)
	}
	g.shut = true
}

// Wait returns once the gate is shut and all have left, or when ctx ends.
func (g *Gate) Wait(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns how many are inside.
func (g *Gate) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}
