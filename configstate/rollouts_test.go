package configstate

import (
	"encoding/json"
	"testing"

	"wheelgauge"
)

func applyCommand(t *testing.T, m *Machine, c Command) Result {
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
	return &wheelgauge.Rollout{RolloutRequest: wheelgauge.RolloutRequest{Service: service, Version: version, DurationMS: 1000}}
}

// A service has one rollout at a time, and late commands do not change one that has ended.
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
		applied bool
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
		{"ordered again", Command{Op: OpRollout, Rollout: order("s", "v2"), Retry: true}, true, wheelgauge.RolloutRunning, "v2", 4},
		{"completes", step(4, wheelgauge.RolloutCompleted, true), true, wheelgauge.RolloutCompleted, "v2", 4},
		{"is there already", Command{Op: OpRollout, Rollout: order("s", "v2"), Retry: true}, false, wheelgauge.RolloutCompleted, "v2", 4},
		{"a later one", Command{Op: OpRollout, Rollout: order("s", "v3")}, true, wheelgauge.RolloutRunning, "v3", 6},
	}
	for _, tt := range tests {
		res := applyCommand(t, m, tt.command)
		r := res.Rollout
		if res.Applied != tt.applied || r.State != tt.state || r.Version != tt.version || r.Number != tt.number {
			t.Errorf("%s: got applied %t, rollout %+v", tt.name, res.Applied, r)
		}
	}
	if r := applyCommand(t, m, Command{Op: OpRolloutAge}); r.Applied {
		t.Error("a command without a rollout was applied")
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if got := restored.State().Rollouts; len(got) != 1 || got[0].Version != "v3" {
		t.Errorf("got restored rollouts %+v, want only that to v3", got)
	}
}

// A state returned earlier must not change with later commands.
func TestReturnedStateIsImmutable(t *testing.T) {
	m := New()
	applyCommand(t, m, Command{Op: OpRollout, Rollout: order("s", "v2")})
	before := m.State().Rollouts
	aged := order("s", "v2")
	aged.Number, aged.ElapsedMS = 1, 700
	applyCommand(t, m, Command{Op: OpRolloutAge, Rollout: aged})
	if before[0].ElapsedMS != 0 || m.State().Rollouts[0].ElapsedMS != 700 {
		t.Errorf("got %+v in the earlier state and %+v now, want 0 and 700 ms elapsed", before[0], m.State().Rollouts[0])
	}
}

// A start of a rollout that comes after a later one was acknowledged starts nothing.
func TestLateRolloutStartsNothing(t *testing.T) {
	m := New()
	start := func(index uint64, version string, since uint64, retry bool) Result {
		data, err := json.Marshal(Command{Op: OpRollout, Rollout: order("s", version), Since: since, Retry: retry})
		if err != nil {
			t.Fatal(err)
		}
		var r Result
		if err := json.Unmarshal(m.Apply(index, data), &r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := start(2, "v2", 1, false); !r.Applied {
		t.Fatalf("got %+v, want a start", r)
	}
	end := order("s", "v2")
	end.Number, end.State = m.State().Rollouts[0].Number, wheelgauge.RolloutRolledBack
	applyCommand(t, m, Command{Op: OpRolloutStep, Rollout: end})
	if r := start(4, "v2", 1, true); r.Applied || r.Overtaken || r.Rollout.Running() {
		t.Errorf("late copy after its rollout has ended: got %+v, want no start", r)
	}
	if r := start(5, "v3", 1, false); r.Applied || !r.Overtaken {
		t.Errorf("late start of another version: got %+v, want it overtaken", r)
	}
	if r := start(6, "v2", 5, true); !r.Applied || !r.Rollout.Running() {
		t.Errorf("later start: got %+v, want a start", r)
	}
}
