// Package fixed evaluates the target version of a rollout by fixed thresholds over a sliding
// window. It is the baseline that other evaluators are compared with.
package fixed

import (
	"fmt"
	"time"

	"wheelgauge"
)

const (
	// window is the time span over which answers are compared.
	window = 3 * time.Second
	// minBadAnswers is the minimum number of bad answers of a bad version.
	minBadAnswers = 5
	// A version is bad on a route if its rate of bad answers exceeds rateFactor times that of
	// the other versions plus rateIncrease.
	rateFactor   = 3.0
	rateIncrease = 0.1
)

type sample struct {
	at     time.Time
	counts []wheelgauge.VersionCount
}

// Evaluator implements wheelgauge.VersionJudge with fixed thresholds. It is not safe for
// concurrent use.
type Evaluator struct {
	samples []sample
}

// New returns an evaluator without any answers.
func New() *Evaluator { return &Evaluator{} }

// Add implements wheelgauge.VersionJudge.
func (e *Evaluator) Add(at time.Time, counts []wheelgauge.VersionCount) {
	e.samples = append(e.samples, sample{at, counts})
	for at.Sub(e.samples[0].at) > window {
		e.samples = e.samples[1:]
	}
}

// Verdict implements wheelgauge.VersionJudge.
func (e *Evaluator) Verdict(int) wheelgauge.Verdict {
	type tally struct{ answers, bad uint64 }
	routes := map[string]*[2]tally{}
	for _, s := range e.samples {
		for _, c := range s.counts {
			if routes[c.Route] == nil {
				routes[c.Route] = &[2]tally{}
			}
			side := 0
			if c.Target {
				side = 1
			}
			t := &routes[c.Route][side]
			t.answers, t.bad = t.answers+c.Answers, t.bad+c.Failed+c.Slow
		}
	}
	for route, s := range routes {
		others, target := s[0], s[1]
		if target.bad < minBadAnswers {
			continue
		}
		otherRate := float64(others.bad) / float64(max(1, others.answers))
		if rate := float64(target.bad) / float64(target.answers); rate > rateFactor*otherRate+rateIncrease {
			return wheelgauge.Verdict{Bad: true, Score: 1, Cause: fmt.Sprintf("%s: %d of %d answers are bad, %.1f in 100 of other versions", route, target.bad, target.answers, 100*otherRate)}
		}
	}
	return wheelgauge.Verdict{Proof: 1}
}
