package serverlist

import (
	"testing"
	"time"

	"wheelgauge"
)

const (
	own   = 7
	other = 8
)

func table() (*Table, *time.Time) {
	at := time.Unix(1000, 0)
	return New(own, func() time.Time { return at }), &at
}

func server(instance string, cold int64) wheelgauge.Server {
	return wheelgauge.Server{Instance: instance, ColdMS: cold}
}

func TestChangeDetection(t *testing.T) {
	tests := []struct {
		name    string
		second  []wheelgauge.Server
		changed bool
	}{
		{"a countdown that started again", []wheelgauge.Server{server("a", 0), server("b", 3000)}, true},
		{"a countdown", []wheelgauge.Server{server("a", 0), server("b", 2000)}, false},
		{"a countdown that ended", []wheelgauge.Server{server("a", 0), server("b", 0)}, true},
		{"a server became cold", []wheelgauge.Server{server("a", 3000), server("b", 2000)}, true},
		{"a server is missing", []wheelgauge.Server{server("a", 0)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, at := table()
			tb.Read("north", []wheelgauge.Server{server("a", 0), server("b", 3000)}, *at)
			_, first := tb.All()
			*at = at.Add(time.Second)
			tb.Read("north", tt.second, *at)
			list, second := tb.All()
			if (first != second) != tt.changed {
				t.Errorf("version %d, then %d, want a change: %t", first, second, tt.changed)
			}
			if len(list) != len(tt.second) || list[len(list)-1] != tt.second[len(tt.second)-1] {
				t.Errorf("got list %v, want the newest one %v", list, tt.second)
			}
			if age, ok := tb.Age("north"); age != 0 || !ok {
				t.Errorf("age is %s, want 0 of a known list", age)
			}
		})
	}
}

// A region's list is sent once; after that only its version and age are, until it changes
// or the other store lacks it.
func TestListIsSentOnce(t *testing.T) {
	from, at := table()
	to := New(other, func() time.Time { return *at })
	held := uint64(0)
	send := func() (whole, taken bool) {
		m, _, ok := from.Part("north", held)
		if !ok {
			t.Fatal("no list to send")
		}
		if taken = to.Take(own, m); taken {
			held = m.Version
		}
		return !m.Same, taken
	}
	if _, _, ok := from.Part("north", 0); ok {
		t.Error("a list that was never read is sent")
	}
	steps := []struct {
		name         string
		do           func()
		whole, taken bool
	}{
		{"first", func() { from.Read("north", []wheelgauge.Server{server("a", 0)}, *at) }, true, true},
		{"read again", func() { from.Read("north", []wheelgauge.Server{server("a", 0)}, *at) }, false, true},
		{"another region's list changes", func() { from.Read("south", []wheelgauge.Server{server("s", 0)}, *at) }, false, true},
		{"changed", func() { from.Read("north", []wheelgauge.Server{server("b", 0)}, *at) }, true, true},
		{"the other store restarts", func() { to = New(other, func() time.Time { return *at }) }, false, false},
		{"sent in full", func() { held = 0 }, true, true},
	}
	for _, s := range steps {
		*at = at.Add(time.Second)
		s.do()
		if whole, taken := send(); whole != s.whole || taken != s.taken {
			t.Errorf("%s: sent in full %t, accepted %t, want %t, %t", s.name, whole, taken, s.whole, s.taken)
		}
	}
	if _, _, ok := to.Part("north", 0); ok {
		t.Error("a list that another store has read is sent on")
	}
	if list, _ := to.All(); len(list) != 1 || list[0].Instance != "b" {
		t.Errorf("the other store has list %v, want server b", list)
	}
	if age, _ := to.Age("north"); age != 2*time.Second {
		t.Errorf("the age of the list at the other store is %s, want 2s", age)
	}
}

func TestOlderListIsIgnored(t *testing.T) {
	tb, at := table()
	tb.Read("north", []wheelgauge.Server{server("new", 0)}, *at)
	tb.Take(other, wheelgauge.ServerPart{Region: "north", Version: 1, AgeMS: 1000, Servers: []wheelgauge.Server{server("old", 0)}})
	if list, _ := tb.All(); list[0].Instance != "new" {
		t.Errorf("got list %v, want the newer one", list)
	}
}
