package beat

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/fake/fakeclock"
)

// A host that resumes after a suspension counts no store as reachable before it answers
// again, reports the age of its list of servers, and sends heartbeats at once, whatever
// their due times.
func TestHostResumes(t *testing.T) {
	store := newStore(t, "here", 3)
	clock := &fakeclock.Clock{}
	c := startWith(t, []*fakeStore{store}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: interval, News: &recorder{}, Log: logr.Discard(), Clock: clock,
	})
	waitFor(t, "an answer of the store and a list of servers", func() bool { return len(c.Stores()) == 1 && store.last().ListAgeMS > 0 })
	c.mu.Lock()
	clock.Suspend(time.Minute)
	silent := len(c.stores) > 0
	for _, s := range c.stores {
		silent = silent && c.rank(s, c.options.Self()) < 0
	}
	b := c.heartbeat(c.stores[c.primary])
	c.mu.Unlock()
	if !silent {
		t.Error("a store that answered a minute ago counts as reachable")
	}
	if b.ListAgeMS < time.Minute.Milliseconds() {
		t.Errorf("the reported age of the list is %d ms, want at least a minute", b.ListAgeMS)
	}
	waitFor(t, "a new answer of the store", func() bool { return len(c.Stores()) == 1 })
}
