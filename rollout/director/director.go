// Package director decides at a store how a rollout goes on: when the target version has
// proved good, when it is bad, and when the rollout is complete. Each store takes the
// reports of all hosts, so that one that becomes the leader knows what the last one knew;
// only the leader's decisions are proposed to the group.
package director

import (
	"fmt"
	"sync"
	"time"

	"wheelgauge"
)

const (
	// leastAnswers of the target version are needed before requests move over before the time
	// limit, leastRoute on each route that had busyRoute of the other versions.
	leastAnswers = 40
	leastRoute   = 20
	busyRoute    = 150
	// clearScore is the evidence against the version that is too much to move over by.
	clearScore = 0.35
	// doubtFor is how long after its limit a rollout goes on with its share that has shown
	// neither: late is better than a bad version for all callers.
	doubtFor = 30 * time.Second
	// silentFor is how long after a host was last heard it is taken to have nothing in flight at
	// other versions any more, once the time limit is over too: it stops to use them by itself
	// before, and what it sent until then has ended.
	silentFor = 20 * time.Second
	// emptyFor is how long after its limit a rollout is given up whose target version
	// answered nothing.
	emptyFor = 10 * time.Second
)

// Step is what a rollout does next.
type Step string

// Steps.
const (
	Wait     Step = ""
	Shift    Step = "shift"
	Complete Step = "complete"
	RollBack Step = "roll-back"
)

// Decision is a step with its reason.
type Decision struct {
	Step  Step
	Cause string
	// Score is the evidence against the version as a part of what would make it bad.
	Score float64
	// Proof is the evidence that it is as good as a part of what shows it.
	Proof float64
	// Detects is the smallest part of failures that the answers so far would have shown.
	Detects float64
	// Answers are those of the target version, Waiting the hosts that are not settled.
	Answers uint64
	Waiting int
}

// host is what one start of an entry host told.
type host struct {
	boot   uint64
	seen   time.Time
	report wheelgauge.RolloutReport
}

// run is one rollout.
type run struct {
	number uint64
	judge  wheelgauge.VersionJudge
	hosts  map[string]*host
	// target and others count answers by route.
	target, others map[string]uint64
	sent           uint64
}

// Director is safe for concurrent use.
type Director struct {
	mu    sync.Mutex
	judge func() wheelgauge.VersionJudge
	now   func() time.Time
	runs  map[string]*run
}

// New returns a director that has heard of nothing.
func New(judge func() wheelgauge.VersionJudge, now func() time.Time) *Director {
	return &Director{judge: judge, now: now, runs: map[string]*run{}}
}

// Take takes what a start of a host reports of all rollouts that it knows to be under way.
func (d *Director) Take(name string, boot uint64, reports []wheelgauge.RolloutReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, r := range reports {
		x := d.run(r.Service, r.Number)
		if x == nil {
			continue // an earlier rollout
		}
		h := x.hosts[name]
		if h != nil && h.boot == boot && r.Sent < h.report.Sent {
			continue // overtaken on its way
		}
		if h == nil || h.boot != boot {
			h = &host{boot: boot}
			x.hosts[name] = h
		}
		x.add(now, h.report, r)
		h.seen, h.report = now, r
	}
}

// run returns the run of a number; nil if there is a later one. The lock is held.
func (d *Director) run(service string, number uint64) *run {
	x := d.runs[service]
	if x != nil && x.number > number {
		return nil
	}
	if x == nil || x.number < number {
		x = &run{number: number, judge: d.judge(), hosts: map[string]*host{}, target: map[string]uint64{}, others: map[string]uint64{}}
		d.runs[service] = x
	}
	return x
}

// add counts what a host saw since its last report.
func (x *run) add(now time.Time, was, r wheelgauge.RolloutReport) {
	x.sent += r.Sent - was.Sent
	var counts []wheelgauge.VersionCount
	for _, c := range r.Counts {
		diff := since(was.Counts, c)
		if diff.Answers == 0 {
			continue
		}
		counts = append(counts, diff)
		if c.Target {
			x.target[c.Route] += diff.Answers
		} else {
			x.others[c.Route] += diff.Answers
		}
	}
	x.judge.Add(now, counts)
}

// since returns what was counted beyond an earlier report.
func since(was []wheelgauge.VersionCount, c wheelgauge.VersionCount) wheelgauge.VersionCount {
	for _, w := range was {
		if w.Route != c.Route || w.Target != c.Target {
			continue
		}
		c.Answers, c.Failed, c.Timed, c.Slow = minus(c.Answers, w.Answers), minus(c.Failed, w.Failed), minus(c.Timed, w.Timed), minus(c.Slow, w.Slow)
		c.Faults = faultsSince(w.Faults, c.Faults)
	}
	return c
}

func faultsSince(was, faults []wheelgauge.ServerFaults) []wheelgauge.ServerFaults {
	before := map[string]wheelgauge.ServerFaults{}
	for _, f := range was {
		before[f.Server] = f
	}
	var out []wheelgauge.ServerFaults
	for _, f := range faults {
		b := before[f.Server]
		f.Count, f.Answers = minus(f.Count, b.Count), minus(f.Answers, b.Answers)
		if f.Count > 0 || f.Answers > 0 {
			out = append(out, f)
		}
	}
	return out
}

func minus(a, b uint64) uint64 { return a - min(a, b) }

// View is what a store knows besides of a rollout that is to go on.
type View struct {
	// Left is what is left of its time.
	Left time.Duration
	// Live are the hosts that the store hears of, with their boots.
	Live map[string]uint64
	// Servers is how many of the target version are listed.
	Servers int
}

// Decide says how a rollout goes on.
func (d *Director) Decide(r wheelgauge.Rollout, v View) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.run(r.Service, r.Number)
	if x == nil || !r.Running() {
		return Decision{}
	}
	verdict := x.judge.Verdict(v.Servers)
	out := Decision{Score: verdict.Score, Proof: verdict.Proof, Detects: verdict.Detects, Answers: total(x.target), Waiting: x.waiting(v, d.now())}
	switch {
	case verdict.Bad:
		out.Step, out.Cause = RollBack, verdict.Cause
	case !r.Shifting && v.Left <= -emptyFor && out.Answers == 0 && x.sent > 0:
		out.Step, out.Cause = RollBack, fmt.Sprintf("no answer of version %s within its time", r.Version)
	case !r.Shifting && v.Left <= -doubtFor && out.Proof < 0:
		out.Step, out.Cause = RollBack, fmt.Sprintf("%d answers of version %s have not shown that it is as good", out.Answers, r.Version)
	case !r.Shifting && x.proved(v.Left, out):
		out.Step = Shift
	case r.Shifting && out.Waiting == 0:
		out.Step = Complete
	}
	return out
}

// proved tells whether requests may move over. Long after the time limit the little that a
// service with few requests could show is enough.
func (x *run) proved(left time.Duration, d Decision) bool {
	switch {
	case left <= 0 && x.sent == 0:
		return true // nobody asks for the service
	case left <= -doubtFor:
		return d.Answers > 0 && d.Proof >= 0
	case left <= 0:
		return d.Answers > 0 && d.Proof >= 1
	case d.Proof < 1 || d.Score >= clearScore || d.Answers < leastAnswers:
		return false
	}
	for route, n := range x.others {
		if n >= busyRoute && x.target[route] < leastRoute {
			return false
		}
	}
	return true
}

// waiting counts the hosts that may still send to other versions, or have something in
// flight there.
func (x *run) waiting(v View, now time.Time) int {
	waiting := 0
	for name, boot := range v.Live {
		if h := x.hosts[name]; h == nil || h.boot != boot || !h.report.Settled {
			waiting++
		}
	}
	for name, h := range x.hosts {
		if _, ok := v.Live[name]; ok || h.report.Settled {
			continue
		}
		if v.Left > 0 || now.Sub(h.seen) < silentFor {
			waiting++
		}
	}
	return waiting
}

// Keep forgets rollouts that are not under way.
func (d *Director) Keep(running map[string]uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, x := range d.runs {
		if number, ok := running[service]; ok && x.number < number || !ok {
			delete(d.runs, service)
		}
	}
}

func total(counts map[string]uint64) uint64 {
	sum := uint64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}
