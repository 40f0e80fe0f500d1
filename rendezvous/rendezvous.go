// Package rendezvous ranks names for a key by highest random weight, so that processes
// that know the same names agree without communication, and adding or removing a name moves
// only its own share of the keys.
//
// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking 6(1), 1998.
package rendezvous

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a name or key, for Score and Weighted.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Score returns the pseudo-random weight of a name for a key, both given as hashes.
func Score(key, name uint64) uint64 {
	x := key ^ (name * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Weighted returns a weight by which a name ranks highest for a number of keys in proportion
// to share, which must be greater than 0.
func Weighted(key, name uint64, share float64) float64 {
	unit := (float64(Score(key, name)>>11) + 0.5) / (1 << 53)
	return -share / math.Log(unit)
}

// Top returns the n best names for key, best first.
func Top(key string, names []string, n int) []string {
	k := Hash(key)
	type ranked struct {
		name  string
		score uint64
	}
	all := make([]ranked, len(names))
	for i, name := range names {
		all[i] = ranked{name, Score(k, Hash(name))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	out := make([]string, 0, n)
	for i := range min(n, len(all)) {
		out = append(out, all[i].name)
	}
	return out
}
