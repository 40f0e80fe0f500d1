package serverset

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

// bornTable has one engine that was started at a moment, and holds a prompt's parts.
func bornTable(t *testing.T, now *time.Time) (*Table, Job) {
	t.Helper()
	service := &wheelgauge.Service{Name: "s", Conns: 10, CacheTokens: 1000, ColdRate: 3}
	table := New(Place{Host: "a", Hall: "h", Peers: []string{"a"}, Named: []string{"a"}}, func(string) *wheelgauge.Service { return service }, func() time.Time { return *now })
	table.Update([]wheelgauge.Server{engineBorn(100)}, *now)
	j := NewJob("s", prompt.Parse("x:500,y:10", "510,10", ""), 0, nil)
	k := table.Choose(j)
	k.Began()
	k.Done(Served)
	return table, j
}

func engineBorn(born int64) wheelgauge.Server {
	return wheelgauge.Server{Instance: "i", Born: born, Service: "s", Address: "127.0.0.1:1", Hall: "h", Slots: 4}
}

// Whatever was learned of a server says nothing of a later start under the same name.
func TestRebornServer(t *testing.T) {
	tests := []struct {
		name  string
		learn func(table *Table, j Job, now *time.Time)
		// differs tells whether the server is other than a new one.
		differs func(s *Server) bool
	}{
		{"parts of prompts", func(*Table, Job, *time.Time) {}, func(s *Server) bool { return len(s.cached) > 0 }},
		{"failures", func(table *Table, j Job, _ *time.Time) { table.Choose(j).Done(Failed) }, func(s *Server) bool { return s.failRate > 0 }},
		{"gone from its address", func(table *Table, j Job, _ *time.Time) { table.Choose(j).Done(Gone) }, func(s *Server) bool { return s.gone }},
		{"out of reach", func(table *Table, j Job, _ *time.Time) { table.Choose(j).Done(Unreached) }, func(s *Server) bool { return s.pause > 0 || !s.lostUntil.IsZero() }},
		{"full", func(table *Table, j Job, _ *time.Time) { table.Choose(j).Report(Reported{running: 3, slots: 4}, true) }, func(s *Server) bool { return s.full > 0 || s.slots > 0 }},
		{"requests in flight", func(table *Table, j Job, _ *time.Time) { table.Choose(j) }, func(s *Server) bool { return s.running > 0 || s.tokens > 0 }},
		{"speed", func(table *Table, j Job, now *time.Time) {
			k := table.Choose(j)
			*now = now.Add(time.Second)
			k.Done(Served)
		}, func(s *Server) bool { return s.service > 0 }},
		{"others' requests", func(table *Table, _ Job, _ *time.Time) {
			table.SetUses([]wheelgauge.ServerUse{{Instance: "i", Born: 100, Running: 7, Lost: 3}})
		}, func(s *Server) bool { return s.others.Running > 0 || !s.pausedUntil.IsZero() }},
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		table, j := bornTable(t, &now)
		tt.learn(table, j, &now)
		if !tt.differs(table.servers["i"]) {
			t.Fatalf("%s: the test teaches nothing", tt.name)
		}
		now = now.Add(time.Second)
		table.Update([]wheelgauge.Server{engineBorn(200)}, now)
		if tt.differs(table.servers["i"]) {
			t.Errorf("%s: known of the new start", tt.name)
		}
	}
}

// What an earlier start is owed comes too late: the new one is credited with nothing.
func TestLateWordOfAnEarlierStart(t *testing.T) {
	now := time.Unix(1000, 0)
	table, j := bornTable(t, &now)
	late := table.Choose(j)
	table.Update([]wheelgauge.Server{engineBorn(200)}, now)
	late.Began()
	late.Report(Reported{running: 4, slots: 4}, true)
	late.Done(Failed)
	table.SetUses([]wheelgauge.ServerUse{{Instance: "i", Born: 100, Running: 9, Lost: 5}})
	s := table.servers["i"]
	if len(s.cached) > 0 || s.full > 0 || s.failRate > 0 || s.running != 0 || s.others.Running != 0 || !s.pausedUntil.IsZero() {
		t.Errorf("the new start is taken for %+v", s)
	}
	if table.holder(j, now) != nil {
		t.Error("the new start is taken to hold what the earlier one read")
	}
	table.Update([]wheelgauge.Server{engineBorn(100)}, now)
	if got := table.servers["i"]; got != s || got.spec.Born != 200 {
		t.Error("an earlier start replaced a later one")
	}
}

// A server that was warm and is cold again may have started again, where the list does
// not tell: it is not taken to hold anything.
func TestColdAgainForgets(t *testing.T) {
	tests := []struct {
		name   string
		coldMS int64
		holds  bool
	}{{"warm", 0, true}, {"cold again", 3000, false}}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		table, _ := bornTable(t, &now)
		spec := engineBorn(100)
		spec.ColdMS = tt.coldMS
		table.Update([]wheelgauge.Server{spec}, now)
		if holds := len(table.servers["i"].cached) > 0; holds != tt.holds {
			t.Errorf("%s: holds parts is %v", tt.name, holds)
		}
	}
}
