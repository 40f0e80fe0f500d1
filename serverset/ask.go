package serverset

import (
	"time"

	"wheelgauge/serverask"
)

// overdue is how long after its rest a server that was not chosen yet gets the next request:
// its part of them may be small, and only an answer tells how it does now.
const overdue = time.Second

// Rest takes that the server wants nothing from this host for a time. It tells whether that
// is longer than what it asked before.
func (k *Pick) Rest(wait time.Duration) bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.current(k.server)
	defer t.keepUnlisted(s)
	return s.rest(t.now(), wait)
}

// rest takes a rest. The lock is held.
func (s *Server) rest(now time.Time, wait time.Duration) bool {
	if !s.ask.Rest(now, wait) {
		return false
	}
	s.renew()
	return true
}

// renew begins anew with what answers tell: how the server failed and how long its work took
// in its need say little of how it does after it. The lock is held.
func (s *Server) renew() {
	s.rested, s.resumed = true, false
	s.failRate, s.pace = 0, 0
}

// renewed tells that the server has answered a request that was sent after its need. The lock
// is held.
func (s *Server) renewed(k *Pick) {
	if s.rested && !s.ask.Resting(k.sent) {
		s.rested, s.service = false, 0
	}
}

// Leave takes that the server leaves, and tells whether that is new.
func (k *Pick) Leave() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.current(k.server)
	defer t.keepUnlisted(s)
	return s.ask.Leave(t.now())
}

// Allowed tells whether the server still takes the request.
func (k *Pick) Allowed() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current(k.server).ask.Allows(t.now())
}

// Asked returns what the server asks of this host.
func (k *Pick) Asked() serverask.Ask {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current(k.server).ask
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
		t.keepAsk(s)
	}
}

// RestOver returns after which time the first server takes a job again, where all that might
// take it rest: 0 if one does not. ok is false if there is no server for it at all.
func (t *Table) RestOver(j Job) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var first time.Time
	resting := false
	for _, s := range t.services[j.service] {
		if !j.versions.Allows(s.spec.Version) || s.ask.Leaving() || !t.fit(s, now) {
			continue
		}
		takes := now.Add(s.ask.Left(now))
		if s.pausedUntil.After(takes) {
			takes = s.pausedUntil
		}
		resting = resting || s.ask.Resting(now)
		if first.IsZero() || takes.Before(first) {
			first = takes
		}
	}
	if !resting {
		return 0, !first.IsZero()
	}
	return max(0, first.Sub(now)), true
}

// due tells whether the next request is to show how a server does after its rest: the first
// one that is sent there. The lock is held.
func (s *Server) due(now time.Time) bool {
	return s.rested && !s.resumed && !s.ask.Resting(now.Add(-overdue))
}

// keepAsk remembers what a start of a server asks. The lock is held.
func (t *Table) keepAsk(s *Server) {
	if !s.ask.Over(t.now()) {
		t.asks[s.life] = s.ask
	}
}

// takeAsk returns what a start of a server asked before it was off the list. The lock is held.
func (t *Table) takeAsk(life string) serverask.Ask {
	ask := t.asks[life]
	delete(t.asks, life)
	return ask
}

// pruneAsks forgets what cannot matter any more. The lock is held.
func (t *Table) pruneAsks() {
	for life, ask := range t.asks {
		if ask.Over(t.now()) {
			delete(t.asks, life)
		}
	}
}

// heardOf takes that the list which was asked for at a moment shows the servers as it does.
// The lock is held.
func (t *Table) heardOf(asked time.Time) {
	for _, s := range t.servers {
		if !s.spec.Leaving {
			s.ask.Listed(asked)
		}
	}
}
