package serverset

import (
	"slices"
	"time"
)

// LimitFunc returns the limit that an instance of a server has announced, in requests per
// second; ok is false without one.
type LimitFunc func(instanceKey string) (rate float64, ok bool)

// SetLimits sets the function that returns the limits announced by servers.
func (t *Table) SetLimits(lookup LimitFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitOf = lookup
}

// Defer ends a dispatch that the server's limit does not allow now: the server gets no work
// from this host for a while, or until the limit changes.
func (k *Pick) Defer(after time.Duration) {
	t := k.table
	t.mu.Lock()
	k.server.deferredUntil = t.now().Add(after)
	k.server.deferredAtRate, _ = t.currentLimit(k.server)
	t.mu.Unlock()
	k.Done(Abandoned)
}

func (t *Table) currentLimit(s *Server) (rate float64, ok bool) {
	if t.limitOf == nil {
		return 0, true // nothing would show that the limit ended
	}
	return t.limitOf(s.instanceKey)
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
	rate, limited := t.currentLimit(s)
	return limited && rate == s.deferredAtRate
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
		if !j.versions.Allows(s.spec.Version) || !t.deferred(s, now) || !t.availableBesidesLimit(s, now) || now.Before(s.coldUntil) || slices.Contains(j.tried, s.spec.Instance) {
			continue
		}
		if first == nil || s.deferredUntil.Before(first.deferredUntil) {
			first = s
		}
	}
	return first
}
