// Package circuitbreaker is a circuit breaker for each backend server: a failing server
// gets no work, then one trial call after a pause that doubles with each failure.
package circuitbreaker

import (
	"sync"
	"time"
)

const (
	minPause = 500 * time.Millisecond
	maxPause = 15 * time.Second
	// failureThreshold is how many failures in a row stop the work for a server.
	failureThreshold = 2
)

type record struct {
	failures int
	until    time.Time
	probing  bool
}

// Breakers holds the breaker state of the servers. It is safe for concurrent use.
type Breakers struct {
	mu      sync.Mutex
	records map[string]*record
}

// New returns breakers that allow every server.
func New() *Breakers { return &Breakers{records: map[string]*record{}} }

// Allowed reports whether a server may get work now. After failureThreshold
// failures one caller at a time is allowed once the pause is over.
func (b *Breakers) Allowed(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[name]
	if r == nil || r.failures < failureThreshold {
		return true
	}
	return !r.probing && now.After(r.until)
}

// CallStarted records that an allowed server gets a call.
func (b *Breakers) CallStarted(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[name]; r != nil && r.failures >= failureThreshold {
		r.probing = true
	}
}

// Failed records a failure.
func (b *Breakers) Failed(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[name]
	if r == nil {
		r = &record{}
		b.records[name] = r
	}
	r.failures++
	r.probing = false
	pause := minPause << min(max(0, r.failures-failureThreshold), 10)
	r.until = now.Add(min(pause, maxPause))
}

// Succeeded records a success and resets the failures.
func (b *Breakers) Succeeded(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.records, name)
}
