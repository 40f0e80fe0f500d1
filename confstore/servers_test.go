package confstore

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/capallocator"
	"wheelgauge/hallorders"
	"wheelgauge/hosttable"
	"wheelgauge/native"
	"wheelgauge/serverlist"
)

// countingList lists one server for each hall and counts how often each hall is read.
type countingList struct {
	mu    sync.Mutex
	reads map[string]int
}

func (l *countingList) Servers(_ context.Context, halls []string) ([]wheelgauge.Server, wheelgauge.InvalidEntries, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wheelgauge.Server
	for _, hall := range halls {
		l.reads[hall]++
		out = append(out, wheelgauge.Server{Instance: "i-" + hall, Hall: hall})
	}
	return out, nil, nil
}

func (l *countingList) counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.reads)
}

// startStore starts one of several stores that form a new replica group.
func startStore(t *testing.T, address, region string, seeds []string, l wheelgauge.ServerList) *Node {
	t.Helper()
	n, err := Open(context.Background(), Options{
		Name: address, Region: region, RegionByHall: map[string]string{"n1": "north", "n2": "north", "s1": "south", "w1": "west"},
		Dir: t.TempDir(), PeerAddress: address, Seeds: seeds, Bootstrap: true, Tick: 20 * time.Millisecond, PollInterval: 500 * time.Millisecond,
		DecodeRoutes: native.Decode, ServerList: l, Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// Each hall is read by one store for all, and by another once that store is dead. If every
// store read every hall, five of them would make 28 calls a second to the list of 210
// servers, and the provider of the list counts calls.
func TestEachHallIsPolledByOneStore(t *testing.T) {
	seeds := []string{"127.0.93.1:8092", "127.0.93.2:8092", "127.0.93.3:8092", "127.0.93.4:8092"}
	regions := []string{"north", "north", "south", "south"}
	var lists []*countingList
	var nodes []*Node
	for i, address := range seeds {
		lists = append(lists, &countingList{reads: map[string]int{}})
		nodes = append(nodes, startStore(t, address, regions[i], seeds, lists[i]))
	}
	stopped := map[int]bool{}
	stop := func(i int) {
		if !stopped[i] {
			stopped[i] = true
			if err := nodes[i].Close(); err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(func() {
		for i := range nodes {
			stop(i)
		}
	})
	// stable reports whether, over some polls, only the wanted stores read the halls.
	stable := func(want map[string]int) bool {
		var before []map[string]int
		for _, l := range lists {
			before = append(before, l.counts())
		}
		eventually(t, "some polls", func() bool {
			for hall, reader := range want {
				if lists[reader].counts()[hall] < before[reader][hall]+4 {
					return false
				}
			}
			return true
		})
		for hall, reader := range want {
			for i, l := range lists {
				if i != reader && !stopped[i] && l.counts()[hall] != before[i][hall] {
					return false
				}
			}
		}
		return true
	}
	eventually(t, "one reader for each hall", func() bool { return stable(map[string]int{"n1": 0, "n2": 0, "s1": 2, "w1": 0}) })
	for i, n := range nodes {
		listed := 0
		for _, region := range []string{"north", "south", "west"} {
			listed += len(n.servers.Servers(region))
		}
		if listed != 4 {
			t.Errorf("store %d: got %d servers, want 4", i, listed)
		}
	}
	stop(0)
	eventually(t, "another reader once one has stopped", func() bool { return stable(map[string]int{"n1": 1, "n2": 1, "s1": 2, "w1": 1}) })
	for _, i := range []int{1, 2, 3} {
		for _, region := range []string{"north", "south", "west"} {
			if age, ok := nodes[i].servers.Age(region); !ok || age > 5*time.Second {
				t.Errorf("store %d: list of %s is %s old, want at most 5 s", i, region, age)
			}
		}
	}
}

// A store that is cut off from the others reads everything itself.
func TestStaleListIsPolledByAnyStore(t *testing.T) {
	n := &Node{
		o: Options{Clock: wheelgauge.MonotonicClock{}, PeerAddress: "b", Region: "north", PollInterval: time.Second}, servers: serverlist.New(time.Now), hosts: hosttable.New(time.Now),
		caps: capallocator.New(capallocator.Options{Self: "b", Boot: 1, Now: time.Now}), hallOrders: hallorders.New(time.Now),
	}
	n.applyUpdate(wheelgauge.StoreUpdate{StoreBoot: 2, Address: "a", Region: "south"})
	tests := []struct {
		region string
		age    time.Duration
		want   bool
	}{
		{"north", 0, true},
		{"south", 0, false},
		{"south", 3 * time.Second, true},
		{"west", 0, false}, // no store is in this region: the first of all stores reads it
		{"west", 3 * time.Second, true},
	}
	for _, tt := range tests {
		n.servers = serverlist.New(time.Now)
		readList(t, n, tt.region, time.Now().Add(-tt.age), nil)
		if got := n.isReader(tt.region); got != tt.want {
			t.Errorf("list of %s, %s old: got reader %t, want %t", tt.region, tt.age, got, tt.want)
		}
	}
	if !n.isReader("unknown") {
		t.Error("a region without a known list is not read")
	}
}

// A store hears another region while one of its stores sends updates.
func TestStoreHearsOtherRegion(t *testing.T) {
	var p peerStores
	at := time.Unix(1000, 0)
	p.recordUpdate("a", "north", at)
	for _, tt := range []struct {
		region string
		since  time.Duration
		want   bool
	}{{"north", -time.Second, false}, {"south", -time.Second, true}, {"south", time.Second, false}} {
		if got := p.hearsOtherRegion(tt.region, at.Add(tt.since)); got != tt.want {
			t.Errorf("%s, since %v: got %v, want %v", tt.region, tt.since, got, tt.want)
		}
	}
}
