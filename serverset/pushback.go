package serverset

import (
	"time"

	"wheelgauge/failurerate"
	"wheelgauge/pushback"
)

// probeDelay is how long after its backoff a server that was not chosen yet gets the next
// request: its share of them may be small, and only an answer shows its current state.
const probeDelay = time.Second

// BackOff records that the server wants no requests from this host for a time. It reports
// whether that extends the current backoff.
func (k *Pick) BackOff(wait time.Duration) bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.listedEntry(k.server)
	defer t.saveIfUnlisted(s)
	return s.backOff(t.now(), wait)
}

// backOff records a backoff. The lock is held.
func (s *Server) backOff(now time.Time, wait time.Duration) bool {
	if !s.pushback.BackOff(now, wait) {
		return false
	}
	s.resetStats()
	return true
}

// resetStats discards what earlier answers showed: the failures and the slowdown of an
// overloaded server say little of how it does afterwards. The lock is held.
func (s *Server) resetStats() {
	s.statsStale, s.probeSent = true, false
	s.failures, s.slowdown = failurerate.Rate{}, 0
}

// noteAnswer ends statsStale if the server has answered a request that was sent after its
// backoff. The lock is held.
func (s *Server) noteAnswer(k *Pick) {
	if s.statsStale && !s.pushback.BackingOff(k.sentAt) {
		s.statsStale, s.serviceTime, s.serviceTimeSamples = false, 0, 0
	}
}

// MarkLeaving records that the server announced its leaving, and reports whether that is new.
func (k *Pick) MarkLeaving() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.listedEntry(k.server)
	defer t.saveIfUnlisted(s)
	if t.servers[s.instance] == s {
		t.leaving[s] = true
	}
	return s.pushback.Leave(t.now())
}

// Allowed reports whether the server still takes the request.
func (k *Pick) Allowed() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedEntry(k.server).pushback.Allows(t.now())
}

// Pushback returns what the server asks of this host.
func (k *Pick) Pushback() pushback.State {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedEntry(k.server).pushback
}

// listedEntry returns the listed entry of the same instance: the instance may have been off
// the list since it was chosen. The lock is held.
func (t *Table) listedEntry(s *Server) *Server {
	if listed := t.servers[s.instance]; listed != nil && listed.instanceKey == s.instanceKey {
		return listed
	}
	return s
}

// saveIfUnlisted saves the pushback of an instance that is no longer listed: it may be back
// in the next list. The lock is held.
func (t *Table) saveIfUnlisted(s *Server) {
	if t.servers[s.instance] != s {
		t.savePushback(s)
	}
}

// BackoffEnds returns the time until the first server takes a job again if all servers for it
// have asked to back off, 0 if one has not. ok is false if there is no server for it at all.
func (t *Table) BackoffEnds(j Job) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var first time.Time
	backingOff := false
	for _, s := range t.services[j.service] {
		if !j.versions.Allows(s.spec.Version) || s.pushback.Leaving() || !t.eligible(s, now) {
			continue
		}
		availableAt := now.Add(s.pushback.Remaining(now))
		if s.pausedUntil.After(availableAt) {
			availableAt = s.pausedUntil
		}
		backingOff = backingOff || s.pushback.BackingOff(now)
		if first.IsZero() || availableAt.Before(first) {
			first = availableAt
		}
	}
	if !backingOff {
		return 0, !first.IsZero()
	}
	return max(0, first.Sub(now)), true
}

// probeDue reports whether the next request is to probe the server after its backoff: the
// first one that is sent there. The lock is held.
func (s *Server) probeDue(now time.Time) bool {
	return s.statsStale && !s.probeSent && !s.pushback.BackingOff(now.Add(-probeDelay))
}

// savePushback saves the pushback of an instance that leaves the list. The lock is held.
func (t *Table) savePushback(s *Server) {
	if !s.pushback.Expired(t.now()) {
		t.unlistedPushbacks[s.instanceKey] = s.pushback
	}
}

// takePushback removes and returns the saved pushback of an instance. The lock is held.
func (t *Table) takePushback(instanceKey string) pushback.State {
	state := t.unlistedPushbacks[instanceKey]
	delete(t.unlistedPushbacks, instanceKey)
	return state
}

// prunePushbacks drops pushbacks that are over. The lock is held.
func (t *Table) prunePushbacks() {
	for instanceKey, state := range t.unlistedPushbacks {
		if state.Expired(t.now()) {
			delete(t.unlistedPushbacks, instanceKey)
		}
	}
}

// confirmListed records that the list was current at requestedAt for all servers that it
// does not show as leaving. The lock is held.
func (t *Table) confirmListed(requestedAt time.Time) {
	for s := range t.leaving {
		if !s.spec.Leaving {
			s.pushback.Listed(requestedAt)
		}
		if !s.pushback.Leaving() {
			delete(t.leaving, s)
		}
	}
}
