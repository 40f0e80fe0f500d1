package ledger

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

// startTakes is the shortest time between two starts of a host.
const startTakes = 500 * time.Millisecond

// clock is moved by tests.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newLedger(share, slack float64) (*Ledger, *clock) {
	c := &clock{time.Unix(1000, 0)}
	return New(Options{Host: "h", Share: share, Slack: slack, Now: c.now}), c
}

func rollout(state wheelgauge.RolloutState, shifting bool, elapsed time.Duration) []wheelgauge.Rollout {
	return []wheelgauge.Rollout{{
		RolloutOrder: wheelgauge.RolloutOrder{Service: name, Version: target, DurationMS: 20_000}, Number: 3, State: state,
		Shifting: shifting, ElapsedMS: elapsed.Milliseconds(),
	}}
}

// The versions for a request follow from how far the rollout is and whether that is certain.
func TestChoose(t *testing.T) {
	only, others := wheelgauge.OnlyVersion(target), wheelgauge.ExceptVersion(target)
	tests := []struct {
		name     string
		rollouts []wheelgauge.Rollout
		silent   time.Duration
		lasts    time.Duration
		repeat   bool
		want     wheelgauge.VersionChoice
	}{
		{"no rollout", nil, 0, 0, false, wheelgauge.VersionChoice{}},
		{"completed", rollout(wheelgauge.RolloutCompleted, true, 0), time.Minute, 0, true, only},
		{"completed long ago", rollout(wheelgauge.RolloutCompleted, true, 0), time.Hour, 0, true, wheelgauge.VersionChoice{}},
		{"completed before this host started", rollout(wheelgauge.RolloutCompleted, true, time.Hour), 0, 0, false, wheelgauge.VersionChoice{}},
		{"rolled back long ago", rollout(wheelgauge.RolloutRolledBack, true, time.Hour), time.Hour, 0, false, others},
		{"rolled back", rollout(wheelgauge.RolloutRolledBack, true, 0), 0, 0, false, others},
		{"has not proved good", rollout(wheelgauge.RolloutRunning, false, 0), 0, time.Hour, false, others},
		{"proved, ends in time", rollout(wheelgauge.RolloutRunning, true, 10*time.Second), 0, 5 * time.Second, false, others},
		{"proved, would end too late", rollout(wheelgauge.RolloutRunning, true, 10*time.Second), 0, 15 * time.Second, false, only},
		{"a repeat", rollout(wheelgauge.RolloutRunning, true, 10*time.Second), 0, 15 * time.Second, true, others},
		{"not certain any more", rollout(wheelgauge.RolloutRunning, true, 10*time.Second), 2 * time.Second, 15 * time.Second, false, others},
		{"past the limit", rollout(wheelgauge.RolloutRunning, true, 21*time.Second), 0, 0, true, only},
		{"past the limit, has not proved good", rollout(wheelgauge.RolloutRunning, false, 21*time.Second), 0, time.Hour, false, others},
		{"past the limit, not certain", rollout(wheelgauge.RolloutRunning, true, 21*time.Second), 2 * time.Second, 0, false, others},
		{"past the limit, alone for long", rollout(wheelgauge.RolloutRunning, true, 21*time.Second), 5 * time.Second, 0, false, only},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, c := newLedger(1, 50)
			if len(tt.rollouts) > 0 {
				l.Set(rollout(wheelgauge.RolloutRunning, false, 0))
			}
			l.Set(tt.rollouts)
			c.at = c.at.Add(tt.silent)
			got, release := l.Choose(name, "r", tt.lasts, tt.repeat)
			if got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			release()
		})
	}
}

// All hosts together send the target version no more than its share before the limit.
func TestShareOfAllHosts(t *testing.T) {
	const share, slack = 0.1, 50.0
	for _, count := range []int{1, 6, 30, 300, 1000} {
		t.Run(fmt.Sprint(count, " hosts"), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(count), 2))
			at := time.Unix(1000, 0)
			start := func(n int) *Ledger {
				l := New(Options{Host: fmt.Sprint(n), Share: share, Slack: slack, Now: func() time.Time { return at }})
				l.SetHosts(count)
				l.Set(rollout(wheelgauge.RolloutRunning, true, at.Sub(time.Unix(1000, 0))))
				return l
			}
			hosts, back := make([]*Ledger, count), make([]time.Time, count)
			for n := range hosts {
				hosts[n] = start(n)
			}
			sent, got := 0, 0
			for at.Sub(time.Unix(1000, 0)) < 20*time.Second {
				at = at.Add(2 * time.Millisecond)
				n := rng.IntN(count)
				if rng.IntN(200) == 0 && at.After(back[n]) {
					hosts[n] = start(n)
					back[n] = at.Add(startTakes)
				}
				l := hosts[n]
				l.Confirm()
				choice, release := l.Choose(name, fmt.Sprint(rng.IntN(3)), time.Duration(rng.IntN(30))*time.Second, rng.IntN(20) == 0)
				version := "v1"
				if only, ok := choice.Only(); ok {
					version = only
				}
				if choice.Allows(version) {
					l.Sent(name, "r", version)
					sent++
					if version == target {
						got++
					}
				}
				release()
				if allowed := share*float64(sent) + slack; float64(got) > allowed {
					t.Fatalf("%d of %d requests, allowed %.0f", got, sent, allowed)
				}
			}
			t.Logf("%d of %d requests", got, sent)
		})
	}
}

// A host is settled once the other versions are closed and nothing is on its way there.
func TestSettled(t *testing.T) {
	l, c := newLedger(0.1, 1000)
	_, before := l.Choose(name, "r", 0, false)
	l.Set(rollout(wheelgauge.RolloutRunning, false, 0))
	settled := func() bool { return l.Reports()[0].Settled }
	if settled() {
		t.Error("settled before the version proved good")
	}
	choice, canary := l.Choose(name, "r", 0, false)
	l.Sent(name, "r", target)
	l.Set(rollout(wheelgauge.RolloutRunning, true, 19*time.Second))
	if settled() {
		t.Errorf("settled long before the limit; the choice was %+v", choice)
	}
	c.at = c.at.Add(900 * time.Millisecond)
	l.Confirm()
	changes := l.Changes()
	canary()
	if settled() {
		t.Error("settled while a request is on its way")
	}
	before()
	if !settled() {
		t.Error("not settled")
	}
	if l.Changes() <= changes {
		t.Error("nobody would be told at once")
	}
	if choice, _ := l.Choose(name, "r", 0, true); choice != wheelgauge.OnlyVersion(target) {
		t.Errorf("a settled host chose %+v", choice)
	}
}

// A settled host whose share is used up refuses requests until the limit.
func TestSettledWithoutShare(t *testing.T) {
	l, c := newLedger(0.1, 40)
	l.Set(rollout(wheelgauge.RolloutRunning, false, 0))
	l.Set(rollout(wheelgauge.RolloutRunning, true, 19_500*time.Millisecond))
	_, release := l.Choose(name, "r", 0, false)
	release()
	if !l.Reports()[0].Settled {
		t.Fatal("not settled")
	}
	for range 40 {
		l.Sent(name, "r", target)
	}
	choice, _ := l.Choose(name, "r", 0, false)
	if choice.Allows(target) || choice.Allows("v1") {
		t.Errorf("before the limit it chose %+v", choice)
	}
	c.at = c.at.Add(600 * time.Millisecond)
	if choice, _ := l.Choose(name, "r", 0, false); choice != wheelgauge.OnlyVersion(target) {
		t.Errorf("past the limit it chose %+v", choice)
	}
}

// Where the version chosen has no server, the others are used, unless that is over.
func TestOtherwise(t *testing.T) {
	only := wheelgauge.OnlyVersion(target)
	tests := []struct {
		name     string
		rollouts []wheelgauge.Rollout
		was      wheelgauge.VersionChoice
		listed   bool
		want     wheelgauge.VersionChoice
		ok       bool
	}{
		{"a canary", rollout(wheelgauge.RolloutRunning, false, 0), only, true, wheelgauge.ExceptVersion(target), true},
		{"others were allowed", rollout(wheelgauge.RolloutRunning, false, 0), wheelgauge.ExceptVersion(target), true, wheelgauge.VersionChoice{}, false},
		{"completed, its servers are busy", rollout(wheelgauge.RolloutCompleted, true, 0), only, true, wheelgauge.VersionChoice{}, false},
		{"completed, its servers are gone", rollout(wheelgauge.RolloutCompleted, true, 0), only, false, wheelgauge.VersionChoice{}, true},
		{"rolled back meanwhile", rollout(wheelgauge.RolloutRolledBack, true, 0), only, true, wheelgauge.VersionChoice{}, false},
	}
	for _, tt := range tests {
		l, _ := newLedger(0.1, 50)
		l.Set(tt.rollouts)
		got, _, ok := l.Otherwise(name, tt.was, tt.listed)
		if got != tt.want || ok != tt.ok {
			t.Errorf("%s: got %+v, %t, want %+v, %t", tt.name, got, ok, tt.want, tt.ok)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	l, _ := newLedger(0.1, 50)
	l.Set(rollout(wheelgauge.RolloutRunning, true, 0))
	b.ReportAllocs()
	for b.Loop() {
		_, release := l.Choose(name, "r", time.Second, false)
		l.Sent(name, "r", "v1")
		release()
	}
}

// Canaries of the slack go to the routes that have shown the least, within the slack.
func TestSlackShowsSeldomRoutes(t *testing.T) {
	const share, slack = 0.1, 60.0
	l, c := newLedger(share, slack)
	l.Set(rollout(wheelgauge.RolloutRunning, false, 0))
	sent, canaries := 0, map[string]int{}
	early := 0
	for ; c.at.Before(time.Unix(1020, 0)); c.at = c.at.Add(10 * time.Millisecond) {
		l.Confirm()
		route := "often"
		if sent%20 == 0 {
			route = "seldom"
		}
		sent++
		choice, release := l.Choose(name, route, 0, false)
		version := "v1"
		if only, ok := choice.Only(); ok {
			version = only
			canaries[route]++
		}
		l.Sent(name, route, version)
		release()
		if c.at.Before(time.Unix(1002, 0)) {
			early = canaries["often"] + canaries["seldom"]
		}
	}
	part := slackPart * slack
	if got := canaries["seldom"]; got < int(part)/2 {
		t.Errorf("the seldom route got %d canaries of %d requests, %g are of the slack", got, sent/20, part)
	}
	if got := float64(canaries["seldom"] + canaries["often"]); got > share*float64(sent)+part {
		t.Errorf("%g canaries of %d requests", got, sent)
	}
	if most := share*200 + part/5; float64(early) > most {
		t.Errorf("%d canaries in the first tenth of the time, want %g at most", early, most)
	}
}
