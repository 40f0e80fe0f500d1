package serverset

import (
	"time"

	"wheelgauge/pushback"
)

// overdue is how long after its backoff a server that was not chosen yet gets the next request:
// its part of them may be small, and only an answer tells how it does now.
const overdue = time.Second

// BackOff takes that the server wants nothing from this host for a time. It tells whether that
// is longer than what it asked before.
func (k *Pick) BackOff(wait time.Duration) bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.current(k.server)
	defer t.keepUnlisted(s)
	return s.backOff(t.now(), wait)
}

// backOff takes a backoff. The lock is held.
func (s *Server) backOff(now time.Time, wait time.Duration) bool {
	if !s.pushback.BackOff(now, wait) {
		return false
	}
	s.renew()
	return true
}

// renew begins anew with what answers tell: how the server failed and how long its work took
// in its need say little of how it does after it. The lock is held.
func (s *Server) renew() {
	s.stale, s.resumed = true, false
	s.failRate, s.pace = 0, 0
}

// renewed tells that the server has answered a request that was sent after its need. The lock
// is held.
func (s *Server) renewed(k *Pick) {
	if s.stale && !s.pushback.BackingOff(k.sent) {
		s.stale, s.service = false, 0
	}
}

// Leave takes that the server leaves, and tells whether that is new.
func (k *Pick) Leave() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.current(k.server)
	defer t.keepUnlisted(s)
	return s.pushback.Leave(t.now())
}

// Allowed tells whether the server still takes the request.
func (k *Pick) Allowed() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current(k.server).pushback.Allows(t.now())
}

// Pushback returns what the server asks of this host.
func (k *Pick) Pushback() pushback.State {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current(k.server).pushback
}

// current returns the entry of a start of a server that is on the list now: it may have been
// off the list since the start was chosen. The lock is held.
func (t *Table) current(s *Server) *Server {
	if now := t.servers[s.instance]; now != nil && now.life == s.life {
		return now
	}
	return s
}

// keepUnlisted remembers what a start of a server asks that is on the list no more: it may be
// back on the next one. The lock is held.
func (t *Table) keepUnlisted(s *Server) {
	if t.servers[s.instance] != s {
		t.keepPushback(s)
	}
}

// BackoffEnds returns after which time the first server takes a job again, where all that might
// take it have asked to back off: 0 if one does not. ok is false if there is no server for it at all.
func (t *Table) BackoffEnds(j Job) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var first time.Time
	backingOff := false
	for _, s := range t.services[j.service] {
		if !j.versions.Allows(s.spec.Version) || s.pushback.Leaving() || !t.fit(s, now) {
			continue
		}
		takes := now.Add(s.pushback.Left(now))
		if s.pausedUntil.After(takes) {
			takes = s.pausedUntil
		}
		backingOff = backingOff || s.pushback.BackingOff(now)
		if first.IsZero() || takes.Before(first) {
			first = takes
		}
	}
	if !backingOff {
		return 0, !first.IsZero()
	}
	return max(0, first.Sub(now)), true
}

// due tells whether the next request is to show how a server does after its backoff: the first
// one that is sent there. The lock is held.
func (s *Server) due(now time.Time) bool {
	return s.stale && !s.resumed && !s.pushback.BackingOff(now.Add(-overdue))
}

// keepPushback remembers what a start of a server asks. The lock is held.
func (t *Table) keepPushback(s *Server) {
	if !s.pushback.Over(t.now()) {
		t.pushbacks[s.life] = s.pushback
	}
}

// takePushback returns what a start of a server asked before it was off the list. The lock is held.
func (t *Table) takePushback(life string) pushback.State {
	state := t.pushbacks[life]
	delete(t.pushbacks, life)
	return state
}

// prunePushbacks forgets what cannot matter any more. The lock is held.
func (t *Table) prunePushbacks() {
	for life, state := range t.pushbacks {
		if state.Over(t.now()) {
			delete(t.pushbacks, life)
		}
	}
}

// heardOf takes that the list which was asked for at a moment shows the servers as it does.
// The lock is held.
func (t *Table) heardOf(asked time.Time) {
	for _, s := range t.servers {
		if !s.spec.Leaving {
			s.pushback.Listed(asked)
		}
	}
}
