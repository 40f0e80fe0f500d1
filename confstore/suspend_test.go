package confstore

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/fake/suspendclock"
	"wheelgauge/native"
)

// A store that resumes after a suspend must not treat old information as current: hosts seen
// before count as silent, the server list has its real age, stores seen before do not count
// as readers of lists, and old crashes no longer count.
func TestStoreAfterSuspend(t *testing.T) {
	const suspended = 20 * time.Minute
	clock := &suspendclock.Clock{}
	address := "127.0.86.1:7803"
	n, err := Open(context.Background(), Options{
		Name: "s", Region: "north", Hall: "n", RegionByHall: map[string]string{"n": "north"}, Dir: t.TempDir(), PeerAddress: address,
		Seeds: []string{address}, Bootstrap: true, Tick: 20 * time.Millisecond, PollInterval: time.Hour, DecodeRoutes: native.Decode, ServerList: &countingList{reads: map[string]int{}}, Log: logr.Discard(), Clock: clock,
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
	n.hosts.RecordHeartbeat(wheelgauge.FleetHeartbeat{Host: wheelgauge.FleetHost{Name: "g", Region: "north"}}, time.Second)
	n.peers.recordUpdate("other", "north", n.now())
	n.crashes.Merge([]wheelgauge.Crash{{Fingerprint: "p", Server: "a"}, {Fingerprint: "p", Server: "b"}, {Fingerprint: "p", Server: "c"}})
	if hosts, _ := n.hosts.Hosts(); len(hosts) != 1 {
		t.Fatalf("got %d hosts, want 1", len(hosts))
	}
	clock.Suspend(suspended)
	if age, _ := n.servers.Age("north"); age < suspended {
		t.Errorf("got a list age of %s, want at least that of the suspend", age)
	}
	eventually(t, "the host counts as silent", func() bool { hosts, _ := n.hosts.Hosts(); return len(hosts) == 0 })
	if first := n.peers.reader(address, "north", "north", n.now().Add(-time.Minute)); first != address {
		t.Errorf("%s is the reader of the list, but its last update is %s old", first, suspended)
	}
}
