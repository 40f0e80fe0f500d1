package configlog

import (
	"encoding/json"
	"testing"

	"wheelgauge"
)

func applied(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var res Result
	if err := json.Unmarshal(m.Apply(0, data), &res); err != nil {
		t.Fatal(err)
	}
	return res
}

func order(service, version string) *wheelgauge.Rollout {
	return &wheelgauge.Rollout{RolloutOrder: wheelgauge.RolloutOrder{Service: service, Version: version, DurationMS: 1000}}
}

// A service has one rollout at a time, and one that ended stays as it ended whatever comes late.
func TestRollouts(t *testing.T) {
	m := New()
	step := func(number uint64, state wheelgauge.RolloutState, shifting bool) Command {
		r := order("s", "v2")
		r.Number, r.State, r.Shifting = number, state, shifting
		return Command{Op: OpRolloutStep, Rollout: r}
	}
	aged := order("s", "v2")
	aged.Number, aged.ElapsedMS = 1, 700
	tests := []struct {
		name    string
		command Command
		taken   bool
		state   wheelgauge.RolloutState
		version string
		number  uint64
	}{
		{"begins", Command{Op: OpRollout, Rollout: order("s", "v2")}, true, wheelgauge.RolloutRunning, "v2", 1},
		{"the same again", Command{Op: OpRollout, Rollout: order("s", "v2")}, false, wheelgauge.RolloutRunning, "v2", 1},
		{"another meanwhile", Command{Op: OpRollout, Rollout: order("s", "v3")}, false, wheelgauge.RolloutRunning, "v2", 1},
		{"its age", Command{Op: OpRolloutAge, Rollout: aged}, false, wheelgauge.RolloutRunning, "v2", 1},
		{"a step of none", step(9, wheelgauge.RolloutCompleted, false), false, wheelgauge.RolloutRunning, "v2", 1},
		{"shifts", step(1, wheelgauge.RolloutRunning, true), true, wheelgauge.RolloutRunning, "v2", 1},
		{"goes back", step(1, wheelgauge.RolloutRolledBack, true), true, wheelgauge.RolloutRolledBack, "v2", 1},
		{"completes too late", step(1, wheelgauge.RolloutCompleted, true), false, wheelgauge.RolloutRolledBack, "v2", 1},
		{"its order comes late", Command{Op: OpRollout, Rollout: order("s", "v2")}, false, wheelgauge.RolloutRolledBack, "v2", 1},
		{"ordered again", Command{Op: OpRollout, Rollout: order("s", "v2"), Again: true}, true, wheelgauge.RolloutRunning, "v2", 4},
		{"completes", step(4, wheelgauge.RolloutCompleted, true), true, wheelgauge.RolloutCompleted, "v2", 4},
		{"is there already", Command{Op: OpRollout, Rollout: order("s", "v2"), Again: true}, false, wheelgauge.RolloutCompleted, "v2", 4},
		{"a later one", Command{Op: OpRollout, Rollout: order("s", "v3")}, true, wheelgauge.RolloutRunning, "v3", 6},
	}
	for _, tt := range tests {
		res := applied(t, m, tt.command)
		r := res.Rollout
		if res.Taken != tt.taken || r.State != tt.state || r.Version != tt.version || r.Number != tt.number {
			t.Errorf("%s: taken %t, %+v", tt.name, res.Taken, r)
		}
	}
	if r := applied(t, m, Command{Op: OpRolloutAge}); r.Taken {
		t.Error("a command without a rollout was taken")
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again := New()
	if err := again.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if got := again.State().Rollouts; len(got) != 1 || got[0].Version != "v3" {
		t.Errorf("a snapshot holds %+v", got)
	}
}

// States that were handed out do not change.
func TestRolloutsAreCopied(t *testing.T) {
	m := New()
	applied(t, m, Command{Op: OpRollout, Rollout: order("s", "v2")})
	before := m.State().Rollouts
	aged := order("s", "v2")
	aged.Number, aged.ElapsedMS = 1, 700
	applied(t, m, Command{Op: OpRolloutAge, Rollout: aged})
	if before[0].ElapsedMS != 0 || m.State().Rollouts[0].ElapsedMS != 700 {
		t.Errorf("before %+v, now %+v", before[0], m.State().Rollouts[0])
	}
}
