package peerset

import "time"

// Ended records whether a forwarded request failed. A region that fails fast looks idle, as it runs
// nothing.
func (t *Table) Ended(p *Peer, service string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.loads[p.host.Region][service]; u != nil {
		u.failures.Add(failed, t.now())
	}
}

// FailureCost returns what the failures of a region cost the caller of the next request there.
func (t *Table) FailureCost(region, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.loads[region][service]
	if u == nil {
		return 0
	}
	return u.failures.Cost(t.now())
}
