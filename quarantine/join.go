package quarantine

import (
	"slices"

	"wheelgauge"
)

const (
	// mostOfOne bounds the crashes that are kept of one request: more than that prove
	// nothing further.
	mostOfOne = 16
	// mostKept bounds what is kept for good: 128 kB. When it is full, further requests
	// are held back by what hosts and stores remember only.
	mostKept = 2048
)

// Join returns what is kept with what is new in it, and whether anything is. Neither
// list is changed. All replicas get the same from the same.
func Join(kept, news []wheelgauge.Crash) ([]wheelgauge.Crash, bool) {
	out, changed := kept, false
	of := map[wheelgauge.Fingerprint]int{}
	at := map[key]int{}
	for n, c := range kept {
		of[c.Request]++
		at[key{request: c.Request, server: c.Server}] = n
	}
	for _, c := range news {
		k := key{request: c.Request, server: c.Server}
		n, known := at[k]
		if known && (out[n].Cleared || !c.Cleared) || !known && (of[c.Request] >= mostOfOne || len(out) >= mostKept) {
			continue
		}
		if !changed {
			out, changed = slices.Clone(kept), true
		}
		if known {
			out[n].Cleared = true
			continue
		}
		of[c.Request]++
		at[k] = len(out)
		out = append(out, c)
	}
	return out, changed
}

// Forget returns what is kept but for some requests, and whether any were in it.
func Forget(kept []wheelgauge.Crash, requests []wheelgauge.Fingerprint) ([]wheelgauge.Crash, bool) {
	out := slices.DeleteFunc(slices.Clone(kept), func(c wheelgauge.Crash) bool { return slices.Contains(requests, c.Request) })
	return out, len(out) < len(kept)
}
