package tally

import (
	"testing"
	"time"

	"wheelgauge"
)

// Failures, freshly started servers and the target version do not change the baseline of a
// route.
func TestCounts(t *testing.T) {
	baselineAnswer := Answer{Service: "s", Route: "r", Server: "old", FirstByte: 100 * time.Millisecond, EventInterval: 10 * time.Millisecond}
	with := func(change func(a *Answer)) Answer {
		a := baselineAnswer
		a.Server, a.Target, a.RolloutNumber = "new", true, 7
		change(&a)
		return a
	}
	tests := []struct {
		name string
		add  Answer
		want wheelgauge.VersionStats
	}{
		{"as the baseline", with(func(*Answer) {}), wheelgauge.VersionStats{Responses: 1, Compared: 1}},
		{"failed", with(func(a *Answer) { a.Failed = true }), wheelgauge.VersionStats{Responses: 1, Failed: 1}},
		{"slow first byte", with(func(a *Answer) { a.FirstByte *= 3 }), wheelgauge.VersionStats{Responses: 1, Compared: 1, Slow: 1}},
		{"slow between events", with(func(a *Answer) { a.EventInterval *= 3 }), wheelgauge.VersionStats{Responses: 1, Compared: 1, Slow: 1}},
		{"a little slower", with(func(a *Answer) { a.FirstByte *= 2 }), wheelgauge.VersionStats{Responses: 1, Compared: 1}},
		{"slow, server just started", with(func(a *Answer) { a.FirstByte *= 3; a.Fresh = true }), wheelgauge.VersionStats{Responses: 1}},
		{"route without a baseline", with(func(a *Answer) { a.Route = "x" }), wheelgauge.VersionStats{Responses: 1}},
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
		if got.Responses != tt.want.Responses || got.Failed != tt.want.Failed || got.Compared != tt.want.Compared || got.Slow != tt.want.Slow || (len(got.WorstServers) > 0) != bad {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// The number of servers reported is bounded, and counts of an ended rollout are dropped.
func TestCountsAreBounded(t *testing.T) {
	tl := New()
	for n := range 100 {
		for range n {
			tl.Add(Answer{Service: "s", Route: "r", Server: string(rune('a' + n)), Target: true, RolloutNumber: 7, Failed: true})
		}
	}
	if faults := tl.Counts("s", 7)[0].WorstServers; len(faults) != maxFaultyServers || faults[0].Failures != 99 {
		t.Errorf("got faults %v, want the servers with the most", faults)
	}
	tl.Retain(map[string]uint64{"s": 8})
	if counts := tl.Counts("s", 7); len(counts) > 0 {
		t.Errorf("counts of an ended rollout were kept: %+v", counts)
	}
}
