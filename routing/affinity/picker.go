// Package affinity picks a backend server by prompt prefix, bounded by load.
//
// The servers are ranked for a prefix by rendezvous hashing, so that all
// gateways find the same warm server without sharing cache maps. The first server
// whose load stays within a bound of the average is picked, but no full server
// while another has a free slot: waiting costs more than a cold prefill.
//
// Source of the bound: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing
// with bounded loads", SODA 2018.
package affinity

import (
	"math/rand/v2"

	"wheelgauge"
	"wheelgauge/rendezvous"
)

// defaultLoadBound is the highest load of a warm server, as a multiple of the average.
const defaultLoadBound = 1.25

// Picker implements wheelgauge.Picker without allocating.
type Picker struct {
	bound float64
}

// New returns a Picker; a bound of 0 means the default.
func New(bound float64) *Picker {
	if bound == 0 {
		bound = defaultLoadBound
	}
	return &Picker{bound: bound}
}

// Pick implements wheelgauge.Picker.
func (p *Picker) Pick(prefix uint64, candidates []wheelgauge.Candidate) int {
	if prefix == 0 {
		return twoChoices(candidates)
	}
	limit := p.limit(candidates)
	best, bestScore := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if load := Load(c); load >= limit*float64(c.Slots) && load >= 1 {
			continue
		}
		if score := rendezvous.Score(prefix, c.Hash); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return LeastLoaded(candidates)
	}
	return best
}

// limit returns the load per slot below which a server may be picked.
func (p *Picker) limit(candidates []wheelgauge.Candidate) float64 {
	load, slots, anyFree := 0.0, 0, false
	for i := range candidates {
		candidateLoad := Load(&candidates[i])
		load += candidateLoad
		slots += candidates[i].Slots
		anyFree = anyFree || candidateLoad < float64(candidates[i].Slots)
	}
	limit := p.bound * (load + 1) / float64(max(1, slots))
	if anyFree {
		return min(1, limit)
	}
	return limit
}

// Load estimates a server's load in requests: its reported load or this host's requests
// in flight, whichever is more, plus this host's requests that wait for a first byte. The
// latter count twice because reports lag and a late first byte is newer information.
func Load(c *wheelgauge.Candidate) float64 {
	return float64(max(c.InFlight, c.Running+c.Waiting) + c.Pending)
}

// LeastLoaded returns the index of the candidate with the least load per slot.
func LeastLoaded(candidates []wheelgauge.Candidate) int {
	best, bestLoad := 0, 0.0
	for i := range candidates {
		load := (Load(&candidates[i]) + 1) / float64(max(1, candidates[i].Slots))
		if i == 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// twoChoices picks the less loaded of two random candidates. As load reports lag,
// picking the least loaded of all would send every request there.
func twoChoices(candidates []wheelgauge.Candidate) int {
	n := len(candidates)
	if n == 1 {
		return 0
	}
	a := rand.IntN(n)
	b := rand.IntN(n - 1)
	if b >= a {
		b++
	}
	la := (Load(&candidates[a]) + 1) / float64(max(1, candidates[a].Slots))
	lb := (Load(&candidates[b]) + 1) / float64(max(1, candidates[b].Slots))
	if lb < la {
		return b
	}
	return a
}
