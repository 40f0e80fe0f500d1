package serverset

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

// A server that some hosts report unreachable gets no work from the others: each host that
// finds out by itself delays a request.
func TestPeersReportUnreachableServer(t *testing.T) {
	tests := []struct {
		name   string
		use    wheelgauge.ServerUsage
		served bool // this host has just got an answer
		used   int  // servers that get work, of two
	}{
		{"no host", wheelgauge.ServerUsage{Running: 3}, false, 2},
		{"one host, which may be cut off itself", wheelgauge.ServerUsage{UnreachableFrom: 1}, false, 2},
		{"two hosts", wheelgauge.ServerUsage{UnreachableFrom: 2}, false, 1},
		{"two hosts, but it answers here", wheelgauge.ServerUsage{UnreachableFrom: 2}, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, c, _ := newTestTable(plain, 2)
			if tt.served {
				tb.servers["i0"].lastReached = c.at
			}
			tt.use.Instance = "i0"
			tb.SetUses([]wheelgauge.ServerUsage{tt.use})
			c.advance(time.Millisecond)
			used := map[string]bool{}
			for range 20 {
				used[tb.Choose(NewJob(plain, promptWithPrefix("x"), 1, nil)).Server().Instance()] = true
			}
			if len(used) != tt.used {
				t.Errorf("%d servers get work, want %d", len(used), tt.used)
			}
		})
	}
}

// A host reports a server that it could not reach until it tries again, and one whose
// address another server uses for as long as it is listed.
func TestUnreachableServersAreReported(t *testing.T) {
	tb, c, _ := newTestTable(plain, 1)
	tb.Choose(NewJob(plain, promptWithPrefix("x"), 1, nil)).Done(Unreachable)
	if uses, _ := tb.Uses(); len(uses) != 1 || uses[0].UnreachableFrom != 1 {
		t.Fatalf("reported %+v, want one unreachable server", uses)
	}
	c.advance(minPause + time.Millisecond)
	if uses, _ := tb.Uses(); len(uses) != 0 {
		t.Fatalf("reported %+v after its pause, want nothing", uses)
	}
	tb.Choose(NewJob(plain, promptWithPrefix("x"), 1, nil)).Done(AddressReused)
	if uses, totals := tb.Uses(); len(uses) != 1 || uses[0].UnreachableFrom != 1 || len(totals) != 0 {
		t.Errorf("reported %+v with totals %+v, want one unreachable server and no totals", uses, totals)
	}
}

func TestHostThatIsCutOffReportsNoServerAsUnreachable(t *testing.T) {
	tb, _, _ := newTestTable(plain, 1)
	tb.Choose(NewJob(plain, prompt.Prompt{}, 0, nil)).Done(Unreachable)
	reports := func() (n int) {
		uses, _ := tb.Uses()
		for _, u := range uses {
			n += u.UnreachableFrom
		}
		return n
	}
	if n := reports(); n != 1 {
		t.Fatalf("a host reports %d unreachable servers, want the one", n)
	}
	tb.SetOutOfReach(func(string) bool { return true })
	if n := reports(); n != 0 {
		t.Errorf("a host that reaches no server reports %d as unreachable, want none: they may be up", n)
	}
}
