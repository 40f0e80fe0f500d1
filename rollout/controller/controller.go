// Package controller decides on a store how a rollout proceeds: when the target version has
// proved good, when it is bad, and when the rollout is complete. Every store receives the
// reports of all hosts, so a new leader knows what the previous one knew. Only the leader's
// decisions are proposed to the replication group.
package controller

import (
	"fmt"
	"sync"
	"time"

	"wheelgauge"
)

const (
	// minTargetAnswers is how many answers of the target version are needed to shift requests
	// before the time limit; minRouteAnswers is how many of them are needed on each route
	// with at least busyRouteAnswers answers of the other versions.
	minTargetAnswers = 40
	minRouteAnswers  = 20
	busyRouteAnswers = 150
	// maxShiftScore is the score from which requests are not shifted to the version.
	maxShiftScore = 0.35
	// inconclusiveGrace is how long past its time limit a rollout stays at the canary share
	// while the evidence is inconclusive: finishing late is better than exposing all callers
	// to a bad version.
	inconclusiveGrace = 30 * time.Second
	// silentHostTimeout is how long after its last report a host is assumed to have no
	// requests in flight to other versions, provided the time limit has passed too. By then
	// the host has stopped using other versions on its own, and what it sent before has
	// ended.
	silentHostTimeout = 20 * time.Second
	// noAnswerGrace is how long past its time limit a rollout is rolled back if requests were
	// sent but the target version has answered none.
	noAnswerGrace = 10 * time.Second
)

// Step is the next step of a rollout.
type Step string

// Steps of a rollout; Wait leaves it as it is.
const (
	Wait     Step = ""
	Shift    Step = "shift"
	Complete Step = "complete"
	RollBack Step = "roll-back"
)

// Decision is a step with its reason and the figures behind it.
type Decision struct {
	Step  Step
	Cause string
	// Score is the evidence against the version, as a fraction of what makes it bad.
	Score float64
	// Proof is the evidence that the version is as good, as a fraction of what shows it.
	Proof float64
	// MinDetectableRate is the smallest failure rate that the answers so far would have shown.
	MinDetectableRate float64
	// Answers counts the answers of the target version, IncompleteHosts the hosts that are not
	// complete.
	Answers         uint64
	IncompleteHosts int
}

// hostState is the last report of one instance (boot) of an entry host.
type hostState struct {
	boot       uint64
	reportedAt time.Time
	report     wheelgauge.RolloutReport
}

// tracker accumulates the reports on one rollout.
type tracker struct {
	number    uint64
	evaluator wheelgauge.VersionEvaluator
	hosts     map[string]*hostState
	// targetAnswers and otherAnswers count answers by route.
	targetAnswers, otherAnswers map[string]uint64
	sent                        uint64
}

// Controller tracks all running rollouts. It is safe for concurrent use.
type Controller struct {
	mu           sync.Mutex
	newEvaluator func() wheelgauge.VersionEvaluator
	now          func() time.Time
	trackers     map[string]*tracker
}

// New returns a controller without any reports. newEvaluator creates the evaluator of each
// rollout.
func New(newEvaluator func() wheelgauge.VersionEvaluator, now func() time.Time) *Controller {
	return &Controller{newEvaluator: newEvaluator, now: now, trackers: map[string]*tracker{}}
}

// Take adds the reports of one instance of a host on all rollouts that it knows to be
// running.
func (c *Controller) Take(host string, boot uint64, reports []wheelgauge.RolloutReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, r := range reports {
		t := c.tracker(r.Service, r.Number)
		if t == nil {
			continue // report on an earlier rollout
		}
		h := t.hosts[host]
		if h != nil && h.boot == boot && r.Sent < h.report.Sent {
			continue // a newer report arrived first
		}
		if h == nil || h.boot != boot {
			h = &hostState{boot: boot}
			t.hosts[host] = h
		}
		t.addReport(now, h.report, r)
		h.reportedAt, h.report = now, r
	}
}

// tracker returns the tracker of a rollout, or nil if a later rollout is known. The caller
// holds the lock.
func (c *Controller) tracker(service string, number uint64) *tracker {
	t := c.trackers[service]
	if t != nil && t.number > number {
		return nil
	}
	if t == nil || t.number < number {
		t = &tracker{number: number, evaluator: c.newEvaluator(), hosts: map[string]*hostState{}, targetAnswers: map[string]uint64{}, otherAnswers: map[string]uint64{}}
		c.trackers[service] = t
	}
	return t
}

// addReport adds what changed since the host's previous report.
func (t *tracker) addReport(now time.Time, prev, r wheelgauge.RolloutReport) {
	t.sent += r.Sent - prev.Sent
	var counts []wheelgauge.VersionStats
	for _, c := range r.Stats {
		diff := countsSince(prev.Stats, c)
		if diff.Responses == 0 {
			continue
		}
		counts = append(counts, diff)
		if c.Target {
			t.targetAnswers[c.Route] += diff.Responses
		} else {
			t.otherAnswers[c.Route] += diff.Responses
		}
	}
	t.evaluator.Add(now, counts)
}

// countsSince returns c less the counts of an earlier report.
func countsSince(prev []wheelgauge.VersionStats, c wheelgauge.VersionStats) wheelgauge.VersionStats {
	for _, p := range prev {
		if p.Route != c.Route || p.Target != c.Target {
			continue
		}
		c.Responses, c.Failed, c.Compared, c.Slow = saturatingSub(c.Responses, p.Responses), saturatingSub(c.Failed, p.Failed), saturatingSub(c.Compared, p.Compared), saturatingSub(c.Slow, p.Slow)
		c.WorstServers = faultsSince(p.WorstServers, c.WorstServers)
	}
	return c
}

func faultsSince(prev, faults []wheelgauge.ServerFailures) []wheelgauge.ServerFailures {
	byServer := map[string]wheelgauge.ServerFailures{}
	for _, f := range prev {
		byServer[f.Server] = f
	}
	var out []wheelgauge.ServerFailures
	for _, f := range faults {
		p := byServer[f.Server]
		f.Failures, f.Responses = saturatingSub(f.Failures, p.Failures), saturatingSub(f.Responses, p.Responses)
		if f.Failures > 0 || f.Responses > 0 {
			out = append(out, f)
		}
	}
	return out
}

func saturatingSub(a, b uint64) uint64 { return a - min(a, b) }

// FleetView is what else a store knows about a running rollout.
type FleetView struct {
	// Remaining is the time until the time limit, negative once it has passed.
	Remaining time.Duration
	// LiveHosts maps the names of the hosts that the store receives heartbeats from to their
	// boots.
	LiveHosts map[string]uint64
	// TargetServers is how many servers of the target version are listed.
	TargetServers int
}

// Decide returns the next step of a rollout.
func (c *Controller) Decide(r wheelgauge.Rollout, v FleetView) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tracker(r.Service, r.Number)
	if t == nil || !r.Running() {
		return Decision{}
	}
	verdict := t.evaluator.Evaluate(v.TargetServers)
	out := Decision{Score: verdict.RegressionScore, Proof: verdict.EquivalenceScore, MinDetectableRate: verdict.DetectableFailureShare, Answers: sum(t.targetAnswers), IncompleteHosts: t.incompleteHosts(v, c.now())}
	switch {
	case verdict.Worse:
		out.Step, out.Cause = RollBack, verdict.Cause
	case !r.Shifting && v.Remaining <= -noAnswerGrace && out.Answers == 0 && t.sent > 0:
		out.Step, out.Cause = RollBack, fmt.Sprintf("no answer of version %s within its time", r.Version)
	case !r.Shifting && v.Remaining <= -inconclusiveGrace && out.Proof < 0:
		out.Step, out.Cause = RollBack, fmt.Sprintf("%d answers of version %s have not shown that it is as good", out.Answers, r.Version)
	case !r.Shifting && t.readyToShift(v.Remaining, out):
		out.Step = Shift
	case r.Shifting && out.IncompleteHosts == 0:
		out.Step = Complete
	}
	return out
}

// readyToShift reports whether requests may shift to the target version. Long past the time
// limit, a service with few requests may shift on less evidence.
func (t *tracker) readyToShift(remaining time.Duration, d Decision) bool {
	switch {
	case remaining <= 0 && t.sent == 0:
		return true // the service gets no requests
	case remaining <= -inconclusiveGrace:
		return d.Answers > 0 && d.Proof >= 0
	case remaining <= 0:
		return d.Answers > 0 && d.Proof >= 1
	case d.Proof < 1 || d.Score >= maxShiftScore || d.Answers < minTargetAnswers:
		return false
	}
	for route, n := range t.otherAnswers {
		if n >= busyRouteAnswers && t.targetAnswers[route] < minRouteAnswers {
			return false
		}
	}
	return true
}

// incompleteHosts counts the hosts that may still send requests to other versions or have
// some in flight there.
func (t *tracker) incompleteHosts(v FleetView, now time.Time) int {
	incomplete := 0
	for name, boot := range v.LiveHosts {
		if h := t.hosts[name]; h == nil || h.boot != boot || !h.report.Complete {
			incomplete++
		}
	}
	for name, h := range t.hosts {
		if _, ok := v.LiveHosts[name]; ok || h.report.Complete {
			continue
		}
		if v.Remaining > 0 || now.Sub(h.reportedAt) < silentHostTimeout {
			incomplete++
		}
	}
	return incomplete
}

// Retain drops the state of rollouts that are not running.
func (c *Controller) Retain(running map[string]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, t := range c.trackers {
		if number, ok := running[service]; ok && t.number < number || !ok {
			delete(c.trackers, service)
		}
	}
}

func sum(counts map[string]uint64) uint64 {
	out := uint64(0)
	for _, n := range counts {
		out += n
	}
	return out
}
