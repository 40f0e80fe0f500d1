package heartbeat

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/promises"
)

func (s *fakeStore) promised() (list wheelgauge.ReturnPromises, versions []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.heartbeats {
		list = append(list, b.Promises...)
		versions = append(versions, b.PromisesVersion)
	}
	return list, versions
}

// Promises go to the primary store only, each once, and again to one that has restarted; those
// that it sends are merged, and the host names the version that it has.
func TestPromisesAreSent(t *testing.T) {
	near, far := newStore(t, "here", 3), newStore(t, "there", 3)
	near.set(func(a *wheelgauge.FleetHeartbeatResponse) {
		a.Promises, a.PromisesVersion = wheelgauge.ReturnPromises{{Hash: wheelgauge.HashOf("other"), BodySize: 1, In: 100 * time.Millisecond}}, 5
	})
	table := promises.New(time.Now)
	table.Add("own", 2, time.Now().Add(5*time.Second))
	startWith(t, []*fakeStore{near, far}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: interval, Receiver: &recorder{}, Log: logr.Discard(), Promises: table,
	})
	sent := func() int { list, _ := near.promised(); return len(list) }
	waitFor(t, "the promise at the primary", func() bool { return sent() == 1 })
	waitFor(t, "the version in heartbeats", func() bool {
		_, versions := near.promised()
		return versions[len(versions)-1] == 5
	})
	waitFor(t, "the other host's promise here", func() bool {
		returning, _ := table.Take(1, func() wheelgauge.Fingerprint { return "other" })
		return returning
	})
	waitFor(t, "more heartbeats at the far store", func() bool { return far.count() > 3 })
	if list, _ := far.promised(); len(list) > 0 {
		t.Errorf("promises went to a store that is not the primary: %v", list)
	}
	if sent() != 1 {
		t.Errorf("the promise was sent %d times, want once", sent())
	}
	near.set(func(a *wheelgauge.FleetHeartbeatResponse) { a.StoreBoot = 78 })
	waitFor(t, "the promise at the restarted store", func() bool { return sent() == 2 })
}
