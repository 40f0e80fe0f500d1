package serverset

import (
	"testing"
	"time"

	"wheelgauge"
)

func TestFetchSource(t *testing.T) {
	tb, c, _ := newTestTable(engines, 3)
	tb.setRemoteServers([]wheelgauge.Server{
		{Instance: "far", Service: engines, Address: "far:1", Region: "busy"},
		{Instance: "idle", Service: engines, Address: "idle:1", Region: "calm"},
		{Instance: "app", Service: plain, Address: "app:1", Region: "busy"},
		{Instance: "leaving", Service: engines, Address: "leaving:1", Region: "busy", Leaving: true},
	})
	tb.SetBusiestRegion("busy")
	k := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil))
	if k.Source() != "far:1" {
		t.Errorf("a new prefix is fetched from %q, want the busiest region's server", k.Source())
	}
	k.FirstEvent()
	k.Done(Served)
	if k := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)); k.Source() != "" {
		t.Errorf("a prefix just used is fetched from %q, want no fetch", k.Source())
	}
	// Another server of the region fetches the prefix from the one that has it.
	other := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, []string{k.Server().Instance()}))
	if other.Source() != k.Server().Address() {
		t.Errorf("prefix is fetched from %q, want %q", other.Source(), k.Server().Address())
	}
	c.advance(assuredCacheTime + time.Second)
	if k := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)); k.Source() != "far:1" {
		t.Errorf("a prefix that was not used lately is fetched from %q, want the busiest region's server", k.Source())
	}
}

// A prefix stays with its server while a short queue there costs users less than a move; a
// long queue makes it move.
func TestPrefixMovesOnlyFromLongQueue(t *testing.T) {
	tests := []struct {
		name   string
		tokens int // prompt tokens queued ahead at the prefix's server
		stays  bool
	}{
		{"idle", 0, true},
		{"a short queue", 8_000, true},
		{"a long queue", 80_000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, _, _ := newTestTable(engines, 2)
			k := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil))
			holder := k.Server().Instance()
			k.FirstEvent()
			k.Done(Served)
			work := wheelgauge.Work{{Rank: 1, Running: 1, PrefillTokens: tt.tokens}}
			tb.SetUses([]wheelgauge.ServerUsage{{Instance: holder, Running: 1, PrefillTokens: tt.tokens, Work: work}})
			if got := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil)).Server().Instance(); (got == holder) != tt.stays {
				t.Errorf("request went to %s, its prefix is at %s, want it to stay: %v", got, holder, tt.stays)
			}
		})
	}
}

func TestMemoryIsNotFetchedFromAVersionThatMayNotServe(t *testing.T) {
	tb, _, _ := newTestTable(engines, 1)
	tb.setRemoteServers([]wheelgauge.Server{{Instance: "far", Service: engines, Address: "far:1", Region: "busy", Version: "v2"}})
	tb.SetBusiestRegion("busy")
	if k := tb.Choose(NewJob(engines, promptWithPrefix("x"), 1, nil).WithVersions(wheelgauge.OnlyVersion(""))); k.Source() != "" {
		t.Errorf("got source %q, want none of another version", k.Source())
	}
	for _, tt := range []struct {
		region, version string
		want            bool
	}{{"busy", "v2", true}, {"busy", "v1", false}, {"calm", "v2", false}} {
		if got := tb.RegionHasVersion(tt.region, engines, wheelgauge.OnlyVersion(tt.version)); got != tt.want {
			t.Errorf("region %s has version %s: %v, want %v", tt.region, tt.version, got, tt.want)
		}
	}
}

func TestSoleVersionNeedsARecentList(t *testing.T) {
	tb, c, list := newTestTable(engines, 1)
	list[0].Version = "v1"
	tb.replaceList(list, c.at)
	c.advance(time.Minute)
	if version, ok := tb.SoleVersion(engines, time.Second); ok {
		t.Errorf("got %q of a list that is a minute old, want none", version)
	}
	tb.ConfirmList(c.now())
	if version, ok := tb.SoleVersion(engines, time.Second); ok {
		t.Errorf("got %q right after a minute without a list, want none", version)
	}
	for range 4 {
		c.advance(time.Second)
		tb.ConfirmList(c.now())
	}
	if version, ok := tb.SoleVersion(engines, time.Second); !ok || version != "v1" {
		t.Errorf("got %q, %v of a recent list, want v1", version, ok)
	}
}
