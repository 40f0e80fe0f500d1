package away

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	near := RegionState{Region: "lahore", Latency: 55 * time.Millisecond, Price: 1, Granted: 2}
	with := func(change func(p *RegionState)) RegionState {
		p := near
		change(&p)
		return p
	}
	busy, idle := RegionState{Region: "karachi", Wait: 2 * time.Second, Price: 1}, RegionState{Region: "karachi", Price: 1}
	tests := []struct {
		name   string
		policy string
		here   RegionState
		fits   bool
		others []RegionState
		want   int
	}{
		{"idle stays", PolicyCost, idle, true, []RegionState{near}, -1},
		{"busy leaves", PolicyCost, busy, true, []RegionState{near}, 0},
		{"nowhere to go", PolicyCost, busy, true, nil, -1},
		{"grant used up", PolicyCost, busy, true, []RegionState{with(func(p *RegionState) { p.InFlight = 2 })}, -1},
		{"no grant", PolicyCost, busy, true, []RegionState{with(func(p *RegionState) { p.Granted = 0 })}, -1},
		{"busier there", PolicyCost, busy, true, []RegionState{with(func(p *RegionState) { p.Wait = 2 * time.Second })}, -1},
		{"too dear there", PolicyCost, busy, true, []RegionState{with(func(p *RegionState) { p.Price = 20 })}, -1},
		{"the better of two", PolicyCost, busy, true, []RegionState{with(func(p *RegionState) { p.Price = 1.5 }), near}, 1},
		{"does not fit here", PolicyCost, idle, false, []RegionState{near}, 0},
		{"does not fit here, no grant", PolicyCost, idle, false, []RegionState{with(func(p *RegionState) { p.Granted = 0 })}, 0},
		{"local stays", PolicyLocal, busy, true, []RegionState{near}, -1},
		{"cheapest goes", PolicyCheapest, idle, true, []RegionState{with(func(p *RegionState) { p.Price = 0.5 })}, 0},
		{"cheapest is here", PolicyCheapest, idle, true, []RegionState{with(func(p *RegionState) { p.Price = 1.5 })}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(tt.policy, Weights{Second: 1, Share: 0.05, ColdPrefill: 150 * time.Millisecond})
			if got := d.Decide(tt.here, tt.fits, RequestSize{Bytes: 1000, Tokens: 100}, tt.others); got != tt.want {
				t.Fatalf("got %d, want %d", got, tt.want)
			}
		})
	}
}

// TestHysteresis checks that forwarding goes on at a gain that would not start it.
func TestHysteresis(t *testing.T) {
	d := New(PolicyCost, Weights{Second: 1, Share: 0})
	there := []RegionState{{Region: "lahore", Granted: 5}}
	steps := []struct {
		wait time.Duration
		want int
	}{{50 * time.Millisecond, -1}, {100 * time.Millisecond, 0}, {50 * time.Millisecond, 0}, {10 * time.Millisecond, -1}, {50 * time.Millisecond, -1}}
	for i, s := range steps {
		if got := d.Decide(RegionState{Region: "karachi", Wait: s.wait}, true, RequestSize{}, there); got != s.want {
			t.Fatalf("step %d: got %d, want %d", i, got, s.want)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	d := New(PolicyCost, Weights{Second: 1, Share: 0.05})
	here := RegionState{Region: "r0", Wait: time.Second, Price: 1}
	others := []RegionState{{Region: "r1", Granted: 5, Price: 1}, {Region: "r2", Granted: 5, Price: 2}, {Region: "r3", Granted: 5, Price: 2}, {Region: "r4", Granted: 5, Price: 2}}
	b.ReportAllocs()
	for b.Loop() {
		d.Decide(here, true, RequestSize{Bytes: 800, Tokens: 200}, others)
	}
}
