package routetable

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"wheelgauge"
)

const testKey = "s3cret-key"

func withWorkspaces(list ...wheelgauge.Workspace) *wheelgauge.RouteSet {
	return &wheelgauge.RouteSet{
		Version: 1, Workspaces: list, Services: []wheelgauge.Service{{Name: "s"}},
		Routes: []wheelgauge.PathRoute{
			{Name: "a", Host: "h", Prefix: "/a/", Kind: wheelgauge.RouteOnce, Timeout: 1, Priority: 0, Shares: []wheelgauge.TrafficShare{{Service: "s", Weight: 1}}},
			{Name: "b", Host: "h", Prefix: "/b/", Kind: wheelgauge.RouteOnce, Timeout: 1, Priority: 2, Shares: []wheelgauge.TrafficShare{{Service: "s", Weight: 1}}},
		},
	}
}

func TestCheckWorkspaces(t *testing.T) {
	tests := []struct {
		name string
		list []wheelgauge.Workspace
		says string
	}{
		{"two with one key", []wheelgauge.Workspace{{Name: "a", Keys: []string{testKey}}, {Name: "b", Keys: []string{"k", testKey}}}, "workspace b: key 1"},
		{"the same name twice", []wheelgauge.Workspace{{Name: "a"}, {Name: "a"}}, "stands twice"},
		{"no name", []wheelgauge.Workspace{{Keys: []string{testKey}}}, "a name is missing"},
		{"an empty key", []wheelgauge.Workspace{{Name: "a", Keys: []string{testKey, ""}}}, "key 1: is empty"},
		{"negative rate", []wheelgauge.Workspace{{Name: "a", Cap: wheelgauge.Cap{Rate: -1}}}, "rate"},
		{"negative burst", []wheelgauge.Workspace{{Name: "a", Cap: wheelgauge.Cap{Burst: -1}}}, "burst"},
		{"endless rate", []wheelgauge.Workspace{{Name: "a", Cap: wheelgauge.Cap{Rate: math.Inf(1)}}}, "rate"},
		{"negative plain tokens", []wheelgauge.Workspace{{Name: "a", Cap: wheelgauge.Cap{DefaultTokens: -1}}}, "plain tokens"},
		{"unknown unit", []wheelgauge.Workspace{{Name: "a", Cap: wheelgauge.Cap{Unit: "bytes"}}}, "unit"},
		{"negative priority", []wheelgauge.Workspace{{Name: "a", Priority: -1}}, "priority"},
		{"a key twice in one workspace", []wheelgauge.Workspace{{Name: "a", Keys: []string{testKey, testKey}}}, ""},
		{"without keys", []wheelgauge.Workspace{{Name: "a"}, {Name: "b"}}, ""},
	}
	for _, tt := range tests {
		err := Check(withWorkspaces(tt.list...))
		switch {
		case tt.says == "" && err != nil:
			t.Errorf("%s: got error %v, want none", tt.name, err)
		case tt.says != "" && (err == nil || !strings.Contains(err.Error(), tt.says)):
			t.Errorf("%s: got error %v, want one that contains %q", tt.name, err, tt.says)
		case err != nil && strings.Contains(err.Error(), testKey):
			t.Errorf("%s: the error contains a key: %v", tt.name, err)
		}
	}
}

func TestByKey(t *testing.T) {
	table := New(withWorkspaces(wheelgauge.Workspace{Name: "a", Keys: []string{"k1", "k2"}}, wheelgauge.Workspace{Name: "b"}))
	tests := []struct{ key, workspace string }{{"k1", "a"}, {"k2", "a"}, {"k3", ""}, {"", ""}, {"K1", ""}}
	for _, tt := range tests {
		name := ""
		if w := table.WorkspaceByKey([]byte(tt.key)); w != nil {
			name = w.Name
		}
		if name != tt.workspace {
			t.Errorf("key %q: got workspace %q, want %q", tt.key, name, tt.workspace)
		}
	}
	if New(withWorkspaces()).KeysRequired() || !table.KeysRequired() {
		t.Error("want keys to be needed if and only if there are workspaces")
	}
}

func TestRank(t *testing.T) {
	first, last := wheelgauge.Workspace{Name: "first", Priority: 0}, wheelgauge.Workspace{Name: "last", Priority: 7}
	set := withWorkspaces(first, last)
	set.Routes[1].AllowAnonymous = true
	table, plain := New(set), New(withWorkspaces())
	a, b := &set.Routes[0], &set.Routes[1]
	tests := []struct {
		name  string
		table *Table
		w     *wheelgauge.Workspace
		r     *wheelgauge.PathRoute
		rank  int
	}{
		{"the workspace goes first", table, &first, b, 1},
		{"then the route", table, &last, a, 2},
		{"least of all", table, &last, b, 3},
		{"without a key", table, nil, b, 5},
		{"no workspaces", plain, nil, b, 2},
	}
	for _, tt := range tests {
		if rank := tt.table.Rank(tt.w, tt.r); rank != tt.rank {
			t.Errorf("%s: got rank %d, want %d", tt.name, rank, tt.rank)
		}
	}
}

// With more workspaces than engines have ranks, ranks stay within the limit and in order.
func TestRankOfManyWorkspaces(t *testing.T) {
	var list []wheelgauge.Workspace
	for i := range 30 {
		list = append(list, wheelgauge.Workspace{Name: fmt.Sprint("w", i), Priority: i})
	}
	set, last := withWorkspaces(list...), 0
	table := New(set)
	for i := range list {
		for _, r := range []int{0, 1} {
			rank := table.Rank(&list[i], &set.Routes[r])
			if rank < last || rank >= maxRanks {
				t.Fatalf("workspace %d, route %d: got rank %d after %d, want it in order and within the limit", i, r, rank, last)
			}
			last = rank
		}
	}
}

// BenchmarkByKey looks up one of 16 or 890 workspaces with four keys each.
func BenchmarkByKey(b *testing.B) {
	for _, n := range []int{16, 890} {
		var list []wheelgauge.Workspace
		for i := range n {
			w := wheelgauge.Workspace{Name: fmt.Sprint("w", i)}
			for k := range 4 {
				w.Keys = append(w.Keys, fmt.Sprintf("key-%d-%d-0123456789", i, k))
			}
			list = append(list, w)
		}
		table, key := New(withWorkspaces(list...)), []byte(fmt.Sprintf("key-%d-3-0123456789", n-1))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if table.WorkspaceByKey(key) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
