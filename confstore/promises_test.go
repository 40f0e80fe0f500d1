package confstore

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/promiserelay"
)

// A host gets what others of its region promised since the version that it has; one that has the
// version of another store, or of an earlier start of this one, gets all.
func TestPromisesOfOtherHosts(t *testing.T) {
	clock := manualclock.New()
	n := &Node{boot: 7, promises: promiserelay.New(clock.Now)}
	n.promises.Add("north", "a", wheelgauge.ReturnPromises{{Hash: 1, In: time.Second}, {Hash: 2, In: time.Second}})
	tests := []struct {
		name         string
		host, region string
		boot, since  uint64
		want         int
	}{
		{"new host", "b", "north", 0, 1, 2},
		{"none yet", "b", "north", 7, 1, 2},
		{"up to date", "b", "north", 7, 3, 0},
		{"one is new", "b", "north", 7, 2, 1},
		{"another start of the store", "b", "north", 6, 3, 2},
		{"makes no promises", "b", "north", 7, 0, 0},
		{"makes no promises, new", "b", "north", 0, 0, 0},
		{"the host that promised", "a", "north", 7, 1, 0},
		{"another region", "c", "south", 7, 1, 0},
	}
	for _, tt := range tests {
		var a wheelgauge.FleetHeartbeatResponse
		n.addPromises(&a, wheelgauge.FleetHeartbeat{Host: wheelgauge.FleetHost{Name: tt.host, Region: tt.region}, StoreBoot: tt.boot, PromisesVersion: tt.since})
		if len(a.Promises) != tt.want {
			t.Errorf("%s: got %d promises, want %d", tt.name, len(a.Promises), tt.want)
		}
		if tt.since == 0 && a.PromisesVersion != 0 {
			t.Errorf("%s: got version %d, want none", tt.name, a.PromisesVersion)
		}
	}
}
