package serverset

import (
	"slices"
	"time"
)

// Defer ends a dispatch that the server's limit does not allow now: it gets no work from
// this host for a while.
func (k *Pick) Defer(after time.Duration) {
	k.table.mu.Lock()
	k.server.limitedUntil = k.table.now().Add(after)
	k.table.mu.Unlock()
	k.Done(Left)
}

// ChooseLimited picks the server that takes something again first, within a time, of those
// whose limits do not allow it now; nil if there is none.
func (t *Table) ChooseLimited(j Job, within time.Duration) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var first *Server
	for _, s := range t.services[j.service] {
		waits := now.Before(s.limitedUntil) && s.limitedUntil.Sub(now) <= within
		if !waits || !t.able(s, now) || now.Before(s.coldUntil) || slices.Contains(j.tried, s.spec.Instance) {
			continue
		}
		if first == nil || s.limitedUntil.Before(first.limitedUntil) {
			first = s
		}
	}
	if first == nil {
		return nil
	}
	return t.pick(t.rate(first, j, candidates{}, now), nil, j, now)
}
