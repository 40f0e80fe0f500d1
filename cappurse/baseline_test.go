package cappurse

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

// decider decides in a schedule whether a host may send; the lock is held.
type decider func(s *schedule, h int, w *workspace, units float64) bool

// fixedShares gives each host an even part of rate and burst, whoever asks.
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
		// Into debt once it is full: no part holds a request.
		if b.level < math.Min(units, 0.9*c.Burst/n) {
			return false
		}
		b.level -= units
		return true
	}
}

// reportedFraction lets through the part that what all hosts asked some time ago leaves, as
// stores would work it out and tell it with heartbeats.
func reportedFraction() decider {
	const (
		old  = 350 * time.Millisecond
		span = 500 * time.Millisecond
	)
	type asked struct {
		at    time.Time
		units float64
	}
	seen := map[string][]asked{}
	return func(s *schedule, h int, w *workspace, units float64) bool {
		now, name := time.Now(), w.spec.Name
		if region := s.regions[h%len(s.regions)]; s.cutRegions[region] {
			name += region // it hears of no other
		}
		seen[name] = append(seen[name], asked{now, units})
		sum := 0.0
		for len(seen[name]) > 0 && now.Sub(seen[name][0].at) > old+span {
			seen[name] = seen[name][1:]
		}
		for _, a := range seen[name] {
			if now.Sub(a.at) > old {
				sum += a.units
			}
		}
		return rand.Float64() < w.spec.Cap.Rate*span.Seconds()/math.Max(sum, 1)
	}
}

// The two ways that were weighed against parts that stores lend: what each sends in the
// worst window and refuses of what is within the cap, in calm and beside a workspace that
// asks 8 times its usual. Fixed parts refuse a third of what is owed. A told fraction is
// as good as lent parts where everybody hears of everybody, and takes no asking; but
// regions that are cut apart each let the whole cap through.
func TestBaselines(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		make func() decider
		hot  bool
		cut  bool
		// wrong is the least that is wrongly refused of the smallest cap, over is set where
		// the largest must send more than is allowed.
		wrong float64
		over  bool
	}{
		{"fixed parts, calm", fixedShares, false, false, 0.15, false},
		{"fixed parts, hot", fixedShares, true, false, 0.15, false},
		{"told fraction, calm", reportedFraction, false, false, 0, false},
		{"told fraction, hot", reportedFraction, true, false, 0, false},
		{"told fraction, hot, regions cut apart", reportedFraction, true, true, 0, true},
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
			if tt.hot {
				s.overload("large", 8, 6*time.Second, 16*time.Second)
			}
			var faults func(context.Context)
			if tt.cut {
				faults = func(context.Context) {
					time.Sleep(6 * time.Second)
					s.set(func() { s.cutRegions["a"], s.cutRegions["b"], s.cutRegions["c"] = true, true, true })
				}
			}
			s.run(faults)
			for _, w := range s.workspaces {
				wrong, _ := s.wronglyRefused(w)
				if *figures {
					t.Logf("%s: workspace %s: %.2f of the bound in the worst window, %.2f%% wrongly refused", tt.name, w.spec.Name, s.worstWindow(w), 100*wrong)
				}
				if over := s.worstWindow(w) > 1; w.spec.Name == "large" && tt.over && !over {
					t.Errorf("%s: %.2f of what is allowed was sent in some window", tt.name, s.worstWindow(w))
				}
				if w.spec.Name == "small" && wrong < tt.wrong {
					t.Errorf("%s: %.2f%% of a small cap were wrongly refused: it is better than it was taken for", tt.name, 100*wrong)
				}
			}
		})
	}
}
