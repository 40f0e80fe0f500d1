package beat

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"wheelgauge"
)

// store is what is known of one store.
type store struct {
	address  string
	region   string
	hall     string
	boot     uint64
	answered time.Time
	due      time.Time
	calling  bool
	// sent is the interval that the beat under way goes by, every that of the
	// last beat that was answered, misses how many were not answered since.
	sent   time.Duration
	every  time.Duration
	misses int
	// patient is set for an eager beat that may take longer.
	patient bool
	// told is what the store was last told of this host.
	told    wheelgauge.FleetHost
	inTouch bool
	// generation is what the store held at its last answer.
	generation uint64
	hosts      uint64
	servers    uint64
}

// Stores returns the stores that answer, near ones first. A near one that is cut off
// from the others comes before a far one: what is drawn there takes 2 ms, not 115.
func (c *Client) Stores() []wheelgauge.StoreAt {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.options.Self()
	var found []*store
	for _, s := range c.stores {
		if c.rank(s, self) >= 0 {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *store) int {
		return cmp.Or(compareBool(b.region == self.Region, a.region == self.Region), cmp.Compare(c.rank(b, self), c.rank(a, self)),
			compareBool(b.address == c.primary, a.address == c.primary), cmp.Compare(a.address, b.address))
	})
	out := make([]wheelgauge.StoreAt, 0, len(found))
	for _, s := range found {
		out = append(out, wheelgauge.StoreAt{Address: s.address, Near: s.region == self.Region})
	}
	return out
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// choosePrimary prefers a store that answers, is in touch with the others, and
// is near; the lock is held.
func (c *Client) choosePrimary() {
	self := c.options.Self()
	best, top := "", -1
	for _, s := range c.stores {
		rank := c.rank(s, self)
		if rank > top || rank == top && strings.Compare(s.address, best) < 0 {
			best, top = s.address, rank
		}
	}
	if best == c.primary || top < 0 {
		return
	}
	c.options.Log.Info("Primary store changes.", "from", c.primary, "to", best)
	c.primary = best
	if s := c.stores[best]; s != nil {
		s.hosts, s.servers, s.due = 0, 0, time.Time{}
	}
}

// rank is higher for better primaries, -1 for stores that do not answer.
func (c *Client) rank(s *store, self wheelgauge.FleetHost) int {
	// By the interval that the store last answered at: by the shorter one of a
	// primary, two silent stores would take turns at each tick, 593 times in 300
	// ticks of a test with a primary that is due a hundred times as often.
	if s.answered.IsZero() || s.misses >= mostMisses || time.Since(s.answered) > freshBeats*s.every+callTimeout {
		return -1
	}
	rank := 0
	if s.inTouch {
		rank += 4
	}
	if s.region == self.Region {
		rank += 2
	}
	if s.hall == self.Hall {
		rank++
	}
	return rank
}
