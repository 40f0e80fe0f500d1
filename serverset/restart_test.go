package serverset

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/failurerate"
	"wheelgauge/prompt"
)

// tableWithInstance returns a table with one engine that has start time 100 and a prompt's
// parts cached.
func tableWithInstance(t *testing.T, now *time.Time) (*Table, Job) {
	t.Helper()
	service := &wheelgauge.Service{Name: "s", MaxConns: 10, KVCacheTokens: 1000, ColdRate: 3}
	table := New(Place{Host: "a", Hall: "h", Peers: []string{"a"}}, func(string) *wheelgauge.Service { return service }, func() time.Time { return *now })
	table.replaceList([]wheelgauge.Server{engineInstance(100)}, *now)
	j := NewJob("s", prompt.Parse("x:500,y:10", "510,10", ""), 0, nil)
	k := table.Choose(j)
	k.FirstEvent()
	k.Done(Served)
	return table, j
}

func engineInstance(startMS int64) wheelgauge.Server {
	return wheelgauge.Server{Instance: "i", StartUnixMS: startMS, Service: "s", Address: "127.0.0.1:1", Hall: "h", Slots: 4}
}

// What was learned of a server must not apply to a later instance under the same name.
func TestRestartedServerForgetsState(t *testing.T) {
	tests := []struct {
		name  string
		learn func(table *Table, j Job, now *time.Time)
		// differs reports whether the server differs from a new one.
		differs func(s *Server) bool
	}{
		{"parts of prompts", func(*Table, Job, *time.Time) {}, func(s *Server) bool { return len(s.cachedParts) > 0 }},
		{"failures", func(table *Table, j Job, _ *time.Time) { table.Choose(j).Done(Failed) }, func(s *Server) bool { return s.failures != (failurerate.Rate{}) }},
		{"address used by another server", func(table *Table, j Job, _ *time.Time) { table.Choose(j).Done(AddressReused) }, func(s *Server) bool { return s.replaced }},
		{"unreachable server", func(table *Table, j Job, _ *time.Time) { table.Choose(j).Done(Unreachable) }, func(s *Server) bool { return s.pause > 0 || !s.unreachableUntil.IsZero() }},
		{"full", func(table *Table, j Job, _ *time.Time) {
			table.Choose(j).Report(LoadReport{running: 3, slots: 4}, true)
		}, func(s *Server) bool { return s.shedLevel > 0 || s.slots > 0 }},
		{"requests in flight", func(table *Table, j Job, _ *time.Time) { table.Choose(j) }, func(s *Server) bool { return s.running > 0 || s.pendingTokens > 0 }},
		{"speed", func(table *Table, j Job, now *time.Time) {
			k := table.Choose(j)
			*now = now.Add(time.Second)
			k.Done(Served)
		}, func(s *Server) bool { return s.serviceTime > 0 }},
		{"requests of other hosts", func(table *Table, _ Job, _ *time.Time) {
			table.SetUses([]wheelgauge.ServerUsage{{Instance: "i", StartUnixMS: 100, Running: 7, UnreachableFrom: 3}})
		}, func(s *Server) bool { return s.peerUse.Running > 0 || !s.pausedUntil.IsZero() }},
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		table, j := tableWithInstance(t, &now)
		tt.learn(table, j, &now)
		if !tt.differs(table.servers["i"]) {
			t.Fatalf("%s: the table learned nothing to forget", tt.name)
		}
		now = now.Add(time.Second)
		table.replaceList([]wheelgauge.Server{engineInstance(200)}, now)
		if tt.differs(table.servers["i"]) {
			t.Errorf("%s: still applied to the new instance", tt.name)
		}
	}
}

// Reports of an earlier instance that arrive late must not be credited to the new one.
func TestLateReportsOfEarlierInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	table, j := tableWithInstance(t, &now)
	late := table.Choose(j)
	table.replaceList([]wheelgauge.Server{engineInstance(200)}, now)
	late.FirstEvent()
	late.Report(LoadReport{running: 4, slots: 4}, true)
	late.Done(Failed)
	table.SetUses([]wheelgauge.ServerUsage{{Instance: "i", StartUnixMS: 100, Running: 9, UnreachableFrom: 5}})
	s := table.servers["i"]
	if len(s.cachedParts) > 0 || s.shedLevel > 0 || s.failures != (failurerate.Rate{}) || s.running != 0 || s.peerUse.Running != 0 || !s.pausedUntil.IsZero() {
		t.Errorf("reports of the earlier instance changed the new one to %+v", s)
	}
	if table.lastHolder(j, now) != nil {
		t.Error("the new instance is assumed to have the earlier one's parts cached")
	}
	table.replaceList([]wheelgauge.Server{engineInstance(100)}, now)
	if got := table.servers["i"]; got != s || got.spec.StartUnixMS != 200 {
		t.Error("an earlier instance replaced a later one")
	}
}

// A warm server that is cold again may have restarted, even if the list does not identify
// instances: its cache is assumed to be empty.
func TestColdServerForgetsCache(t *testing.T) {
	tests := []struct {
		name   string
		coldMS int64
		holds  bool
	}{{"warm", 0, true}, {"cold again", 3000, false}}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		table, _ := tableWithInstance(t, &now)
		spec := engineInstance(100)
		spec.ColdMS = tt.coldMS
		table.replaceList([]wheelgauge.Server{spec}, now)
		if holds := len(table.servers["i"].cachedParts) > 0; holds != tt.holds {
			t.Errorf("%s: parts are assumed cached: %v", tt.name, holds)
		}
	}
}
