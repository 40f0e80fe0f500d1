package beat

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/quarantine"
)

func (s *standIn) crashes() []wheelgauge.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wheelgauge.Crash
	for _, b := range s.beats {
		out = append(out, b.Crashes...)
	}
	return out
}

func (s *standIn) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats = nil
}

// A crash is told to each store at once, whenever its next heartbeat is due, and to one that
// started again, which knows nothing of it, once more.
func TestCrashesAreToldAtOnce(t *testing.T) {
	near, far := newStore(t, "here", 3), newStore(t, "there", 3)
	far.set(func(a *wheelgauge.BeatAnswer) { a.Store = 77 })
	log := quarantine.New(time.Now)
	c := startWith(t, []*standIn{near, far}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: time.Hour, News: &news{}, Log: logr.Discard(), Crashes: log,
	})
	known := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, s := range c.stores {
			if s.boot == 0 || s.calling && s.address == far.http.Address() {
				return false
			}
		}
		return !c.eager()
	}
	waitFor(t, "both stores answer", known)
	first := wheelgauge.Crash{Request: "p", Server: "a"}
	log.Ended(first)
	both := func(crash wheelgauge.Crash) func() bool {
		return func() bool { return slices.Contains(near.crashes(), crash) && slices.Contains(far.crashes(), crash) }
	}
	waitFor(t, "both stores know", both(first))
	waitFor(t, "the answers are in", known)
	far.forget()
	far.set(func(a *wheelgauge.BeatAnswer) { a.Store = 78 })
	second := wheelgauge.Crash{Request: "p", Server: "b"}
	log.Ended(second)
	waitFor(t, "both know of the second", both(second))
	waitFor(t, "the store that started again knows of the first", func() bool { return slices.Contains(far.crashes(), first) })
}
