package quarantine

import (
	"cmp"
	"slices"
	"time"

	"wheelgauge"
)

// merged returns the crashes of matching requests recorded here and those persisted elsewhere, each
// once and cleared if either is. The caller holds the lock.
func (t *Table) merged(match func(wheelgauge.Fingerprint) bool) []wheelgauge.Crash {
	var out []wheelgauge.Crash
	index := map[crashKey]int{}
	for _, c := range t.persisted {
		if match(c.Fingerprint) {
			index[crashKey{request: c.Fingerprint, server: c.Server}] = len(out)
			out = append(out, c)
		}
	}
	for k, e := range t.entries {
		if !match(k.request) {
			continue
		}
		n, ok := index[k]
		if !ok && e.crash.Trial != "" {
			continue // not granted
		}
		if !ok {
			out = append(out, e.crash)
			continue
		}
		out[n].Tried = out[n].Tried || out[n].Trial == e.crash.Trial && e.crash.Tried
		out[n].Cleared = out[n].Cleared || e.crash.Cleared
	}
	return out
}

// judged returns the crashes of all candidates for quarantine. Most entries are of requests with one
// crash each; they are left out first. The caller holds the lock.
func (t *Table) judged() []wheelgauge.Crash {
	persisted := map[wheelgauge.Fingerprint]int{}
	for _, c := range t.persisted {
		persisted[c.Fingerprint]++
	}
	mayQualify := func(f wheelgauge.Fingerprint) bool { return t.crashCounts[f]+persisted[f] >= crashThreshold }
	return t.spreadCrashes(candidateCrashes(t.merged(mayQualify)))
}

// reevaluate derives the candidates and the snapshot anew. The caller holds the lock.
func (t *Table) reevaluate() {
	var candidates []wheelgauge.Crash
	// Servers that crash for other reasons leave thousands of entries of requests with one
	// crash each. Evaluating these on each heartbeat costs a store 165 ms when 64 servers
	// crash at once.
	if t.overThreshold > 0 || len(t.persisted) > 0 {
		candidates = t.judged()
		// A request that many callers repeat is in flight whenever a server crashes, at any
		// host, but also ran to a good end recently: a host that saw that clears it for all.
		if t.clear(candidates, t.isGood) {
			candidates = t.judged()
		}
	}
	t.candidates = candidates
	if reported := append(slices.Clone(candidates), t.recentlyCleared()...); !slices.Equal(reported, t.reported) {
		t.reported = reported
		t.reportedVersion++
	}
	judged := t.newSnapshot(candidates)
	t.snapshot.Store(judged)
	t.updateTrials(judged.quarantined)
	t.stale.Store(false)
}

// recentlyCleared returns the latest crashes, cleared within recentWindow, of what would be a
// candidate without that: another host may hold it in quarantine by its own crashes. The caller
// holds the lock.
func (t *Table) recentlyCleared() []wheelgauge.Crash {
	cutoff := t.now().Add(-recentWindow)
	var recent []*entry
	counts := map[wheelgauge.Fingerprint]int{}
	for _, e := range t.entries {
		if e.crash.Cleared && e.changedAt.After(cutoff) {
			recent = append(recent, e)
			counts[e.crash.Fingerprint] = 0
		}
	}
	if len(recent) == 0 {
		return nil
	}
	for k := range t.entries {
		if n, ok := counts[k.request]; ok {
			counts[k.request] = n + 1
		}
	}
	recent = slices.DeleteFunc(recent, func(e *entry) bool { return counts[e.crash.Fingerprint] < crashThreshold })
	slices.SortFunc(recent, func(a, b *entry) int { return cmp.Compare(b.change, a.change) })
	var out []wheelgauge.Crash
	for _, e := range recent[:min(len(recent), maxReported)] {
		out = append(out, e.crash)
	}
	slices.SortFunc(out, compareCrashes)
	return out
}

// spreadCrashes returns the crashes without those of parts all of whose crashes came together.
// Crashes persisted elsewhere were judged there. The caller holds the lock.
func (t *Table) spreadCrashes(crashes []wheelgauge.Crash) []wheelgauge.Crash {
	judged := map[wheelgauge.Fingerprint]bool{}
	for _, c := range t.persisted {
		judged[c.Fingerprint] = judged[c.Fingerprint] || !c.Cleared
	}
	type extent struct{ first, last time.Time }
	extents := map[wheelgauge.Fingerprint]extent{}
	for _, c := range crashes {
		e := t.entries[crashKey{request: c.Fingerprint, server: c.Server}]
		if !c.IsPart() || c.Cleared || e == nil {
			continue
		}
		x, known := extents[c.Fingerprint]
		if !known || e.changedAt.Before(x.first) {
			x.first = e.changedAt
		}
		if e.changedAt.After(x.last) {
			x.last = e.changedAt
		}
		extents[c.Fingerprint] = x
	}
	return slices.DeleteFunc(crashes, func(c wheelgauge.Crash) bool {
		x := extents[c.Fingerprint]
		return c.IsPart() && !judged[c.Fingerprint] && x.last.Sub(x.first) < minPartExtent
	})
}
