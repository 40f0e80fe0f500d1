package routegate

import (
	"sync"
	"time"

	"wheelgauge/meanrate"
)

// servedRateWindow is the averaging window for the rate of served requests of a service.
const servedRateWindow = 2 * time.Second

// retrySchedules spaces out the retries of callers refused because of server limits or
// backoffs, at the rate at which requests are served. Told to return at the same moment, or
// when the next permit is due, most of them would be refused again and again.
type retrySchedules struct {
	mu       sync.Mutex
	services map[string]*retrySchedule
}

// retrySchedule is the schedule of one service.
type retrySchedule struct {
	served meanrate.Rate
	last   time.Time
}

// schedule returns the schedule of a service; the lock is held.
func (t *retrySchedules) schedule(service string) *retrySchedule {
	if t.services == nil {
		t.services = map[string]*retrySchedule{}
	}
	if t.services[service] == nil {
		t.services[service] = &retrySchedule{served: meanrate.New(servedRateWindow)}
	}
	return t.services[service]
}

// served records that a request was served.
func (t *retrySchedules) served(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.schedule(service).served.Add(1, now)
}

// next returns when the next refused caller should retry: after earliest at the soonest, and
// within latest.
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
