package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
)

const (
	name   = "s"
	target = "v2"
)

// minRestartInterval is the shortest time between two starts of a host.
const minRestartInterval = 500 * time.Millisecond

// clock is a manual clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newSelector(share, slack float64) (*Selector, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return New(Options{Host: "h", Share: share, Slack: slack, Now: c.now}), c
}

func rollout(state wheelgauge.RolloutState, shifting bool, elapsed time.Duration) []wheelgauge.Rollout {
	return []wheelgauge.Rollout{{
		RolloutRequest: wheelgauge.RolloutRequest{Service: name, Version: target, DurationMS: 20_000}, Number: 3, State: state,
		Shifting: shifting, ElapsedMS: elapsed.Milliseconds(),
	}}
}

// The choice of versions follows from the state of the rollout and from whether that state is
// confirmed.
func TestChoose(t *testing.T) {
	only, others := wheelgauge.OnlyVersion(target), wheelgauge.ExceptVersion(target)
	tests := []struct {
		name        string
		rollouts    []wheelgauge.Rollout
		unconfirmed time.Duration
		expected    time.Duration
		retry       bool
		want        wheelgauge.VersionFilter
	}{
		{"no rollout", nil, 0, 0, false, wheelgauge.VersionFilter{}},
		{"completed", rollout(wheelgauge.RolloutCompleted, true, 0), time.Minute, 0, true, only},
		{"completed long ago", rollout(wheelgauge.RolloutCompleted, true, 0), time.Hour, 0, true, wheelgauge.VersionFilter{}},
		{"completed long before this host started", rollout(wheelgauge.RolloutCompleted, true, time.Hour), 0, 0, false, wheelgauge.VersionFilter{}},
		{"rolled back long ago", rollout(wheelgauge.RolloutRolledBack, true, time.Hour), time.Hour, 0, false, others},
		{"rolled back", rollout(wheelgauge.RolloutRolledBack, true, 0), 0, 0, false, others},
		{"not proved good", rollout(wheelgauge.RolloutRunning, false, 0), 0, time.Hour, false, others},
		{"proved good, request ends in time", rollout(wheelgauge.RolloutRunning, true, 10*time.Second), 0, 5 * time.Second, false, others},
		{"proved good, request would end too late", rollout(wheelgauge.RolloutRunning, true, 10*time.Second), 0, 15 * time.Second, false, only},
		{"a retry", rollout(wheelgauge.RolloutRunning, true, 10*time.Second), 0, 15 * time.Second, true, others},
		{"state not confirmed", rollout(wheelgauge.RolloutRunning, true, 10*time.Second), 2 * time.Second, 15 * time.Second, false, others},
		{"past the limit", rollout(wheelgauge.RolloutRunning, true, 21*time.Second), 0, 0, true, only},
		{"past the limit, not proved good", rollout(wheelgauge.RolloutRunning, false, 21*time.Second), 0, time.Hour, false, others},
		{"past the limit, state not confirmed", rollout(wheelgauge.RolloutRunning, true, 21*time.Second), 2 * time.Second, 0, false, others},
		{"past the limit, state long unconfirmed", rollout(wheelgauge.RolloutRunning, true, 21*time.Second), 5 * time.Second, 0, false, only},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sel, c := newSelector(1, 50)
			if len(tt.rollouts) > 0 {
				sel.SetRollouts(rollout(wheelgauge.RolloutRunning, false, 0))
			}
			sel.SetRollouts(tt.rollouts)
			c.at = c.at.Add(tt.unconfirmed)
			got, release := sel.Choose(name, "r", tt.expected, tt.retry)
			if got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			release()
		})
	}
}

// Hosts that do not know of each other take no part of the slack.
func TestNoSlackBeforeHostsAreKnown(t *testing.T) {
	const share, slack, hosts = 0.1, 10.0, 300
	sent, sentTarget := 0, 0
	for n := range hosts {
		at := time.Unix(1000, 0)
		sel := New(Options{Host: fmt.Sprint(n), Share: share, Slack: slack, Now: func() time.Time { return at }})
		sel.SetHosts(0)
		sel.SetRollouts(rollout(wheelgauge.RolloutRunning, false, 0))
		at = at.Add(10 * time.Second)
		sel.ConfirmState()
		for range 5 {
			choice, release := sel.Choose(name, "r", time.Second, false)
			version := "v1"
			if only, ok := choice.Only(); ok {
				version = only
			}
			sel.RecordSent(name, "r", version)
			sent++
			if version == target {
				sentTarget++
			}
			release()
		}
	}
	if allowed := share*float64(sent) + slack; float64(sentTarget) > allowed {
		t.Errorf("target version got %d of %d requests, %.0f allowed", sentTarget, sent, allowed)
	}
}

// All hosts together keep the target version within its share before the time limit, also
// when hosts restart.
func TestShareOfAllHosts(t *testing.T) {
	const share, slack = 0.1, 50.0
	for _, count := range []int{1, 6, 30, 300, 1000} {
		t.Run(fmt.Sprint(count, " hosts"), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(count), 2))
			at := time.Unix(1000, 0)
			start := func(n int) *Selector {
				sel := New(Options{Host: fmt.Sprint(n), Share: share, Slack: slack, Now: func() time.Time { return at }})
				sel.SetHosts(count)
				sel.SetRollouts(rollout(wheelgauge.RolloutRunning, true, at.Sub(time.Unix(1000, 0))))
				return sel
			}
			hosts, restartableAt := make([]*Selector, count), make([]time.Time, count)
			for n := range hosts {
				hosts[n] = start(n)
			}
			sent, sentTarget := 0, 0
			for at.Sub(time.Unix(1000, 0)) < 20*time.Second {
				at = at.Add(2 * time.Millisecond)
				n := rng.IntN(count)
				if rng.IntN(200) == 0 && at.After(restartableAt[n]) {
					hosts[n] = start(n)
					restartableAt[n] = at.Add(minRestartInterval)
				}
				sel := hosts[n]
				sel.ConfirmState()
				choice, release := sel.Choose(name, fmt.Sprint(rng.IntN(3)), time.Duration(rng.IntN(30))*time.Second, rng.IntN(20) == 0)
				version := "v1"
				if only, ok := choice.Only(); ok {
					version = only
				}
				if choice.Allows(version) {
					sel.RecordSent(name, "r", version)
					sent++
					if version == target {
						sentTarget++
					}
				}
				release()
				if allowed := share*float64(sent) + slack; float64(sentTarget) > allowed {
					t.Fatalf("target version got %d of %d requests, %.0f allowed", sentTarget, sent, allowed)
				}
			}
			t.Logf("target version got %d of %d requests", sentTarget, sent)
		})
	}
}

// A host is complete once the other versions are closed and it has no requests in flight
// there.
func TestHostComplete(t *testing.T) {
	sel, c := newSelector(0.1, 1000)
	_, releaseEarlier := sel.Choose(name, "r", 0, false)
	sel.SetRollouts(rollout(wheelgauge.RolloutRunning, false, 0))
	complete := func() bool { return sel.Reports()[0].Complete }
	if complete() {
		t.Error("complete before the version proved good")
	}
	choice, releaseCanary := sel.Choose(name, "r", 0, false)
	sel.RecordSent(name, "r", target)
	sel.SetRollouts(rollout(wheelgauge.RolloutRunning, true, 19*time.Second))
	if complete() {
		t.Errorf("complete long before the limit; the choice was %+v", choice)
	}
	c.at = c.at.Add(900 * time.Millisecond)
	sel.ConfirmState()
	changes := sel.Changes()
	releaseCanary()
	if complete() {
		t.Error("complete while a request is in flight")
	}
	releaseEarlier()
	if !complete() {
		t.Error("not complete after the last request ended")
	}
	if sel.Changes() <= changes {
		t.Error("change number did not grow; stores would not get a report at once")
	}
	if choice, _ := sel.Choose(name, "r", 0, true); choice != wheelgauge.OnlyVersion(target) {
		t.Errorf("a complete host chose %+v", choice)
	}
}

// A complete host whose share is used up rejects requests until the time limit.
func TestCompleteHostWithoutShare(t *testing.T) {
	sel, c := newSelector(0.1, 40)
	sel.SetRollouts(rollout(wheelgauge.RolloutRunning, false, 0))
	sel.SetRollouts(rollout(wheelgauge.RolloutRunning, true, 19_500*time.Millisecond))
	_, release := sel.Choose(name, "r", 0, false)
	release()
	if !sel.Reports()[0].Complete {
		t.Fatal("not complete shortly before the limit")
	}
	for range 40 {
		sel.RecordSent(name, "r", target)
	}
	choice, _ := sel.Choose(name, "r", 0, false)
	if choice.Allows(target) || choice.Allows("v1") {
		t.Errorf("before the limit: got %+v, want no version", choice)
	}
	c.at = c.at.Add(600 * time.Millisecond)
	if choice, _ := sel.Choose(name, "r", 0, false); choice != wheelgauge.OnlyVersion(target) {
		t.Errorf("past the limit: got %+v, want the target version only", choice)
	}
}

// If the chosen version has no server, the other versions are the fallback while the rollout
// runs, and all versions once it is complete and the target version's servers are gone.
func TestChooseFallback(t *testing.T) {
	only := wheelgauge.OnlyVersion(target)
	tests := []struct {
		name     string
		rollouts []wheelgauge.Rollout
		prev     wheelgauge.VersionFilter
		listed   bool
		want     wheelgauge.VersionFilter
		ok       bool
	}{
		{"a canary", rollout(wheelgauge.RolloutRunning, false, 0), only, true, wheelgauge.ExceptVersion(target), true},
		{"other versions were allowed", rollout(wheelgauge.RolloutRunning, false, 0), wheelgauge.ExceptVersion(target), true, wheelgauge.VersionFilter{}, false},
		{"completed, target servers are busy", rollout(wheelgauge.RolloutCompleted, true, 0), only, true, wheelgauge.VersionFilter{}, false},
		{"completed, target servers are gone", rollout(wheelgauge.RolloutCompleted, true, 0), only, false, wheelgauge.VersionFilter{}, true},
		{"rolled back in the meantime", rollout(wheelgauge.RolloutRolledBack, true, 0), only, true, wheelgauge.VersionFilter{}, false},
	}
	for _, tt := range tests {
		sel, _ := newSelector(0.1, 50)
		sel.SetRollouts(tt.rollouts)
		got, _, ok := sel.ChooseFallback(name, tt.prev, tt.listed)
		if got != tt.want || ok != tt.ok {
			t.Errorf("%s: got %+v, %t, want %+v, %t", tt.name, got, ok, tt.want, tt.ok)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	sel, _ := newSelector(0.1, 50)
	sel.SetRollouts(rollout(wheelgauge.RolloutRunning, true, 0))
	b.ReportAllocs()
	for b.Loop() {
		_, release := sel.Choose(name, "r", time.Second, false)
		sel.RecordSent(name, "r", "v1")
		release()
	}
}

// Canaries from the slack go to the routes with the fewest canaries so far, and stay within
// the slack.
func TestSlackCanariesCoverRareRoutes(t *testing.T) {
	const share, slack = 0.1, 60.0
	sel, c := newSelector(share, slack)
	sel.SetRollouts(rollout(wheelgauge.RolloutRunning, false, 0))
	sent, canaries := 0, map[string]int{}
	early := 0
	for ; c.at.Before(time.Unix(1020, 0)); c.at = c.at.Add(10 * time.Millisecond) {
		sel.ConfirmState()
		route := "often"
		if sent%20 == 0 {
			route = "seldom"
		}
		sent++
		choice, release := sel.Choose(name, route, 0, false)
		version := "v1"
		if only, ok := choice.Only(); ok {
			version = only
			canaries[route]++
		}
		sel.RecordSent(name, route, version)
		release()
		if c.at.Before(time.Unix(1002, 0)) {
			early = canaries["often"] + canaries["seldom"]
		}
	}
	hostSlack := slackRatio * slack
	if got := canaries["seldom"]; got < int(hostSlack)/2 {
		t.Errorf("the rare route got %d canaries of %d requests; the slack has %g", got, sent/20, hostSlack)
	}
	if got := float64(canaries["seldom"] + canaries["often"]); got > share*float64(sent)+hostSlack {
		t.Errorf("%g canaries of %d requests exceed share and slack", got, sent)
	}
	if limit := share*200 + hostSlack/5; float64(early) > limit {
		t.Errorf("got %d canaries in the first tenth of the time, want %g at most", early, limit)
	}
}

func TestStreamsKeepTheirVersionWithinTheRolloutsBounds(t *testing.T) {
	deadline := 10 * time.Second
	tests := []struct {
		name        string
		rollout     []wheelgauge.Rollout
		at          time.Duration // since the rollout was last confirmed
		old, target bool
	}{
		{"no rollout", nil, 0, true, true},
		{"running", rollout(wheelgauge.RolloutRunning, false, 0), 0, true, true},
		{"running, not confirmed lately", rollout(wheelgauge.RolloutRunning, false, 0), stateLease + 1, true, false},
		{"rolled back", rollout(wheelgauge.RolloutRolledBack, false, 0), 0, true, false},
		{"completed", rollout(wheelgauge.RolloutCompleted, true, deadline), 0, false, true},
		{"completed long ago", rollout(wheelgauge.RolloutCompleted, true, deadline), wheelgauge.OldVersionGracePeriod + time.Minute, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sel, c := newSelector(0.1, 50)
			sel.SetRollouts(tt.rollout)
			c.at = c.at.Add(tt.at)
			for _, v := range []struct {
				version string
				want    bool
			}{{"v1", tt.old}, {"v2", tt.target}} {
				filter, release := sel.ChooseVersion("s", v.version)
				release()
				if filter.Allows(v.version) != v.want {
					t.Errorf("version %s is allowed: %v, want %v", v.version, !v.want, v.want)
				}
				if filter.Allows("v3") {
					t.Errorf("a stream of version %s is allowed another version", v.version)
				}
			}
		})
	}
}
