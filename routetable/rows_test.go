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
		got := withPart(t, old, newer, wheelgauge.LookupRequest{HostName: "HOST-3.example:8080"})
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

// withPart returns the table of a configuration with a part of a newer one.
func withPart(t *testing.T, old, newer *wheelgauge.RouteSet, r wheelgauge.LookupRequest) *Table {
	t.Helper()
	set, workspaces := New(newer).Part(r)
	rows, err := Rows(set)
	if err != nil {
		t.Fatal(err)
	}
	out, err := New(old).WithPart(r, wheelgauge.LookupResponse{Version: newer.Version, Rows: rows, Workspaces: &workspaces})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// A key and a workspace are known as in the newer version if they were asked for.
func TestKeyInPartOfAnotherVersion(t *testing.T) {
	workspaces := func(version uint64, list ...wheelgauge.Workspace) *wheelgauge.RouteSet {
		return &wheelgauge.RouteSet{Version: version, Workspaces: list}
	}
	a, b := wheelgauge.Workspace{Name: "a", Keys: []string{"k", "l"}}, wheelgauge.Workspace{Name: "b", Keys: []string{"m"}}
	tests := []struct {
		name       string
		old, newer *wheelgauge.RouteSet
		key, named string
		want       string
		required   bool
	}{
		{"a key that is the same", workspaces(1, a, b), workspaces(2, a, b), "k", "", "a", true},
		{"a key that is dropped", workspaces(1, a, b), workspaces(2, b), "k", "", "", true},
		{"a key that is added", workspaces(1, b), workspaces(2, a, b), "k", "", "a", true},
		{"a key that goes to another workspace", workspaces(1, a, b), workspaces(2, wheelgauge.Workspace{Name: "b", Keys: []string{"k"}}), "k", "", "b", true},
		{"a workspace that is dropped", workspaces(1, a, b), workspaces(2, b), "", "a", "", true},
		{"a workspace that is added", workspaces(1, b), workspaces(2, a, b), "", "a", "a", true},
		{"the first workspace", workspaces(1), workspaces(2, a), "x", "", "", true},
		{"no workspaces any more", workspaces(1, a), workspaces(2), "k", "", "", false},
	}
	for _, tt := range tests {
		got := withPart(t, tt.old, tt.newer, wheelgauge.LookupRequest{HostName: "h", Key: tt.key, Workspace: tt.named})
		w := got.Workspace(tt.named)
		if tt.key != "" {
			w = got.WorkspaceByKey([]byte(tt.key))
		}
		name := ""
		if w != nil {
			name = w.Name
		}
		if name != tt.want || got.KeysRequired() != tt.required {
			t.Errorf("%s: got workspace %q, keys required: %v, want %q, %v", tt.name, name, got.KeysRequired(), tt.want, tt.required)
		}
	}
}

// Different ways to handle a request have different digests.
func TestDigest(t *testing.T) {
	share := func(service string, weight int) wheelgauge.TrafficShare {
		return wheelgauge.TrafficShare{Service: service, Weight: weight}
	}
	route := func(homes []string, shares ...wheelgauge.TrafficShare) *wheelgauge.PathRoute {
		return &wheelgauge.PathRoute{Prefix: "/p/", Kind: wheelgauge.RouteRepeatable, Shares: shares, HomeRegions: homes, MaxAttempts: 2}
	}
	longer := route(nil, share("a", 1))
	longer.Prefix = "/p/q/"
	once := route(nil, share("a", 1))
	once.Kind = wheelgauge.RouteOnce
	cases := []struct {
		route     *wheelgauge.PathRoute
		workspace *wheelgauge.Workspace
	}{
		{nil, nil},
		{route(nil, share("a", 1)), nil},
		{route(nil, share("b", 1)), nil},
		{route(nil, share("a", 1), share("b", 1)), nil},
		{route(nil, share("a", 1), share("b", 2)), nil},
		{route([]string{"north"}, share("a", 1)), nil},
		{route([]string{"north", "south"}, share("a", 1)), nil},
		{longer, nil},
		{once, nil},
		{route(nil, share("a", 1)), &wheelgauge.Workspace{Name: "w"}},
		{route(nil, share("a", 1)), &wheelgauge.Workspace{Name: "w", HomeRegions: []string{"north"}}},
	}
	seen := map[uint64]int{}
	for n, c := range cases {
		d := Digest(c.route, c.workspace)
		if first, ok := seen[d]; ok {
			t.Errorf("cases %d and %d have the same digest", first, n)
		}
		seen[d] = n
	}
	if Digest(nil, nil) != 0 || Digest(cases[1].route, nil) != Digest(route(nil, share("a", 1)), nil) {
		t.Error("no route has a digest other than 0, or equal routes have different ones")
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
