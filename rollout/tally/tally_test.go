package tally

import (
	"testing"
	"time"

	"wheelgauge"
)

// Failures, freshly started servers and the target version do not change the baseline of a
// route.
func TestCounts(t *testing.T) {
	baselineAnswer := Answer{Service: "s", Route: "r", Server: "old", First: 100 * time.Millisecond, Step: 10 * time.Millisecond}
	with := func(change func(a *Answer)) Answer {
		a := baselineAnswer
		a.Server, a.Target, a.Number = "new", true, 7
		change(&a)
		return a
	}
	tests := []struct {
		name string
		add  Answer
		want wheelgauge.VersionCount
	}{
		{"as the baseline", with(func(*Answer) {}), wheelgauge.VersionCount{Answers: 1, Timed: 1}},
		{"failed", with(func(a *Answer) { a.Failed = true }), wheelgauge.VersionCount{Answers: 1, Failed: 1}},
		{"slow first byte", with(func(a *Answer) { a.First *= 3 }), wheelgauge.VersionCount{Answers: 1, Timed: 1, Slow: 1}},
		{"slow between events", with(func(a *Answer) { a.Step *= 3 }), wheelgauge.VersionCount{Answers: 1, Timed: 1, Slow: 1}},
		{"a little slower", with(func(a *Answer) { a.First *= 2 }), wheelgauge.VersionCount{Answers: 1, Timed: 1}},
		{"slow, server just started", with(func(a *Answer) { a.First *= 3; a.Fresh = true }), wheelgauge.VersionCount{Answers: 1}},
		{"route without a baseline", with(func(a *Answer) { a.Route = "x" }), wheelgauge.VersionCount{Answers: 1}},
	}
	for _, tt := range tests {
		tl := New()
		for range 20 {
			tl.Add(baselineAnswer)
		}
		tl.Add(tt.add)
		counts := tl.Counts("s", 7)
		if len(counts) != 1 {
			t.Fatalf("%s: got %+v, want one count", tt.name, counts)
		}
		got := counts[0]
		bad := got.Failed+got.Slow > 0
		if got.Answers != tt.want.Answers || got.Failed != tt.want.Failed || got.Timed != tt.want.Timed || got.Slow != tt.want.Slow || (len(got.Faults) > 0) != bad {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// The number of servers reported is bounded, and counts of an ended rollout are dropped.
func TestCountsAreBounded(t *testing.T) {
	tl := New()
	for n := range 100 {
		for range n {
			tl.Add(Answer{Service: "s", Route: "r", Server: string(rune('a' + n)), Target: true, Number: 7, Failed: true})
		}
	}
	if faults := tl.Counts("s", 7)[0].Faults; len(faults) != maxFaultyServers || faults[0].Count != 99 {
		t.Errorf("got faults %v, want the servers with the most", faults)
	}
	tl.Keep(map[string]uint64{"s": 8})
	if counts := tl.Counts("s", 7); len(counts) > 0 {
		t.Errorf("counts of an ended rollout were kept: %+v", counts)
	}
}
