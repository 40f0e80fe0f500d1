package capclient

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"wheelgauge"
)

// decider decides in a schedule whether a host may send. The lock is held.
type decider func(s *schedule, h int, w *workspace, units float64) bool

// fixedShares gives each host an equal share of rate and burst, whatever the demand.
func fixedShares() decider {
	type bucket struct {
		level float64
		at    time.Time
	}
	type key struct {
		host      int
		workspace string
	}
	buckets := map[key]*bucket{}
	return func(s *schedule, h int, w *workspace, units float64) bool {
		c, n := w.spec.Cap, float64(s.hosts)
		b := buckets[key{h, w.spec.Name}]
		if b == nil {
			b = &bucket{level: c.Burst / n, at: s.started}
			buckets[key{h, w.spec.Name}] = b
		}
		b.level = math.Min(c.Burst/n, b.level+c.Rate/n*time.Since(b.at).Seconds())
		b.at = time.Now()
		// A full bucket may go into debt: no share is as large as a request.
		if b.level < math.Min(units, 0.9*c.Burst/n) {
			return false
		}
		b.level -= units
		return true
	}
}

// reportedFraction lets a fraction of requests pass: rate over the total demand of all hosts
// some time ago, as stores would compute it and send it with heartbeats.
func reportedFraction() decider {
	const (
		delay = 350 * time.Millisecond
		span  = 500 * time.Millisecond
	)
	type demandSample struct {
		at    time.Time
		units float64
	}
	seen := map[string][]demandSample{}
	return func(s *schedule, h int, w *workspace, units float64) bool {
		now, name := time.Now(), w.spec.Name
		if region := s.regions[h%len(s.regions)]; s.cutRegions[region] {
			name += region // it receives no reports from other regions
		}
		seen[name] = append(seen[name], demandSample{now, units})
		sum := 0.0
		for len(seen[name]) > 0 && now.Sub(seen[name][0].at) > delay+span {
			seen[name] = seen[name][1:]
		}
		for _, a := range seen[name] {
			if now.Sub(a.at) > delay {
				sum += a.units
			}
		}
		return rand.Float64() < w.spec.Cap.Rate*span.Seconds()/math.Max(sum, 1)
	}
}

// Two alternatives to leased shares, without load and beside a workspace at 8 times its usual
// demand: what each sends in the worst window, and what it refuses within the cap. Fixed
// shares refuse a third of what the cap allows. A reported fraction is as good as leased
// shares while all stores exchange reports, and needs no draws, but each region of a partition
// lets the whole cap pass.
func TestBaselines(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name        string
		make        func() decider
		overloaded  bool
		partitioned bool
		// refused is the least fraction wrongly refused of the smallest cap; over is set where
		// the largest workspace must exceed its bound.
		refused float64
		over    bool
	}{
		{"fixed shares, normal load", fixedShares, false, false, 0.15, false},
		{"fixed shares, overload", fixedShares, true, false, 0.15, false},
		{"reported fraction, normal load", reportedFraction, false, false, 0, false},
		{"reported fraction, overload", reportedFraction, true, false, 0, false},
		{"reported fraction, overload, regions partitioned", reportedFraction, true, true, 0, true},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(t, 5, 68)
			take := tt.make()
			s.take = func(_ context.Context, h int, w *workspace, units float64) *wheelgauge.Error {
				s.mu.Lock()
				defer s.mu.Unlock()
				if take(s, h, w, units) {
					return nil
				}
				return wheelgauge.NewError(wheelgauge.ReasonRateLimited, wheelgauge.OutcomeNotRun, http.StatusTooManyRequests, "")
			}
			if tt.overloaded {
				s.overload("large", 8, 6*time.Second, 16*time.Second)
			}
			var faults func(context.Context)
			if tt.partitioned {
				faults = func(context.Context) {
					time.Sleep(6 * time.Second)
					s.set(func() { s.cutRegions["a"], s.cutRegions["b"], s.cutRegions["c"] = true, true, true })
				}
			}
			s.run(faults)
			for _, w := range s.workspaces {
				refused, _ := s.wronglyRefused(w)
				if *figures {
					t.Logf("%s: workspace %s: %.2f of the bound in the worst window, %.2f%% wrongly refused", tt.name, w.spec.Name, s.worstWindow(w), 100*refused)
				}
				if over := s.worstWindow(w) > 1; w.spec.Name == "large" && tt.over && !over {
					t.Errorf("%s: %.2f of the bound sent in the worst window, want more than 1", tt.name, s.worstWindow(w))
				}
				if w.spec.Name == "small" && refused < tt.refused {
					t.Errorf("%s: %.2f%% of a small cap wrongly refused: fewer than expected of this baseline", tt.name, 100*refused)
				}
			}
		})
	}
}
