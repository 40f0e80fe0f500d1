// Package reachability tells whether this host reaches any server of a service, from its own tries. A
// host that reaches none fails fast and so looks idle: without this, it would be given work that
// others could do.
package reachability

import (
	"slices"
	"sync"
	"time"
)

const (
	// minServers is how many servers must be out of reach, where so many are listed; minFailures
	// is how many tries must have failed where fewer are. One server that is down is no cut.
	minServers  = 3
	minFailures = 3
	// failureWindow is how long a failed try counts.
	failureWindow = 3 * time.Second
	// probeInterval is the time between two requests that try a service which is out of reach.
	probeInterval = 500 * time.Millisecond
	// forgetAfter is how long a service counts as out of reach after the last failed try: a host
	// that gets no request of it would never learn that the cut has ended. It exceeds the longest
	// pause of a server that cannot be reached.
	forgetAfter = 6 * time.Second
	// probeTime is how long after the last failed try requests are still sent one at a time, as
	// none of them has been answered.
	probeTime = 30 * time.Second
	// rampTime is how long after the first answer the host takes only a growing part of what
	// others send it.
	rampTime = 2 * time.Second
)

// service is what is known of one service.
type service struct {
	// failed are the last failed tries by server since the last answer, failures their number.
	failed   map[string]time.Time
	failures int
	// isolated is set while no server is reached; failedAt is when a try last failed, probedAt
	// when one was last allowed meanwhile, reachedAt when isolation ended.
	isolated  bool
	failedAt  time.Time
	probedAt  time.Time
	reachedAt time.Time
	// hanging is set while nothing but silence, since the given time observed, shows isolation.
	hanging      bool
	hangingSince time.Duration
	// credit is what part of the next forwarded request may be taken during the ramp.
	credit float64
	// sends are the requests in flight, listed is how many servers there were at the last one,
	// receivedAt is when any server last sent something, by the time observed.
	sends      map[*Send]struct{}
	listed     int
	receivedAt time.Duration
}

// Tracker is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*service
	// forwarded are the requests that hosts of other regions have got.
	forwarded map[*Send]struct{}
	// observed is the time that has gone by in which the host ran, checkedAt when it was last
	// advanced.
	observed  time.Duration
	checkedAt time.Time
}

// New returns a tracker that considers all services within reach.
func New(now func() time.Time) *Tracker {
	return &Tracker{now: now, services: map[string]*service{}, forwarded: map[*Send]struct{}{}}
}

// Failed records that a server could not be reached, or did not begin to answer; listed is how many
// servers the service has in the region. It reports whether the service is out of reach only now.
func (t *Tracker) Failed(name, server string, listed int) (isolated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.entry(name)
	s.isolated = s.unconfirmed(now)
	for other, at := range s.failed {
		if now.Sub(at) > failureWindow {
			delete(s.failed, other)
		}
	}
	if len(s.failed) == 0 {
		s.failures = 0
	}
	s.failed[server], s.failedAt = now, now
	s.failures++
	if len(s.failed) < min(minServers, listed) || s.failures < minFailures {
		return false
	}
	s.hanging = false
	if s.isolated {
		return false
	}
	s.isolated, s.probedAt = true, now
	return true
}

// entry returns what is known of a service. The lock is held.
func (t *Tracker) entry(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{failed: map[string]time.Time{}, sends: map[*Send]struct{}{}}
		t.services[name] = s
	}
	return s
}

// Reached records that a server answered. It reports whether the service had been out of reach.
func (t *Tracker) Reached(name string) (was bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return false
	}
	return s.reached(t.now())
}

// reached ends isolation, and reports whether there was any. The lock is held.
func (s *service) reached(now time.Time) (was bool) {
	clear(s.failed)
	s.failures, s.hanging = 0, false
	if !s.isolated {
		return false
	}
	s.isolated, s.reachedAt, s.credit = false, now, 0
	return true
}

// MayTry reports whether a request may go to a server of a service: one at a time, as a probe, while
// none is reached.
func (t *Tracker) MayTry(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.services[name], t.now()
	return !s.unconfirmed(now) || s.mayProbe(now)
}

// mayProbe reports whether a probe may be sent, and counts it as sent. The lock is held.
func (s *service) mayProbe(now time.Time) bool {
	if since := now.Sub(s.probedAt); since >= 0 && since < probeInterval {
		return false
	}
	s.probedAt = now
	return true
}

// MayTake reports whether the host takes a request that another one forwards: none while the service
// is out of reach, then probes, and a growing part for some time after the first answer.
func (t *Tracker) MayTake(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.services[name], t.now()
	switch {
	case s == nil:
		return true
	case s.outOfReach(now):
		return false
	case s.unconfirmed(now):
		return s.mayProbe(now)
	}
	part := float64(now.Sub(s.reachedAt)) / float64(rampTime)
	if part < 0 || part >= 1 {
		return true
	}
	if s.credit += part; s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// OutOfReach returns the services of which no server is reached, sorted.
func (t *Tracker) OutOfReach() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	now := t.now()
	for name, s := range t.services {
		if s.outOfReach(now) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// IsOutOfReach reports whether no server of a service is reached.
func (t *Tracker) IsOutOfReach(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.services[name].outOfReach(t.now())
}

// unconfirmed reports whether no server has answered since the service was out of reach.
func (s *service) unconfirmed(now time.Time) bool {
	return s != nil && s.isolated && now.Sub(s.failedAt) <= probeTime
}

// outOfReach reports whether no server is reached; false for a service that is not known.
func (s *service) outOfReach(now time.Time) bool {
	return s != nil && s.isolated && now.Sub(s.failedAt) <= forgetAfter
}
