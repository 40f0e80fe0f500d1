package hallorders

import (
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
	"wheelgauge/fake/manualclock"
)

// wall is the time of day in Unix ms.
const wall = 1_700_000_000_000

// inLog is the last order in the log, proposed at a time of day.
func inLog(index uint64, atUnixMS int64) map[string]configstate.HallOrder {
	return map[string]configstate.HallOrder{"h": {Index: index, AtUnixMS: atUnixMS}}
}

// age returns the age of a hall's order among others; -1 if there is none.
func age(orders []wheelgauge.HallOrder) int64 {
	for _, o := range orders {
		if o.Hall == "h" {
			return o.AgeMS
		}
	}
	return -1
}

// A pending order counts as given just now until it is acknowledged, overtaken or old.
func TestAgesOfOrders(t *testing.T) {
	tests := []struct {
		name   string
		events func(t *Table, clock *manualclock.Clock)
		// recent and applied are the ages in ms without and with those of the log, -1 for none.
		recent, applied int64
	}{
		{"none", func(*Table, *manualclock.Clock) {}, -1, -1},
		{"pending", func(t *Table, c *manualclock.Clock) { t.Received("h"); c.Advance(7 * time.Second) }, 0, 0},
		{"no longer pending", func(t *Table, c *manualclock.Clock) { t.Received("h"); c.Advance(8500 * time.Millisecond) }, 8500, 8500},
		{"old", func(t *Table, c *manualclock.Clock) { t.Received("h"); c.Advance(11 * time.Second) }, -1, -1},
		{"acknowledged", func(t *Table, c *manualclock.Clock) {
			t.Received("h")
			c.Advance(time.Second)
			t.Acknowledged("h")
			c.Advance(time.Second)
		}, 1000, 1000},
		{"overtaken by one that another store acknowledged", func(t *Table, c *manualclock.Clock) {
			t.Applied(inLog(3, 0), wall)
			t.Received("h")
			c.Advance(time.Second)
			t.Applied(inLog(4, 0), wall)
			c.Advance(2 * time.Second)
		}, 2000, 2000},
		{"pending at another store", func(t *Table, c *manualclock.Clock) {
			t.Received("h")
			t.Acknowledged("h")
			c.Advance(3 * time.Second)
			t.Merge([]wheelgauge.HallOrder{{Hall: "h"}})
		}, 0, 0},
		{"an older one from another store", func(t *Table, c *manualclock.Clock) {
			t.Received("h")
			t.Acknowledged("h")
			c.Advance(time.Second)
			t.Merge([]wheelgauge.HallOrder{{Hall: "h", AgeMS: 4000}})
		}, 1000, 1000},
		{"in the log at the start of the store", func(t *Table, c *manualclock.Clock) {
			t.Applied(inLog(3, 0), wall)
			c.Advance(500 * time.Millisecond)
			t.Applied(inLog(3, 0), wall)
		}, -1, 500},
		{"in the log, given a minute ago by the time of day", func(t *Table, _ *manualclock.Clock) { t.Applied(inLog(3, wall-60_000), wall) }, -1, -1},
		{"in the log, given 15 s ago by the time of day", func(t *Table, _ *manualclock.Clock) { t.Applied(inLog(3, wall-15_000), wall) }, -1, 0},
		{"in the log, given in the future by the time of day", func(t *Table, _ *manualclock.Clock) { t.Applied(inLog(3, wall+60_000), wall) }, -1, 0},
	}
	for _, tt := range tests {
		clock := manualclock.New()
		table := New(clock.Now)
		tt.events(table, clock)
		if recent, applied := age(table.Recent()), age(table.RecentApplied()); recent != tt.recent || applied != tt.applied {
			t.Errorf("%s: got ages of %d and %d ms, want %d and %d", tt.name, recent, applied, tt.recent, tt.applied)
		}
	}
}

// Orders that stores tell each other get older at all of them.
func TestOrdersToldBetweenStoresAge(t *testing.T) {
	clock := manualclock.New()
	stores := []*Table{New(clock.Now), New(clock.Now), New(clock.Now)}
	stores[0].Received("h")
	stores[0].Acknowledged("h")
	for range 60 {
		given := make([][]wheelgauge.HallOrder, len(stores))
		for i, s := range stores {
			given[i] = s.Given()
		}
		clock.Advance(60 * time.Millisecond) // a long link
		for i, s := range stores {
			for j := range stores {
				if i != j {
					s.Merge(given[j])
				}
			}
		}
		clock.Advance(140 * time.Millisecond)
	}
	for i, s := range stores {
		if got := age(s.Recent()); got != -1 {
			t.Errorf("store %d: got an order of age %d ms after twelve seconds, want none", i, got)
		}
	}
}
