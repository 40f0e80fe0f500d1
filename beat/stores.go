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
	// crashesAt names the view held of the crashes of all hosts, as it is told. crashes
	// is the last change of the host's own that the store knows of, crashesSent that of
	// the beat under way.
	crashesAt   uint64
	crashes     uint64
	crashesSent uint64
	// limitsAt, limits and limitsSent are the same of the limits of servers.
	limitsAt   uint64
	limits     uint64
	limitsSent uint64
	// rollouts numbers what the store was told last of rollouts.
	rollouts uint64
}

// reached tells whether the store answered the last call.
func (s *store) reached() bool { return s.misses == 0 && s.boot != 0 }

// Stores returns the stores that answer, near ones first. A near one that is cut off
// from the others comes before a far one: what is drawn there takes 2 ms, not 115.
func (c *Client) Stores() []wheelgauge.StoreAt {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.options.Self()
	found := make([]ranked, 0, len(c.stores))
	for _, s := range c.stores {
		if rank := c.rank(s, self); rank >= 0 {
			near := s.region == self.Region
			found = append(found, ranked{StoreAt: wheelgauge.StoreAt{Address: s.address, Near: near}, rank: rank, primary: s.address == c.primary})
		}
	}
	slices.SortFunc(found, ranked.compare)
	out := make([]wheelgauge.StoreAt, 0, len(found))
	for _, r := range found {
		out = append(out, r.StoreAt)
	}
	return out
}

// RegionStores returns all stores of the host's region. A seed that is no member any more
// is none of them, however long ago it left: what it gave would be missing for good.
func (c *Client) RegionStores() []wheelgauge.RegionStore {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.options.Self()
	var out []wheelgauge.RegionStore
	for _, s := range c.stores {
		if s.region == self.Region && (len(c.members) == 0 || slices.Contains(c.members, s.address)) {
			out = append(out, wheelgauge.RegionStore{Address: s.address, Answers: c.rank(s, self) >= 0})
		}
	}
	return out
}

// ranked is a store that answers, with what orders it among the others.
type ranked struct {
	wheelgauge.StoreAt
	rank    int
	primary bool
}

// compare puts the better one first.
func (r ranked) compare(than ranked) int {
	return cmp.Or(trueFirst(r.Near, than.Near), cmp.Compare(than.rank, r.rank), trueFirst(r.primary, than.primary), cmp.Compare(r.Address, than.Address))
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
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
		s.hosts, s.servers, s.crashesAt, s.limitsAt, s.due = 0, 0, 0, 0, time.Time{}
	}
}

// rank is higher for better primaries, -1 for stores that do not answer.
func (c *Client) rank(s *store, self wheelgauge.FleetHost) int {
	// By the interval that the store last answered at: by the shorter one of a
	// primary, two silent stores would take turns at each tick.
	if s.answered.IsZero() || s.misses >= mostMisses || c.now().Sub(s.answered) > freshBeats*s.every+callTimeout {
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
