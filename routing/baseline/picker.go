// Package baseline holds simple pickers, as baselines for comparing others.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"wheelgauge"
	"wheelgauge/rendezvous"
)

// Names of the pickers.
const (
	Random        = "random"
	RoundRobin    = "round-robin"
	LeastInFlight = "least-in-flight"
	StickyPrefix  = "sticky-prefix"
)

// Picker implements wheelgauge.Picker by a simple rule.
type Picker struct {
	rule func(prefix uint64, candidates []wheelgauge.Candidate) int
	next atomic.Uint64
}

// New returns the picker with that name.
func New(name string) (*Picker, error) {
	p := &Picker{}
	switch name {
	case Random:
		p.rule = random
	case RoundRobin:
		p.rule = p.roundRobin
	case LeastInFlight:
		p.rule = leastInFlight
	case StickyPrefix:
		p.rule = stickyPrefix
	default:
		return nil, fmt.Errorf("unknown picker %q", name)
	}
	return p, nil
}

// Pick implements wheelgauge.Picker.
func (p *Picker) Pick(prefix uint64, candidates []wheelgauge.Candidate) int {
	return p.rule(prefix, candidates)
}

func random(_ uint64, candidates []wheelgauge.Candidate) int { return rand.IntN(len(candidates)) }

func (p *Picker) roundRobin(_ uint64, candidates []wheelgauge.Candidate) int {
	return int(p.next.Add(1) % uint64(len(candidates)))
}

func leastInFlight(_ uint64, candidates []wheelgauge.Candidate) int {
	best := rand.IntN(len(candidates))
	for i := range candidates {
		if candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

func stickyPrefix(prefix uint64, candidates []wheelgauge.Candidate) int {
	best := 0
	for i := range candidates {
		if rendezvous.Score(prefix, candidates[i].Hash) > rendezvous.Score(prefix, candidates[best].Hash) {
			best = i
		}
	}
	return best
}
