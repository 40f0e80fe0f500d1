package director_test

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

const (
	// smallFaultSeeds is how many seeds are simulated for each version.
	smallFaultSeeds = 24
	// smallFaultSettle is longer than a rollout may stay inconclusive past its time limit.
	smallFaultSettle = 45 * time.Second
)

// smallDeployment returns a deployment with a rate in requests per second, of which a share
// goes to one route.
func smallDeployment(rate, share float64) deployment {
	return deployment{6, 9, []simRoute{
		{"most", rate * (1 - share), 300 * time.Millisecond, 150 * time.Millisecond},
		{"part", rate * share, 200 * time.Millisecond, 100 * time.Millisecond},
	}, smallFaultSettle}
}

// Guards against completing versions that are only slightly bad, or bad on a single route.
func TestSmallFaultsAreDetected(t *testing.T) {
	const limit, minDetected = 14 * time.Second, 23
	tests := []struct {
		version  version
		detected int
	}{
		{version{name: "one in eight fails", bad: true, failRate: 0.125, from: 0.05}, minDetected},
		{version{name: "six times slower on a fifth", bad: true, slowRate: 1, slowFactor: 6, route: "part"}, minDetected},
		{version{name: "good"}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.version.name, func(t *testing.T) {
			detected := 0
			sum := summary{}
			for seed := range uint64(smallFaultSeeds) {
				sim := newSimulationOf(smallDeployment(125, 0.2), seed, tt.version, disturbances[0], limit, evaluators()["sequential"])
				sim.run()
				for _, violation := range sim.violations() {
					t.Errorf("seed %d: %s", seed, violation)
				}
				if sim.rollout.State == wheelgauge.RolloutRolledBack {
					detected++
				}
				sum.add(sim)
			}
			t.Log(sum)
			if detected < tt.detected || tt.detected == 0 && detected > 0 {
				t.Errorf("got %d of %d rolled back, want %d", detected, smallFaultSeeds, tt.detected)
			}
		})
	}
}

// Prints the table of the design page: which slightly bad versions are detected.
func TestSmallFaultFigures(t *testing.T) {
	if !*simFigures {
		t.Skip("with -rollout.figures only")
	}
	var versions []version
	for _, n := range []int{4, 8, 16, 50} {
		for _, from := range []float64{0, 0.5} {
			versions = append(versions, version{name: fmt.Sprintf("1 in %d fails from %g", n, from), bad: true, failRate: 1 / float64(n), from: from})
		}
		versions = append(versions, version{name: fmt.Sprintf("1 in %d fails under load", n), bad: true, failRate: 1 / float64(n), minInFlight: 1})
	}
	for _, factor := range []float64{2, 3, 6} {
		for _, from := range []float64{0, 0.5} {
			versions = append(versions, version{name: fmt.Sprintf("%g times slower on the route from %g", factor, from), bad: true, slowRate: 1, slowFactor: factor, route: "part", from: from})
		}
	}
	for _, rate := range []float64{30, 125, 1000} {
		for _, limit := range []time.Duration{12 * time.Second, 60 * time.Second} {
			for _, v := range append(versions, version{name: "good"}) {
				shares := []float64{0.2}
				if v.route != "" {
					shares = []float64{0.5, 0.2, 0.05}
				}
				for _, share := range shares {
					rolledBack, badAnswers := 0, 0
					sum := summary{}
					for seed := range uint64(*simSeeds) {
						sim := newSimulationOf(smallDeployment(rate, share), seed, v, disturbances[0], limit, evaluators()["sequential"])
						sim.run()
						if sim.rollout.State == wheelgauge.RolloutRolledBack {
							rolledBack++
						}
						badAnswers += sim.badAnswers
						sum.add(sim)
					}
					fmt.Printf("| %g | %s | %s | %g | %d | %d | %d | %.2f |\n", rate, limit, v.name, share, sum.completed, rolledBack, badAnswers/sum.runs, sum.maxExposure)
				}
			}
		}
	}
}
