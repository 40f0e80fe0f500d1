package director_test

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

const (
	// thinSeeds are played of each version.
	thinSeeds = 24
	// thinSettle is longer than a version may stay in doubt after its limit.
	thinSettle = 45 * time.Second
)

// smallSize is a deployment of so many requests a second, a part of them on one route.
func smallSize(rate, part float64) size {
	return size{6, 9, []playRoute{
		{"most", rate * (1 - part), 300 * time.Millisecond, 150 * time.Millisecond},
		{"part", rate * part, 200 * time.Millisecond, 100 * time.Millisecond},
	}, thinSettle}
}

// Versions that were bad by little, or on one route, were completed.
func TestThinFaultsAreFound(t *testing.T) {
	const limit, least = 14 * time.Second, 23
	tests := []struct {
		version version
		found   int
	}{
		{version{name: "one in eight fails", bad: true, fails: 0.125, from: 0.05}, least},
		{version{name: "six times slower on a fifth", bad: true, slow: 1, slowBy: 6, route: "part"}, least},
		{version{name: "good"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.version.name, func(t *testing.T) {
			found := 0
			f := figures{}
			for seed := range uint64(thinSeeds) {
				p := newPlayOf(smallSize(125, 0.2), seed, tt.version, troubles[0], limit, judges()["sequential"])
				p.run()
				for _, fault := range p.faults() {
					t.Errorf("seed %d: %s", seed, fault)
				}
				if p.rollout.State == wheelgauge.RolloutRolledBack {
					found++
				}
				f.add(p)
			}
			t.Log(f)
			if found < tt.found || tt.found == 0 && found > 0 {
				t.Errorf("rolled back %d of %d, want %d", found, thinSeeds, tt.found)
			}
		})
	}
}

// The table of the design page: what is found of versions that are bad by little.
func TestThinFigures(t *testing.T) {
	if !*playFigures {
		t.Skip("with -rollout.figures only")
	}
	var versions []version
	for _, one := range []int{4, 8, 16, 50} {
		for _, from := range []float64{0, 0.5} {
			versions = append(versions, version{name: fmt.Sprintf("1 in %d fails from %g", one, from), bad: true, fails: 1 / float64(one), from: from})
		}
		versions = append(versions, version{name: fmt.Sprintf("1 in %d fails under load", one), bad: true, fails: 1 / float64(one), load: 1})
	}
	for _, by := range []float64{2, 3, 6} {
		for _, from := range []float64{0, 0.5} {
			versions = append(versions, version{name: fmt.Sprintf("%g times slower on the route from %g", by, from), bad: true, slow: 1, slowBy: by, route: "part", from: from})
		}
	}
	for _, rate := range []float64{30, 125, 1000} {
		for _, limit := range []time.Duration{12 * time.Second, 60 * time.Second} {
			for _, v := range append(versions, version{name: "good"}) {
				parts := []float64{0.2}
				if v.route != "" {
					parts = []float64{0.5, 0.2, 0.05}
				}
				for _, part := range parts {
					back, bad := 0, 0
					f := figures{}
					for seed := range uint64(*playSeeds) {
						p := newPlayOf(smallSize(rate, part), seed, v, troubles[0], limit, judges()["sequential"])
						p.run()
						if p.rollout.State == wheelgauge.RolloutRolledBack {
							back++
						}
						bad += p.badAnswers
						f.add(p)
					}
					fmt.Printf("| %g | %s | %s | %g | %d | %d | %d | %.2f |\n", rate, limit, v.name, part, f.completed, back, bad/f.plays, f.exposed)
				}
			}
		}
	}
}
