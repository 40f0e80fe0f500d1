package beat

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/fake/fakeclock"
)

// A host that wakes takes no store for one that answers before it has heard of it anew,
// tells how old its list of servers is, and asks at once, whatever was due when.
func TestHostWakes(t *testing.T) {
	store := newStore(t, "here", 3)
	clock := &fakeclock.Clock{}
	c := startWith(t, []*standIn{store}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: interval, News: &news{}, Log: logr.Discard(), Clock: clock,
	})
	waitFor(t, "the store answers and the list is known", func() bool { return len(c.Stores()) == 1 && store.last().ListAgeMS > 0 })
	c.mu.Lock()
	clock.Suspend(time.Minute)
	silent := len(c.stores) > 0
	for _, s := range c.stores {
		silent = silent && c.rank(s, c.options.Self()) < 0
	}
	b := c.beat(c.stores[c.primary])
	c.mu.Unlock()
	if !silent {
		t.Error("a store that answered a minute ago counts as one that answers")
	}
	if b.ListAgeMS < time.Minute.Milliseconds() {
		t.Errorf("the list is told to be %d ms old", b.ListAgeMS)
	}
	waitFor(t, "the store answers again", func() bool { return len(c.Stores()) == 1 })
}
