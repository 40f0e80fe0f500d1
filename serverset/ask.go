package serverset

import (
	"time"

	"wheelgauge/serverask"
)

// Rest takes that the server wants nothing from this host for a time. It tells whether that
// is longer than what it asked before.
func (k *Pick) Rest(wait time.Duration) bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return k.server.ask.Rest(t.now(), wait)
}

// Leave takes that the server leaves, and tells whether that is new.
func (k *Pick) Leave() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return k.server.ask.Leave(t.now())
}

// Asked returns what the server asks of this host.
func (k *Pick) Asked() serverask.Ask {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return k.server.ask
}
