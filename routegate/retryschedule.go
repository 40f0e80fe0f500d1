package routegate

import (
	"sync"
	"time"

	"wheelgauge/meanrate"
)

// servedRateWindow is over how long the requests of a service are averaged that are served.
const servedRateWindow = 2 * time.Second

// retrySchedules tells callers that were refused because of limits or backoffs of servers when to come
// back: one after another, as fast as others are served. Told the same moment, or to come when the next
// permit is due, most of them would be refused again and again.
type retrySchedules struct {
	mu       sync.Mutex
	services map[string]*retrySchedule
}

// retrySchedule is that of a service.
type retrySchedule struct {
	served meanrate.Rate
	last   time.Time
}

// schedule returns a service's; the lock is held.
func (t *retrySchedules) schedule(service string) *retrySchedule {
	if t.services == nil {
		t.services = map[string]*retrySchedule{}
	}
	if t.services[service] == nil {
		t.services[service] = &retrySchedule{served: meanrate.New(servedRateWindow)}
	}
	return t.services[service]
}

// served notes that a request got its turn.
func (t *retrySchedules) served(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.schedule(service).served.Add(1, now)
}

// next returns when the next caller that is refused should come back, where the next turn
// is due after soonest: within the latest time.
func (t *retrySchedules) next(service string, now time.Time, earliest, latest time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.schedule(service)
	gap := latest
	if rate := s.served.At(now); rate*latest.Seconds() > 1 {
		gap = time.Duration(float64(time.Second) / rate)
	}
	start := now.Add(earliest)
	if s.last.Before(start) {
		s.last = start
	} else {
		s.last = s.last.Add(gap)
	}
	if end := now.Add(latest); s.last.After(end) {
		s.last = end
	}
	return s.last.Sub(now)
}
