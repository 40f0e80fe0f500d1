package serverlist

import (
	"slices"
	"testing"
	"time"

	"wheelgauge"
)

func table() (*Table, *time.Time) {
	at := time.Unix(1000, 0)
	return New(func() time.Time { return at }), &at
}

func server(instance string, cold int64) wheelgauge.Server {
	return wheelgauge.Server{Instance: instance, Service: "s", Hall: "h", Slots: 4, ColdMS: cold}
}

func read(t *testing.T, tb *Table, region string, at time.Time, list ...wheelgauge.Server) {
	t.Helper()
	if err := tb.Read(region, list, at); err != nil {
		t.Fatal(err)
	}
}

func instances(tb *Table, region string) []string {
	var out []string
	for _, s := range tb.Servers(region) {
		out = append(out, s.Instance)
	}
	slices.Sort(out)
	return out
}

func TestChangeDetection(t *testing.T) {
	tests := []struct {
		name    string
		second  []wheelgauge.Server
		changed bool
		cold    int
	}{
		{"a countdown that started again", []wheelgauge.Server{server("a", 0), server("b", 3000)}, true, 1},
		{"a countdown", []wheelgauge.Server{server("a", 0), server("b", 2000)}, false, 1},
		{"a countdown that is told a little late", []wheelgauge.Server{server("a", 0), server("b", 2100)}, false, 1},
		{"a countdown that ended", []wheelgauge.Server{server("a", 0), server("b", 0)}, true, 0},
		{"a server became cold", []wheelgauge.Server{server("a", 3000), server("b", 2000)}, true, 2},
		{"a server is missing", []wheelgauge.Server{server("a", 0)}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, at := table()
			read(t, tb, "north", *at, server("a", 0), server("b", 3000))
			first := tb.Changes("north").Digest()
			*at = at.Add(time.Second)
			read(t, tb, "north", *at, tt.second...)
			if changed := tb.Changes("north").Digest() != first; changed != tt.changed {
				t.Errorf("the list changed: %t, want %t", changed, tt.changed)
			}
			if len(tb.Cold()) != tt.cold || len(tb.Servers("north")) != len(tt.second) {
				t.Errorf("got servers %v, %d of them cold, want %v, %d", tb.Servers("north"), len(tb.Cold()), tt.second, tt.cold)
			}
			if age, ok := tb.Age("north"); age != 0 || !ok {
				t.Errorf("age is %s, want 0 of a known list", age)
			}
		})
	}
}

// transfer sends what differs from one table to another.
func transfer(t *testing.T, from, to *Table, region string) {
	t.Helper()
	c := from.Changes(region).Since(wheelgauge.HeldTable{Digest: to.Changes(region).Digest()}, 1<<20, true)
	if err := to.Receive(region, c.Rows); err != nil {
		t.Fatal(err)
	}
}

// A store follows the list that another one reads; unchanged, it is confirmed by its state alone.
func TestListIsFollowed(t *testing.T) {
	from, at := table()
	to := New(func() time.Time { return *at })
	if _, ok := from.Status("north"); ok {
		t.Error("a list that was never read is told")
	}
	steps := []struct {
		name    string
		do      func()
		current bool
	}{
		{"first", func() { read(t, from, "north", *at, server("a", 0)) }, false},
		{"read again", func() { read(t, from, "north", *at, server("a", 0)) }, true},
		{"another region's list changes", func() { read(t, from, "south", *at, server("s", 0)) }, true},
		{"changed", func() { read(t, from, "north", *at, server("a", 0), server("b", 0)) }, false},
		{"the other store restarts", func() { to = New(func() time.Time { return *at }) }, false},
	}
	for _, s := range steps {
		*at = at.Add(time.Second)
		s.do()
		status, ok := from.Status("north")
		if !ok {
			t.Fatalf("%s: no list is told", s.name)
		}
		if got := to.Confirm(status); got != s.current {
			t.Errorf("%s: the other store holds the list: %t, want %t", s.name, got, s.current)
		}
		if !s.current {
			transfer(t, from, to, "north")
			to.Fetched(status, *at)
		}
		if got, want := instances(to, "north"), instances(from, "north"); !slices.Equal(got, want) {
			t.Errorf("%s: the other store has servers %v, want %v", s.name, got, want)
		}
	}
	if _, ok := to.Own("north", time.Time{}); ok {
		t.Error("a list that another store has read is told on")
	}
	if _, ok := from.Own("north", *at); ok {
		t.Error("a list is told again that was not read since")
	}
	if age, _ := to.Age("north"); age != time.Second {
		t.Errorf("the age of the list at the other store is %s, want 1s", age)
	}
}

func TestOlderListIsIgnored(t *testing.T) {
	tb, at := table()
	read(t, tb, "north", *at, server("new", 0))
	if !tb.Confirm(wheelgauge.ListStatus{Region: "north", Digest: 7, AgeMS: 1000}) {
		t.Error("an older list is to be fetched")
	}
	if age, _ := tb.Age("north"); age != 0 {
		t.Errorf("the list counts as %s old, want 0", age)
	}
}

// The end of a cold period is the same at all stores, also when another store goes on reading the
// list: no row changes with the time or the reader.
func TestColdServerIsUnchangedWhenTheReaderChanges(t *testing.T) {
	first, at := table()
	second := New(func() time.Time { return *at })
	read(t, first, "north", *at, server("a", 60_000))
	*at = at.Add(10 * time.Second)
	read(t, first, "north", *at, server("a", 50_000))
	status, _ := first.Status("north")
	transfer(t, first, second, "north")
	second.Fetched(status, *at)
	before := second.Changes("north").Digest()
	for left := int64(48_000); left > 40_000; left -= 2000 {
		*at = at.Add(2 * time.Second)
		read(t, second, "north", *at, server("a", left))
	}
	if second.Changes("north").Digest() != before {
		t.Error("the list changed at the second reader, want the same end of the cold period")
	}
	status, _ = second.Status("north")
	if left := second.Servers("north")[0].ColdUntilMS - status.ClockMS; left != 42_000 {
		t.Errorf("the server is cold for %d ms more, want 42000", left)
	}
	*at = at.Add(42 * time.Second)
	if len(second.Cold()) != 0 {
		t.Error("the server counts as cold after the end of its period")
	}
}

func TestSums(t *testing.T) {
	tb, at := table()
	leaving, started := server("b", 0), server("c", 0)
	leaving.Leaving = true
	started.StartUnixMS = 100
	earlier := started
	earlier.StartUnixMS, earlier.Slots = 50, 9
	read(t, tb, "north", *at, server("a", 0), server("b", 0), started, earlier)
	read(t, tb, "north", *at, server("a", 0), leaving, started)
	got := tb.Sums()
	want := map[Group]Sum{
		{Region: "north", Hall: "h", Service: "s"}:                {Servers: 2, Slots: 8},
		{Region: "north", Hall: "h", Service: "s", Leaving: true}: {Servers: 1, Slots: 4},
	}
	if len(got) != len(want) {
		t.Errorf("got sums %v, want %v", got, want)
	}
	for g, sum := range want {
		if got[g] != sum {
			t.Errorf("group %+v: got %+v, want %+v", g, got[g], sum)
		}
	}
	if s, ok := tb.Find("c@100"); !ok || s.Region != "north" {
		t.Errorf("server c@100 is not found: %+v", s)
	}
	if _, ok := tb.Find("c@50"); ok {
		t.Error("an earlier start of a server is found")
	}
}

// A list that a store reads from the start has a clock of its own, which others follow.
func TestClockOfAListIsIdentified(t *testing.T) {
	at := time.Unix(1000, 0)
	now := func() time.Time { return at }
	reader, other := New(now), New(now)
	cold := []wheelgauge.Server{{Instance: "i", Service: "s", ColdMS: 3000}}
	for _, tb := range []*Table{other, reader} {
		if err := tb.Read("north", cold, at); err != nil {
			t.Fatal(err)
		}
		at = at.Add(time.Second)
	}
	one, _ := reader.Status("north")
	two, _ := other.Status("north")
	if one.Clock == 0 || one.Clock == two.Clock {
		t.Fatalf("got clocks %d and %d, want two different ones", one.Clock, two.Clock)
	}
	if err := other.Receive("north", reader.Changes("north").Rows()); err != nil {
		t.Fatal(err)
	}
	if got := len(other.Cold()); got != 1 {
		t.Errorf("rows are received before the clock: %d cold servers, want 1", got)
	}
	other.Fetched(one, at)
	if got, _ := other.Status("north"); got.Clock != one.Clock {
		t.Errorf("got clock %d after the transfer, want that of the reader, %d", got.Clock, one.Clock)
	}
}
