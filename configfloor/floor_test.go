package configfloor

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"wheelgauge"
	"wheelgauge/routetable"
)

func tableOf(version uint64) *routetable.Table {
	return routetable.New(&wheelgauge.RouteSet{Version: version})
}

func TestFloor(t *testing.T) {
	a, b := wheelgauge.LookupRequest{HostName: "a"}, wheelgauge.LookupRequest{HostName: "b"}
	type step struct {
		do func(f *Floor)
		// version and store are those of the floor afterwards, a and b the versions of the parts kept.
		version uint64
		store   string
		a, b    uint64
	}
	hold := func(version uint64) func(f *Floor) { return func(f *Floor) { f.Hold(version) } }
	add := func(r wheelgauge.LookupRequest, version uint64, store string) func(f *Floor) {
		return func(f *Floor) { f.Add(r, tableOf(version), store) }
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"versions that are held", []step{{hold(3), 3, "", 0, 0}, {hold(2), 3, "", 0, 0}, {hold(4), 4, "", 0, 0}}},
		{"a version that a store tells", []step{{hold(3), 3, "", 0, 0}, {add(a, 5, "x"), 5, "x", 5, 0}, {add(b, 5, "y"), 5, "x", 5, 5}}},
		{"an older one after it", []step{{add(a, 5, "x"), 5, "x", 5, 0}, {add(b, 4, "y"), 5, "x", 5, 0}, {add(a, 3, "y"), 5, "x", 5, 0}}},
		{"a newer one after it", []step{{add(a, 5, "x"), 5, "x", 5, 0}, {add(b, 6, "y"), 6, "y", 0, 6}}},
		{"one between is held", []step{{add(a, 5, "x"), 5, "x", 5, 0}, {hold(4), 5, "x", 5, 0}}},
		{"it is held", []step{{add(a, 5, "x"), 5, "x", 5, 0}, {hold(5), 5, "", 0, 0}}},
	}
	for _, tt := range tests {
		f := New()
		for n, s := range tt.steps {
			s.do(f)
			got := map[string]uint64{}
			for name, r := range map[string]wheelgauge.LookupRequest{"a": a, "b": b} {
				if part := f.Part(r, 0); part != nil {
					got[name] = part.Version()
				}
			}
			if f.Version() != s.version || f.Store() != s.store || got["a"] != s.a || got["b"] != s.b {
				t.Errorf("%s, step %d: got version %d of %q, parts %v, want %d of %q, a:%d b:%d", tt.name, n+1, f.Version(), f.Store(), got, s.version, s.store, s.a, s.b)
			}
		}
	}
}

func TestPartThatIsTooOld(t *testing.T) {
	f, r := New(), wheelgauge.LookupRequest{HostName: "a", Version: 3}
	f.Add(r, tableOf(5), "x")
	if f.Part(r, 6) != nil {
		t.Error("got a part of version 5 where 6 is needed")
	}
	r.Version = 4
	if f.Part(r, 5) == nil {
		t.Error("the part depends on the version that was asked for")
	}
	for n := range 2 * maxParts {
		f.Add(wheelgauge.LookupRequest{HostName: fmt.Sprint(n)}, tableOf(5), "x")
	}
	if len(f.parts) > maxParts {
		t.Errorf("%d parts are kept, want %d at most", len(f.parts), maxParts)
	}
}

// Whatever happens at once, no reader sees the floor fall, nor a part below it.
func TestFloorNeverFalls(t *testing.T) {
	f, r := New(), wheelgauge.LookupRequest{HostName: "a"}
	var group sync.WaitGroup
	for seed := range uint64(4) {
		group.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, 1))
			for range 2000 {
				if version := 1 + rnd.Uint64N(500); rnd.IntN(2) == 0 {
					f.Hold(version)
				} else {
					f.Add(r, tableOf(version), "x")
				}
			}
		})
		group.Go(func() {
			last := uint64(0)
			for range 5000 {
				before := f.Version()
				if part := f.Part(r, 0); before < last || part != nil && part.Version() < before {
					t.Errorf("the floor is %d after %d, or its part is older", before, last)
				}
				last = before
			}
		})
	}
	group.Wait()
}
