// Package tally counts on an entry host how the versions of a service answer during rollouts.
// The latency of an answer is compared with the baseline of its route, which only the
// replaced versions set.
package tally

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wheelgauge"
)

const (
	// baselineWeight is the weight of a new sample in a running mean.
	baselineWeight = 0.1
	// minBaselineSamples is how many samples make a baseline.
	minBaselineSamples = 8
	// An answer is slow if it takes more than slowFactor times the baseline, and for the
	// first byte more than slowMargin longer.
	slowFactor = 2.5
	slowMargin = 40 * time.Millisecond
	// maxBaselines bounds the routes with baselines; when it is reached, all baselines are
	// discarded.
	maxBaselines = 4096
	// maxFaultyServers bounds the servers whose bad answers are reported individually.
	maxFaultyServers = 8
)

// Answer is the outcome of one request at a server.
type Answer struct {
	Service string
	Route   string
	Server  string
	// Target is set for a server of the target version. Number is the number of the rollout,
	// 0 if there is none.
	Target bool
	Number uint64
	// Failed is set for a failure or an answer that broke off.
	Failed bool
	// Fresh is set for a server that started recently; its latency is not counted.
	Fresh bool
	// First is the time to the first byte or event, Step the time for each further event, 0
	// if there was none.
	First time.Duration
	Step  time.Duration
}

// runningMean is an exponentially weighted mean of latencies.
type runningMean struct {
	mean    time.Duration
	samples int
}

func (m *runningMean) add(d time.Duration) {
	m.samples++
	weight := max(baselineWeight, 1/float64(m.samples))
	m.mean += time.Duration(weight * float64(d-m.mean))
}

// isSlow reports whether a latency is well above the mean; ok is false with too few samples.
func (m *runningMean) isSlow(d, margin time.Duration) (slow, ok bool) {
	if m.samples < minBaselineSamples {
		return false, false
	}
	return d > time.Duration(slowFactor*float64(m.mean)) && d > m.mean+margin, true
}

// countKey identifies the answers of one route and one side of a rollout.
type countKey struct {
	service string
	route   string
	target  bool
}

// routeCount counts the answers of one countKey.
type routeCount struct {
	number uint64
	totals wheelgauge.VersionCount
	// servers counts the answers of each server of the target version.
	servers map[string]*wheelgauge.ServerFaults
}

// baseline holds the usual latencies of a route of a service.
type baseline struct {
	first runningMean
	step  runningMean
}

// Tally holds the baselines and counts of all services. It is safe for concurrent use.
type Tally struct {
	mu        sync.Mutex
	baselines map[[2]string]*baseline
	counts    map[countKey]*routeCount
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{baselines: map[[2]string]*baseline{}, counts: map[countKey]*routeCount{}}
}

// Add counts an answer.
func (t *Tally) Add(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	route := [2]string{a.Service, a.Route}
	b := t.baselines[route]
	if b == nil {
		if len(t.baselines) >= maxBaselines {
			clear(t.baselines)
		}
		b = &baseline{}
		t.baselines[route] = b
	}
	slow, timed := b.classify(a)
	if !a.Failed && !a.Target && !a.Fresh {
		b.add(a)
	}
	if a.Number != 0 {
		t.count(a, slow, timed)
	}
}

func (b *baseline) classify(a Answer) (slow, timed bool) {
	if a.Failed || a.Fresh {
		return false, false
	}
	slow, timed = b.first.isSlow(a.First, slowMargin)
	if a.Step > 0 && !slow {
		stepSlow, ok := b.step.isSlow(a.Step, 0)
		slow = ok && stepSlow
	}
	return slow, timed
}

func (b *baseline) add(a Answer) {
	b.first.add(a.First)
	if a.Step > 0 {
		b.step.add(a.Step)
	}
}

func (t *Tally) count(a Answer, slow, timed bool) {
	k := countKey{a.Service, a.Route, a.Target}
	c := t.counts[k]
	if c == nil || c.number != a.Number {
		c = &routeCount{number: a.Number, totals: wheelgauge.VersionCount{Route: a.Route, Target: a.Target}, servers: map[string]*wheelgauge.ServerFaults{}}
		t.counts[k] = c
	}
	c.totals.Answers++
	switch {
	case a.Failed:
		c.totals.Failed++
	case slow:
		c.totals.Slow++
	}
	if timed {
		c.totals.Timed++
	}
	if !a.Target {
		return
	}
	s := c.servers[a.Server]
	if s == nil {
		s = &wheelgauge.ServerFaults{Server: a.Server}
		c.servers[a.Server] = s
	}
	s.Answers++
	if a.Failed || slow {
		s.Count++
	}
}

// Counts returns the counts of a rollout by route.
func (t *Tally) Counts(service string, number uint64) []wheelgauge.VersionCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wheelgauge.VersionCount
	for k, c := range t.counts {
		if k.service == service && c.number == number {
			totals := c.totals
			totals.Faults = worstServers(c.servers)
			out = append(out, totals)
		}
	}
	slices.SortFunc(out, func(a, b wheelgauge.VersionCount) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(len(a.Faults), len(b.Faults)))
	})
	return out
}

// worstServers returns the servers with the most bad answers.
func worstServers(servers map[string]*wheelgauge.ServerFaults) []wheelgauge.ServerFaults {
	var out []wheelgauge.ServerFaults
	for _, s := range servers {
		if s.Count > 0 {
			out = append(out, *s)
		}
	}
	slices.SortFunc(out, func(a, b wheelgauge.ServerFaults) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(maxFaultyServers, len(out))]
}

// Keep drops the counts of all rollouts but the running ones, given by service.
func (t *Tally) Keep(runs map[string]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, c := range t.counts {
		if runs[k.service] != c.number {
			delete(t.counts, k)
		}
	}
}
