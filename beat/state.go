package beat

import (
	"cmp"
	"slices"
	"time"

	"wheelgauge"
)

const (
	// lagBeats is how long a host waits for the stores of its region to hold a
	// state that another store has already.
	lagBeats = 2
	// fetchPause is how long no state is fetched after that failed at every store:
	// two ticks, so that stores which refuse are not asked at each.
	fetchPause = 100 * time.Millisecond
)

// lag is what a host knows of states that it does not hold.
type lag struct {
	// held is the state in force, without its body.
	held wheelgauge.FleetState
	// since is when a newer one was first known; the zero time when none is.
	since time.Time
	// warned is the newest generation that a line was written for.
	warned uint64
	// fetching is set while a state is fetched, which may begin again at next.
	fetching bool
	next     time.Time
}

// follow begins to fetch the newest state if it is not held; the lock is held.
// It is no part of a heartbeat, which has a second: a large state that does not come
// through a narrow link in that time would be sent again with each heartbeat, and the
// host would get no news of any kind any more.
func (c *Client) follow() {
	if c.lag.fetching || c.ctx.Err() != nil || c.now().Before(c.lag.next) {
		return
	}
	stores := c.holders()
	if len(stores) == 0 {
		return
	}
	c.lag.fetching = true
	held := c.lag.held
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		c.fetch(stores, held)
	}()
}

// holders returns the stores that hold a newer state, the best one first; those
// of other regions only when the host's own are late. The lock is held.
func (c *Client) holders() []string {
	self := c.options.Self()
	var found []*store
	for _, s := range c.stores {
		near := s.region == self.Region || s.address == c.primary
		if s.generation > c.lag.held.Generation && (near || c.lags()) {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *store) int {
		return cmp.Or(cmp.Compare(c.rank(b, self), c.rank(a, self)), cmp.Compare(a.address, b.address))
	})
	out := make([]string, 0, len(found))
	for _, s := range found {
		out = append(out, s.address)
	}
	return out
}

// fetch fetches one state and hands it on.
func (c *Client) fetch(stores []string, held wheelgauge.FleetState) {
	began := c.now()
	s, err := c.fetcher.Fetch(c.ctx, stores, held)
	c.taking.Lock()
	defer c.taking.Unlock()
	if err != nil {
		c.options.Log.Info("State is not fetched.", "generation", held.Generation, "took_ms", c.now().Sub(began).Milliseconds(),
			"bytes", c.fetcher.Came(), "cause", err.Error())
		c.fetched(held, fetchPause)
		return
	}
	c.options.Log.Info("State is fetched.", "generation", s.Generation, "version", s.Version, "took_ms", c.now().Sub(began).Milliseconds(),
		"bytes", len(s.Body), "stores", stores)
	c.options.News.State(s)
	s.Body = nil
	c.fetched(s, 0)
	if c.current() {
		c.options.News.SameState()
	}
}

// fetched notes what is held when a fetch has ended; another one may follow
// after a pause.
func (c *Client) fetched(held wheelgauge.FleetState, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag.held, c.lag.fetching, c.lag.next = held, false, c.now().Add(pause)
	c.noteLag()
	c.follow()
}

// noteLag notes since when a newer state is known; the lock is held.
func (c *Client) noteLag() {
	switch {
	case c.newest() <= c.lag.held.Generation:
		c.lag.since = time.Time{}
	case c.lag.since.IsZero():
		c.lag.since = c.now()
	}
	c.warn()
}

// lags tells whether some store has held a newer state for a while, or any state
// at all when there is none here; the lock is held.
func (c *Client) lags() bool {
	return c.lag.held.Generation == 0 || !c.lag.since.IsZero() && c.now().Sub(c.lag.since) > lagBeats*c.options.Interval
}

// warn writes once for each generation that a newer state is known and not
// held; the lock is held.
func (c *Client) warn() {
	newest := c.newest()
	if !c.lags() || newest <= max(c.lag.held.Generation, c.lag.warned) {
		return
	}
	c.lag.warned = newest
	told := map[string]uint64{}
	for _, s := range c.stores {
		told[s.address] = s.generation
	}
	c.options.Log.Info("A newer state is known and not held.", "generation", c.lag.held.Generation, "newest", newest,
		"behind_ms", c.now().Sub(c.lag.since).Milliseconds(), "told", told)
}

// current tells whether no store is known to hold a newer state.
func (c *Client) current() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag.held.Generation > 0 && c.newest() <= c.lag.held.Generation
}

// newest returns the highest generation that any store told of; the lock is held.
func (c *Client) newest() uint64 {
	var top uint64
	for _, s := range c.stores {
		top = max(top, s.generation)
	}
	return top
}
