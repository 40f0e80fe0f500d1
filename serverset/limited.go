package serverset

import (
	"slices"
	"time"
)

// LimitOf returns the limit that a start of a server has named, in requests a second; ok is
// false without one.
type LimitOf func(life string) (rate float64, ok bool)

// SetLimits gives the limits that servers have named.
func (t *Table) SetLimits(limits LimitOf) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limitOf = limits
}

// Defer ends a dispatch that the server's limit does not allow now: it gets no work from
// this host for a while, or until the limit changes.
func (k *Pick) Defer(after time.Duration) {
	t := k.table
	t.mu.Lock()
	k.server.limitedUntil = t.now().Add(after)
	k.server.limitedTo, _ = t.limit(k.server)
	t.mu.Unlock()
	k.Done(Left)
}

func (t *Table) limit(s *Server) (rate float64, ok bool) {
	if t.limitOf == nil {
		return 0, true // nothing tells that it ended
	}
	return t.limitOf(s.life)
}

// hasLimit tells whether a server has named a limit.
func (t *Table) hasLimit(s *Server) bool {
	if t.limitOf == nil {
		return false
	}
	_, limited := t.limitOf(s.life)
	return limited
}

// noteLimitOver begins anew with a server that no longer names the limit by which it got
// requests. The lock is held.
func (t *Table) noteLimitOver(s *Server) {
	if s.limited && !t.hasLimit(s) {
		s.limited = false
		s.renew()
	}
}

// deferred tells whether the server's limit allows nothing now. At a tenth of a request a
// second it says so for ten seconds, by which time the limit may have ended.
func (t *Table) deferred(s *Server, now time.Time) bool {
	if !now.Before(s.limitedUntil) {
		return false
	}
	rate, limited := t.limit(s)
	return limited && rate == s.limitedTo
}

// Soonest returns after which time a server takes something again whose limit does not allow
// it now; ok is false if there is none.
func (t *Table) Soonest(j Job) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.soonest(j, now)
	if s == nil {
		return 0, false
	}
	return s.limitedUntil.Sub(now), true
}

// ChooseLimited picks the server that takes something again first, within a time, of those
// whose limits do not allow it now; nil if there is none.
func (t *Table) ChooseLimited(j Job, within time.Duration) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	s := t.soonest(j, now)
	if s == nil || s.limitedUntil.Sub(now) > within {
		return nil
	}
	return t.pick(t.rate(s, j, candidates{}, now), nil, j, now)
}

// soonest returns the server that takes something again first of those whose limits do not
// allow it now; nil if there is none. The lock is held.
func (t *Table) soonest(j Job, now time.Time) *Server {
	var first *Server
	for _, s := range t.services[j.service] {
		if !j.versions.Allows(s.spec.Version) || !t.deferred(s, now) || !t.able(s, now) || now.Before(s.coldUntil) || slices.Contains(j.tried, s.spec.Instance) {
			continue
		}
		if first == nil || s.limitedUntil.Before(first.limitedUntil) {
			first = s
		}
	}
	return first
}
