package entrynode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge"
)

const (
	rolloutShare     = 0.1
	rolloutSlack     = 50.0
	rolloutTimeLimit = 6 * time.Second
	// quietTime is how long a version must get no requests to count as unused.
	quietTime = 500 * time.Millisecond
)

// shouldFail reports whether an engine fails this request.
func (e *engines) shouldFail(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.list {
		if s.Instance == name {
			if every := e.failEvery[s.Version]; every > 0 {
				e.responses[s.Version]++
				return e.responses[s.Version]%every == 0
			}
			return rand.Float64() < e.failureRates[s.Version]
		}
	}
	return false
}

// durationOf returns how long an engine takes for a request.
func (e *engines) durationOf(name, path string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.list {
		if s.Instance == name && e.slowdowns[s.Version] > 0 && strings.HasPrefix(path, "/b/") {
			return time.Duration(e.slowdowns[s.Version]) * runDuration
		}
	}
	return runDuration
}

// deploy starts more engines, of the given version.
func (e *engines) deploy(t *testing.T, version string, count int, failureRate float64) {
	t.Helper()
	e.mu.Lock()
	e.failureRates[version] = failureRate
	first := len(e.list)
	for n := first; n < first+count; n++ {
		e.versions[engineAddress(n)] = version
	}
	e.mu.Unlock()
	for n := first; n < first+count; n++ {
		e.start(t, n, engineAddress(n))
	}
}

func engineAddress(n int) string { return fmt.Sprintf("127.0.84.%d:9000", 100+n) }

// countArrivals returns how many requests reached engines of a version between two times.
func (e *engines) countArrivals(version string, from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, s := range e.list {
		if s.Version != version {
			continue
		}
		for _, at := range e.arrivals[s.Instance] {
			if !at.Before(from) && !at.After(to) {
				count++
			}
		}
	}
	return count
}

// rollout returns the state of the service's rollout from the first store that responds.
func (f *fleet) rollout(t *testing.T) wheelgauge.Rollout {
	t.Helper()
	for _, s := range f.stores {
		if r, err := s.Rollout(context.Background(), "s"); err == nil {
			return r
		}
	}
	return wheelgauge.Rollout{}
}

// A good version gets all requests and a bad one is rolled back, also when a store restarts.
func TestRollout(t *testing.T) {
	tests := []struct {
		name    string
		failing float64
		// restart restarts a store during the rollout.
		restart bool
		state   wheelgauge.RolloutState
	}{
		{"good", 0, false, wheelgauge.RolloutCompleted},
		{"good, a store restarts", 0, true, wheelgauge.RolloutCompleted},
		{"fails", 0.4, false, wheelgauge.RolloutRolledBack},
		{"fails, a store restarts", 0.4, true, wheelgauge.RolloutRolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := openFleet(t)
			c := f.startCallers(6 * fleetSize)
			defer c.stop()
			req := wheelgauge.RolloutRequest{Service: "s", Version: "v2", DurationMS: rolloutTimeLimit.Milliseconds()}
			start := time.Now()
			waitFor(t, "the rollout is accepted", func() bool { return f.stores[0].StartRollout(context.Background(), waitingSender{}, req) == nil })
			f.engines.deploy(t, "v2", 4, tt.failing)
			if tt.restart {
				f.closeStore(t, 1)
				f.openStore(t, 1, false)
			}
			var r wheelgauge.Rollout
			waitFor(t, "the rollout ends", func() bool {
				r = f.rollout(t)
				return r.Number != 0 && !r.Running()
			})
			ended := time.Now()
			if r.State != tt.state {
				t.Errorf("rollout is %s, want %s: %s", r.State, tt.state, r.Cause)
			}
			limit := start.Add(rolloutTimeLimit)
			target, others := f.engines.countArrivals("v2", start, limit), f.engines.countArrivals("", start, limit)
			if allowed := rolloutShare*float64(target+others) + rolloutSlack; float64(target) > allowed {
				t.Errorf("target version got %d of %d requests, want at most %.0f", target, target+others, allowed)
			}
			f.expectNoRequests(t, r, ended)
			t.Logf("%s after %s; %d of %d requests went to the target version before the limit; %s", r.State, ended.Sub(start).Round(time.Millisecond), target, target+others, r.Cause)
		})
	}
}

// expectNoRequests checks that versions no longer in use get no requests: from the end of a
// completed rollout on, and soon after one that was rolled back.
func (f *fleet) expectNoRequests(t *testing.T, r wheelgauge.Rollout, ended time.Time) {
	t.Helper()
	if r.State == wheelgauge.RolloutCompleted {
		time.Sleep(quietTime)
		if arrivals := f.engines.countArrivals("", ended, time.Now()); arrivals > 0 {
			t.Errorf("other versions got %d requests after the rollout was complete, want 0", arrivals)
		}
		return
	}
	waitFor(t, "the version that was rolled back gets no more requests", func() bool {
		from := time.Now()
		time.Sleep(quietTime)
		return f.engines.countArrivals(r.Version, from, time.Now()) == 0
	})
}

// A repeated rollout request and one for another version during a rollout are rejected and
// change nothing, as are invalid ones.
func TestRolloutRequests(t *testing.T) {
	f := openFleet(t)
	req := wheelgauge.RolloutRequest{Service: "s", Version: "v2", DurationMS: time.Hour.Milliseconds()}
	other := req
	other.Version = "v3"
	tests := []struct {
		name   string
		req    wheelgauge.RolloutRequest
		status int // 0 if accepted
	}{
		{"unknown service", wheelgauge.RolloutRequest{Service: "x", Version: "v2", DurationMS: 1000}, http.StatusNotFound},
		{"no version", wheelgauge.RolloutRequest{Service: "s", DurationMS: 1000}, http.StatusBadRequest},
		{"no time", wheelgauge.RolloutRequest{Service: "s", Version: "v2"}, http.StatusBadRequest},
		{"taken", req, 0},
		{"repeated", req, http.StatusConflict},
		{"another version", other, http.StatusUnprocessableEntity},
	}
	for n, tt := range tests {
		err := f.stores[n%fleetSize].StartRollout(context.Background(), waitingSender{}, tt.req)
		status := 0
		if err != nil {
			status = wheelgauge.AsError(err).Status()
		}
		if status != tt.status {
			t.Errorf("%s: got error %v, want status %d", tt.name, err, tt.status)
		}
	}
	if r := f.rollout(t); r.RolloutRequest != req || !r.Running() {
		t.Errorf("got rollout %+v, want the accepted one, running", r)
	}
	if err := f.stores[0].AbortRollout(context.Background(), waitingSender{}, "s"); err != nil {
		t.Fatal(err)
	}
	if r := f.rollout(t); r.State != wheelgauge.RolloutRolledBack {
		t.Errorf("rollout is %s after the abort, want it rolled back", r.State)
	}
	if err := f.stores[1].StartRollout(context.Background(), waitingSender{}, req); err != nil {
		t.Errorf("request repeated after a lost response: got error %v", err)
	}
	if r := f.rollout(t); r.State != wheelgauge.RolloutRolledBack {
		t.Errorf("rollout is %s after a repeated request, want it still rolled back", r.State)
	}
}

// A version that fails one in eight requests, or is slow on one route only, must be rolled back.
func TestRolloutOfSlightlyWorseVersion(t *testing.T) {
	tests := []struct {
		name string
		bad  func(e *engines)
	}{
		{"one in eight fails", func(e *engines) { e.failEvery["v2"] = 8 }},
		{"six times slower on a fifth", func(e *engines) { e.slowdowns["v2"] = 6 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const limit = 14 * time.Second
			f := openFleet(t)
			f.engines.mu.Lock()
			tt.bad(f.engines)
			f.engines.mu.Unlock()
			c := f.startCallersWith(callerOptions{count: 3 * fleetSize, bodyPrefix: "caller", paths: []string{"/a/plain", "/a/plain", "/a/plain", "/a/plain", "/b/plain"}})
			defer c.stop()
			start := time.Now()
			req := wheelgauge.RolloutRequest{Service: "s", Version: "v2", DurationMS: limit.Milliseconds()}
			waitFor(t, "the rollout is accepted", func() bool { return f.stores[0].StartRollout(context.Background(), waitingSender{}, req) == nil })
			f.engines.deploy(t, "v2", 8, 0)
			var r wheelgauge.Rollout
			for r = f.rollout(t); r.Number == 0 || r.Running(); r = f.rollout(t) {
				time.Sleep(100 * time.Millisecond)
			}
			if r.State != wheelgauge.RolloutRolledBack {
				t.Errorf("rollout is %s, want it rolled back", r.State)
			}
			target, others := f.engines.countArrivals("v2", start, start.Add(limit)), f.engines.countArrivals("", start, start.Add(limit))
			if allowed := rolloutShare*float64(target+others) + rolloutSlack; float64(target) > allowed {
				t.Errorf("target version got %d of %d requests, want at most %.0f", target, target+others, allowed)
			}
			t.Logf("%s after %s; %d of %d requests went to the target version; %s", r.State, time.Since(start).Round(time.Millisecond), target, target+others, r.Cause)
		})
	}
}

// waitingSender is an operator that waits for the response to its order.
type waitingSender struct{}

func (waitingSender) Waiting() bool           { return true }
func (waitingSender) Patience() time.Duration { return 0 }
