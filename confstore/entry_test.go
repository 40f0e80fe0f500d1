package confstore

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
	"wheelgauge/hosttable"
	"wheelgauge/native"
)

// newEntryNode returns a store with hosts and a route that may run in the north only.
func newEntryNode(t *testing.T, started time.Time, hosts ...wheelgauge.FleetHost) *Node {
	t.Helper()
	n := &Node{
		o:       Options{Clock: wheelgauge.MonotonicClock{}, DecodeRoutes: native.Decode, RegionByHall: map[string]string{"n1": "north", "s1": "south", "w1": "west"}},
		started: started, machine: configstate.New(), hosts: hosttable.New(time.Now),
	}
	putHomes(t, n, 1, "north")
	for _, h := range hosts {
		h.Ready = true
		n.hosts.RecordHeartbeat(wheelgauge.FleetHeartbeat{Host: h}, time.Hour)
	}
	return n
}

// putHomes applies a configuration with one route that has these home regions.
func putHomes(t *testing.T, n *Node, version uint64, homes ...string) {
	t.Helper()
	body, err := json.Marshal(wheelgauge.RouteSet{Version: version, Routes: []wheelgauge.PathRoute{{Host: "h", Prefix: "/", HomeRegions: homes}}})
	if err != nil {
		t.Fatal(err)
	}
	command, err := json.Marshal(configstate.Command{Op: configstate.OpPut, Version: version, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	n.machine.Apply(version, command)
}

func TestEntryAddresses(t *testing.T) {
	host := func(name, region string, leaving bool) wheelgauge.FleetHost {
		return wheelgauge.FleetHost{Name: name, Region: region, CallerAddress: name, Leaving: leaving}
	}
	longAgo := time.Now().Add(-time.Hour)
	tests := []struct {
		name    string
		started time.Time
		hosts   []wheelgauge.FleetHost
		want    []string
	}{
		{"own region", longAgo, []wheelgauge.FleetHost{host("n", "north", false), host("s", "south", false)}, []string{"s"}},
		{"leaving hosts are left out", longAgo, []wheelgauge.FleetHost{host("s", "south", true), host("t", "south", false)}, []string{"t"}},
		{"all of the region leave: homes first", longAgo, []wheelgauge.FleetHost{host("s", "south", true), host("n", "north", false)}, []string{"n"}},
		{"all of the region leave, no home is there", longAgo, []wheelgauge.FleetHost{host("s", "south", true), host("w", "west", false)}, []string{"s"}},
		{"none of the region: homes first", longAgo, []wheelgauge.FleetHost{host("n", "north", false), host("w", "west", false)}, []string{"n"}},
		{"no home either", longAgo, []wheelgauge.FleetHost{host("w", "west", false)}, []string{"w"}},
		{"a store that has just started does not know", time.Now(), []wheelgauge.FleetHost{host("n", "north", false)}, nil},
		{"nobody", longAgo, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _, err := newEntryNode(t, tt.started, tt.hosts...).EntryAddresses("h", "south")
			if !slices.Equal(got, tt.want) || (err != nil) != (tt.want == nil) {
				t.Errorf("got %v, %v, want %v", got, err, tt.want)
			}
		})
	}
}

// Callers read 64 addresses of an answer. If the first by name were returned, a region of
// two halls with 50 hosts each would get 50 of one hall and 14 of the other, and nearly all
// callers would try unreachable hosts when the first hall is lost.
func TestEntryAddressesOfManyHosts(t *testing.T) {
	var hosts []wheelgauge.FleetHost
	for _, hall := range []string{"s1", "s2"} {
		for i := range 50 {
			name := fmt.Sprintf("%s-%d", hall, i)
			hosts = append(hosts, wheelgauge.FleetHost{Name: name, Region: "south", Hall: hall, CallerAddress: name})
		}
	}
	got, _, err := newEntryNode(t, time.Now().Add(-time.Hour), hosts...).EntryAddresses("h", "south")
	if err != nil {
		t.Fatal(err)
	}
	halls := map[string]int{}
	for _, a := range got[:min(64, len(got))] {
		halls[a[:2]]++
	}
	if halls["s1"] != 16 || halls["s2"] != 16 {
		t.Errorf("got hosts by hall %v, want 16 of each hall", halls)
	}
}

func TestEntryAddressTTL(t *testing.T) {
	north, south := wheelgauge.FleetHost{Name: "n", Region: "north"}, wheelgauge.FleetHost{Name: "s", Region: "south"}
	leaving, other := north, north
	leaving.Leaving, other.Name = true, "m"
	tests := []struct {
		name   string
		caller string
		hosts  []wheelgauge.FleetHost
		want   time.Duration
	}{
		{"own region", "north", []wheelgauge.FleetHost{north}, stableTTL},
		{"own region, a host leaves", "north", []wheelgauge.FleetHost{north, other, leaving}, unstableTTL},
		{"another region: its own stores are silent", "south", []wheelgauge.FleetHost{south}, remoteTTL},
		{"another region without hosts", "south", []wheelgauge.FleetHost{north}, unstableTTL},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newEntryNode(t, time.Now().Add(-time.Hour), tt.hosts...)
			n.o.Region = "north"
			_, ttl, err := n.EntryAddresses("h", tt.caller)
			if err != nil || ttl != tt.want {
				t.Errorf("got TTL %s (%v), want %s", ttl, err, tt.want)
			}
		})
	}
}

// A configuration is decoded once for any number of calls, and the home regions of the
// next version apply at once.
func TestHomeRegionsFollowTheVersion(t *testing.T) {
	n := newEntryNode(t, time.Now().Add(-time.Hour))
	decoded := 0
	n.o.DecodeRoutes = func(body []byte) (*wheelgauge.RouteSet, error) {
		decoded++
		return native.Decode(body)
	}
	versions := []struct {
		version uint64
		homes   []string
	}{
		{1, []string{"north"}},
		{2, []string{"south"}},
		{3, []string{"west"}},
	}
	for _, v := range versions {
		putHomes(t, n, v.version, v.homes...)
		for range 10 {
			if got := n.homeRegions("h"); !slices.Equal(got, v.homes) {
				t.Errorf("version %d: got home regions %v, want %v", v.version, got, v.homes)
			}
		}
	}
	if decoded != len(versions) {
		t.Errorf("want %d decodes, one for each version, got %d", len(versions), decoded)
	}
}
