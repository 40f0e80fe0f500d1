package confstore

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/configlog"
	"wheelgauge/hosttable"
	"wheelgauge/native"
)

// entryNode is a store with hosts and a route that may run in the north only.
func entryNode(t *testing.T, started time.Time, hosts ...wheelgauge.FleetHost) *Node {
	t.Helper()
	n := &Node{
		o:       Options{Clock: wheelgauge.SteadyClock{}, Decode: native.Decode, Halls: map[string]string{"n1": "north", "s1": "south", "w1": "west"}},
		started: started, machine: configlog.New(), hosts: hosttable.New(time.Now),
	}
	putHomes(t, n, 1, "north")
	for _, h := range hosts {
		h.Ready = true
		n.hosts.Take(wheelgauge.Beat{Host: h}, time.Hour)
	}
	return n
}

// putHomes applies a configuration of one route with homes.
func putHomes(t *testing.T, n *Node, version uint64, homes ...string) {
	t.Helper()
	body, err := json.Marshal(wheelgauge.RouteSet{Version: version, Routes: []wheelgauge.PathRoute{{Host: "h", Prefix: "/", Homes: homes}}})
	if err != nil {
		t.Fatal(err)
	}
	command, err := json.Marshal(configlog.Command{Op: configlog.OpPut, Version: version, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	n.machine.Apply(version, command)
}

func TestEntryAddresses(t *testing.T) {
	host := func(name, region string, leaving bool) wheelgauge.FleetHost {
		return wheelgauge.FleetHost{Name: name, Region: region, Caller: name, Leaving: leaving}
	}
	long := time.Now().Add(-time.Hour)
	tests := []struct {
		name    string
		started time.Time
		hosts   []wheelgauge.FleetHost
		want    []string
	}{
		{"own region", long, []wheelgauge.FleetHost{host("n", "north", false), host("s", "south", false)}, []string{"s"}},
		{"leaving hosts are left out", long, []wheelgauge.FleetHost{host("s", "south", true), host("t", "south", false)}, []string{"t"}},
		{"all of the region leave: homes first", long, []wheelgauge.FleetHost{host("s", "south", true), host("n", "north", false)}, []string{"n"}},
		{"all of the region leave, no home is there", long, []wheelgauge.FleetHost{host("s", "south", true), host("w", "west", false)}, []string{"s"}},
		{"none of the region: homes first", long, []wheelgauge.FleetHost{host("n", "north", false), host("w", "west", false)}, []string{"n"}},
		{"no home either", long, []wheelgauge.FleetHost{host("w", "west", false)}, []string{"w"}},
		{"a store that has just started does not know", time.Now(), []wheelgauge.FleetHost{host("n", "north", false)}, nil},
		{"nobody", long, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _, err := entryNode(t, tt.started, tt.hosts...).EntryAddresses("h", "south")
			if !slices.Equal(got, tt.want) || (err != nil) != (tt.want == nil) {
				t.Errorf("got %v, %v, want %v", got, err, tt.want)
			}
		})
	}
}

// Callers read 64 addresses of an answer. In a region of two halls with 50 hosts
// each these were the first by name: 50 of one hall and 14 of the other, so that
// nearly all callers stood before dark hosts when the first hall was lost.
func TestEntryAddressesOfManyHosts(t *testing.T) {
	var hosts []wheelgauge.FleetHost
	for _, hall := range []string{"s1", "s2"} {
		for i := range 50 {
			name := fmt.Sprintf("%s-%d", hall, i)
			hosts = append(hosts, wheelgauge.FleetHost{Name: name, Region: "south", Hall: hall, Caller: name})
		}
	}
	got, _, err := entryNode(t, time.Now().Add(-time.Hour), hosts...).EntryAddresses("h", "south")
	if err != nil {
		t.Fatal(err)
	}
	halls := map[string]int{}
	for _, a := range got[:min(64, len(got))] {
		halls[a[:2]]++
	}
	if halls["s1"] != 16 || halls["s2"] != 16 {
		t.Errorf("named %v, want 16 of each hall", halls)
	}
}

func TestHowLongEntryAnswersHold(t *testing.T) {
	north, south := wheelgauge.FleetHost{Name: "n", Region: "north"}, wheelgauge.FleetHost{Name: "s", Region: "south"}
	leaving, other := north, north
	leaving.Leaving, other.Name = true, "m"
	tests := []struct {
		name   string
		caller string
		hosts  []wheelgauge.FleetHost
		want   time.Duration
	}{
		{"own region", "north", []wheelgauge.FleetHost{north}, calmHold},
		{"own region, a host leaves", "north", []wheelgauge.FleetHost{north, other, leaving}, briefHold},
		{"another region: its own stores are silent", "south", []wheelgauge.FleetHost{south}, farHold},
		{"another region without hosts", "south", []wheelgauge.FleetHost{north}, briefHold},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := entryNode(t, time.Now().Add(-time.Hour), tt.hosts...)
			n.o.Region = "north"
			_, hold, err := n.EntryAddresses("h", tt.caller)
			if err != nil || hold != tt.want {
				t.Errorf("holds for %s (%v), want %s", hold, err, tt.want)
			}
		})
	}
}

// A configuration is decoded once, however many callers ask where to go, and
// the homes of the next one hold at once.
func TestHomesOfTheVersionHeld(t *testing.T) {
	n := entryNode(t, time.Now().Add(-time.Hour))
	decoded := 0
	n.o.Decode = func(body []byte) (*wheelgauge.RouteSet, error) {
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
			if got := n.homes("h"); !slices.Equal(got, v.homes) {
				t.Errorf("version %d: homes %v, want %v", v.version, got, v.homes)
			}
		}
	}
	if decoded != len(versions) {
		t.Errorf("%d configurations were decoded %d times", len(versions), decoded)
	}
}
