package quarantine

import (
	"slices"

	"wheelgauge"
)

const (
	// maxCrashesPerRequest bounds the crashes that are persisted for one request; more of
	// them add no evidence.
	maxCrashesPerRequest = 16
	// maxPersisted bounds the crashes that are persisted: 128 kB. Once it is reached, further
	// requests are quarantined only by what hosts and stores hold in memory.
	maxPersisted = 2048
)

// MergePersisted returns the persisted crashes with updates merged in, and whether anything
// changed. It changes neither list and is deterministic, so all replicas get the same result.
func MergePersisted(persisted, updates []wheelgauge.Crash) ([]wheelgauge.Crash, bool) {
	out, changed := persisted, false
	perRequest := map[wheelgauge.Fingerprint]int{}
	index := map[crashKey]int{}
	for n, c := range persisted {
		perRequest[c.Fingerprint]++
		index[crashKey{request: c.Fingerprint, server: c.Server}] = n
	}
	for _, c := range updates {
		k := crashKey{request: c.Fingerprint, server: c.Server}
		n, known := index[k]
		if known && (out[n].Cleared || !c.Cleared) || !known && (perRequest[c.Fingerprint] >= maxCrashesPerRequest || len(out) >= maxPersisted) {
			continue
		}
		if !changed {
			out, changed = slices.Clone(persisted), true
		}
		if known {
			out[n].Cleared = true
			continue
		}
		perRequest[c.Fingerprint]++
		index[k] = len(out)
		out = append(out, c)
	}
	return out, changed
}

// RemoveRequests returns the persisted crashes without those of some requests, and whether
// there were any.
func RemoveRequests(persisted []wheelgauge.Crash, requests []wheelgauge.Fingerprint) ([]wheelgauge.Crash, bool) {
	out := slices.DeleteFunc(slices.Clone(persisted), func(c wheelgauge.Crash) bool { return slices.Contains(requests, c.Fingerprint) })
	return out, len(out) < len(persisted)
}
