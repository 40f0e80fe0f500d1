package heartbeat

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"wheelgauge"
)

// store is what the client knows of one store.
type store struct {
	address    string
	region     string
	hall       string
	boot       uint64
	answeredAt time.Time
	dueAt      time.Time
	inFlight   bool
	// sentInterval is the interval announced by the heartbeat in flight, answeredInterval
	// that of the last answered one; misses counts the unanswered ones since.
	sentInterval     time.Duration
	answeredInterval time.Duration
	misses           int
	// longTimeout is set while the next startup heartbeat may take startupLongTimeout.
	longTimeout bool
	// sentHost is the description of this host last sent to the store.
	sentHost  wheelgauge.FleetHost
	connected bool
	// generation is that of the state which the store held at its last answer.
	generation uint64
	// crashesVersion identifies the list last received of all hosts' crashes.
	// crashesAcked is the last change of this host's own crashes that the store knows,
	// crashesSent the last change in the heartbeat in flight.
	crashesVersion uint64
	crashesAcked   uint64
	crashesSent    uint64
	// limitsVersion, limitsAcked and limitsSent are the same for servers' rate limits.
	limitsVersion uint64
	limitsAcked   uint64
	limitsSent    uint64
	// promisesVersion, promisesAcked and promisesSent are the same for promises to callers.
	promisesVersion uint64
	promisesAcked   uint64
	promisesSent    uint64
	// rolloutsSent is the version of the rollout reports last sent to the store.
	rolloutsSent uint64
}

// responding reports whether the store answered the last call.
func (s *store) responding() bool { return s.misses == 0 && s.boot != 0 }

// Stores returns the reachable stores, those of the host's region first. One of the region
// that is cut off from the other stores comes before one of another region: drawing cap
// units there takes 2 ms instead of 115 ms.
func (c *Client) Stores() []wheelgauge.StoreEndpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.options.Self()
	found := make([]ranked, 0, len(c.stores))
	for _, s := range c.stores {
		if rank := c.rank(s, self); rank >= 0 {
			near := s.region == self.Region
			found = append(found, ranked{StoreEndpoint: wheelgauge.StoreEndpoint{Address: s.address, SameRegion: near, Connected: s.connected}, rank: rank, primary: s.address == c.primary})
		}
	}
	slices.SortFunc(found, ranked.compare)
	out := make([]wheelgauge.StoreEndpoint, 0, len(found))
	for _, r := range found {
		out = append(out, r.StoreEndpoint)
	}
	return out
}

// RegionStores returns all stores of the host's region. A seed that is no longer a member
// is left out, however long ago it left: the share of permits assigned to it would never be
// issued.
func (c *Client) RegionStores() []wheelgauge.RegionStore {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.options.Self()
	var out []wheelgauge.RegionStore
	for _, s := range c.stores {
		if s.region == self.Region && (len(c.members) == 0 || slices.Contains(c.members, s.address)) {
			out = append(out, wheelgauge.RegionStore{Address: s.address, Reachable: c.rank(s, self) >= 0})
		}
	}
	return out
}

// ranked is a reachable store with its sort keys.
type ranked struct {
	wheelgauge.StoreEndpoint
	rank    int
	primary bool
}

// compare sorts better stores first.
func (r ranked) compare(other ranked) int {
	return cmp.Or(trueFirst(r.SameRegion, other.SameRegion), cmp.Compare(other.rank, r.rank), trueFirst(r.primary, other.primary), cmp.Compare(r.Address, other.Address))
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

// choosePrimary selects the store of the highest rank: reachable, then connected to the
// other stores, then near. The lock is held.
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
		s.crashesVersion, s.limitsVersion, s.dueAt = 0, 0, time.Time{}
	}
}

// rank is higher for better primaries, -1 for unreachable stores.
func (c *Client) rank(s *store, self wheelgauge.FleetHost) int {
	// Uses the interval at which the store last answered: with the shorter one of a
	// primary, two unreachable stores would alternate as primary at each tick.
	if s.answeredAt.IsZero() || s.misses >= maxMisses || c.now().Sub(s.answeredAt) > maxAnswerAge*s.answeredInterval+callTimeout {
		return -1
	}
	rank := 0
	if s.connected {
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
