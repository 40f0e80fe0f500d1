// Package sequential judges a version that is rolled out by a sequential likelihood-ratio
// test: each answer adds the evidence that it gives for a version that is worse than those it
// replaces against one that is as good, by route. Evidence for a good version is forgotten
// (Page's test), so that one that turns bad late is found as soon as one that is bad at once.
package sequential

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"wheelgauge"
)

const (
	// baselineSpan is the time after which answers of the other versions count 1/e.
	baselineSpan = 8 * time.Second
	// priorAnswers of the other versions are taken to have come before, priorPart of them bad.
	// So many are never held against a version.
	priorAnswers = 25.0
	priorPart    = 0.02
	// failMore and slowMore are how many more of a bad version's answers fail or are slow, as
	// parts of all; slow ones also come from a cache that is still cold.
	failMore = 0.12
	slowMore = 0.4
	// worseFactor is how many times as many they are at least.
	worseFactor = 2.5
	// failEnough and slowEnough are the evidence, a log likelihood ratio, that makes a
	// version bad.
	failEnough = 9.0
	slowEnough = 13.0
	// mostExcess is how many more answers than expected may be bad in all, beyond so many
	// standard deviations: a version that is worse by little shows by their number.
	mostExcess = 25.0
	deviations = 3.0
	// outlier is by how many standard deviations more faults than its fellows a server has
	// that is left out.
	outlier = 2.0
	// failNoticed and slowNoticed are how many more failures and slow answers callers would
	// notice over all routes, as parts of all: a version is as good once it is shown not to be
	// worse by that, on a busy route by what makes it bad.
	failNoticed = 0.06
	slowNoticed = 0.15
	// goodEnough is the evidence, a log likelihood ratio, that shows it: one in twenty that are
	// worse by what callers would notice, and no more, seem as good by chance.
	goodEnough = 3.0
	// leastSupport and mostSupport bound that evidence, so that what came long ago does not
	// outweigh what comes now.
	leastSupport = -goodEnough
	mostSupport  = 2 * goodEnough
	// busyRoute is how many answers of the other versions make a route busy.
	busyRoute = 60
	// mostPart bounds what is expected of either version.
	mostPart = 0.95
	// everything names the sum over all routes.
	everything = ""
)

// aspect is what may be worse about answers.
type aspect struct {
	name string
	more float64
	// noticed is the same for a version that is shown to be as good over all routes.
	noticed float64
	enough  float64
	// of returns how many answers could show it, and how many did.
	of func(c wheelgauge.VersionCount) (all, bad float64)
}

var aspects = []aspect{
	{"failed", failMore, failNoticed, failEnough, func(c wheelgauge.VersionCount) (float64, float64) {
		return float64(c.Answers), float64(c.Failed)
	}},
	{"slow", slowMore, slowNoticed, slowEnough, func(c wheelgauge.VersionCount) (float64, float64) {
		return float64(c.Timed), float64(c.Slow)
	}},
}

// baseline are the answers of the other versions, newer ones counting more.
type baseline struct {
	all, bad float64
}

func (b *baseline) fade(passed time.Duration) {
	by := math.Exp(-passed.Seconds() / baselineSpan.Seconds())
	b.all *= by
	b.bad *= by
}

func (b *baseline) part() float64 {
	return min(mostPart, max(priorPart, (b.bad+priorPart*priorAnswers)/(b.all+priorAnswers)))
}

// total is all that was seen of the target version.
type total struct {
	all, bad, expected float64
	faults             faults
}

// test is that of one aspect on one route.
type test struct {
	aspect   aspect
	route    string
	baseline baseline
	// evidence is the log likelihood ratio since it was last nothing; all, bad and faults
	// are the target version's answers since then, weight is what a bad one adds.
	evidence float64
	all, bad float64
	faults   faults
	weight   float64
	total    total
	// support is the evidence that the version is as good, noted of an answer that is not.
	support support
	// others is how many answers of the other versions came.
	others float64
}

// support is the evidence that the target version is as good.
type support struct {
	evidence, weight float64
	faults           faults
}

// add takes answers that are bad with a probability of was if the version is as good, and of
// worse if it is not.
func (s *support) add(all, bad, was, worse float64, told []wheelgauge.ServerFaults) {
	s.weight = math.Log(worse / was)
	s.evidence -= bad*s.weight + (all-bad)*math.Log((1-worse)/(1-was))
	s.evidence = min(mostSupport, s.evidence)
	s.faults.add(all, told)
}

// of returns the evidence; the worst server is left out.
func (s *support) of(servers int, usual float64) float64 {
	return max(leastSupport, s.evidence+s.faults.worst(servers, usual)*s.weight)
}

// add takes answers of the target version.
func (t *test) add(all, bad float64, c wheelgauge.VersionCount) {
	if all <= 0 {
		return
	}
	was := t.baseline.part()
	t.total.add(all, all*was, bad, c.Faults)
	noticed := t.aspect.noticed
	if t.route != everything {
		noticed = t.aspect.more
	}
	if as := min(mostPart, max(was+noticed, worseFactor*was)); as > was {
		t.support.add(all, bad, was, as, c.Faults)
	}
	worse := min(mostPart, max(was+t.aspect.more, worseFactor*was))
	if worse <= was {
		return // the others are as bad as can be
	}
	t.weight = math.Log(worse / was)
	t.evidence += bad*t.weight + (all-bad)*math.Log((1-worse)/(1-was))
	t.all, t.bad = t.all+all, t.bad+bad
	t.faults.add(all, c.Faults)
	if t.evidence <= 0 {
		t.evidence, t.all, t.bad = 0, 0, 0
		t.faults = faults{}
	}
}

func (t *total) add(all, expected, bad float64, told []wheelgauge.ServerFaults) {
	t.all, t.expected, t.bad = t.all+all, t.expected+expected, t.bad+bad
	t.faults.add(all, told)
}

// excess is how many more answers were bad than expected, as a part of how many may be; the
// worst server and its part of what is expected are left out.
func (t *total) excess(servers int, usual float64) float64 {
	expected, left := t.expected, t.faults.worst(servers, usual)
	if left > 0 {
		expected *= float64(servers-1) / float64(servers)
	}
	chance := deviations * math.Sqrt(expected+1)
	return (t.bad - left - expected - chance) / mostExcess
}

// score is the evidence against the version as a part of what is enough.
func (t *test) score(servers int) float64 {
	recent := (t.evidence - t.faults.worst(servers, t.baseline.part())*t.weight) / t.aspect.enough
	return max(0, recent, t.total.excess(servers, t.baseline.part()))
}

// Judge implements wheelgauge.VersionJudge. It is not safe for concurrent use.
type Judge struct {
	tests map[string][]*test
	at    time.Time
}

// New returns a judge that has seen nothing.
func New() *Judge { return &Judge{tests: map[string][]*test{}} }

// Add implements wheelgauge.VersionJudge.
func (j *Judge) Add(at time.Time, counts []wheelgauge.VersionCount) {
	passed := max(0, at.Sub(j.at))
	j.at = at
	for _, tests := range j.tests {
		for _, t := range tests {
			t.baseline.fade(passed)
		}
	}
	// What the others do at the same time sets what is expected.
	for _, target := range []bool{false, true} {
		for _, c := range counts {
			if c.Target != target {
				continue
			}
			j.take(c.Route, c)
			j.take(everything, c)
		}
	}
}

func (j *Judge) take(route string, c wheelgauge.VersionCount) {
	tests := j.tests[route]
	if tests == nil {
		for _, a := range aspects {
			tests = append(tests, &test{aspect: a, route: route})
		}
		j.tests[route] = tests
	}
	for _, t := range tests {
		all, bad := t.aspect.of(c)
		if c.Target {
			t.add(all, bad, c)
			continue
		}
		t.others += all
		t.baseline.all, t.baseline.bad = t.baseline.all+all, t.baseline.bad+bad
	}
}

// Verdict implements wheelgauge.VersionJudge.
func (j *Judge) Verdict(servers int) wheelgauge.Verdict {
	var worst *test
	for _, tests := range j.tests {
		for _, t := range tests {
			if worst == nil || cmp.Or(cmp.Compare(t.score(servers), worst.score(servers)), cmp.Compare(t.route, worst.route)) > 0 {
				worst = t
			}
		}
	}
	if worst == nil {
		return wheelgauge.Verdict{Detects: 1}
	}
	v := wheelgauge.Verdict{Score: worst.score(servers), Proof: j.proof(servers), Detects: j.tests[everything][0].detects()}
	if v.Bad = v.Score >= 1; v.Bad {
		v.Cause = worst.cause()
	}
	return v
}

// proof is the evidence that the version is as good over all routes and on each busy one, as a
// part of what is enough; the least of it.
func (j *Judge) proof(servers int) float64 {
	least := float64(mostSupport)
	for _, tests := range j.tests {
		for _, t := range tests {
			if t.route == everything || t.others >= busyRoute {
				least = min(least, t.support.of(servers, t.baseline.part()))
			}
		}
	}
	return least / goodEnough
}

// detects returns which part of bad answers, from the beginning on, makes the evidence enough
// in the mean of as many answers as came.
func (t *test) detects() float64 {
	was := t.baseline.part()
	worse := min(mostPart, max(was+t.aspect.more, worseFactor*was))
	if t.total.all == 0 || worse <= was {
		return 1
	}
	good := -math.Log((1 - worse) / (1 - was))
	return min(1, (t.aspect.enough/t.total.all+good)/(math.Log(worse/was)+good))
}

func (t *test) cause() string {
	route := t.route
	if route == everything {
		route = "all routes"
	}
	return fmt.Sprintf("%s: %.0f of %.0f answers %s lately, %.0f in all where %.1f are expected; %.1f in 100 do of other versions; at %d servers",
		route, t.bad, t.all, t.aspect.name, t.total.bad, t.total.expected, 100*t.baseline.part(), len(t.total.faults.servers))
}
