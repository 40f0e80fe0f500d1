package serverset

import (
	"cmp"
	"slices"
	"time"
)

// brittleMemory is how long after its last brittle server is gone a service is still taken for
// brittle by servers that have not answered yet: all may fail and return together.
const brittleMemory = 30 * time.Second

// LimitFunc returns the limit that an instance of a server has announced, in requests per
// second; ok is false without one.
type LimitFunc func(instanceKey string) (rate float64, ok bool)

// SetLimits sets the function that returns the limits announced by servers.
func (t *Table) SetLimits(lookup LimitFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitOf = lookup
}

// SetRejections sets the function that returns how many rejections servers bear.
func (t *Table) SetRejections(lookup LimitFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejectionsOf = lookup
}

// announced are the limits that a server has announced.
type announced struct {
	rate    float64
	limited bool
	// bears is how many rejections a second the server bears if it is brittle.
	bears   float64
	brittle bool
}

// announcedBy returns the limits of a server. The lock is held.
func (t *Table) announcedBy(s *Server) (a announced) {
	if t.limitOf != nil {
		a.rate, a.limited = t.limitOf(s.instanceKey)
	}
	a.bears, a.brittle = t.bears(s)
	return a
}

// bears returns how many rejections a second a server bears; ok is false if it bears any number. A
// server that has not answered since the first of its service became brittle is taken for one
// like it. The lock is held.
func (t *Table) bears(s *Server) (n float64, ok bool) {
	if t.rejectionsOf == nil {
		return 0, false
	}
	if n, ok = t.rejectionsOf(s.instanceKey); ok {
		return n, true
	}
	b := t.brittleService(s.spec.Service)
	return b.bears, !b.since.IsZero() && !s.lastReached.After(b.since)
}

// brittleService is what is known of a service whose servers bear few rejections.
type brittleService struct {
	// bears is the least number of rejections a second that a server bears.
	bears         float64
	since, seenAt time.Time
}

// brittleService returns what is known of the brittle servers of a service, the zero value if none
// was there lately. The lock is held.
func (t *Table) brittleService(service string) brittleService {
	b, now, present := t.brittle[service], t.now(), false
	for _, s := range t.services[service] {
		if n, ok := t.rejectionsOf(s.instanceKey); ok && (!present || n < b.bears) {
			b.bears, b.seenAt, present = n, now, true
		}
	}
	switch {
	case present && b.since.IsZero():
		b.since = now
	case now.Sub(b.seenAt) > brittleMemory:
		b = brittleService{}
	}
	if b.since.IsZero() {
		delete(t.brittle, service)
		return b
	}
	t.brittle[service] = b
	return b
}

// Bears returns how many rejections a second the server bears; ok is false if it bears any number.
func (k *Pick) Bears() (n float64, ok bool) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bears(k.server)
}

// Slots returns how many requests the server runs at once, as far as it is known.
func (k *Pick) Slots() int {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(1, cmp.Or(k.server.slots, k.server.spec.Slots))
}

// Defer ends a dispatch that the server's limit does not allow now: the server gets no work
// from this host for a while, or until the limit changes.
func (k *Pick) Defer(after time.Duration) {
	t := k.table
	t.mu.Lock()
	k.server.deferredUntil = t.now().Add(after)
	k.server.deferredAt = t.announcedBy(k.server)
	t.mu.Unlock()
	k.Done(Abandoned)
}

// hasLimit reports whether a server has announced a limit.
func (t *Table) hasLimit(s *Server) bool {
	if t.limitOf == nil {
		return false
	}
	_, limited := t.limitOf(s.instanceKey)
	return limited
}

// checkLimitEnd resets the statistics of a server that got requests under a limit and no
// longer announces it. The lock is held.
func (t *Table) checkLimitEnd(s *Server) {
	if s.sentUnderLimit && !t.hasLimit(s) {
		s.sentUnderLimit = false
		s.resetStats()
	}
}

// deferred reports whether the server's limit allows nothing now. At a tenth of a request a
// second a deferral lasts ten seconds, by which time the limit may have ended.
func (t *Table) deferred(s *Server, now time.Time) bool {
	if !now.Before(s.deferredUntil) {
		return false
	}
	if t.limitOf == nil {
		return true // nothing would show that the limit ended
	}
	a := t.announcedBy(s)
	return (a.limited || a.brittle) && a == s.deferredAt
}

// NextDeferred returns the time until the first deferred server takes a request again; ok is
// false if none is deferred.
func (t *Table) NextDeferred(j Job) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.firstDeferred(j, now)
	if s == nil {
		return 0, false
	}
	return s.deferredUntil.Sub(now), true
}

// ChooseDeferred picks the deferred server that takes a request again first, if that is
// within a time; nil if there is none.
func (t *Table) ChooseDeferred(j Job, within time.Duration) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.firstDeferred(j, now)
	if s == nil || s.deferredUntil.Sub(now) > within {
		return nil
	}
	return t.newPick(t.evaluate(s, j, candidates{}, now), nil, j, now)
}

// firstDeferred returns the deferred server that takes a request again first; nil if there
// is none. The lock is held.
func (t *Table) firstDeferred(j Job, now time.Time) *Server {
	var first *Server
	for _, s := range t.services[j.service] {
		if !j.versions.Allows(s.spec.Version) || !t.deferred(s, now) || !t.availableBesidesLimit(s, now) || t.isCold(s, now) || slices.Contains(j.tried, s.spec.Instance) {
			continue
		}
		if first == nil || s.deferredUntil.Before(first.deferredUntil) {
			first = s
		}
	}
	return first
}
