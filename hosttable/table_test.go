package hosttable

import (
	"reflect"
	"testing"
	"time"

	"wheelgauge"
)

const interval = time.Second

func heartbeatOf(name, region string, primary bool) wheelgauge.FleetHeartbeat {
	return wheelgauge.FleetHeartbeat{
		Host: wheelgauge.FleetHost{Name: name, Region: region, Ready: true}, Primary: primary,
		ServerUsage:   []wheelgauge.ServerUsage{{Instance: "i", Running: 2, PrefillTokens: 10}},
		ServiceTotals: []wheelgauge.ServiceUsage{{Service: "s", Running: 3, PrefillTokens: 7}},
	}
}

func TestSilentHostsAreRemoved(t *testing.T) {
	at := time.Unix(0, 0)
	table := New(func() time.Time { return at })
	table.RecordHeartbeat(heartbeatOf("a", "north", true), interval)
	table.RecordHeartbeat(heartbeatOf("b", "south", false), interval)
	hosts, first := table.Hosts()
	if len(hosts) != 2 {
		t.Fatalf("%d hosts, want 2", len(hosts))
	}
	at = at.Add(2 * interval)
	table.RecordHeartbeat(heartbeatOf("a", "north", true), interval)
	if hosts, again := table.Hosts(); len(hosts) != 2 || again != first {
		t.Errorf("after one lost heartbeat: %d hosts at version %d, want 2 at %d", len(hosts), again, first)
	}
	at = at.Add(interval)
	hosts, again := table.Hosts()
	if len(hosts) != 1 || hosts[0].Name != "a" || again == first {
		t.Errorf("after silence: got hosts %v at version %d, want host a at a new version", hosts, again)
	}
	if left := table.UsageWithout("south", "nobody"); len(left) != 0 {
		t.Errorf("the silent host still counts as using %v", left)
	}
	if left := table.UsageWithout("north", "nobody"); len(left) != 1 {
		t.Errorf("the live host uses %v, want one server", left)
	}
}

// A host that is leaving was announced again by a heartbeat that it had sent before.
func TestLeavingHostDoesNotReturnInTheSameLife(t *testing.T) {
	heartbeat := func(boot uint64, leaving bool) wheelgauge.FleetHeartbeat {
		hb := heartbeatOf("a", "north", true)
		hb.Host.Boot, hb.Host.Leaving = boot, leaving
		return hb
	}
	steps := []struct {
		name    string
		sent    wheelgauge.FleetHeartbeat
		leaving bool
	}{
		{"it serves", heartbeat(7, false), false},
		{"it leaves", heartbeat(7, true), true},
		{"an earlier heartbeat arrives late", heartbeat(7, false), true},
		{"it starts again", heartbeat(9, false), false},
		{"it leaves again", heartbeat(9, true), true},
		{"it starts again with a clock that was set back", heartbeat(8, false), false},
	}
	table := New(time.Now)
	for _, s := range steps {
		if err := table.RecordHeartbeat(s.sent, interval); err != nil {
			t.Fatal(err)
		}
		if hosts, _ := table.Hosts(); len(hosts) != 1 || hosts[0].Leaving != s.leaving {
			t.Errorf("%s: got hosts %+v, want one that leaves: %v", s.name, hosts, s.leaving)
		}
	}
}

func TestSums(t *testing.T) {
	at := time.Unix(0, 0)
	table := New(func() time.Time { return at })
	for _, name := range []string{"a", "b", "c"} {
		table.RecordHeartbeat(heartbeatOf(name, "north", true), interval)
	}
	table.RecordHeartbeat(heartbeatOf("d", "south", true), interval)
	uses := table.UsageWithout("north", "a")
	if len(uses) != 1 || !reflect.DeepEqual(uses[0], wheelgauge.ServerUsage{Instance: "i", Running: 4, PrefillTokens: 20}) {
		t.Errorf("the other hosts of the region use %v, want 4 requests and 20 tokens at i", uses)
	}
	if got := table.RegionUsage()["north"]["s"]; got.Running != 9 || got.PrefillTokens != 21 {
		t.Errorf("the region uses %+v, want 9 requests and 21 tokens", got)
	}
}

// In a region of two stores each is the primary of some hosts. What the hosts of the other
// one have in flight must be included from that store's reports; without them hosts do not
// see what half of the region sends to a server.
func TestLoadOfOtherStores(t *testing.T) {
	at := time.Unix(0, 0)
	table := New(func() time.Time { return at })
	table.RecordHeartbeat(heartbeatOf("a", "north", true), interval)
	silent := heartbeatOf("b", "north", false)
	silent.ServerUsage = nil // hosts report it to their primary only
	table.RecordHeartbeat(silent, interval)
	report := wheelgauge.StoreUpdate{
		Address: "other", Region: "north",
		Loads:       []wheelgauge.RegionLoad{{Region: "north", Hosts: 1, Services: []wheelgauge.ServiceUsage{{Service: "s", Running: 30, PrefillTokens: 70}}}},
		ServerUsage: []wheelgauge.ServerUsage{{Instance: "i", Running: 20, PrefillTokens: 100}},
	}
	table.RecordStore(report)
	check := func(what string, atServer, inRegion int) {
		t.Helper()
		got := 0
		for _, u := range table.UsageWithout("north", "a") {
			got += u.Running
		}
		if region := table.RegionUsage()["north"]["s"].Running; got != atServer || region != inRegion {
			t.Errorf("%s: other hosts have %d in flight at the server, the region %d, want %d and %d", what, got, region, atServer, inRegion)
		}
	}
	check("told", 20, 33)
	if loads, uses := table.LocalLoad("north"); loads[0].Hosts != 1 || uses[0].Running != 2 {
		t.Errorf("reports %v %v, want those of its own hosts only", loads, uses)
	}
	at = at.Add(relayTTL + maxSumAge)
	// The store is silent: only the hosts' own heartbeats are left.
	check("silent", 0, 6)
	report.Loads[0].Hosts = 0
	table.RecordStore(report)
	at = at.Add(maxSumAge)
	check("report covers too few hosts", 20, 6)
}

// The age of a region's load is that of the report it is taken from.
func TestRegionAges(t *testing.T) {
	at := time.Unix(1000, 0)
	table := New(func() time.Time { return at })
	table.RecordHeartbeat(heartbeatOf("a", "north", true), interval)
	at = at.Add(relayTTL / 2)
	table.RecordStore(wheelgauge.StoreUpdate{Address: "other", Region: "south", Loads: []wheelgauge.RegionLoad{{Region: "south", Hosts: 1}}})
	at = at.Add(relayTTL / 4)
	ages := table.RegionAges()
	if len(ages) != 2 || ages["north"] != 3*relayTTL/4 || ages["south"] != relayTTL/4 {
		t.Errorf("got ages %v, want %s of north and %s of south", ages, 3*relayTTL/4, relayTTL/4)
	}
	at = at.Add(relayTTL)
	if age, ok := table.RegionAges()["south"]; ok {
		t.Errorf("the region whose store is silent has age %s, want none", age)
	}
}
