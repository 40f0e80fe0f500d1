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

// New returns an empty table.
func New() *Breakers { return &Breakers{records: map[string]*record{}} }

// Allowed reports whether a server may get work now. After failureThreshold
// failures one caller at a time is allowed once the pause is over.
func (t *Breakers) Allowed(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[name]
	if r == nil || r.failures < failureThreshold {
		return true
	}
	return !r.probing && now.After(r.until)
}

// CallStarted records that an allowed server gets a call.
func (t *Breakers) CallStarted(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[name]; r != nil && r.failures >= failureThreshold {
		r.probing = true
	}
}

// Failed records a failure.
func (t *Breakers) Failed(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[name]
	if r == nil {
		r = &record{}
		t.records[name] = r
	}
	r.failures++
	r.probing = false
	pause := minPause << min(max(0, r.failures-failureThreshold), 10)
	r.until = now.Add(min(pause, maxPause))
}

// Succeeded records a success and resets the failures.
func (t *Breakers) Succeeded(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, name)
}
