package routegate

import (
	"sync"
	"time"

	"wheelgauge/meanrate"
)

// turnSpan is over how long the requests of a service are averaged that are served.
const turnSpan = 2 * time.Second

// turns tells callers that were refused because of limits or backoffs of servers when to come
// back: one after another, as fast as others are served. Told the same moment, or to come when the next
// permit is due, most of them would be refused again and again.
type turns struct {
	mu       sync.Mutex
	services map[string]*turn
}

// turn is that of a service.
type turn struct {
	rate meanrate.Rate
	last time.Time
}

// of returns a service's; the lock is held.
func (t *turns) of(service string) *turn {
	if t.services == nil {
		t.services = map[string]*turn{}
	}
	if t.services[service] == nil {
		t.services[service] = &turn{rate: meanrate.New(turnSpan)}
	}
	return t.services[service]
}

// served notes that a request got its turn.
func (t *turns) served(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(service).rate.Add(1, now)
}

// next returns when the next caller that is refused should come back, where the next turn
// is due after soonest: within the latest time.
func (t *turns) next(service string, now time.Time, soonest, latest time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(service)
	gap := latest
	if rate := s.rate.At(now); rate*latest.Seconds() > 1 {
		gap = time.Duration(float64(time.Second) / rate)
	}
	first := now.Add(soonest)
	if s.last.Before(first) {
		s.last = first
	} else {
		s.last = s.last.Add(gap)
	}
	if end := now.Add(latest); s.last.After(end) {
		s.last = end
	}
	return s.last.Sub(now)
}
