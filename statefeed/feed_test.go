package statefeed

import (
	"bytes"
	"fmt"
	"testing"

	"wheelgauge"
)

func ExampleFeed_Part() {
	f := New(func() wheelgauge.FleetState {
		return wheelgauge.FleetState{Generation: 3, Version: 9, Body: bytes.Repeat([]byte("route "), 1000)}
	})
	p, err := f.Part(wheelgauge.StateRequest{Generation: 2, Version: 8, Most: 16})
	fmt.Println(p.Version, p.Offset, len(p.Data), p.Packed.Size > 16, err)
	p, err = f.Part(wheelgauge.StateRequest{Generation: 2, Version: 8, Packed: p.Packed, Offset: 16, Most: 16})
	fmt.Println(p.Version, p.Offset, len(p.Data), err)
	// Output:
	// 9 0 16 true <nil>
	// 9 16 16 <nil>
}

// What a host asks for is never trusted to lie within a body.
func TestPartBounds(t *testing.T) {
	state := wheelgauge.FleetState{Generation: 3, Version: 9, Body: []byte("{}")}
	f := New(func() wheelgauge.FleetState { return state })
	whole, err := f.Part(wheelgauge.StateRequest{Most: 1 << 30})
	if err != nil || len(whole.Data) != whole.Packed.Size {
		t.Fatalf("%d of %d bytes, %v", len(whole.Data), whole.Packed.Size, err)
	}
	tests := []struct {
		name   string
		offset int
		most   int
		want   int
	}{
		{"before the beginning", -5, whole.Packed.Size, whole.Packed.Size},
		{"behind the end", 1 << 30, 10, 0},
		{"nothing", 0, 0, 1},
		{"less than nothing", 0, -3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := f.Part(wheelgauge.StateRequest{Packed: whole.Packed, Offset: tt.offset, Most: tt.most})
			if err != nil || len(p.Data) != tt.want {
				t.Errorf("%d bytes, %v, want %d", len(p.Data), err, tt.want)
			}
		})
	}
}

// A body that is fetched while newer ones come stays for some changes, with the
// state that it belongs to.
func TestPartOfAnOlderBody(t *testing.T) {
	state := wheelgauge.FleetState{Generation: 1, Version: 1, Body: []byte("one")}
	f := New(func() wheelgauge.FleetState { return state })
	first, err := f.Part(wheelgauge.StateRequest{Most: 4})
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(2); n <= keptBodies+1; n++ {
		p, err := f.Part(wheelgauge.StateRequest{Packed: first.Packed, Offset: 4, Most: 4})
		if err != nil || p.Packed != first.Packed || p.Generation != 1 || p.Offset != 4 {
			t.Errorf("before version %d: version %d, generation %d, offset %d, %v", n, p.Version, p.Generation, p.Offset, err)
		}
		state = wheelgauge.FleetState{Generation: n, Version: n, Body: []byte(fmt.Sprint(n))}
	}
	p, err := f.Part(wheelgauge.StateRequest{Packed: first.Packed, Offset: 4, Most: 4})
	if err != nil || p.Version != keptBodies+1 || p.Offset != 0 {
		t.Errorf("version %d from %d, %v, want the newest from its beginning", p.Version, p.Offset, err)
	}
}
