package confstore

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
	"wheelgauge/hosttable"
	"wheelgauge/serverlimit"
	"wheelgauge/serverlist"
)

// readList sets the list of a region that a store read.
func readList(t testing.TB, n *Node, region string, at time.Time, list []wheelgauge.Server) {
	t.Helper()
	if err := n.servers.Read(region, list, at); err != nil {
		t.Fatal(err)
	}
}

// Leaving servers are no capacity; cold ones are named apart until the
// countdown of the list ends. A region without a reporting host has no age.
func TestRegionUsesTellColdServers(t *testing.T) {
	at := time.Unix(1000, 0)
	now := func() time.Time { return at }
	n := newEntryNode(t, at)
	n.servers, n.limits, n.hosts = serverlist.New(now), serverlimit.New(now), hosttable.New(now)
	n.machine = configstate.New()
	readList(t, n, "north", at, []wheelgauge.Server{
		{Instance: "warm", Service: "s", Hall: "n1", Slots: 4},
		{Instance: "cold", Service: "s", Hall: "n1", Slots: 4, ColdMS: 2000},
		{Instance: "leaving", Service: "s", Hall: "n1", Slots: 4, Leaving: true},
	})
	readList(t, n, "south", at, []wheelgauge.Server{{Instance: "other", Service: "s", Hall: "s1", Slots: 4}})
	if err := n.hosts.RecordHeartbeat(wheelgauge.FleetHeartbeat{Host: wheelgauge.FleetHost{Name: "a", Region: "north"}, Primary: true}, time.Hour); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name  string
		after time.Duration
		cold  int
	}{
		{"cold", 500 * time.Millisecond, 1},
		{"no longer cold", 2 * time.Second, 0},
	}
	for _, tt := range tests {
		at = time.Unix(1000, 0).Add(tt.after)
		for _, r := range n.regionUses() {
			u := r.Services[0]
			switch r.Region {
			case "north":
				if u.Servers != 2 || u.Slots != 8 || u.ColdServers != tt.cold || u.ColdSlots != 4*tt.cold || r.AgeMS != tt.after.Milliseconds() {
					t.Errorf("%s: got %+v of age %d ms, want 2 servers, %d of them cold, of age %s", tt.name, u, r.AgeMS, tt.cold, tt.after)
				}
			case "south":
				if u.Servers != 1 || r.AgeMS >= 0 {
					t.Errorf("%s: got %+v of age %d ms, want 1 server and no age", tt.name, u, r.AgeMS)
				}
			}
		}
	}
}
