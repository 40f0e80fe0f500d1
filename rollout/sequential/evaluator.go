// Package sequential evaluates the target version of a rollout by a sequential
// likelihood-ratio test: on each route, every answer adds its evidence for a version that is
// worse than those it replaces against one that is as good. The sum never falls below zero
// (Page's test), so a version that turns bad late is found as fast as one that is bad from
// the start.
package sequential

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"wheelgauge"
)

const (
	// baselineTimeConstant is the time after which the weight of answers of the other
	// versions falls to 1/e.
	baselineTimeConstant = 8 * time.Second
	// The baseline starts with priorAnswers answers of the other versions, of which
	// priorBadRate are bad. A rate of bad answers up to priorBadRate is never held against a
	// version.
	priorAnswers = 25.0
	priorBadRate = 0.02
	// failIncrease and slowIncrease are how much the rates of failed and slow answers rise
	// with a bad version. The latter is larger because a cold cache causes slow answers too.
	failIncrease = 0.12
	slowIncrease = 0.4
	// minWorseFactor is the least factor by which a bad version raises the rate.
	minWorseFactor = 2.5
	// failThreshold and slowThreshold are the evidence, as a log likelihood ratio, from which
	// a version is bad.
	failThreshold = 9.0
	slowThreshold = 13.0
	// maxExcess is how many bad answers in total may exceed the expected number plus
	// excessDeviations standard deviations: a slightly worse version shows in the total.
	maxExcess        = 25.0
	excessDeviations = 3.0
	// outlierDeviations is by how many standard deviations the faults of a server must exceed
	// those of the others for the server to be excluded.
	outlierDeviations = 2.0
	// failTolerance and slowTolerance are the increases in the rates of failed and slow
	// answers over all routes that callers would notice. A version is as good once it is
	// shown not to be worse by these, and on each busy route not by failIncrease and
	// slowIncrease.
	failTolerance = 0.06
	slowTolerance = 0.15
	// goodThreshold is the evidence, as a log likelihood ratio, that shows that a version is
	// as good: by chance, 1 in 20 versions that are worse by just the tolerance reach it.
	goodThreshold = 3.0
	// minSupport and maxSupport bound that evidence, so that old answers do not outweigh new
	// ones.
	minSupport = -goodThreshold
	maxSupport = 2 * goodThreshold
	// busyRouteAnswers is how many answers of the other versions make a route busy.
	busyRouteAnswers = 60
	// maxBadRate bounds the expected rate of bad answers of either version.
	maxBadRate = 0.95
	// allRoutes is the key of the sum over all routes.
	allRoutes = ""
)

// metric is a kind of bad answer whose rate may rise.
type metric struct {
	name     string
	increase float64
	// tolerance is the increase that callers would notice over all routes.
	tolerance float64
	threshold float64
	// counts returns how many answers the metric applies to and how many of them are bad.
	counts func(c wheelgauge.VersionCount) (all, bad float64)
}

var metrics = []metric{
	{"failed", failIncrease, failTolerance, failThreshold, func(c wheelgauge.VersionCount) (float64, float64) {
		return float64(c.Answers), float64(c.Failed)
	}},
	{"slow", slowIncrease, slowTolerance, slowThreshold, func(c wheelgauge.VersionCount) (float64, float64) {
		return float64(c.Timed), float64(c.Slow)
	}},
}

// baseline counts the answers of the other versions, newer ones with more weight.
type baseline struct {
	answers, bad float64
}

func (b *baseline) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / baselineTimeConstant.Seconds())
	b.answers *= factor
	b.bad *= factor
}

func (b *baseline) badRate() float64 {
	return min(maxBadRate, max(priorBadRate, (b.bad+priorBadRate*priorAnswers)/(b.answers+priorAnswers)))
}

// totals counts all answers of the target version.
type totals struct {
	answers, bad, expectedBad float64
	faults                    faults
}

// routeTest is the test of one metric on one route.
type routeTest struct {
	metric   metric
	route    string
	baseline baseline
	// evidence is the log likelihood ratio since it was last zero; answers, bad and faults
	// count the target version's answers since then, weight is the evidence of one bad
	// answer.
	evidence     float64
	answers, bad float64
	faults       faults
	weight       float64
	totals       totals
	// support is the evidence that the version is as good.
	support support
	// otherAnswers counts the answers of the other versions.
	otherAnswers float64
}

// support is the evidence that the target version is as good.
type support struct {
	evidence, weight float64
	faults           faults
}

// add adds answers that are bad with probability baseRate if the version is as good, and
// worseRate if it is not.
func (s *support) add(answers, bad, baseRate, worseRate float64, reports []wheelgauge.ServerFaults) {
	s.weight = math.Log(worseRate / baseRate)
	s.evidence -= bad*s.weight + (answers-bad)*math.Log((1-worseRate)/(1-baseRate))
	s.evidence = min(maxSupport, s.evidence)
	s.faults.add(answers, reports)
}

// bounded returns the evidence without the worst server, at least minSupport.
func (s *support) bounded(servers int, badRate float64) float64 {
	return max(minSupport, s.evidence+s.faults.worstExcess(servers, badRate)*s.weight)
}

// addTarget adds answers of the target version.
func (t *routeTest) addTarget(answers, bad float64, c wheelgauge.VersionCount) {
	if answers <= 0 {
		return
	}
	baseRate := t.baseline.badRate()
	t.totals.add(answers, answers*baseRate, bad, c.Faults)
	increase := t.metric.tolerance
	if t.route != allRoutes {
		increase = t.metric.increase
	}
	if rate := min(maxBadRate, max(baseRate+increase, minWorseFactor*baseRate)); rate > baseRate {
		t.support.add(answers, bad, baseRate, rate, c.Faults)
	}
	worseRate := min(maxBadRate, max(baseRate+t.metric.increase, minWorseFactor*baseRate))
	if worseRate <= baseRate {
		return // the baseline is already at maxBadRate
	}
	t.weight = math.Log(worseRate / baseRate)
	t.evidence += bad*t.weight + (answers-bad)*math.Log((1-worseRate)/(1-baseRate))
	t.answers, t.bad = t.answers+answers, t.bad+bad
	t.faults.add(answers, c.Faults)
	if t.evidence <= 0 {
		t.evidence, t.answers, t.bad = 0, 0, 0
		t.faults = faults{}
	}
}

func (t *totals) add(answers, expectedBad, bad float64, reports []wheelgauge.ServerFaults) {
	t.answers, t.expectedBad, t.bad = t.answers+answers, t.expectedBad+expectedBad, t.bad+bad
	t.faults.add(answers, reports)
}

// excess returns how many bad answers exceed the expected number, as a fraction of maxExcess.
// The worst server and its part of the expected number are excluded.
func (t *totals) excess(servers int, badRate float64) float64 {
	expected, excluded := t.expectedBad, t.faults.worstExcess(servers, badRate)
	if excluded > 0 {
		expected *= float64(servers-1) / float64(servers)
	}
	chance := excessDeviations * math.Sqrt(expected+1)
	return (t.bad - excluded - expected - chance) / maxExcess
}

// score returns the evidence against the version, as a fraction of what makes it bad.
func (t *routeTest) score(servers int) float64 {
	recent := (t.evidence - t.faults.worstExcess(servers, t.baseline.badRate())*t.weight) / t.metric.threshold
	return max(0, recent, t.totals.excess(servers, t.baseline.badRate()))
}

// Evaluator implements wheelgauge.VersionJudge with sequential tests. It is not safe for
// concurrent use.
type Evaluator struct {
	tests map[string][]*routeTest
	at    time.Time
}

// New returns an evaluator without any answers.
func New() *Evaluator { return &Evaluator{tests: map[string][]*routeTest{}} }

// Add implements wheelgauge.VersionJudge.
func (e *Evaluator) Add(at time.Time, counts []wheelgauge.VersionCount) {
	elapsed := max(0, at.Sub(e.at))
	e.at = at
	for _, tests := range e.tests {
		for _, t := range tests {
			t.baseline.decay(elapsed)
		}
	}
	// The other versions go first: their answers set what is expected of the target version.
	for _, target := range []bool{false, true} {
		for _, c := range counts {
			if c.Target != target {
				continue
			}
			e.addCount(c.Route, c)
			e.addCount(allRoutes, c)
		}
	}
}

func (e *Evaluator) addCount(route string, c wheelgauge.VersionCount) {
	tests := e.tests[route]
	if tests == nil {
		for _, m := range metrics {
			tests = append(tests, &routeTest{metric: m, route: route})
		}
		e.tests[route] = tests
	}
	for _, t := range tests {
		answers, bad := t.metric.counts(c)
		if c.Target {
			t.addTarget(answers, bad, c)
			continue
		}
		t.otherAnswers += answers
		t.baseline.answers, t.baseline.bad = t.baseline.answers+answers, t.baseline.bad+bad
	}
}

// Verdict implements wheelgauge.VersionJudge.
func (e *Evaluator) Verdict(servers int) wheelgauge.Verdict {
	var worst *routeTest
	for _, tests := range e.tests {
		for _, t := range tests {
			if worst == nil || cmp.Or(cmp.Compare(t.score(servers), worst.score(servers)), cmp.Compare(t.route, worst.route)) > 0 {
				worst = t
			}
		}
	}
	if worst == nil {
		return wheelgauge.Verdict{Detects: 1}
	}
	v := wheelgauge.Verdict{Score: worst.score(servers), Proof: e.proof(servers), Detects: e.tests[allRoutes][0].minDetectableRate()}
	if v.Bad = v.Score >= 1; v.Bad {
		v.Cause = worst.cause()
	}
	return v
}

// proof returns the evidence that the version is as good, as a fraction of goodThreshold: the
// lowest over all routes together and each busy route.
func (e *Evaluator) proof(servers int) float64 {
	lowest := float64(maxSupport)
	for _, tests := range e.tests {
		for _, t := range tests {
			if t.route == allRoutes || t.otherAnswers >= busyRouteAnswers {
				lowest = min(lowest, t.support.bounded(servers, t.baseline.badRate()))
			}
		}
	}
	return lowest / goodThreshold
}

// minDetectableRate returns the rate of bad answers, constant from the start, that on average
// reaches the threshold within the answers so far.
func (t *routeTest) minDetectableRate() float64 {
	baseRate := t.baseline.badRate()
	worseRate := min(maxBadRate, max(baseRate+t.metric.increase, minWorseFactor*baseRate))
	if t.totals.answers == 0 || worseRate <= baseRate {
		return 1
	}
	good := -math.Log((1 - worseRate) / (1 - baseRate))
	return min(1, (t.metric.threshold/t.totals.answers+good)/(math.Log(worseRate/baseRate)+good))
}

func (t *routeTest) cause() string {
	route := t.route
	if route == allRoutes {
		route = "all routes"
	}
	return fmt.Sprintf("%s: %.0f of %.0f answers %s lately, %.0f in all where %.1f are expected; %.1f in 100 do of other versions; at %d servers",
		route, t.bad, t.answers, t.metric.name, t.totals.bad, t.totals.expectedBad, 100*t.baseline.badRate(), len(t.totals.faults.servers))
}
