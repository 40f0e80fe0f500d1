package serverset

import (
	"time"

	"wheelgauge"
)

const (
	// versionLag is how long after a version first stood on the list a state must be known to
	// be the newest that says nothing of it: stores apply what the group agrees on a little
	// later one than another.
	versionLag = 500 * time.Millisecond
	// versionHold is the longest that a new version waits for that.
	versionHold = 5 * time.Second
	// freshFor is how long the times of a server's answers say nothing of its version.
	freshFor = 5 * time.Second
)

// ConfirmState tells that no newer state of the deployment is known now. A server of a
// version that is new on the list gets nothing before: its service may be in a rollout that
// this host has not heard of.
func (t *Table) ConfirmState() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateAt = t.now()
}

// Lists tells whether a service has a server of an allowed version that is not leaving.
func (t *Table) Lists(service string, versions wheelgauge.VersionChoice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services[service] {
		if versions.Allows(s.spec.Version) && !s.spec.Leaving && !s.gone {
			return true
		}
	}
	return false
}

// noteVersions notes since when each version of a service is listed. Those that a service
// was first listed with are not new. The lock is held.
func (t *Table) noteVersions() {
	was := t.versions
	t.versions = map[string]map[string]time.Time{}
	for service, list := range t.services {
		known := was[service]
		since := map[string]time.Time{}
		for _, s := range list {
			at, ok := known[s.spec.Version]
			if !ok && known != nil {
				at = t.now()
			}
			since[s.spec.Version], s.versionAt = at, at
		}
		t.versions[service] = since
	}
}

// unproved tells whether the server's version is so new that this host may not know yet what
// may be sent to it.
func (t *Table) unproved(s *Server, now time.Time) bool {
	return !s.versionAt.IsZero() && now.Sub(s.versionAt) < versionHold && !t.stateAt.After(s.versionAt.Add(versionLag))
}

// Fresh tells whether the server has just appeared or is cold.
func (k *Pick) Fresh() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	return now.Sub(k.server.since) < freshFor || now.Before(k.server.coldUntil)
}

// Version is that of the server's software when it was chosen.
func (k *Pick) Version() string { return k.version }
