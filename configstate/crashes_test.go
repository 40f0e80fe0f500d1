package configstate

import (
	"slices"
	"testing"

	"wheelgauge"
)

func TestCrashes(t *testing.T) {
	a, b := wheelgauge.Crash{Fingerprint: "p", Server: "a"}, wheelgauge.Crash{Fingerprint: "p", Server: "b"}
	cleared := a
	cleared.Cleared = true
	steps := []struct {
		name    string
		command Command
		applied bool
		want    []wheelgauge.Crash
	}{
		{"first", Command{Op: OpCrashes, Crashes: []wheelgauge.Crash{a}}, true, []wheelgauge.Crash{a}},
		{"again, by another store", Command{Op: OpCrashes, Crashes: []wheelgauge.Crash{a}}, false, []wheelgauge.Crash{a}},
		{"one more", Command{Op: OpCrashes, Crashes: []wheelgauge.Crash{a, b}}, true, []wheelgauge.Crash{a, b}},
		{"cleared", Command{Op: OpCrashes, Crashes: []wheelgauge.Crash{cleared}}, true, []wheelgauge.Crash{cleared, b}},
		{"another is forgotten", Command{Op: OpForget, Requests: []wheelgauge.Fingerprint{"q"}}, false, []wheelgauge.Crash{cleared, b}},
		{"forgotten", Command{Op: OpForget, Requests: []wheelgauge.Fingerprint{"p"}}, true, nil},
		{"and back", Command{Op: OpCrashes, Crashes: []wheelgauge.Crash{b}}, true, []wheelgauge.Crash{b}},
	}
	m := New()
	apply(t, m, Command{Op: OpPut, Version: 4, Body: []byte(`{}`)})
	before := m.State().Generation
	for _, s := range steps {
		if r := apply(t, m, s.command); r.Applied != s.applied || !slices.Equal(m.State().Crashes, s.want) {
			t.Errorf("%s: got result %+v, crashes %v", s.name, r, m.State().Crashes)
		}
	}
	if m.State().Generation != before {
		t.Error("the generation changed: hosts would fetch the state again")
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := New()
	if err := other.Restore(snapshot); err != nil || !slices.Equal(other.State().Crashes, []wheelgauge.Crash{b}) {
		t.Errorf("got restored crashes %v, error %v", other.State().Crashes, err)
	}
}
