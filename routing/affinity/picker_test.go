package affinity

import (
	"fmt"
	"testing"

	"wheelgauge"
	"wheelgauge/rendezvous"
	"wheelgauge/routing/baseline"
)

func servers(n, slots int) []wheelgauge.Candidate {
	out := make([]wheelgauge.Candidate, n)
	for i := range out {
		name := fmt.Sprint("engine-", i)
		out[i] = wheelgauge.Candidate{Name: name, Slots: slots, Hash: rendezvous.Hash(name)}
	}
	return out
}

// TestPrefixStaysOnWarmServer checks that a prefix goes to the same server unless that is
// overloaded, and returns to it afterwards.
func TestPrefixStaysOnWarmServer(t *testing.T) {
	p, c := New(0), servers(12, 8)
	first := p.Pick(99, c)
	for range 10 {
		if p.Pick(99, c) != first {
			t.Fatal("another server was picked while the warm one is idle")
		}
	}
	c[first].InFlight = 8
	second := p.Pick(99, c)
	if second == first {
		t.Fatal("the warm server was picked though it is overloaded")
	}
	c[first].InFlight = 0
	if p.Pick(99, c) != first {
		t.Fatal("the warm server was not picked again after its load fell")
	}
}

// TestLoadStaysWithinBound checks that no server gets far more than the average, even if all
// requests have the same prefix.
func TestLoadStaysWithinBound(t *testing.T) {
	tests := []struct {
		name    string
		prefix  func(i int) uint64
		servers int
	}{
		{"one prefix", func(int) uint64 { return 7 }, 12},
		{"a few prefixes", func(i int) uint64 { return uint64(i%3) + 1 }, 12},
		{"no prefix", func(int) uint64 { return 0 }, 12},
		{"many servers", func(i int) uint64 { return uint64(i%5) + 1 }, 600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, c := New(0), servers(tt.servers, 8)
			total := tt.servers * 6
			for i := range total {
				c[p.Pick(tt.prefix(i), c)].InFlight++
			}
			highest := 0
			for i := range c {
				highest = max(highest, c[i].InFlight)
			}
			if highest > 9 {
				t.Fatalf("a server has %d requests at an average of 6, want at most 9", highest)
			}
		})
	}
}

func TestReportedLoadCounts(t *testing.T) {
	c := servers(2, 8)
	c[0].Running, c[0].Waiting = 8, 5
	for prefix := range uint64(20) {
		if New(0).Pick(prefix+1, c) != 1 {
			t.Fatal("a server was picked though its report says that it is overloaded")
		}
	}
}

func BenchmarkPick(b *testing.B) {
	random, err := baseline.New(baseline.Random)
	if err != nil {
		b.Fatal(err)
	}
	for _, p := range []struct {
		name   string
		picker wheelgauge.Picker
	}{{"affinity", New(0)}, {"random", random}} {
		for _, n := range []int{12, 600} {
			b.Run(fmt.Sprintf("%s/%d", p.name, n), func(b *testing.B) {
				c := servers(n, 4)
				for i := range c {
					c[i].Running = i % 4
				}
				b.ReportAllocs()
				for i := uint64(0); b.Loop(); i++ {
					p.picker.Pick(i%890+1, c)
				}
			})
		}
	}
}
