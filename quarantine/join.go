package quarantine

import (
	"slices"

	"wheelgauge"
)

const (
	// maxCrashesPerRequest bounds the crashes that are persisted for one request, but for those
	// under trials; more of them add no evidence.
	maxCrashesPerRequest = 16
	// maxTrialsPerRequest bounds its trials and the crashes under them together.
	maxTrialsPerRequest = 64
	// maxPersisted bounds the crashes that are persisted: 128 kB. Once it is reached, further
	// requests are quarantined only by what hosts and stores hold in memory.
	maxPersisted = 2048
)

// MergePersisted returns the persisted crashes with updates merged in, and whether anything
// changed. It changes neither list and is deterministic, so all replicas get the same result.
func MergePersisted(persisted, updates []wheelgauge.Crash) ([]wheelgauge.Crash, bool) {
	out, changed := persisted, false
	perRequest, trials := map[wheelgauge.Fingerprint]int{}, map[wheelgauge.Fingerprint]int{}
	countOf := func(c wheelgauge.Crash) (counts map[wheelgauge.Fingerprint]int, most int) {
		if c.Trial != "" || c.Tried {
			return trials, maxTrialsPerRequest
		}
		return perRequest, maxCrashesPerRequest
	}
	index := map[crashKey]int{}
	for n, c := range persisted {
		counts, _ := countOf(c)
		counts[c.Fingerprint]++
		index[crashKey{request: c.Fingerprint, server: c.Server}] = n
	}
	for _, c := range updates {
		k := crashKey{request: c.Fingerprint, server: c.Server}
		n, known := index[k]
		counts, most := countOf(c)
		isTried := known && out[n].Trial == c.Trial && isNewlyTried(out[n], c)
		if known && (out[n].Cleared || !c.Cleared && !isTried) || !known && (counts[c.Fingerprint] >= most || len(out) >= maxPersisted) {
			continue
		}
		if !changed {
			out, changed = slices.Clone(persisted), true
		}
		if known {
			out[n].Cleared, out[n].Tried = c.Cleared, out[n].Tried || isTried
			continue
		}
		counts[c.Fingerprint]++
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
