package serverset

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/enginemodel"
	"wheelgauge/prompt"
)

// newModelTable returns a table with a model and n engines of 24 slots.
func newModelTable(n int) (*Table, *clock, []wheelgauge.Server) {
	tb, c, list := newTestTable(engines, n)
	for i := range list {
		list[i].Slots = 24
	}
	tb.replaceList(list, c.at)
	tb.SetEngineModel(enginemodel.New(c.now))
	return tb, c, list
}

func engineJob(rank, own, output int) Job {
	return NewJob(engines, prompt.Parse(fmt.Sprintf("own%d:%d", own, own), fmt.Sprintf("%d,%d", own, output), fmt.Sprint(output)), rank, nil)
}

// runAt lets a request run at the only server of a table that takes times as long as its
// forecast, which is as long as usual.
func runAt(tb *Table, c *clock, times float64) {
	k := tb.Choose(engineJob(0, 4000, 100))
	unit := tb.model.Predict(engines, k.load, 1)
	first := time.Duration(times * float64(unit.First))
	c.advance(first)
	k.FirstEvent()
	k.FirstEventAfter(first, false)
	k.Done(Served)
}

// A server that turns slow gets a slowness near the true one within some requests, and is as usual
// again within some half-lives of its recovery.
func TestSlownessFollowsServer(t *testing.T) {
	tests := []struct {
		name        string
		times       []float64 // of each request, 50 ms apart
		idle        time.Duration
		least, most float64
	}{
		{"unknown", nil, 0, 1, 1},
		{"as usual", repeatSlowness(50, 1), 0, 0.9, 1.1},
		{"a single odd request", append(repeatSlowness(20, 1), 30), 0, 0.9, 1.2},
		{"a single odd first request", []float64{30}, 0, 0.9, 1.2},
		{"slow", repeatSlowness(100, 2.7), 0, 1.5, 2.7},
		{"fast", repeatSlowness(100, 0.6), 0, 0.6, 0.9},
		{"slow, then recovered", append(repeatSlowness(100, 2.7), repeatSlowness(200, 1)...), 0, 0.8, 1.3},
		{"slow, then idle", repeatSlowness(100, 2.7), 30 * time.Second, 0.95, 1.25},
	}
	for _, tt := range tests {
		c := &clock{at: time.Unix(1000, 0)}
		var u slownessSums
		for _, times := range tt.times {
			u.add(200*times, 200, 1, c.at)
			c.advance(50 * time.Millisecond)
		}
		c.advance(tt.idle)
		if got := u.slowness(1, c.at); got < tt.least || got > tt.most {
			t.Errorf("%s: slowness %.2f, want %.2f to %.2f", tt.name, got, tt.least, tt.most)
		}
	}
}

// The slowness learned before a restart does not apply to the new instance.
func TestRestartForgetsSlowness(t *testing.T) {
	tb, c, list := newModelTable(1)
	for range 50 {
		runAt(tb, c, 2.7)
	}
	if got := tb.servers[list[0].Instance].slowness(c.at); got < 1.3 {
		t.Fatalf("slowness of a slow server is %.2f, want at least 1.3", got)
	}
	list[0].StartUnixMS = 77
	tb.replaceList(list, c.at)
	if got := tb.servers[list[0].Instance].slowness(c.at); got != 1 {
		t.Errorf("slowness of the new instance is %.2f, want 1", got)
	}
}

// A slow server that also reports that it is slow is slow once.
func TestReportedSlownessCountsOnce(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	s := &Server{}
	for range 50 {
		s.recordSlowdown(2 * nominalSlowdown)
		s.slownessSums.add(400, 200, s.reportedSlowness(), c.at)
	}
	if got := s.slowness(c.at); got < 1.9 || got > 2.1 {
		t.Errorf("slowness is %.2f, want the 2 that is both reported and observed", got)
	}
}

// What one host has learned of a server reaches the others with its heartbeats, as long as the
// host reports use of the server.
func TestSlownessIsShared(t *testing.T) {
	tb, c, list := newModelTable(1)
	for range 100 {
		runAt(tb, c, 2.7)
	}
	tb.Choose(engineJob(0, 4000, 100))
	uses, _ := tb.Uses()
	other := New(Place{Host: "b", Hall: "h"}, testServiceConfig, c.now)
	other.replaceList(list, c.at)
	other.SetEngineModel(enginemodel.New(c.now))
	other.SetUses(uses)
	s := other.servers[list[0].Instance]
	if got := s.slowness(c.at); got < 1.3 {
		t.Errorf("slowness at a host that knows nothing itself is %.2f, want at least 1.3", got)
	}
	other.SetUses(nil)
	if got := s.slowness(c.at); got != 1 {
		t.Errorf("slowness is %.2f after the other host's report has gone, want 1", got)
	}
}

// Urgent requests go before the less urgent prompts that wait at an engine: they must not be
// predicted late because of them. Of the 66 requests 24 run.
func TestUrgentBehindLessUrgent(t *testing.T) {
	const objective = 600 * time.Millisecond
	pile := func(tb *Table) {
		for range 66 {
			tb.Choose(engineJob(2, 3800, 300))
		}
	}
	fixed, _, _ := newTestTable(engines, 1)
	pile(fixed)
	if e, _ := fixed.Predict(engineJob(0, 1800, 20)); e.Wait() < objective {
		t.Errorf("by the fixed figures the wait is %s, want it above the objective in this test", e.Wait())
	}
	learned, _, _ := newModelTable(1)
	pile(learned)
	if e, _ := learned.Predict(engineJob(0, 1800, 20)); e.Wait() > objective/2 {
		t.Errorf("the wait is predicted as %s, want at most %s", e.Wait(), objective/2)
	}
	if e, _ := learned.Predict(engineJob(2, 1800, 300)); e.Wait() < objective {
		t.Errorf("the wait of one more less urgent request is predicted as %s, want more than %s", e.Wait(), objective)
	}
}

// An engine is full for less urgent requests before urgent ones, which come and go, would displace
// them; for urgent ones it is not.
func TestSlotsAreKeptForUrgent(t *testing.T) {
	var u urgentLevels
	c := &clock{at: time.Unix(1000, 0)}
	for n := range 100 {
		running := []int{2, 6}[n%2]
		u.note(wheelgauge.Work{{Rank: 0, Running: running}, {Rank: 2, Running: 9}}, c.at)
		c.advance(100 * time.Millisecond)
	}
	now := wheelgauge.Work{{Rank: 0, Running: 2}, {Rank: 2, Running: 9}}
	if got := u.reserved(now, 2, 24, c.at); got < 4 || got > 0.8*24-2 {
		t.Errorf("%.1f slots are kept for urgent requests of which 2 to 6 run, want at least 4", got)
	}
	if got := u.reserved(now, 0, 24, c.at); got != 0 {
		t.Errorf("%.1f slots are kept from the most urgent, want none", got)
	}
	if got := u.reserved(nil, 2, 24, c.at.Add(time.Minute)); got > 1 {
		t.Errorf("%.1f slots are kept a minute after the last urgent request, want none", got)
	}
}

// An engine whose memory is taken is full, although it has free slots.
func TestTakenMemoryIsFull(t *testing.T) {
	tb, _, _ := newModelTable(1)
	for range 12 {
		tb.Choose(engineJob(1, 50_000, 300)) // 12 of them fill 600,000 tokens
	}
	e, _ := tb.Predict(engineJob(1, 50_000, 300))
	l := tb.modelLoad(tb.servers["i0"], engineJob(1, 50_000, 300), 50_000, tb.now())
	if l.Slots > 12 || !l.Full() {
		t.Errorf("an engine with 12 long requests has %.0f slots, full %t, wait %s; want 12 and full", l.Slots, l.Full(), e.Wait())
	}
	if l := tb.modelLoad(tb.servers["i0"], engineJob(0, 500, 20), 500, tb.now()); l.Full() {
		t.Error("the engine is full for a more urgent request")
	}
}

// Pauses and ends that miss their targets make a server the last choice, not an impossible one.
func TestTargetCost(t *testing.T) {
	j := engineJob(0, 1000, 300).WithTargets(800*time.Millisecond, 400*time.Millisecond, 3*time.Second)
	tests := []struct {
		name        string
		forecast    wheelgauge.EngineForecast
		job         Job
		least, most float64
	}{
		{"in time", wheelgauge.EngineForecast{Pause: 200 * time.Millisecond, Last: 2 * time.Second}, j, 0, 0},
		{"nothing known", wheelgauge.EngineForecast{}, j, 0, 0},
		{"a pause at the objective", wheelgauge.EngineForecast{Pause: 400 * time.Millisecond}, j, 300, 500},
		{"a pause twice the objective", wheelgauge.EngineForecast{Pause: 800 * time.Millisecond}, j, 800, 800},
		{"no end in time", wheelgauge.EngineForecast{Last: 4 * time.Second}, j, endCostMS, endCostMS},
		{"no targets", wheelgauge.EngineForecast{Pause: time.Second, Last: time.Hour}, engineJob(0, 1000, 300), 0, 0},
	}
	for _, tt := range tests {
		if got := targetCost(tt.forecast, tt.job); got < tt.least || got > tt.most {
			t.Errorf("%s: %.0f ms, want %.0f to %.0f", tt.name, got, tt.least, tt.most)
		}
	}
}

// With nothing learned, a table with a model chooses as one without.
func TestNothingLearnedChoosesAlike(t *testing.T) {
	fixed, _, _ := newTestTable(engines, 5)
	learned, c, list := newTestTable(engines, 5)
	for i := range list {
		list[i].Slots = 24
	}
	fixed.replaceList(list, c.at)
	learned.replaceList(list, c.at)
	learned.SetEngineModel(enginemodel.New(c.now))
	for n := range 60 {
		j := NewJob(engines, prompt.Parse(fmt.Sprintf("sys:500,s%d:5000,own%d:%d", n%7, n, 300+97*n), fmt.Sprintf("%d,300", 5800+97*n), "300"), 1, nil)
		a, b := fixed.Choose(j), learned.Choose(j)
		if a.Server().Instance() != b.Server().Instance() {
			t.Fatalf("request %d goes to %s by the fixed figures and to %s by a model that has learned nothing", n, a.Server().Instance(), b.Server().Instance())
		}
		if n%3 == 0 {
			a.FirstEvent()
			b.FirstEvent()
		}
	}
}

// Hosts whose view of the others is old, or gone, still spread requests by what they send
// themselves.
func TestStaleViewsStillSpread(t *testing.T) {
	tb, c, list := newModelTable(3)
	uses := []wheelgauge.ServerUsage{{Instance: list[0].Instance, Running: 5, PrefillTokens: 30_000, Work: wheelgauge.Work{{Rank: 1, Running: 5, PrefillTokens: 30_000}}}}
	tb.SetUses(uses)
	c.advance(time.Minute)
	counts := map[string]int{}
	for range 30 {
		counts[tb.Choose(engineJob(1, 3000, 100)).Server().Instance()]++
	}
	for _, s := range list {
		if counts[s.Instance] < 7 {
			t.Errorf("%d of 30 requests go to %s, want at least 7: %v", counts[s.Instance], s.Instance, counts)
		}
	}
}

// Another region is judged by the engine that it would choose: it has room for one more while the
// mean engine is nearly full, and keeps slots for the urgent requests there.
func TestPredictAtOtherRegion(t *testing.T) {
	tb, _, _ := newModelTable(1)
	usage := func(urgent, less int) wheelgauge.ServiceUsage {
		return wheelgauge.ServiceUsage{Service: engines, Running: urgent + less, Servers: 10, Slots: 240, Work: wheelgauge.Work{{Rank: 0, Running: urgent}, {Rank: 2, Running: less}}}
	}
	tests := []struct {
		name         string
		rank         int
		urgent, less int
		full         bool
	}{
		{"room for one", 2, 0, 235, false},
		{"no room", 2, 0, 300, true},
		{"little is running", 2, 20, 50, false},
		{"urgent requests come and go", 2, 60, 130, true},
		{"urgent, behind less urgent", 0, 60, 600, false},
	}
	for _, tt := range tests {
		e := tb.PredictAt(*engineService, usage(tt.urgent, tt.less), engineJob(tt.rank, 2000, 300))
		if full := e.Wait() > 250*time.Millisecond; full != tt.full {
			t.Errorf("%s: the wait is %s, want it long: %t", tt.name, e.Wait(), tt.full)
		}
	}
}

// A caller that states far more tokens than an engine holds must not make engines look full to
// others of its rank; what is known of a service goes with its servers.
func TestStatedTokensAreBounded(t *testing.T) {
	tb, c, _ := newModelTable(1)
	for range 100 {
		tb.Choose(engineJob(1, 2000, 100)).Done(Abandoned)
	}
	tb.Choose(engineJob(1, 100_000_000, 100_000_000)).Done(Abandoned)
	for range 8 {
		tb.Choose(engineJob(1, 2000, 100))
	}
	if l := tb.modelLoad(tb.servers["i0"], engineJob(1, 2000, 100), 2000, tb.now()); l.NoSlot() {
		t.Errorf("an engine with 8 short requests has %.0f slots, want more", l.Slots)
	}
	tb.replaceList(nil, c.at)
	if n := len(tb.residentTokens); n != 0 {
		t.Errorf("means of %d ranks are kept for a service without servers", n)
	}
}
