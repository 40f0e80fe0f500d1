package serverset

import (
	"time"

	"wheelgauge"
)

// maxSoleListAge is the oldest list of servers from which SoleVersion concludes anything.
const maxSoleListAge = 3 * time.Second

// SoleVersion returns the version of a service if no other one was listed, in any region, within a
// time; ok is false if there were others, or if the lists do not reach back so far.
func (t *Table) SoleVersion(service string, within time.Duration) (version string, ok bool) {
	if age := t.ListAge(); age < 0 || age > maxSoleListAge {
		return "", false
	}
	return t.history.Sole(service, within+maxSoleListAge)
}

// RegionHasVersion reports whether another region lists a server of an allowed version that is not
// leaving.
func (t *Table) RegionHasVersion(region, service string, versions wheelgauge.VersionFilter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.remote(region) {
		if s.service == service && !s.leaving && versions.Allows(s.version) {
			return true
		}
	}
	return false
}
