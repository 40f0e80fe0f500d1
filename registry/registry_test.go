package registry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"wheelgauge"
)

func apply(t *testing.T, r *Registry, c wheelgauge.Change) wheelgauge.ChangeResult {
	t.Helper()
	command, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var out wheelgauge.ChangeResult
	if err := json.Unmarshal(r.Apply(0, command), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func put(kind wheelgauge.Kind, name, spec string) wheelgauge.Change {
	return wheelgauge.Change{Op: wheelgauge.OpPut, Kind: kind, Name: name, Spec: json.RawMessage(spec), Operator: "operator-a"}
}

func expecting(c wheelgauge.Change, generation uint64) wheelgauge.Change {
	c.ExpectedGeneration = &generation
	return c
}

func withRegions(t *testing.T) *Registry {
	t.Helper()
	r := New()
	for _, region := range []string{"karachi", "lahore", "peshawar"} {
		apply(t, r, put(wheelgauge.KindRegion, region, `{"price":1}`))
	}
	return r
}

func reason(result wheelgauge.ChangeResult) wheelgauge.Reason {
	if result.Error == nil {
		return ""
	}
	return result.Error.Reason()
}

func TestChanges(t *testing.T) {
	tests := []struct {
		name   string
		change wheelgauge.Change
		reason wheelgauge.Reason
		detail string
	}{
		{"new", expecting(put(wheelgauge.KindHall, "h", `{"region":"karachi"}`), 0), "", ""},
		{"unknown kind", put("Planet", "p", `{}`), wheelgauge.ReasonInvalid, "kind"},
		{"unknown field", put(wheelgauge.KindHall, "h", `{"region":"karachi","colour":1}`), wheelgauge.ReasonInvalid, "colour"},
		{"missing reference", put(wheelgauge.KindHall, "h", `{"region":"quetta"}`), wheelgauge.ReasonInvalid, "region"},
		{"bad name", put(wheelgauge.KindHall, "a/b", `{"region":"karachi"}`), wheelgauge.ReasonInvalid, "name"},
		{"bad value", put(wheelgauge.KindClientClass, "c", `{"priority":12}`), wheelgauge.ReasonInvalid, "priority"},
		{"both model and path", put(wheelgauge.KindRoute, "r", `{"model":"m","path":"p","pool":"x"}`), wheelgauge.ReasonInvalid, "model"},
		{"exists already", expecting(put(wheelgauge.KindRegion, "karachi", `{"price":2}`), 0), wheelgauge.ReasonConflict, "operator-a"},
		{"right generation", expecting(put(wheelgauge.KindRegion, "karachi", `{"price":2}`), 1), "", ""},
		{"any generation", put(wheelgauge.KindRegion, "karachi", `{"price":2}`), "", ""},
		{"delete what is not there", wheelgauge.Change{Op: wheelgauge.OpDelete, Kind: wheelgauge.KindHall, Name: "h"}, wheelgauge.ReasonNotFound, ""},
		{"unknown operation", wheelgauge.Change{Op: "paint"}, wheelgauge.ReasonInvalid, "paint"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := withRegions(t)
			got := apply(t, r, tt.change)
			if reason(got) != tt.reason {
				t.Fatalf("got error %+v, want the reason of the table", got.Error)
			}
			if tt.reason != "" && !strings.Contains(got.Error.Detail(), tt.detail) {
				t.Fatalf("expected an error that contains %q, got %v", tt.detail, got.Error)
			}
		})
	}
}

// A change that is sent again gets its first result, also after a restore from a snapshot.
func TestResendReturnsFirstResult(t *testing.T) {
	r := withRegions(t)
	first := expecting(put(wheelgauge.KindHall, "h", `{"region":"karachi"}`), 0)
	first.ID = "change-1"
	loser := expecting(put(wheelgauge.KindHall, "h", `{"region":"lahore"}`), 0)
	loser.ID = "change-2"
	a, b := apply(t, r, first), apply(t, r, loser)
	if a.Error != nil || reason(b) != wheelgauge.ReasonConflict {
		t.Fatalf("got %+v and %+v, want success and a conflict", a, b)
	}
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for i, reg := range []*Registry{r, restored} {
		if again := apply(t, reg, first); again.Generation != a.Generation || again.Error != nil {
			t.Errorf("registry %d: resend got %+v, want the first result %+v", i, again, a)
		}
		if again := apply(t, reg, loser); reason(again) != wheelgauge.ReasonConflict {
			t.Errorf("registry %d: resend of the losing change got %+v, want a conflict", i, again)
		}
		if reg.Generation() != a.Generation {
			t.Errorf("registry %d: a resend changed the generation", i)
		}
	}
}

// A residency rule that forbids a region that was allowed stays pending until it is accepted.
func TestPendingResidencyRules(t *testing.T) {
	const wide, narrow, other = `{"client":"c","regions":["karachi","lahore"]}`, `{"client":"c","regions":["karachi"]}`, `{"client":"c","regions":["karachi","peshawar"]}`
	tests := []struct {
		name    string
		old     string
		next    string
		pending bool
	}{
		{"first rule", "", wide, true},
		{"narrower", wide, narrow, true},
		{"wider", narrow, wide, false},
		{"partly other", wide, other, true},
		{"the same", wide, wide, false},
		{"another client", wide, `{"client":"d","regions":["karachi","lahore"]}`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := withRegions(t)
			if tt.old != "" {
				result := apply(t, r, put(wheelgauge.KindResidencyRule, "r", tt.old))
				accept(t, r, result.Generation)
			}
			got := apply(t, r, put(wheelgauge.KindResidencyRule, "r", tt.next))
			if got.Error != nil || got.Pending != tt.pending {
				t.Fatalf("got result %+v, want no error and pending as in the table", got)
			}
			res, _ := r.Get(wheelgauge.KindResidencyRule, "r")
			if (len(res.Pending) > 0) != tt.pending {
				t.Fatalf("got resource %+v, want a pending spec as in the table", res)
			}
			if !tt.pending {
				return
			}
			if early := apply(t, r, acceptance(got.Generation-1)); reason(early) != wheelgauge.ReasonConflict {
				t.Fatalf("expected a conflict at another generation, got %+v", early)
			}
			accept(t, r, got.Generation)
			if res, _ := r.Get(wheelgauge.KindResidencyRule, "r"); string(res.Spec) != tt.next || len(res.Pending) > 0 {
				t.Fatalf("after acceptance got %+v, want the new spec and none pending", res)
			}
		})
	}
}

func acceptance(generation uint64) wheelgauge.Change {
	return wheelgauge.Change{Op: wheelgauge.OpAccept, Kind: wheelgauge.KindResidencyRule, Name: "r", ExpectedGeneration: &generation}
}

func accept(t *testing.T, r *Registry, generation uint64) {
	t.Helper()
	if got := apply(t, r, acceptance(generation)); got.Error != nil {
		t.Fatal(got.Error)
	}
}

func TestDeleteInUse(t *testing.T) {
	r := withRegions(t)
	apply(t, r, put(wheelgauge.KindHall, "h", `{"region":"karachi"}`))
	got := apply(t, r, wheelgauge.Change{Op: wheelgauge.OpDelete, Kind: wheelgauge.KindRegion, Name: "karachi"})
	if reason(got) != wheelgauge.ReasonInvalid || !strings.Contains(got.Error.Detail(), "Hall h") {
		t.Fatalf("got error %+v, want that Hall h uses the region", got.Error)
	}
}

func TestSince(t *testing.T) {
	r := New()
	for i := range maxEvents + 10 {
		apply(t, r, put(wheelgauge.KindRegion, "karachi", fmt.Sprintf(`{"price":%d}`, i+1)))
	}
	last := r.Generation()
	tests := []struct {
		from   uint64
		events int
		ok     bool
	}{
		{last, 0, true},
		{last + 5, 0, true},
		{last - 3, 3, true},
		{last - maxEvents, maxEvents, true},
		{last - maxEvents - 1, 0, false},
		{0, 0, false},
	}
	for _, tt := range tests {
		response, _, ok := r.Since(tt.from)
		if ok != tt.ok || len(response.Events) != tt.events {
			t.Errorf("from %d: got %d events, ok %t", tt.from, len(response.Events), ok)
		}
	}
}

func TestChangeWakesWatch(t *testing.T) {
	r := New()
	_, changed, _ := r.Since(0)
	apply(t, r, put(wheelgauge.KindRegion, "karachi", `{"price":1}`))
	<-changed
	if response, _, ok := r.Since(0); !ok || len(response.Events) != 1 {
		t.Fatalf("got %+v, want one event", response)
	}
}
