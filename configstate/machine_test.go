package configstate

import (
	"encoding/json"
	"testing"
)

func apply(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var r Result
	if err := json.Unmarshal(m.Apply(1, data), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestChanges(t *testing.T) {
	steps := []struct {
		name       string
		command    Command
		applied    bool
		version    uint64
		generation uint64
	}{
		{"first", Command{Op: OpPut, Version: 4, Body: []byte(`{"a":1}`)}, true, 4, 1},
		{"again", Command{Op: OpPut, Version: 4, Body: []byte(`{"a":1}`)}, false, 4, 1},
		{"same version, other content", Command{Op: OpPut, Version: 4, Body: []byte(`{"a":2}`)}, false, 4, 1},
		{"older", Command{Op: OpPut, Version: 3, Body: []byte(`{"a":3}`)}, false, 4, 1},
		{"newer", Command{Op: OpPut, Version: 9, Body: []byte(`{"a":4}`)}, true, 9, 2},
		{"drain", Command{Op: OpDrain, Hall: "h"}, true, 9, 3},
		{"drain again", Command{Op: OpDrain, Hall: "h"}, false, 9, 3},
		{"resume", Command{Op: OpResume, Hall: "h"}, true, 9, 4},
		{"resume again", Command{Op: OpResume, Hall: "h"}, false, 9, 4},
		{"unknown", Command{Op: "what"}, false, 9, 4},
	}
	m := New()
	for _, s := range steps {
		r := apply(t, m, s.command)
		if r.Applied != s.applied || r.Version != s.version || m.State().Generation != s.generation {
			t.Errorf("%s: got %+v at generation %d", s.name, r, m.State().Generation)
		}
	}
	if got := string(m.State().Body); got != `{"a":4}` {
		t.Errorf("got body %s, want that of version 9", got)
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := New()
	if err := other.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if other.State().Version != 9 || other.State().Generation != 4 {
		t.Errorf("got restored state %+v, want version 9 at generation 4", other.State())
	}
}

// An order counts as the last one of its hall also if it changes nothing, and across snapshots.
func TestOrdersSince(t *testing.T) {
	steps := []struct {
		name      string
		index     uint64
		command   Command
		applied   bool
		overtaken bool
		drained   bool
	}{
		{"drain", 5, Command{Op: OpDrain, Hall: "h", Since: 4}, true, false, true},
		{"drain again", 6, Command{Op: OpDrain, Hall: "h", Since: 5}, false, false, true},
		{"a late resume", 7, Command{Op: OpResume, Hall: "h", Since: 5}, false, true, true},
		{"a late copy", 8, Command{Op: OpDrain, Hall: "h", Since: 4}, false, false, true},
		{"another hall", 9, Command{Op: OpDrain, Hall: "i", Since: 4}, true, false, true},
		{"resume", 10, Command{Op: OpResume, Hall: "h", Since: 9}, true, false, false},
		{"a late drain", 11, Command{Op: OpDrain, Hall: "h", Since: 9}, false, true, false},
		{"a store of an earlier release", 12, Command{Op: OpDrain, Hall: "h"}, true, false, true},
	}
	m := New()
	for _, s := range steps {
		data, err := json.Marshal(s.command)
		if err != nil {
			t.Fatal(err)
		}
		var r Result
		if err := json.Unmarshal(m.Apply(s.index, data), &r); err != nil {
			t.Fatal(err)
		}
		if drained := m.drained("h"); r.Applied != s.applied || r.Overtaken != s.overtaken || drained != s.drained {
			t.Errorf("%s: got %+v, drained %v, want applied %v, overtaken %v, drained %v", s.name, r, drained, s.applied, s.overtaken, s.drained)
		}
		snapshot, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		m = New()
		if err := m.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	}
}
