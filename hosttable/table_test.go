package hosttable

import (
	"reflect"
	"testing"
	"time"

	"wheelgauge"
)

const interval = time.Second

func heartbeatOf(name, region string, primary bool) wheelgauge.Beat {
	return wheelgauge.Beat{
		Host: wheelgauge.FleetHost{Name: name, Region: region, Ready: true}, Primary: primary,
		Uses:   []wheelgauge.ServerUse{{Instance: "i", Running: 2, Tokens: 10}},
		Totals: []wheelgauge.ServiceUse{{Service: "s", Running: 3, Tokens: 7}},
	}
}

func TestSilentHostsAreRemoved(t *testing.T) {
	at := time.Unix(0, 0)
	table := New(func() time.Time { return at })
	table.Take(heartbeatOf("a", "north", true), interval)
	table.Take(heartbeatOf("b", "south", false), interval)
	hosts, first := table.Hosts()
	if len(hosts) != 2 {
		t.Fatalf("%d hosts, want 2", len(hosts))
	}
	at = at.Add(2 * interval)
	table.Take(heartbeatOf("a", "north", true), interval)
	if hosts, again := table.Hosts(); len(hosts) != 2 || again != first {
		t.Errorf("after one lost heartbeat: %d hosts at version %d, want 2 at %d", len(hosts), again, first)
	}
	at = at.Add(interval)
	hosts, again := table.Hosts()
	if len(hosts) != 1 || hosts[0].Name != "a" || again == first {
		t.Errorf("after silence: got hosts %v at version %d, want host a at a new version", hosts, again)
	}
	if left := table.Uses("south", "nobody"); len(left) != 0 {
		t.Errorf("the silent host still counts as using %v", left)
	}
	if left := table.Uses("north", "nobody"); len(left) != 1 {
		t.Errorf("the live host uses %v, want one server", left)
	}
}

func TestSums(t *testing.T) {
	at := time.Unix(0, 0)
	table := New(func() time.Time { return at })
	for _, name := range []string{"a", "b", "c"} {
		table.Take(heartbeatOf(name, "north", true), interval)
	}
	table.Take(heartbeatOf("d", "south", true), interval)
	uses := table.Uses("north", "a")
	if len(uses) != 1 || !reflect.DeepEqual(uses[0], wheelgauge.ServerUse{Instance: "i", Running: 4, Tokens: 20}) {
		t.Errorf("the other hosts of the region use %v, want 4 requests and 20 tokens at i", uses)
	}
	if got := table.Regions()["north"]["s"]; got.Running != 9 || got.Tokens != 21 {
		t.Errorf("the region uses %+v, want 9 requests and 21 tokens", got)
	}
}

// In a region of two stores each is the primary of some hosts. What the hosts of the other
// one have in flight must be included from that store's reports; without them hosts do not
// see what half of the region sends to a server.
func TestLoadOfOtherStores(t *testing.T) {
	at := time.Unix(0, 0)
	table := New(func() time.Time { return at })
	table.Take(heartbeatOf("a", "north", true), interval)
	silent := heartbeatOf("b", "north", false)
	silent.Uses = nil // hosts report it to their primary only
	table.Take(silent, interval)
	report := wheelgauge.StoreNews{
		Address: "other", Region: "north",
		Loads: []wheelgauge.RegionLoad{{Region: "north", Hosts: 1, Uses: []wheelgauge.ServiceUse{{Service: "s", Running: 30, Tokens: 70}}}},
		Uses:  []wheelgauge.ServerUse{{Instance: "i", Running: 20, Tokens: 100}},
	}
	table.Relay(report)
	check := func(what string, atServer, inRegion int) {
		t.Helper()
		got := 0
		for _, u := range table.Uses("north", "a") {
			got += u.Running
		}
		if region := table.Regions()["north"]["s"].Running; got != atServer || region != inRegion {
			t.Errorf("%s: other hosts have %d in flight at the server, the region %d, want %d and %d", what, got, region, atServer, inRegion)
		}
	}
	check("told", 20, 33)
	if loads, uses := table.Own("north"); loads[0].Hosts != 1 || uses[0].Running != 2 {
		t.Errorf("reports %v %v, want those of its own hosts only", loads, uses)
	}
	at = at.Add(relayTTL + maxSumAge)
	// The store is silent: only the hosts' own heartbeats are left.
	check("silent", 0, 6)
	report.Loads[0].Hosts = 0
	table.Relay(report)
	at = at.Add(maxSumAge)
	check("report covers too few hosts", 20, 6)
}
