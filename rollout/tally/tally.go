// Package tally counts at an entry host how the versions of a service answer while versions
// are rolled out. An answer's time is held against the usual one of its route, which the
// versions set that are replaced.
package tally

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wheelgauge"
)

const (
	// usualWeight is the weight of a new time in the usual one.
	usualWeight = 0.1
	// leastTimes is how many times make a usual one.
	leastTimes = 8
	// slowFactor is how many times the usual time a slow answer takes, slowFloor how much
	// longer it takes at least.
	slowFactor = 2.5
	slowFloor  = 40 * time.Millisecond
	// mostUsual bounds the routes whose usual times are kept; beyond it all begin anew.
	mostUsual = 4096
	// mostFaulty bounds the servers whose bad answers are told one by one.
	mostFaulty = 8
)

// Answer is how one request ended at a server.
type Answer struct {
	Service string
	Route   string
	Server  string
	// Target is set for a server of the version that is rolled out, Number is that of the
	// rollout; 0 without one.
	Target bool
	Number uint64
	// Failed is set for a failure, or an answer that broke off.
	Failed bool
	// Fresh is set for a server that started a short while ago: its time says nothing yet.
	Fresh bool
	// First is the time to the first byte or event; Step that of each further event, 0
	// without any.
	First time.Duration
	Step  time.Duration
}

// usual is the mean of the last times.
type usual struct {
	mean  time.Duration
	times int
}

func (u *usual) add(d time.Duration) {
	u.times++
	weight := max(usualWeight, 1/float64(u.times))
	u.mean += time.Duration(weight * float64(d-u.mean))
}

// slow tells whether a time is several times the usual one; ok is false when that is not
// known.
func (u *usual) slow(d, floor time.Duration) (slow, ok bool) {
	if u.times < leastTimes {
		return false, false
	}
	return d > time.Duration(slowFactor*float64(u.mean)) && d > u.mean+floor, true
}

// key names the answers of one side of a rollout.
type key struct {
	service string
	route   string
	target  bool
}

// count counts them.
type count struct {
	number uint64
	seen   wheelgauge.VersionCount
	// servers counts the answers of each server of the target version.
	servers map[string]*wheelgauge.ServerFaults
}

// times are the usual ones of a route of a service.
type times struct {
	first usual
	step  usual
}

// Tally is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	usual  map[[2]string]*times
	counts map[key]*count
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{usual: map[[2]string]*times{}, counts: map[key]*count{}}
}

// Add counts an answer.
func (t *Tally) Add(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	of := [2]string{a.Service, a.Route}
	u := t.usual[of]
	if u == nil {
		if len(t.usual) >= mostUsual {
			clear(t.usual)
		}
		u = &times{}
		t.usual[of] = u
	}
	slow, timed := u.judge(a)
	if !a.Failed && !a.Target && !a.Fresh {
		u.add(a)
	}
	if a.Number != 0 {
		t.count(a, slow, timed)
	}
}

func (u *times) judge(a Answer) (slow, timed bool) {
	if a.Failed || a.Fresh {
		return false, false
	}
	slow, timed = u.first.slow(a.First, slowFloor)
	if a.Step > 0 && !slow {
		stepSlow, ok := u.step.slow(a.Step, 0)
		slow = ok && stepSlow
	}
	return slow, timed
}

func (u *times) add(a Answer) {
	u.first.add(a.First)
	if a.Step > 0 {
		u.step.add(a.Step)
	}
}

func (t *Tally) count(a Answer, slow, timed bool) {
	k := key{a.Service, a.Route, a.Target}
	c := t.counts[k]
	if c == nil || c.number != a.Number {
		c = &count{number: a.Number, seen: wheelgauge.VersionCount{Route: a.Route, Target: a.Target}, servers: map[string]*wheelgauge.ServerFaults{}}
		t.counts[k] = c
	}
	c.seen.Answers++
	switch {
	case a.Failed:
		c.seen.Failed++
	case slow:
		c.seen.Slow++
	}
	if timed {
		c.seen.Timed++
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

// Counts returns what was counted in a rollout, by route.
func (t *Tally) Counts(service string, number uint64) []wheelgauge.VersionCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wheelgauge.VersionCount
	for k, c := range t.counts {
		if k.service == service && c.number == number {
			seen := c.seen
			seen.Faults = most(c.servers)
			out = append(out, seen)
		}
	}
	slices.SortFunc(out, func(a, b wheelgauge.VersionCount) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(len(a.Faults), len(b.Faults)))
	})
	return out
}

// most returns the servers with the most faults.
func most(servers map[string]*wheelgauge.ServerFaults) []wheelgauge.ServerFaults {
	var out []wheelgauge.ServerFaults
	for _, s := range servers {
		if s.Count > 0 {
			out = append(out, *s)
		}
	}
	slices.SortFunc(out, func(a, b wheelgauge.ServerFaults) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Server, b.Server))
	})
	return out[:min(mostFaulty, len(out))]
}

// Keep forgets what was counted of rollouts other than those that are under way, by service.
func (t *Tally) Keep(runs map[string]uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, c := range t.counts {
		if runs[k.service] != c.number {
			delete(t.counts, k)
		}
	}
}
