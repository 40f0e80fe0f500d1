package controller

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/rollout/sequential"
)

// Guards against rollouts that complete with requests still in flight to other versions, and
// against versions that pass on a few answers of a route.
func TestDecide(t *testing.T) {
	const service, route, boot = "s", "r", 7
	running := wheelgauge.Rollout{RolloutRequest: wheelgauge.RolloutRequest{Service: service, Version: "v2", DurationMS: 10_000}, Number: 1, State: wheelgauge.RolloutRunning}
	shifting := running
	shifting.Shifting = true
	reportOf := func(complete bool, target, others uint64) wheelgauge.RolloutReport {
		return wheelgauge.RolloutReport{Service: service, Number: 1, Sent: target + others, SentTarget: target, Complete: complete, Stats: []wheelgauge.VersionStats{
			{Route: route, Target: true, Responses: target, Compared: target}, {Route: route, Responses: others, Compared: others}, {Route: "other", Target: true, Responses: 100, Compared: 100},
		}}
	}
	// failing has failures on a busy route, but not enough to call the version bad.
	failing := reportOf(false, 30, 400)
	failing.Stats[0].Failed = 3
	live := map[string]uint64{"a": boot}
	tests := []struct {
		name    string
		rollout wheelgauge.Rollout
		reports map[string]wheelgauge.RolloutReport
		silent  time.Duration
		left    time.Duration
		live    map[string]uint64
		want    Step
	}{
		{"no reports", running, nil, 0, time.Second, live, Wait},
		{"too few answers on a busy route", running, map[string]wheelgauge.RolloutReport{"a": reportOf(false, 19, 400)}, 0, time.Second, live, Wait},
		{"not enough evidence on a busy route", running, map[string]wheelgauge.RolloutReport{"a": reportOf(false, 20, 400)}, 0, time.Second, live, Wait},
		{"enough", running, map[string]wheelgauge.RolloutReport{"a": reportOf(false, 30, 400)}, 0, time.Second, live, Shift},
		{"enough answers, past the limit", running, map[string]wheelgauge.RolloutReport{"a": reportOf(false, 30, 400)}, 0, -time.Second, live, Shift},
		{"few answers, past the limit", running, map[string]wheelgauge.RolloutReport{"a": reportOf(false, 1, 400)}, 0, -time.Second, live, Wait},
		{"few answers, long past the limit", running, map[string]wheelgauge.RolloutReport{"a": reportOf(false, 1, 400)}, 0, -inconclusiveGrace, live, Shift},
		{"probably worse, past the limit", running, map[string]wheelgauge.RolloutReport{"a": failing}, 0, -time.Second, live, Wait},
		{"probably worse, long past the limit", running, map[string]wheelgauge.RolloutReport{"a": failing}, 0, -inconclusiveGrace, live, RollBack},
		{"no requests for the service", running, map[string]wheelgauge.RolloutReport{"a": {Service: service, Number: 1}}, 0, -time.Second, live, Shift},
		{"a host is not complete", shifting, map[string]wheelgauge.RolloutReport{"a": reportOf(false, 20, 400)}, 0, -time.Second, live, Wait},
		{"all hosts are complete", shifting, map[string]wheelgauge.RolloutReport{"a": reportOf(true, 20, 400)}, 0, time.Second, live, Complete},
		{"a host restarted since its report", shifting, map[string]wheelgauge.RolloutReport{"a": reportOf(true, 20, 400)}, 0, time.Second, map[string]uint64{"a": boot + 1}, Wait},
		{"a host has not reported", shifting, map[string]wheelgauge.RolloutReport{"a": reportOf(true, 20, 400)}, 0, time.Second, map[string]uint64{"a": boot, "b": boot}, Wait},
		{"a host is silent", shifting, map[string]wheelgauge.RolloutReport{"b": reportOf(false, 20, 400)}, 19 * time.Second, -time.Second, nil, Wait},
		{"a host is silent for long", shifting, map[string]wheelgauge.RolloutReport{"b": reportOf(false, 20, 400)}, 20 * time.Second, -time.Second, nil, Complete},
		{"a host is silent for long, before the limit", shifting, map[string]wheelgauge.RolloutReport{"b": reportOf(false, 20, 400)}, time.Hour, time.Second, nil, Wait},
		{"a complete host is silent", shifting, map[string]wheelgauge.RolloutReport{"b": reportOf(true, 20, 400)}, 0, time.Second, nil, Complete},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			ctrl := New(func() wheelgauge.VersionEvaluator { return sequential.New() }, func() time.Time { return now })
			for host, r := range tt.reports {
				ctrl.Take(host, boot, []wheelgauge.RolloutReport{r})
			}
			now = now.Add(tt.silent)
			if got := ctrl.Decide(tt.rollout, FleetView{Remaining: tt.left, LiveHosts: tt.live, TargetServers: 3}); got.Step != tt.want {
				t.Errorf("got %+v, want step %q", got, tt.want)
			}
		})
	}
}
