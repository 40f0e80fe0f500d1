package quarantine

import "wheelgauge"

// snapshot holds the requests in quarantine for readers without a lock.
type snapshot struct {
	quarantined map[wheelgauge.Fingerprint]bool
	// quarantinedSizes are the body sizes of quarantined requests, suspectedSizes those of
	// requests that were in flight at a crash.
	quarantinedSizes map[int]bool
	suspectedSizes   map[int]bool
	// quarantinedParts is set if parts are among the quarantined, crashedParts holds all parts
	// with crashes that are not cleared.
	quarantinedParts bool
	crashedParts     map[wheelgauge.Fingerprint]bool
}

// view returns the current snapshot.
func (t *Table) view() *snapshot {
	if t.stale.Load() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.refresh()
	}
	return t.snapshot.Load()
}

// refresh derives the snapshot anew if crashes were recorded since. The caller holds the lock.
func (t *Table) refresh() {
	if t.stale.Load() {
		t.reevaluate()
	}
}

// newSnapshot derives the snapshot for readers. The caller holds the lock.
func (t *Table) newSnapshot(candidates []wheelgauge.Crash) *snapshot {
	s := &snapshot{
		quarantined: attribute(candidates), quarantinedSizes: map[int]bool{}, suspectedSizes: map[int]bool{},
		crashedParts: map[wheelgauge.Fingerprint]bool{},
	}
	for _, e := range t.entries {
		s.addCrash(e.crash)
	}
	for _, c := range candidates {
		s.addCrash(c)
		switch {
		case !s.quarantined[c.Fingerprint]:
		case c.IsPart():
			s.quarantinedParts = true
		default:
			s.quarantinedSizes[c.BodyBytes] = true
		}
	}
	return s
}

// addCrash adds a crash that is not cleared to what is suspected.
func (s *snapshot) addCrash(c wheelgauge.Crash) {
	switch {
	case c.Cleared, c.Trial != "":
	case c.IsPart():
		s.crashedParts[c.Fingerprint] = true
	default:
		s.suspectedSizes[c.BodyBytes] = true
	}
}
