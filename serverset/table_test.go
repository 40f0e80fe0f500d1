package serverset

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func (c *clock) pass(d time.Duration) { c.at = c.at.Add(d) }

const (
	engines = "lm"
	plain   = "app"
)

var (
	engineService = &wheelgauge.Service{Name: engines, Conns: 100, ColdRate: 3, CacheTokens: 600_000}
	plainService  = &wheelgauge.Service{Name: plain, Conns: 100}
)

func limits(service string) *wheelgauge.Service {
	if service == engines {
		return engineService
	}
	return plainService
}

// table returns a table with n servers of a service, in hall h.
func table(service string, n int) (*Table, *clock, []wheelgauge.Server) {
	c := &clock{at: time.Unix(1000, 0)}
	t := New(Place{Host: "a", Hall: "h", Peers: []string{"a"}, Named: []string{"a"}}, limits, c.now)
	var list []wheelgauge.Server
	for i := range n {
		list = append(list, wheelgauge.Server{Instance: fmt.Sprint("i", i), Service: service, Address: "127.0.0.1:1", Hall: "h", Slots: 4})
	}
	t.Update(list, c.at)
	return t, c, list
}

func about(subject string) prompt.Prompt {
	return prompt.Parse("sys:500,"+subject+":5000,own:6000", "11500,300", "")
}

func TestSubjectKeepsItsServer(t *testing.T) {
	tb, _, _ := table(engines, 5)
	seen := map[string]string{}
	for i := range 200 {
		subject := fmt.Sprint("s", i%20)
		k := tb.Choose(NewJob(engines, about(subject), 1, nil))
		if was := seen[subject]; was != "" && was != k.Server().Instance() {
			t.Fatalf("%s went to %s, then to %s", subject, was, k.Server().Instance())
		}
		seen[subject] = k.Server().Instance()
		k.Began()
		k.Done(Served)
	}
	used := map[string]bool{}
	for _, s := range seen {
		used[s] = true
	}
	if len(used) < 4 {
		t.Errorf("20 subjects on %d of 5 servers", len(used))
	}
}

func TestFullServerIsLeft(t *testing.T) {
	tb, _, _ := table(engines, 3)
	used := map[string]bool{}
	for range 60 {
		used[tb.Choose(NewJob(engines, about("same"), 1, nil)).Server().Instance()] = true
	}
	if len(used) != 3 {
		t.Errorf("60 waiting prompts on %d of 3 servers", len(used))
	}
}

func TestWhoGetsNothing(t *testing.T) {
	tests := []struct {
		name string
		do   func(tb *Table, list []wheelgauge.Server, at time.Time)
		left int
	}{
		{"nobody", func(*Table, []wheelgauge.Server, time.Time) {}, 2},
		{"a leaving server", func(tb *Table, list []wheelgauge.Server, at time.Time) {
			list[0].Leaving = true
			tb.Update(list, at)
		}, 1},
		{"a server off the list", func(tb *Table, list []wheelgauge.Server, at time.Time) { tb.Update(list[1:], at) }, 1},
		{"a drained hall", func(tb *Table, _ []wheelgauge.Server, _ time.Time) { tb.SetDrained([]string{"h"}) }, 0},
		{"a server that is another one now", func(tb *Table, _ []wheelgauge.Server, _ time.Time) {
			tb.Choose(NewJob(plain, prompt.Prompt{}, 1, nil)).Done(Gone)
		}, 1},
		{"a server that was not reached", func(tb *Table, _ []wheelgauge.Server, _ time.Time) {
			tb.Choose(NewJob(plain, prompt.Prompt{}, 1, nil)).Done(Unreached)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, c, list := table(plain, 2)
			tt.do(tb, list, c.at)
			c.pass(time.Millisecond)
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

// A cold server is kept to its rate for a second beyond what the list says:
// the rate binds every second that begins while it is cold.
func TestColdRateOutlastsTheList(t *testing.T) {
	tb, c, list := table(engines, 1)
	list[0].ColdMS = 2000
	tb.Update(list, c.at)
	sent := 0
	for range 30 {
		c.pass(100 * time.Millisecond)
		if tb.Choose(NewJob(engines, about("x"), 1, nil)) != nil {
			sent++
		}
	}
	// 3 a second for 3 s, and a burst of one.
	if sent > 10 {
		t.Errorf("%d requests in 3 s to a server that is cold for 2 s, want 10 at most", sent)
	}
	c.pass(time.Second)
	for range 10 {
		if tb.Choose(NewJob(engines, about("x"), 1, nil)) == nil {
			t.Fatal("a warm server gets no work")
		}
	}
}

// Servers of a hall that was taken back may be cold, which an older list does
// not know yet.
func TestReturnedHallIsCold(t *testing.T) {
	tb, c, list := table(engines, 1)
	tb.SetDrained([]string{"h"})
	c.pass(5 * time.Second)
	tb.SetDrained(nil)
	tb.Update(list, c.at.Add(-time.Second))
	burst := 0
	for range 5 {
		if tb.Choose(NewJob(engines, about("x"), 1, nil)) != nil {
			burst++
		}
	}
	if burst != 1 {
		t.Errorf("%d at once to a hall just taken back, want 1", burst)
	}
	c.pass(3 * time.Second)
	tb.Confirm(c.at)
	c.pass(2 * time.Second)
	for range 5 {
		if tb.Choose(NewJob(engines, about("x"), 1, nil)) == nil {
			t.Fatal("a list that is new enough did not end the cold rate")
		}
	}
}

func TestFailureRate(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	s := newServer(wheelgauge.Server{}, 1, time.Now)
	// A server without outcomes, whose last failure is the zero time.
	if got := s.fails(c.now()); got != 0 {
		t.Errorf("new server fails at %f", got)
	}
	for range 40 {
		s.outcome(c.now(), true)
	}
	if got := s.fails(c.now()); got < 0.95 {
		t.Errorf("after 40 failures: %f", got)
	}
	c.pass(failForget)
	if got := s.fails(c.now()); got < 0.45 || got > 0.55 {
		t.Errorf("after its half-life: %f", got)
	}
}

func TestCountsReturnToZero(t *testing.T) {
	tb, _, _ := table(engines, 2)
	outcomes := []Outcome{Served, Failed, Shed, Unreached, Gone, Left}
	for i, o := range outcomes {
		k := tb.Choose(NewJob(engines, about("x"), 1, nil))
		if k == nil {
			continue
		}
		if i%2 == 0 {
			k.Began()
		}
		k.Done(o)
		k.Done(o)
	}
	uses, totals := tb.Uses()
	if len(totals) != 0 {
		t.Errorf("left in flight: %v", totals)
	}
	for _, u := range uses { // servers that were not reached are told of
		if u.Running != 0 || u.Tokens != 0 || len(u.Work) != 0 {
			t.Errorf("left in flight: %v", u)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb, _, _ := table(engines, n)
			p := about("x")
			b.ReportAllocs()
			for b.Loop() {
				tb.Predict(NewJob(engines, p, 1, nil))
			}
		})
	}
}

// Urgent requests do not wait for prompts that they overtake, whether this host
// or another sent them; the least urgent ones wait for all.
func TestWaitByRank(t *testing.T) {
	const urgent, least = 0, 2
	tests := []struct {
		name string
		fill func(tb *Table)
	}{
		{"own", func(tb *Table) {
			for range 8 {
				tb.Choose(NewJob(engines, about("x"), least, nil))
			}
		}},
		{"others'", func(tb *Table) {
			work := wheelgauge.Work{{Rank: least, Running: 8, Tokens: 80_000}}
			tb.SetUses([]wheelgauge.ServerUse{{Instance: "i0", Running: 8, Tokens: 80_000, Work: work}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, _, _ := table(engines, 1)
			tt.fill(tb)
			first, _ := tb.Predict(NewJob(engines, about("y"), urgent, nil))
			last, _ := tb.Predict(NewJob(engines, about("y"), least, nil))
			if first.Wait() > last.Wait()/2 {
				t.Errorf("the most urgent waits %v, the least urgent %v", first.Wait(), last.Wait())
			}
		})
	}
	tb, _, _ := table(engines, 1)
	tests[0].fill(tb)
	uses, totals := tb.Uses()
	if running, tokens := uses[0].Work.Ahead(least); running != 8 || tokens != uses[0].Tokens {
		t.Errorf("told %+v", uses[0])
	}
	if running, _ := totals[0].Work.Ahead(urgent); running != 0 {
		t.Errorf("told %+v", totals[0])
	}
}
