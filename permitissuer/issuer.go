// Package permitissuer issues permits to send requests to backend servers that have announced
// a limit: as many a second as the server accepts from all hosts together, or only while it has
// room, if it fails when it has to reject requests.
package permitissuer

import (
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/serverlimit"
)

const (
	// minRate is the least rate of permits for a server, in requests a second: without any
	// request no host would learn that its limit has ended.
	minRate = 0.1
	// maxSavedPermits is how many unused permits are saved, besides the one that is due.
	maxSavedPermits = 2
	// fallbackFraction of the limit is granted in place of the store that usually issues the
	// server's permits, and nothing is saved. Some hosts may still reach that store, and both
	// together stay below one and a half times the limit.
	fallbackFraction = 0.4
	// maxRetrySpread bounds how much later than the next permit a host is told to retry.
	maxRetrySpread = time.Second
	// minRetryAfter is the shortest retry delay.
	minRetryAfter = 20 * time.Millisecond
	// idleTTL is how long a server is kept without permit requests.
	idleTTL = 5 * time.Minute
)

// key separates permits issued as the server's own store from those issued as a fallback.
type key struct {
	server   string
	fallback bool
}

// schedule schedules the permits of one server.
type schedule struct {
	// interval is the time between two permits.
	interval time.Duration
	fallback bool
	// next is when the next permit is due if none was saved.
	next time.Time
	// lastRetry is when the last refused host was told to retry.
	lastRetry   time.Time
	lastRequest time.Time
}

// Issuer issues permits. It is safe for concurrent use.
type Issuer struct {
	limits    *serverlimit.Table
	mu        sync.Mutex
	schedules map[key]*schedule
	// places are those of servers that bear few rejections.
	places map[string]*places
	now    func() time.Time
}

// New returns an issuer that applies limits and reads time from now. It has no permits saved
// for any server: those granted before its start are not known.
func New(limits *serverlimit.Table, now func() time.Time) *Issuer {
	return &Issuer{limits: limits, schedules: map[key]*schedule{}, places: map[string]*places{}, now: now}
}

// Answer answers a permit request, and merges the limit that the host knows. A request for a
// place may wait for MaxWaitMS.
func (i *Issuer) Answer(req wheelgauge.PermitRequest) wheelgauge.PermitResponse {
	switch {
	case req.Uses != nil && req.Place != nil && len(req.Uses.Uses) > 0:
		return i.answerPlace(req)
	case req.Uses != nil:
		i.Report(req.Uses)
		return wheelgauge.PermitResponse{}
	}
	server := req.Limit.Server
	i.limits.Merge([]wheelgauge.ServerLimit{req.Limit})
	a := wheelgauge.PermitResponse{Limit: i.limits.Get(server)}
	rate, limited := i.limits.Rate(server)
	if !limited {
		a.Granted = true // the server sent a later answer without the limit to another host
		return a
	}
	after, ok := i.Take(server, rate, time.Duration(req.MaxWaitMS)*time.Millisecond, req.Fallback)
	a.Granted, a.DelayMS = ok, after.Milliseconds()
	return a
}

// Take takes a permit for a request to a server whose limit is rate, in requests a second. The
// request may be sent after the returned delay, which is at most maxWait. Without a permit,
// after is when to retry.
func (i *Issuer) Take(server string, rate float64, maxWait time.Duration, fallback bool) (after time.Duration, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	s := i.schedule(key{server, fallback}, intervalOf(rate, fallback), now)
	s.lastRequest = now
	due := s.next.Add(-s.burstTolerance())
	wait := max(0, due.Sub(now))
	if wait > min(maxWait, wheelgauge.MaxPermitLead) {
		return s.retryAfter(due, now), false
	}
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(s.interval)
	return wait, true
}

func intervalOf(rate float64, fallback bool) time.Duration {
	rate = max(rate, minRate)
	if fallback {
		rate *= fallbackFraction
	}
	return max(1, time.Duration(float64(time.Second)/rate))
}

// schedule returns a server's schedule, adapted to its present limit. The lock must be held.
func (i *Issuer) schedule(k key, interval time.Duration, now time.Time) *schedule {
	s := i.schedules[k]
	if s == nil {
		s = &schedule{interval: interval, fallback: k.fallback}
		s.next = now.Add(interval + s.burstTolerance())
		i.schedules[k] = s
	}
	if s.interval != interval {
		s.setInterval(interval, now)
	}
	return s
}

// setInterval adapts to another limit: the number of saved permits stays, and permits granted
// ahead are void.
func (s *schedule) setInterval(interval time.Duration, now time.Time) {
	ahead := time.Duration(float64(s.next.Sub(now)) / float64(s.interval) * float64(interval))
	s.interval, s.lastRetry = interval, time.Time{}
	s.next = now.Add(min(ahead, s.burstTolerance()+interval))
}

// burstTolerance is how long before its due time a permit is granted if earlier ones were
// saved.
func (s *schedule) burstTolerance() time.Duration {
	if s.fallback {
		return 0
	}
	return maxSavedPermits * s.interval
}

// retryAfter spreads refused hosts over time: told to retry at the same moment, all of them
// would compete for one permit.
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

// Prune drops servers without recent permit requests.
func (i *Issuer) Prune() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k, s := range i.schedules {
		if i.now().Sub(s.lastRequest) > idleTTL {
			delete(i.schedules, k)
		}
	}
	for server, p := range i.places {
		if i.now().Sub(p.usedAt) > idleTTL {
			delete(i.places, server)
		}
	}
}
