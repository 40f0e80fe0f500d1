package heartbeat

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/fake/suspendclock"
)

// A host that resumes after a suspension counts no store as reachable before it answers
// again, knows the age of its list of servers, and sends heartbeats at once, whatever
// their due times.
func TestHostResumes(t *testing.T) {
	store := newStore(t, "here", 3)
	clock := &suspendclock.Clock{}
	c := startWith(t, []*fakeStore{store}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: interval, Receiver: &recorder{}, Log: logr.Discard(), Clock: clock,
	})
	waitFor(t, "an answer of the store and a list of servers", func() bool { return len(c.Stores()) == 1 && listAge(c) >= 0 })
	c.mu.Lock()
	clock.Suspend(time.Minute)
	silent := len(c.stores) > 0
	for _, s := range c.stores {
		silent = silent && c.rank(s, c.options.Self()) < 0
	}
	c.mu.Unlock()
	age := listAge(c)
	if !silent {
		t.Error("a store that answered a minute ago counts as reachable")
	}
	if age < time.Minute {
		t.Errorf("the age of the list is %s, want at least a minute", age)
	}
	waitFor(t, "a new answer of the store", func() bool { return len(c.Stores()) == 1 })
}

// listAge returns the age of the list of servers that a client holds, negative without one.
func listAge(c *Client) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tables.requestedAt.IsZero() {
		return -1
	}
	return c.now().Sub(c.tables.requestedAt)
}
