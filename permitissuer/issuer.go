// Package permitissuer gives the permits to send requests to backend servers that have
// named a limit: as many a second as the server takes from all hosts together.
package permitissuer

import (
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/serverlimit"
)

const (
	// minRate is what a server gets that wants less, in requests a second: without any
	// request nobody would hear that its limit has ended.
	minRate = 0.1
	// maxSavedPermits is how many permits are kept that nobody asked for, besides the one that is due.
	maxSavedPermits = 2
	// fallbackFraction of the limit is given in place of the store that usually gives it, and
	// nothing is saved: some hosts may still reach that one, and both together stay below
	// one and a half times the limit.
	fallbackFraction = 0.4
	// maxRetrySpread is how much later than the next permit a host is told to come back.
	maxRetrySpread = time.Second
	// minRetryAfter is the soonest that a host is told to come back.
	minRetryAfter = 20 * time.Millisecond
	// idleTTL is how long a server is kept that nobody asks for.
	idleTTL = 5 * time.Minute
)

// key tells what is given as the server's own store from what is given in place of it.
type key struct {
	server  string
	fallback bool
}

// schedule is that of one server's permits.
type schedule struct {
	// gap is the time between two permits.
	interval     time.Duration
	fallback bool
	// next is when the next permit is due if none was saved.
	next time.Time
	// turn is when the last host that was refused comes back.
	lastRetry  time.Time
	lastRequest time.Time
}

// Issuer is safe for concurrent use.
type Issuer struct {
	limits    *serverlimit.Table
	mu        sync.Mutex
	schedules map[key]*schedule
	now       func() time.Time
}

// New returns an issuer that goes by limits and reads time from now. It has nothing saved
// for any server: what was given before its start is not known.
func New(limits *serverlimit.Table, now func() time.Time) *Issuer {
	return &Issuer{limits: limits, schedules: map[key]*schedule{}, now: now}
}

// Answer answers a host that asks, and takes what the host knows of the limit.
func (i *Issuer) Answer(ask wheelgauge.PermitAsk) wheelgauge.PermitAnswer {
	server := ask.Limit.Server
	i.limits.Merge([]wheelgauge.ServerLimit{ask.Limit})
	a := wheelgauge.PermitAnswer{Limit: i.limits.Get(server)}
	rate, limited := i.limits.Rate(server)
	if !limited {
		a.Granted = true // a later answer of the server, to another host, lacked the limit
		return a
	}
	after, ok := i.Take(server, rate, time.Duration(ask.PatienceMS)*time.Millisecond, ask.Instead)
	a.Granted, a.AfterMS = ok, after.Milliseconds()
	return a
}

// Take takes a permit for a request to a server whose limit is rate, in requests a second.
// The request may be sent after a time that is no longer than its patience. If there is no
// permit, after says when to ask again.
func (i *Issuer) Take(server string, rate float64, patience time.Duration, instead bool) (after time.Duration, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	s := i.schedule(key{server, instead}, intervalOf(rate, instead), now)
	s.lastRequest = now
	due := s.next.Add(-s.burstTolerance())
	wait := max(0, due.Sub(now))
	if wait > min(patience, wheelgauge.MostPermitWait) {
		return s.retryAfter(due, now), false
	}
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(s.interval)
	return wait, true
}

func intervalOf(rate float64, instead bool) time.Duration {
	rate = max(rate, minRate)
	if instead {
		rate *= fallbackFraction
	}
	return max(1, time.Duration(float64(time.Second)/rate))
}

// schedule returns a server's, adapted to its limit of now; the lock is held.
func (i *Issuer) schedule(k key, gap time.Duration, now time.Time) *schedule {
	s := i.schedules[k]
	if s == nil {
		s = &schedule{interval: gap, fallback: k.fallback}
		s.next = now.Add(gap + s.burstTolerance())
		i.schedules[k] = s
	}
	if s.interval != gap {
		s.setInterval(gap, now)
	}
	return s
}

// setInterval adapts to another limit: what was saved is as many permits as before, and what was
// given ahead is no longer good.
func (s *schedule) setInterval(gap time.Duration, now time.Time) {
	ahead := time.Duration(float64(s.next.Sub(now)) / float64(s.interval) * float64(gap))
	s.interval, s.lastRetry = gap, time.Time{}
	s.next = now.Add(min(ahead, s.burstTolerance()+gap))
}

// burstTolerance is how long before its time a permit is given when earlier ones were saved.
func (s *schedule) burstTolerance() time.Duration {
	if s.fallback {
		return 0
	}
	return maxSavedPermits * s.interval
}

// retryAfter gives hosts that are refused turns one after another: told the same moment, all
// of them would ask for the one permit.
func (s *schedule) retryAfter(due, now time.Time) time.Duration {
	if s.lastRetry.Before(due) {
		s.lastRetry = due
	} else {
		s.lastRetry = s.lastRetry.Add(s.interval)
	}
	if last := due.Add(maxRetrySpread); s.lastRetry.After(last) {
		s.lastRetry = last
	}
	return max(minRetryAfter, s.lastRetry.Sub(now))
}

// Prune forgets servers that nobody asks for.
func (i *Issuer) Prune() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k, s := range i.schedules {
		if i.now().Sub(s.lastRequest) > idleTTL {
			delete(i.schedules, k)
		}
	}
}
