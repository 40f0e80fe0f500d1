package confstore

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/fake/fakeclock"
	"wheelgauge/native"
)

// A store that wakes tells nothing as if it had been heard just now: hosts that it heard
// of before count as silent, its list of servers is as old as it is, stores that it heard
// of do not read lists, and crashes of long ago count no more.
func TestStoreWakes(t *testing.T) {
	const nap = 20 * time.Minute
	clock := &fakeclock.Clock{}
	address := "127.0.86.1:7803"
	n, err := Open(context.Background(), Options{
		Name: "s", Region: "north", Hall: "n", Halls: map[string]string{"n": "north"}, Dir: t.TempDir(), Peer: address,
		Seeds: []string{address}, First: true, Tick: 20 * time.Millisecond, PollEvery: time.Hour, Decode: native.Decode, List: &countedList{reads: map[string]int{}}, Log: logr.Discard(), Clock: clock,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Close(); err != nil {
			t.Error(err)
		}
	})
	eventually(t, "the list is read", func() bool { _, ok := n.servers.Age("north"); return ok })
	n.hosts.Take(wheelgauge.Beat{Host: wheelgauge.FleetHost{Name: "g", Region: "north"}}, time.Second)
	n.members.heard("other", "north", n.now())
	n.crashes.Merge([]wheelgauge.Crash{{Request: "p", Server: "a"}, {Request: "p", Server: "b"}, {Request: "p", Server: "c"}})
	if hosts, _ := n.hosts.Hosts(); len(hosts) != 1 {
		t.Fatalf("%d hosts", len(hosts))
	}
	clock.Suspend(nap)
	if age, _ := n.servers.Age("north"); age < nap {
		t.Errorf("the list is told to be %s old", age)
	}
	eventually(t, "the host counts as silent", func() bool { hosts, _ := n.hosts.Hosts(); return len(hosts) == 0 })
	if first := n.members.first(address, "north", "north", n.now().Add(-time.Minute)); first != address {
		t.Errorf("%s reads the list, which was heard of %s ago", first, nap)
	}
}
