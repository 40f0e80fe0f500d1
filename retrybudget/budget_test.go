package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// All hosts together stay within ratio and slack in every window, however the first sends are
// distributed over them.
func TestSumOverHosts(t *testing.T) {
	o := Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	tests := []struct {
		name  string
		hosts int
		first []int // first sends of each host, ten times a second
	}{
		{"even", 8, []int{1, 1, 1, 1, 1, 1, 1, 1}},
		{"one host", 8, []int{8, 0, 0, 0, 0, 0, 0, 0}},
		{"nothing", 8, []int{0, 0, 0, 0, 0, 0, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := time.Unix(0, 0)
			budgets := make([]*Budget, tt.hosts)
			for i := range budgets {
				budgets[i] = New(o, func() time.Time { return at })
				budgets[i].SetHosts(tt.hosts)
			}
			retries, firsts := 0, 0
			for range 100 { // one window
				at = at.Add(100 * time.Millisecond)
				for i, b := range budgets {
					for range tt.first[i] {
						b.RecordFirst("s")
						firsts++
					}
					for b.TryRetry("s") {
						retries++
					}
				}
			}
			if most := o.Ratio*float64(firsts) + o.Slack; float64(retries) > most {
				t.Errorf("%d retries for %d first sends, want %.0f at most", retries, firsts, most)
			}
		})
	}
}

// A host whose server fails may at once retry a fraction of all that it sent lately, and gets
// the budget back within a window.
func TestBurst(t *testing.T) {
	o := Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	at := time.Unix(0, 0)
	b := New(o, func() time.Time { return at })
	b.SetHosts(6)
	spend := func() int {
		n := 0
		for b.TryRetry("s") {
			n++
		}
		return n
	}
	for range 95 {
		at = at.Add(100 * time.Millisecond)
		for range 5 {
			b.RecordFirst("s")
		}
	}
	steps := []struct {
		name  string
		after time.Duration
		least int
		most  int
	}{
		{"at once", 0, 60, 100},
		{"no budget is left", time.Second, 0, 0},
		{"the slack is back, the first sends are out of the window", 9900 * time.Millisecond, 5, 5},
	}
	for _, s := range steps {
		at = at.Add(s.after)
		if got := spend(); got < s.least || got > s.most {
			t.Errorf("%s: %d retries, want %d to %d", s.name, got, s.least, s.most)
		}
	}
}

// In every sliding window over bursts of first sends and of failures, all hosts together stay
// within the bound.
func TestSlidingWindows(t *testing.T) {
	o := Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	const hosts, ticks, inWindow = 6, 600, 100
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		at := time.Unix(0, 0)
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = New(o, func() time.Time { return at })
			budgets[i].SetHosts(hosts)
		}
		var firsts, retries [ticks]int
		load, failing := 0, false
		for i := range ticks {
			at = at.Add(100 * time.Millisecond)
			if i%20 == 0 {
				load, failing = rnd.IntN(30), rnd.IntN(3) == 0
			}
			for range load {
				budgets[rnd.IntN(hosts)].RecordFirst("s")
				firsts[i]++
			}
			for _, b := range budgets {
				for failing && b.TryRetry("s") {
					retries[i]++
				}
			}
		}
		for end := 2 * inWindow; end <= ticks; end++ {
			n, sent := 0, 0
			for i := end - inWindow; i < end; i++ {
				n += retries[i]
			}
			for _, shift := range []int{0, inWindow / 2, inWindow} {
				sum := 0
				for i := end - inWindow - shift; i < end-shift; i++ {
					sum += firsts[i]
				}
				sent = max(sent, sum)
			}
			if most := o.Ratio*float64(sent) + o.Slack; float64(n) > most {
				t.Fatalf("seed %d, window to %d: %d retries for %d first sends, want %.0f at most", seed, end, n, sent, most)
			}
		}
	}
}

// During a partition each region knows only its own hosts. All hosts together must not spend
// more than the allowance meanwhile, and the remaining hosts get larger shares when the others
// stay away.
func TestSlackDuringPartition(t *testing.T) {
	o := Options{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	const hosts, regions = 12, 3
	at := time.Unix(0, 0)
	var budgets []*Budget
	for range hosts {
		b := New(o, func() time.Time { return at })
		b.SetHosts(hosts)
		budgets = append(budgets, b)
	}
	spend := func() int {
		n := 0
		for _, b := range budgets {
			for b.TryRetry("s") {
				n++
			}
		}
		return n
	}
	steps := []struct {
		name  string
		after time.Duration
		hosts int
		least int
		most  int
	}{
		{"all connected", 0, hosts, 1, int(o.Slack)},
		{"regions partitioned", 11 * time.Second, hosts / regions, 1, int(o.Slack)},
		{"still partitioned", 11 * time.Second, hosts / regions, 1, int(o.Slack)},
		{"connected again", 11 * time.Second, hosts, 1, int(o.Slack)},
		{"the other regions have left", 11 * time.Second, hosts / regions, 1, int(o.Slack)},
		{"and stay away", 2 * shrinkDelay, hosts / regions, int(o.Slack) + 1, regions * int(o.Slack)},
	}
	for _, s := range steps {
		at = at.Add(s.after)
		for _, b := range budgets {
			b.SetHosts(s.hosts)
		}
		if got := spend(); got < s.least || got > s.most {
			t.Errorf("%s: %d retries, want %d to %d", s.name, got, s.least, s.most)
		}
	}
}

// Hosts that start together and do not know of each other yet take no part of the allowance.
func TestNoAllowanceBeforeHostsAreKnown(t *testing.T) {
	o := Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	at := time.Unix(0, 0)
	retries := 0
	for range 7 {
		b := New(o, func() time.Time { return at })
		b.SetHosts(0)
		for b.TryRetry("s") {
			retries++
		}
		b.SetHosts(7)
		for b.TryRetry("s") {
			retries++
		}
	}
	if float64(retries) > o.Slack || retries == 0 {
		t.Errorf("%d retries of seven hosts without a first send, want some and at most %.0f", retries, o.Slack)
	}
}
