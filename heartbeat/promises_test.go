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

// checkOnlyPrimary reports promises in heartbeats to a store that is not the primary. Any store
// that answers first is the primary until a better one has answered.
func (s *fakeStore) checkOnlyPrimary(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.heartbeats {
		if !b.Primary && (len(b.Promises) > 0 || b.PromisesVersion > 0) {
			t.Errorf("promises went to a store that is not the primary: %v, version %d", b.Promises, b.PromisesVersion)
		}
	}
}

// others returns how many heartbeats came to the store as one that is not the primary.
func (s *fakeStore) others() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.heartbeats {
		if !b.Primary {
			n++
		}
	}
	return n
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
	waitFor(t, "more heartbeats at the far store", func() bool { return far.others() > 3 })
	far.checkOnlyPrimary(t)
	near.checkOnlyPrimary(t)
	if list, _ := far.promised(); len(list) > 1 {
		t.Errorf("the promise was sent to the far store %d times, want once at most", len(list))
	}
	if sent() != 1 {
		t.Errorf("the promise was sent %d times, want once", sent())
	}
	near.set(func(a *wheelgauge.FleetHeartbeatResponse) { a.StoreBoot = 78 })
	waitFor(t, "the promise at the restarted store", func() bool { return sent() == 2 })
}

// A promise that was lost on its way to the primary is not taken for delivered when a later
// heartbeat without promises is answered.
func TestPromiseLostBeforeThePrimaryChanged(t *testing.T) {
	table := promises.New(time.Now)
	table.Add("own", 2, time.Now().Add(5*time.Second))
	c := &Client{stores: map[string]*store{}, ctx: t.Context(), options: Options{
		Self:  func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		Usage: func() ([]wheelgauge.ServerUsage, []wheelgauge.ServiceUsage) { return nil, nil },
		Clock: wheelgauge.MonotonicClock{}, Log: logr.Discard(), Promises: table,
	}}
	c.state.held.Generation, c.tables.serversKnown = 1, true
	s := &store{address: "a", boot: 77}
	heartbeat := func(primary string) wheelgauge.FleetHeartbeat {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.primary = primary
		return c.heartbeat(s)
	}
	if hb := heartbeat("a"); len(hb.Promises) != 1 { // lost
		t.Fatalf("%d promises sent, want 1", len(hb.Promises))
	}
	hb := heartbeat("b")
	c.recordAnswer(s, hb, wheelgauge.FleetHeartbeatResponse{StoreBoot: 77})
	if again := heartbeat("a"); len(again.Promises) != 1 {
		t.Errorf("%d promises sent again, want 1", len(again.Promises))
	}
}

// A host that makes no promises names no version: stores send promises only to those that do.
func TestPromisesAreAskedFor(t *testing.T) {
	for _, on := range []bool{false, true} {
		c := &Client{stores: map[string]*store{}, primary: "a", options: Options{
			Self:  func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
			Usage: func() ([]wheelgauge.ServerUsage, []wheelgauge.ServiceUsage) { return nil, nil },
		}}
		if on {
			c.options.Promises = promises.New(time.Now)
		}
		hb := c.heartbeat(&store{address: "a"})
		if (hb.PromisesVersion > 0) != on {
			t.Errorf("promises made: %v, version %d in the heartbeat", on, hb.PromisesVersion)
		}
	}
}
