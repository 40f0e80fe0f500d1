package connshare

import (
	"math/rand/v2"
	"testing"
)

// fill adds connections of an owner, the first ones with a request in progress.
func fill(t *Table[int], first, count, busy int, owner string) {
	for k := first; k < first+count; k++ {
		t.Add(k)
		t.Begin(k)
		t.SetOwner(k, owner)
		if k-first >= busy {
			t.End(k)
		}
	}
}

func never(int) bool { return false }

func TestEvict(t *testing.T) {
	type group struct {
		owner       string
		count, busy int
	}
	tests := []struct {
		name   string
		groups []group
		// want is the key, counted over all groups from 0; -1 for none.
		want int
	}{
		{"places are free", []group{{"a", 7, 0}}, -1},
		{"short, one holds most", []group{{"b", 2, 0}, {"a", 6, 0}}, 2},
		{"short, even shares", []group{{"a", 4, 0}, {"b", 4, 0}}, -1},
		{"short, one owner alone", []group{{"a", 9, 0}}, -1},
		{"full, one owner alone", []group{{"a", 10, 0}}, 0},
		{"full, the longest idle", []group{{"a", 7, 3}, {"b", 3, 0}}, 3},
		{"full, who holds most is at work", []group{{"a", 7, 7}, {"b", 3, 1}}, 8},
		{"full, all at work", []group{{"a", 7, 7}, {"b", 3, 3}}, -1},
		{"without owners", []group{{"", 10, 4}}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, first := New[int](10), 0
			for _, g := range tt.groups {
				fill(table, first, g.count, g.busy, g.owner)
				first += g.count
			}
			if k, ok := table.Evict(never); ok != (tt.want >= 0) || ok && k != tt.want {
				t.Errorf("got %d, %v, want %d", k, ok, tt.want)
			}
		})
	}
}

func TestSetOwner(t *testing.T) {
	tests := []struct {
		name          string
		flood, others int
		owner         string
		want          bool
	}{
		{"places are free", 6, 0, "flood", true},
		{"alone beyond three quarters", 15, 0, "flood", false},
		{"alone at three quarters", 14, 0, "flood", true},
		{"another with little", 14, 1, "other", true},
		{"beside another", 12, 3, "flood", false},
		{"without an owner", 19, 0, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New[int](20)
			fill(table, 0, tt.flood, tt.flood, "flood")
			fill(table, 100, tt.others, tt.others, "other")
			table.Add(200)
			table.Begin(200)
			if got := table.SetOwner(200, tt.owner); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestGivenWayMayNotBegin(t *testing.T) {
	table := New[int](1)
	table.Add(1)
	if k, ok := table.Evict(never); !ok || k != 1 || table.Begin(1) {
		t.Error("a request began on a connection that was evicted")
	}
	table.End(1)
	table.Remove(1)
}

// A connection on which a request is arriving counts as one with a request in progress.
func TestArrivingIsNotEvicted(t *testing.T) {
	table := New[int](4)
	fill(table, 0, 4, 0, "a")
	if k, ok := table.Evict(func(k int) bool { return k < 2 }); !ok || k != 2 {
		t.Errorf("got %d, %v, want 2", k, ok)
	}
	if table.busy != 2 {
		t.Errorf("%d requests in progress, want 2", table.busy)
	}
	if k, ok := table.Evict(func(int) bool { return true }); ok {
		t.Errorf("%d is evicted though requests arrive on all", k)
	}
}

func TestShort(t *testing.T) {
	for conns, want := range []bool{false, false, false, true, true} {
		table := New[int](4)
		fill(table, 0, conns, 0, "a")
		if table.Short() != want {
			t.Errorf("%d connections of 4 places: got %v, want %v", conns, table.Short(), want)
		}
	}
}

// After any operations the sums hold, and an evicted connection has no request in
// progress.
func TestTableRandom(t *testing.T) {
	type state struct {
		owner string
		busy  bool
	}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		table, model := New[int](20), map[int]*state{}
		for next := range 3000 {
			k := random.IntN(next + 1)
			if random.IntN(2) == 0 {
				k = max(0, next-random.IntN(25))
			}
			s := model[k]
			switch random.IntN(6) {
			case 0:
				if g, ok := table.Evict(never); ok {
					if model[g] == nil || model[g].busy {
						t.Fatalf("seed %d: connection %d is evicted: %+v", seed, g, model[g])
					}
					delete(model, g)
				}
				if len(model) < 20 {
					table.Add(next)
					model[next] = &state{}
				}
			case 1:
				table.Remove(k)
				delete(model, k)
			case 2, 3:
				if table.Begin(k) != (s != nil) {
					t.Fatalf("seed %d: Begin disagrees on %d", seed, k)
				}
				if s != nil {
					s.busy = true
				}
			case 4:
				table.End(k)
				if s != nil {
					s.busy = false
				}
			case 5:
				owner := string(rune('a' + random.IntN(4)))
				table.SetOwner(k, owner)
				if s != nil && s.busy {
					s.owner = owner
				}
			}
			conns, busy, total := map[string]int{}, map[string]int{}, 0
			for _, s := range model {
				conns[s.owner]++
				if s.busy {
					busy[s.owner]++
					if s.owner != "" {
						total++
					}
				}
			}
			if len(table.owners) != len(conns) || table.busy != total {
				t.Fatalf("seed %d: %d owners with %d requests, want %d with %d", seed, len(table.owners), table.busy, len(conns), total)
			}
			for name, o := range table.owners {
				if o.conns != conns[name] || o.busy != busy[name] || o.idle.Len() != o.conns-o.busy {
					t.Fatalf("seed %d: owner %q has %d connections, %d busy, %d idle, want %d, %d", seed, name, o.conns, o.busy, o.idle.Len(), conns[name], busy[name])
				}
			}
		}
	}
}
