package director

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/rollout/sequential"
)

// Rollouts were complete with requests in flight, and proved by a few answers of a route.
func TestDecide(t *testing.T) {
	const service, route, boot = "s", "r", 7
	running := wheelgauge.Rollout{RolloutOrder: wheelgauge.RolloutOrder{Service: service, Version: "v2", DurationMS: 10_000}, Number: 1, State: wheelgauge.RolloutRunning}
	shifting := running
	shifting.Shifting = true
	counted := func(settled bool, target, others uint64) wheelgauge.RolloutReport {
		return wheelgauge.RolloutReport{Service: service, Number: 1, Sent: target + others, SentTarget: target, Settled: settled, Counts: []wheelgauge.VersionCount{
			{Route: route, Target: true, Answers: target, Timed: target}, {Route: route, Answers: others, Timed: others}, {Route: "other", Target: true, Answers: 100, Timed: 100},
		}}
	}
	// failing has some failures on a busy route, not enough to find the version bad.
	failing := counted(false, 30, 400)
	failing.Counts[0].Failed = 3
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
		{"nobody reported", running, nil, 0, time.Second, live, Wait},
		{"too few answers of a busy route", running, map[string]wheelgauge.RolloutReport{"a": counted(false, 19, 400)}, 0, time.Second, live, Wait},
		{"not enough to show that it is as good there", running, map[string]wheelgauge.RolloutReport{"a": counted(false, 20, 400)}, 0, time.Second, live, Wait},
		{"enough", running, map[string]wheelgauge.RolloutReport{"a": counted(false, 30, 400)}, 0, time.Second, live, Shift},
		{"enough, past the limit", running, map[string]wheelgauge.RolloutReport{"a": counted(false, 30, 400)}, 0, -time.Second, live, Shift},
		{"few, past the limit", running, map[string]wheelgauge.RolloutReport{"a": counted(false, 1, 400)}, 0, -time.Second, live, Wait},
		{"few, long past the limit", running, map[string]wheelgauge.RolloutReport{"a": counted(false, 1, 400)}, 0, -doubtFor, live, Shift},
		{"rather worse, past the limit", running, map[string]wheelgauge.RolloutReport{"a": failing}, 0, -time.Second, live, Wait},
		{"rather worse, long past the limit", running, map[string]wheelgauge.RolloutReport{"a": failing}, 0, -doubtFor, live, RollBack},
		{"nobody asks for the service", running, map[string]wheelgauge.RolloutReport{"a": {Service: service, Number: 1}}, 0, -time.Second, live, Shift},
		{"a host is not settled", shifting, map[string]wheelgauge.RolloutReport{"a": counted(false, 20, 400)}, 0, -time.Second, live, Wait},
		{"all are settled", shifting, map[string]wheelgauge.RolloutReport{"a": counted(true, 20, 400)}, 0, time.Second, live, Complete},
		{"it started again since", shifting, map[string]wheelgauge.RolloutReport{"a": counted(true, 20, 400)}, 0, time.Second, map[string]uint64{"a": boot + 1}, Wait},
		{"one did not report", shifting, map[string]wheelgauge.RolloutReport{"a": counted(true, 20, 400)}, 0, time.Second, map[string]uint64{"a": boot, "b": boot}, Wait},
		{"one fell silent", shifting, map[string]wheelgauge.RolloutReport{"b": counted(false, 20, 400)}, 19 * time.Second, -time.Second, nil, Wait},
		{"one fell silent long ago", shifting, map[string]wheelgauge.RolloutReport{"b": counted(false, 20, 400)}, 20 * time.Second, -time.Second, nil, Complete},
		{"one fell silent long ago, before the limit", shifting, map[string]wheelgauge.RolloutReport{"b": counted(false, 20, 400)}, time.Hour, time.Second, nil, Wait},
		{"one was settled and fell silent", shifting, map[string]wheelgauge.RolloutReport{"b": counted(true, 20, 400)}, 0, time.Second, nil, Complete},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := time.Unix(1000, 0)
			d := New(func() wheelgauge.VersionJudge { return sequential.New() }, func() time.Time { return at })
			for host, r := range tt.reports {
				d.Take(host, boot, []wheelgauge.RolloutReport{r})
			}
			at = at.Add(tt.silent)
			if got := d.Decide(tt.rollout, View{Left: tt.left, Live: tt.live, Servers: 3}); got.Step != tt.want {
				t.Errorf("%+v, want step %q", got, tt.want)
			}
		})
	}
}
