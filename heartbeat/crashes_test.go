package heartbeat

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/quarantine"
)

func (s *fakeStore) crashes() []wheelgauge.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wheelgauge.Crash
	for _, b := range s.heartbeats {
		for _, crash := range b.Crashes {
			crash.AgoMS = 0 // that of the heartbeat
			out = append(out, crash)
		}
	}
	return out
}

func (s *fakeStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeats = nil
}

// A crash is sent to each store at once, whenever its next heartbeat is due, and again to a
// store that has restarted and lost it.
func TestCrashesAreSentAtOnce(t *testing.T) {
	near, far := newStore(t, "here", 3), newStore(t, "there", 3)
	far.set(func(a *wheelgauge.FleetHeartbeatResponse) { a.StoreBoot = 77 })
	log := quarantine.New(time.Now)
	c := startWith(t, []*fakeStore{near, far}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: time.Hour, Receiver: &recorder{}, Log: logr.Discard(), Crashes: log,
	})
	bothAnswered := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range c.stores {
			if s.boot == 0 || s.inFlight && s.address == far.http.Address() {
				return false
			}
		}
		return !c.startingUp()
	}
	waitFor(t, "both stores answer", bothAnswered)
	first := wheelgauge.Crash{Fingerprint: "p", Server: "a"}
	log.RecordCrash(first)
	both := func(crash wheelgauge.Crash) func() bool {
		return func() bool { return slices.Contains(near.crashes(), crash) && slices.Contains(far.crashes(), crash) }
	}
	waitFor(t, "the first crash at both stores", both(first))
	waitFor(t, "both answers", bothAnswered)
	far.forget()
	far.set(func(a *wheelgauge.FleetHeartbeatResponse) { a.StoreBoot = 78 })
	second := wheelgauge.Crash{Fingerprint: "p", Server: "b"}
	log.RecordCrash(second)
	waitFor(t, "the second crash at both stores", both(second))
	waitFor(t, "the first crash at the restarted store", func() bool { return slices.Contains(far.crashes(), first) })
}

// listRecorder records the lists of crashes that were received, and whether they were partial.
type listRecorder struct {
	recorder
	lists []receivedList
}

type receivedList struct {
	crashes int
	partial bool
}

func (r *listRecorder) Crashes(crashes []wheelgauge.Crash, partial bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lists = append(r.lists, receivedList{len(crashes), partial})
}

func (r *listRecorder) last() receivedList {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lists) == 0 {
		return receivedList{}
	}
	return r.lists[len(r.lists)-1]
}

// A quarantined request was let through again because the next primary store was behind.
func TestStoreThatIsBehindReleasesNoQuarantinedRequest(t *testing.T) {
	first, second := newStore(t, "here", 3), newStore(t, "here", 3)
	crashes := []wheelgauge.Crash{{Fingerprint: "p", Server: "a"}}
	first.set(func(a *wheelgauge.FleetHeartbeatResponse) {
		a.CrashesVersion, a.CrashesIndex, a.Crashes = 4, 10, crashes
	})
	second.set(func(a *wheelgauge.FleetHeartbeatResponse) {
		a.Connected, a.CrashesVersion, a.CrashesIndex = false, 2, 7
	})
	r := &listRecorder{}
	startWith(t, []*fakeStore{first, second}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: interval, Receiver: r, Log: logr.Discard(),
	})
	waitFor(t, "the whole list", func() bool { return r.last() == receivedList{1, false} })
	first.set(func(a *wheelgauge.FleetHeartbeatResponse) { a.Connected = false })
	second.set(func(a *wheelgauge.FleetHeartbeatResponse) { a.Connected = true })
	waitFor(t, "a list of the store that is behind", func() bool { return r.last().crashes == 0 })
	if !r.last().partial {
		t.Error("the list of a store that is behind counts as whole")
	}
	second.set(func(a *wheelgauge.FleetHeartbeatResponse) { a.CrashesIndex = 10 })
	waitFor(t, "the same list, by a store that has caught up", func() bool { return r.last() == receivedList{0, false} })
}
