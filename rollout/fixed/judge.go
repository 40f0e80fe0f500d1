// Package fixed judges a version that is rolled out by fixed thresholds over a sliding
// window: the baseline that other ways to judge are compared with.
package fixed

import (
	"fmt"
	"time"

	"wheelgauge"
)

const (
	// window is the span in which answers are compared.
	window = 3 * time.Second
	// leastBad is how many bad answers there must be.
	leastBad = 5
	// times and more are how much larger the part of bad answers must be than that of the
	// other versions.
	times = 3.0
	more  = 0.1
)

type sample struct {
	at     time.Time
	counts []wheelgauge.VersionCount
}

// Judge implements wheelgauge.VersionJudge. It is not safe for concurrent use.
type Judge struct {
	samples []sample
}

// New returns a judge that has seen nothing.
func New() *Judge { return &Judge{} }

// Add implements wheelgauge.VersionJudge.
func (j *Judge) Add(at time.Time, counts []wheelgauge.VersionCount) {
	j.samples = append(j.samples, sample{at, counts})
	for at.Sub(j.samples[0].at) > window {
		j.samples = j.samples[1:]
	}
}

// Verdict implements wheelgauge.VersionJudge.
func (j *Judge) Verdict(int) wheelgauge.Verdict {
	type sums struct{ all, bad uint64 }
	routes := map[string]*[2]sums{}
	for _, s := range j.samples {
		for _, c := range s.counts {
			if routes[c.Route] == nil {
				routes[c.Route] = &[2]sums{}
			}
			side := 0
			if c.Target {
				side = 1
			}
			of := &routes[c.Route][side]
			of.all, of.bad = of.all+c.Answers, of.bad+c.Failed+c.Slow
		}
	}
	for route, s := range routes {
		others, target := s[0], s[1]
		if target.bad < leastBad {
			continue
		}
		usual := float64(others.bad) / float64(max(1, others.all))
		if part := float64(target.bad) / float64(target.all); part > times*usual+more {
			return wheelgauge.Verdict{Bad: true, Score: 1, Cause: fmt.Sprintf("%s: %d of %d answers are bad, %.1f in 100 of other versions", route, target.bad, target.all, 100*usual)}
		}
	}
	return wheelgauge.Verdict{Proof: 1}
}
