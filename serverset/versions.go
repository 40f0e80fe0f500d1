package serverset

import (
	"time"

	"wheelgauge"
)

const (
	// stateApplyLag is how long after a version was first listed the state must be confirmed
	// as the newest before the version gets requests: stores apply agreed changes at slightly
	// different times.
	stateApplyLag = 500 * time.Millisecond
	// maxVersionHold is the longest that a new version waits for that confirmation.
	maxVersionHold = 5 * time.Second
	// newServerPeriod is how long the answer times of a new server say nothing of its version.
	newServerPeriod = 5 * time.Second
)

// ConfirmState records that no newer state of the deployment is known now. A server of a
// newly listed version gets no requests before that: its service may be in a rollout that
// this host has not learned of.
func (t *Table) ConfirmState() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateConfirmedAt = t.now()
}

// HasVersion reports whether a service has a server of an allowed version that is not leaving.
func (t *Table) HasVersion(service string, versions wheelgauge.VersionFilter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services[service] {
		if versions.Allows(s.spec.Version) && !s.spec.Leaving && !s.replaced {
			return true
		}
	}
	return false
}

// listedVersions counts the listed servers of each version of a service.
type listedVersions map[string]map[string]*listedVersion

type listedVersion struct {
	servers int
	// since is when the version was first listed; zero if it is not new.
	since time.Time
}

// add counts a server and returns its version's count.
func (l listedVersions) add(service, version string) *listedVersion {
	if l[service] == nil {
		l[service] = map[string]*listedVersion{}
	}
	if l[service][version] == nil {
		l[service][version] = &listedVersion{}
	}
	l[service][version].servers++
	return l[service][version]
}

func (l listedVersions) remove(service, version string) {
	v := l[service][version]
	if v == nil {
		return
	}
	if v.servers--; v.servers > 0 {
		return
	}
	delete(l[service], version)
	if len(l[service]) == 0 {
		delete(l, service)
	}
}

// countVersion counts a listed server and returns since when its version counts as new. Those that
// a service, or the whole list, comes with are not new: zero. The lock is held.
func (t *Table) countVersion(service, version string) time.Time {
	known := t.versions[service] != nil && !t.listRequestedAt.IsZero()
	v := t.versions.add(service, version)
	if known && v.servers == 1 {
		v.since = t.now()
	}
	return v.since
}

// versionUnconfirmed reports whether the server's version is so new that this host may not
// know yet which requests it may get.
func (t *Table) versionUnconfirmed(s *Server, now time.Time) bool {
	return !s.versionListedAt.IsZero() && now.Sub(s.versionListedAt) < maxVersionHold && !t.stateConfirmedAt.After(s.versionListedAt.Add(stateApplyLag))
}

// NewOrCold reports whether the server appeared recently or is cold.
func (k *Pick) NewOrCold() bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	return now.Sub(k.server.firstSeen) < newServerPeriod || t.isCold(k.server, now)
}

// Version returns the server's software version at the time of the choice.
func (k *Pick) Version() string { return k.version }
