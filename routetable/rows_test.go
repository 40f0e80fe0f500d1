package routetable

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"wheelgauge"
)

// randomSet returns a configuration of some of 40 routes, in which about one in four parts differs
// from that of another seed.
func randomSet(r *rand.Rand, version uint64) *wheelgauge.RouteSet {
	set := &wheelgauge.RouteSet{Version: version, Limits: wheelgauge.CallerLimits{MaxBodyBytes: 1000 + r.IntN(2)}, Services: []wheelgauge.Service{{Name: "a", MaxConns: 1 + r.IntN(3)}, {Name: "b"}}}
	for i := range 40 {
		if r.IntN(4) == 0 {
			continue
		}
		set.Routes = append(set.Routes, wheelgauge.PathRoute{
			Name: fmt.Sprint("r", i), Host: fmt.Sprintf("Host-%d.example", i%5), Prefix: fmt.Sprintf("/%d/", i), Kind: wheelgauge.RouteOnce, Timeout: time.Second,
			Priority: r.IntN(5), AllowAnonymous: r.IntN(10) == 0, Shares: []wheelgauge.TrafficShare{{Service: []string{"a", "b"}[r.IntN(2)], Weight: 1}},
		})
	}
	for i := range r.IntN(4) {
		set.Workspaces = append(set.Workspaces, wheelgauge.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprint("k", i, r.IntN(2))}, Priority: r.IntN(3)})
	}
	return set
}

// changedRows returns the rows that lead from one configuration to another.
func changedRows(t *testing.T, from, to *wheelgauge.RouteSet) []wheelgauge.TableRow {
	t.Helper()
	before, err := Rows(from)
	if err != nil {
		t.Fatal(err)
	}
	after, err := Rows(to)
	if err != nil {
		t.Fatal(err)
	}
	var out []wheelgauge.TableRow
	same := func(a wheelgauge.TableRow) func(b wheelgauge.TableRow) bool {
		return func(b wheelgauge.TableRow) bool { return a.Key == b.Key && string(a.Value) == string(b.Value) }
	}
	for _, row := range after {
		if !slices.ContainsFunc(before, same(row)) {
			out = append(out, row)
		}
	}
	for _, row := range before {
		if !slices.ContainsFunc(after, func(b wheelgauge.TableRow) bool { return b.Key == row.Key }) {
			out = append(out, wheelgauge.TableRow{Key: row.Key})
		}
	}
	return out
}

// A table made by changes obeys the same configuration as one made of it as a whole, and the table
// that was changed goes on obeying its own.
func TestTableOfChangedRows(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 2))
		from := &wheelgauge.RouteSet{}
		table := New(from)
		for version := range uint64(8) {
			to := randomSet(r, version+1)
			before, was := table, New(from)
			next, err := table.With(to.Version, changedRows(t, from, to))
			if err != nil {
				t.Fatal(err)
			}
			assertSame(t, fmt.Sprintf("seed %d, version %d", seed, to.Version), next, New(to), to)
			assertSame(t, fmt.Sprintf("seed %d, before version %d", seed, to.Version), before, was, from)
			from, table = to, next
		}
	}
}

// assertSame compares what two tables answer to all requests that a configuration knows.
func assertSame(t *testing.T, name string, got, want *Table, set *wheelgauge.RouteSet) {
	t.Helper()
	if got.Version() != want.Version() || got.Limits() != want.Limits() || got.KeysRequired() != want.KeysRequired() || len(got.Workspaces()) != len(want.Workspaces()) {
		t.Fatalf("%s: got version %d with limits %+v and %d workspaces, want %d, %+v, %d", name, got.Version(), got.Limits(), len(got.Workspaces()), want.Version(), want.Limits(), len(want.Workspaces()))
	}
	for i := range 40 {
		host, path := fmt.Sprintf("host-%d.example", i%5), fmt.Sprintf("/%d/x", i)
		a, b := got.Match(host, path), want.Match(host, path)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("%s: %s%s has route %+v, want %+v", name, host, path, a, b)
		}
		if a == nil {
			continue
		}
		for j := range set.Workspaces {
			key := []byte(set.Workspaces[j].Keys[0])
			if a, b := got.Rank(got.WorkspaceByKey(key), a), want.Rank(want.WorkspaceByKey(key), b); a != b {
				t.Fatalf("%s: got rank %d, want %d", name, a, b)
			}
		}
	}
	for _, service := range []string{"a", "b"} {
		if !reflect.DeepEqual(got.Service(service), want.Service(service)) {
			t.Fatalf("%s: service %s is %+v, want %+v", name, service, got.Service(service), want.Service(service))
		}
	}
}

// The part of a newer version rules the requests of its host name, and no others.
func TestPartOfAnotherVersion(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 5))
		old, newer := randomSet(r, 1), randomSet(r, 2)
		rows, err := Rows(New(newer).Part("HOST-3.example"))
		if err != nil {
			t.Fatal(err)
		}
		got, err := New(old).WithPart("host-3.example", 2, rows)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 40 {
			host, path := fmt.Sprintf("host-%d.example", i%5), fmt.Sprintf("/%d/x", i)
			want := New(old)
			if i%5 == 3 {
				want = New(newer)
			}
			if a, b := got.Match(host, path), want.Match(host, path); !reflect.DeepEqual(a, b) {
				t.Fatalf("seed %d: %s%s has route %+v, want %+v", seed, host, path, a, b)
			}
		}
	}
}

func TestRowsOfAnotherRelease(t *testing.T) {
	table := New(&wheelgauge.RouteSet{})
	for _, row := range []wheelgauge.TableRow{{Key: "unknown/x", Value: []byte(`{}`)}, {Key: "route/h", Value: []byte(`{}`)}, {Key: "route/h/", Value: []byte(`[]`)}} {
		if _, err := table.With(1, []wheelgauge.TableRow{row}); err == nil {
			t.Errorf("row %s with value %s is accepted", row.Key, row.Value)
		}
	}
}

// BenchmarkWith applies ten changed routes to a configuration.
func BenchmarkWith(b *testing.B) {
	for _, count := range []int{1000, 10_000, 40_000} {
		set := &wheelgauge.RouteSet{}
		for i := range count {
			set.Routes = append(set.Routes, wheelgauge.PathRoute{Host: fmt.Sprintf("h%d.example", i), Prefix: "/a/", Shares: []wheelgauge.TrafficShare{{Service: "s", Weight: 1}}})
		}
		table := New(set)
		rows, err := Rows(&wheelgauge.RouteSet{Routes: set.Routes[:10]})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(count, " routes"), func(b *testing.B) {
			for b.Loop() {
				if _, err := table.With(2, rows); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
