package peerset

import (
	"slices"
	"testing"
	"time"

	"wheelgauge"
)

const (
	service = "lm"
	silence = time.Second
)

func table() (*Table, *time.Time) {
	at := time.Unix(0, 0)
	t := New("here", silence, func() time.Time { return at })
	t.SetHosts([]wheelgauge.FleetHost{
		{Name: "own", Region: "here", Ready: true},
		{Name: "n1", Region: "north", Ready: true},
		{Name: "n2", Region: "north", Ready: true},
		{Name: "s1", Region: "south", Ready: true, Leaving: true},
		{Name: "w1", Region: "west"},
		{Name: "e1", Region: "east", Ready: true},
	})
	return t, &at
}

func uses(region string, servers, running int) wheelgauge.RegionUse {
	return wheelgauge.RegionUse{Region: region, Uses: []wheelgauge.ServiceUse{{Service: service, Servers: servers, Running: running}}}
}

func TestRegions(t *testing.T) {
	tests := []struct {
		name string
		do   func(tb *Table, at *time.Time)
		want []string
	}{
		{"load not known yet: all with a ready gateway", func(*Table, *time.Time) {}, []string{"east", "north"}},
		{"no servers there", func(tb *Table, _ *time.Time) {
			tb.SetUses([]wheelgauge.RegionUse{uses("north", 2, 1), uses("east", 0, 0)})
		}, []string{"north"}},
		{"one gateway of two paused", func(tb *Table, _ *time.Time) { tb.Pause(tb.peers["n1"]) }, []string{"east", "north"}},
		{"a silent region", func(tb *Table, _ *time.Time) { tb.Silent(tb.peers["n1"]) }, []string{"east"}},
		{"silent, but a while ago", func(tb *Table, at *time.Time) {
			tb.Silent(tb.peers["n1"])
			*at = at.Add(silentTime)
		}, []string{"east", "north"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, at := table()
			tt.do(tb, at)
			if got := tb.Regions(service); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestLoadCountsWhatWasSent(t *testing.T) {
	tb, _ := table()
	tb.SetUses([]wheelgauge.RegionUse{uses("north", 2, 3), uses("east", 2, 9)})
	if tb.Busiest() != "east" {
		t.Errorf("busiest %q", tb.Busiest())
	}
	if p := tb.Choose("north", service, 500, []string{"n1"}); p == nil || p.Name() != "n2" {
		t.Fatalf("chose %v, want n2", p)
	}
	if got := tb.Load("north", service); got.Running != 4 || got.Tokens != 500 {
		t.Errorf("load %+v", got)
	}
	if tb.Choose("north", service, 1, []string{"n1", "n2"}) != nil {
		t.Error("a gateway that was tried is chosen again")
	}
}

func TestWayIsMeasured(t *testing.T) {
	tb, _ := table()
	if tb.Way("north") != firstWay {
		t.Errorf("unknown way %s", tb.Way("north"))
	}
	tb.Reached("north", 100*time.Millisecond)
	tb.Reached("north", 150*time.Millisecond)
	if got := tb.Way("north"); got != 110*time.Millisecond {
		t.Errorf("way %s, want 110ms", got)
	}
}

// What a host tells anew must not change a peer that a dispatch holds.
func TestPeersInUseDoNotChange(t *testing.T) {
	tb, _ := table()
	held := tb.Choose("east", service, 1, nil)
	pool := held.Pool()
	tb.SetHosts([]wheelgauge.FleetHost{{Name: "e1", Region: "east", Hall: "moved", Ready: true}})
	if held.host.Hall != "" || tb.peers["e1"] == held {
		t.Error("a peer in use was changed")
	}
	if tb.peers["e1"].Pool() != pool {
		t.Error("its connections were given up")
	}
}

// A region that answers no call is cut off: its servers cannot be asked for
// parts of prompts.
func TestBusiest(t *testing.T) {
	tests := []struct {
		name string
		do   func(tb *Table, at *time.Time)
		want string
	}{
		{"most in flight", func(*Table, *time.Time) {}, "north"},
		{"all answer", func(tb *Table, _ *time.Time) {
			tb.Reached("north", time.Millisecond)
			tb.Reached("east", time.Millisecond)
		}, "north"},
		{"silent", func(tb *Table, at *time.Time) {
			tb.Reached("north", time.Millisecond)
			*at = at.Add(silence)
			tb.Reached("east", time.Millisecond)
		}, "east"},
		{"all silent", func(tb *Table, at *time.Time) {
			tb.Reached("north", time.Millisecond)
			tb.Reached("east", time.Millisecond)
			*at = at.Add(silence)
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, at := table()
			tb.SetUses([]wheelgauge.RegionUse{uses("here", 2, 9), uses("north", 2, 5), uses("east", 2, 1)})
			tt.do(tb, at)
			if got := tb.Busiest(); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
