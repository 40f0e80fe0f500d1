package serverset

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/enginemodel"
	"wheelgauge/prompt"
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

const (
	engines = "lm"
	plain   = "app"
)

var (
	engineService = &wheelgauge.Service{Name: engines, MaxConns: 100, ColdRate: 3, KVCacheTokens: 600_000}
	plainService  = &wheelgauge.Service{Name: plain, MaxConns: 100}
)

func testServiceConfig(service string) *wheelgauge.Service {
	if service == engines {
		return engineService
	}
	return plainService
}

// newTestTable returns a table with n servers of a service, in hall h.
func newTestTable(service string, n int) (*Table, *clock, []wheelgauge.Server) {
	c := &clock{at: time.Unix(1000, 0)}
	t := New(Place{Host: "a", Hall: "h", Peers: []string{"a"}}, testServiceConfig, c.now)
	var list []wheelgauge.Server
	for i := range n {
		list = append(list, wheelgauge.Server{Instance: fmt.Sprint("i", i), Service: service, Address: "127.0.0.1:1", Hall: "h", Slots: 4})
	}
	t.replaceList(list, c.at)
	return t, c, list
}

func promptWithPrefix(prefix string) prompt.Prompt {
	return prompt.Parse("sys:500,"+prefix+":5000,own:6000", "11500,300", "")
}

func TestPrefixKeepsItsServer(t *testing.T) {
	tb, _, _ := newTestTable(engines, 5)
	serverOf := map[string]string{}
	for i := range 200 {
		prefix := fmt.Sprint("s", i%20)
		k := tb.Choose(NewJob(engines, promptWithPrefix(prefix), 1, nil))
		if prev := serverOf[prefix]; prev != "" && prev != k.Server().Instance() {
			t.Fatalf("requests of %s went to %s, then to %s", prefix, prev, k.Server().Instance())
		}
		serverOf[prefix] = k.Server().Instance()
		k.FirstEvent()
		k.Done(Served)
	}
	used := map[string]bool{}
	for _, s := range serverOf {
		used[s] = true
	}
	if len(used) < 4 {
		t.Errorf("20 prefixes are on %d of 5 servers, want at least 4", len(used))
	}
}

func TestQueuedPromptsSpread(t *testing.T) {
	tb, _, _ := newTestTable(engines, 3)
	used := map[string]bool{}
	for range 60 {
		used[tb.Choose(NewJob(engines, promptWithPrefix("same"), 1, nil)).Server().Instance()] = true
	}
	if len(used) != 3 {
		t.Errorf("60 pending prompts are on %d of 3 servers, want all", len(used))
	}
}

func TestUnavailableServers(t *testing.T) {
	tests := []struct {
		name string
		do   func(tb *Table, list []wheelgauge.Server, at time.Time)
		left int
	}{
		{"all available", func(*Table, []wheelgauge.Server, time.Time) {}, 2},
		{"a leaving server", func(tb *Table, list []wheelgauge.Server, at time.Time) {
			list[0].Leaving = true
			tb.replaceList(list, at)
		}, 1},
		{"a server off the list", func(tb *Table, list []wheelgauge.Server, at time.Time) { tb.replaceList(list[1:], at) }, 1},
		{"a drained hall", func(tb *Table, _ []wheelgauge.Server, _ time.Time) { tb.SetDrained([]string{"h"}) }, 0},
		{"a server whose address another one uses", func(tb *Table, _ []wheelgauge.Server, _ time.Time) {
			tb.Choose(NewJob(plain, prompt.Prompt{}, 1, nil)).Done(AddressReused)
		}, 1},
		{"an unreachable server", func(tb *Table, _ []wheelgauge.Server, _ time.Time) {
			tb.Choose(NewJob(plain, prompt.Prompt{}, 1, nil)).Done(Unreachable)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, c, list := newTestTable(plain, 2)
			tt.do(tb, list, c.at)
			c.advance(time.Millisecond)
			used := map[string]bool{}
			for range 20 {
				if k := tb.Choose(NewJob(plain, prompt.Prompt{}, 1, nil)); k != nil {
					used[k.Server().Instance()] = true
				}
			}
			if len(used) != tt.left {
				t.Errorf("%d servers get work, want %d", len(used), tt.left)
			}
		})
	}
}

// A cold server is kept to its rate for a second beyond what the list says: the rate applies
// to every second that begins while it is cold.
func TestColdRateOutlastsList(t *testing.T) {
	tb, c, list := newTestTable(engines, 1)
	list[0].ColdMS = 2000
	tb.replaceList(list, c.at)
	sent := 0
	for range 30 {
		c.advance(100 * time.Millisecond)
		if tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)) != nil {
			sent++
		}
	}
	// 3 a second for 3 s, and a burst of one.
	if sent > 10 {
		t.Errorf("%d requests in 3 s to a server that is cold for 2 s, want at most 10", sent)
	}
	c.advance(time.Second)
	for range 10 {
		if tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)) == nil {
			t.Fatal("a warm server gets no work")
		}
	}
}

// The servers of a hall for which an order was given are held for cold until a list is newer, by a
// host that saw no drain end as well.
func TestHallWithAnOrderIsCold(t *testing.T) {
	tests := []struct {
		name string
		// age is how old the order is when the host learns of it, listAge how old its list is then.
		age, listAge time.Duration
		want         int
	}{
		{"an older list", 0, 100 * time.Millisecond, 1},
		{"a list that may lag behind the order", time.Second, 100 * time.Millisecond, 1},
		{"a newer list, for longer than requests are in transit", 3 * time.Second, 1300 * time.Millisecond, 5},
		{"an old order, an older list", 11 * time.Second, 12 * time.Second, 5},
	}
	for _, tt := range tests {
		tb, c, list := newTestTable(engines, 1)
		c.advance(20 * time.Second)
		tb.SetOrdered("h", c.at.Add(-tt.age))
		tb.replaceList(list, c.at.Add(-tt.listAge))
		sent := 0
		for range 5 {
			k := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil))
			if k == nil {
				continue
			}
			sent++
			if cold, ok := k.Cold(); ok != (tt.want == 1) || ok && (cold.Source() != ColdByOrder || cold.Hosts() != 1) {
				t.Errorf("%s: got choice %+v, cold %v, want one of %d hosts by the order if the hall is held for cold", tt.name, cold, ok, 1)
			}
		}
		if sent != tt.want {
			t.Errorf("%s: %d requests at once, want %d", tt.name, sent, tt.want)
		}
	}
}

// A server that said itself that it is cold is held for cold although the list does not say so.
func TestServerThatSaysItIsColdIsCold(t *testing.T) {
	tb, c, list := newTestTable(engines, 1)
	tb.SetCold(list[0].InstanceKey(), 500*time.Millisecond)
	tb.replaceList(list, c.at)
	sent := 0
	for range 5 {
		if k := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)); k != nil {
			sent++
			if cold, _ := k.Cold(); cold.Source() != ColdByServer {
				t.Errorf("got source %q, want that the server said so", cold.Source())
			}
		}
	}
	if sent != 1 {
		t.Errorf("%d requests at once to a cold server, want 1", sent)
	}
	c.advance(500*time.Millisecond + coldMargin)
	for range 5 {
		if tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)) == nil {
			t.Fatal("a warm server gets no work")
		}
	}
}

// A host that has used up its share of a cold server's rate predicts no server, so that requests
// are forwarded instead of refused.
func TestUsedUpColdShareIsNotPredicted(t *testing.T) {
	tb, c, list := newTestTable(engines, 1)
	list[0].ColdMS = 5000
	tb.replaceList(list, c.at)
	j := NewJob(engines, promptWithPrefix("x"), 1, nil)
	for _, step := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {0, false}, {time.Second, true}} {
		c.advance(step.after)
		if _, ok := tb.Predict(j); ok != step.want {
			t.Errorf("after %v: got %v, want a predicted server %v", step.after, ok, step.want)
		}
		tb.Choose(j)
	}
}

// Servers of a hall whose drain has ended may be cold, which an older list does not know yet.
func TestUndrainedHallIsCold(t *testing.T) {
	tb, c, list := newTestTable(engines, 1)
	tb.SetDrained([]string{"h"})
	c.advance(5 * time.Second)
	tb.SetDrained(nil)
	tb.replaceList(list, c.at.Add(-time.Second))
	burst := 0
	for range 5 {
		if tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)) != nil {
			burst++
		}
	}
	if burst != 1 {
		t.Errorf("%d requests at once to a hall whose drain has just ended, want 1", burst)
	}
	c.advance(3 * time.Second)
	tb.ConfirmList(c.at)
	c.advance(2 * time.Second)
	for range 5 {
		if tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)) == nil {
			t.Fatal("a newer list did not end the cold rate")
		}
	}
}

func TestCountsReturnToZero(t *testing.T) {
	tb, _, _ := newTestTable(engines, 2)
	outcomes := []Outcome{Served, Failed, Shed, Unreachable, AddressReused, Abandoned}
	for i, o := range outcomes {
		k := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil))
		if k == nil {
			continue
		}
		if i%2 == 0 {
			k.FirstEvent()
		}
		k.Done(o)
		k.Done(o)
	}
	uses, totals := tb.Uses()
	if len(totals) != 0 {
		t.Errorf("still in flight: %v, want nothing", totals)
	}
	for _, u := range uses { // unreachable servers are reported
		if u.Running != 0 || u.PrefillTokens != 0 || len(u.Work) != 0 {
			t.Errorf("still in flight: %v, want nothing", u)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb, _, _ := newTestTable(engines, n)
			p := promptWithPrefix("x")
			b.ReportAllocs()
			for b.Loop() {
				tb.Predict(NewJob(engines, p, 1, nil))
			}
		})
		b.Run(fmt.Sprint(n, " learned"), func(b *testing.B) {
			tb, c, _ := newTestTable(engines, n)
			tb.SetEngineModel(enginemodel.New(c.now))
			p := promptWithPrefix("x")
			b.ReportAllocs()
			for b.Loop() {
				tb.Predict(NewJob(engines, p, 1, nil))
			}
		})
	}
}

// Urgent requests do not wait for prompts that they overtake, whether this host or another
// one sent them; the least urgent wait for all.
func TestWaitByRank(t *testing.T) {
	const urgent, least = 0, 2
	tests := []struct {
		name string
		fill func(tb *Table)
	}{
		{"own", func(tb *Table) {
			for range 8 {
				tb.Choose(NewJob(engines, promptWithPrefix("x"), least, nil))
			}
		}},
		{"others'", func(tb *Table) {
			work := wheelgauge.Work{{Rank: least, Running: 8, PrefillTokens: 80_000}}
			tb.SetUses([]wheelgauge.ServerUsage{{Instance: "i0", Running: 8, PrefillTokens: 80_000, Work: work}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, _, _ := newTestTable(engines, 1)
			tt.fill(tb)
			first, _ := tb.Predict(NewJob(engines, promptWithPrefix("y"), urgent, nil))
			last, _ := tb.Predict(NewJob(engines, promptWithPrefix("y"), least, nil))
			if first.Wait() > last.Wait()/2 {
				t.Errorf("the most urgent waits %v, the least urgent %v, want at most half", first.Wait(), last.Wait())
			}
		})
	}
	tb, _, _ := newTestTable(engines, 1)
	tests[0].fill(tb)
	uses, totals := tb.Uses()
	if running, tokens := uses[0].Work.Ahead(least); running != 8 || tokens != uses[0].PrefillTokens {
		t.Errorf("reported %+v, want 8 requests ahead with all tokens", uses[0])
	}
	if running, _ := totals[0].Work.Ahead(urgent); running != 0 {
		t.Errorf("reported %+v, want no urgent requests ahead", totals[0])
	}
}

// A plain server whose average keeps all requests from it gets no answer that would lower it. The
// average fades, so that the server is tried again.
func TestStaleServiceTimeFades(t *testing.T) {
	tb, c, _ := newTestTable(plain, 1)
	job := NewJob(plain, prompt.Prompt{}, 0, nil)
	k := tb.Choose(job)
	c.at = c.at.Add(2 * time.Second)
	k.Done(Served)
	if e, _ := tb.Predict(job); e.Wait() < time.Second {
		t.Errorf("predicted wait is %s right after a slow answer, want 1s at least", e.Wait())
	}
	c.at = c.at.Add(staleServiceTimeAfter + 8*staleServiceTimeHalfLife)
	if e, _ := tb.Predict(job); e.Wait() > 50*time.Millisecond {
		t.Errorf("predicted wait is %s long after that answer, want 50ms at most", e.Wait())
	}
}
