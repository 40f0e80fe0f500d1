package heartbeat

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/changefetch"
)

var errNoNewerState = errors.New("store has no newer state")

const (
	// lagIntervals is how many intervals a host waits for the stores of its region to get a
	// state that another store already holds.
	lagIntervals = 2
	// fetchRetryDelay is the wait after a fetch has failed at every store: two ticks, so
	// that stores which refuse are not called at each tick.
	fetchRetryDelay = 100 * time.Millisecond
)

// stateSync tracks the state that the host holds against those that stores hold.
type stateSync struct {
	// held is the state in use.
	held wheelgauge.ConfigHead
	// fetcher is used by one fetch at a time.
	fetcher *changefetch.Fetcher
	// behindSince is when a newer state was first known; the zero time while none is.
	behindSince time.Time
	// logged is the newest generation for which lagging was logged.
	logged uint64
	// fetchEnds is closed when the fetch in progress ends; nil while there is none. nextFetch is the
	// earliest time of the next fetch.
	fetchEnds chan struct{}
	nextFetch time.Time
}

// startFetch begins to fetch the newest state unless it is held already; the lock is held.
func (c *Client) startFetch() {
	if c.state.fetchEnds != nil || c.ctx.Err() != nil || c.now().Before(c.state.nextFetch) {
		return
	}
	if stores := c.fetchSources(); len(stores) > 0 {
		c.beginFetch(stores)
	}
}

// beginFetch begins to fetch the state from the first of the stores that completes it; the lock is
// held.
func (c *Client) beginFetch(stores []string) {
	c.state.fetchEnds = make(chan struct{})
	held := c.state.held
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		c.fetch(stores, held)
	}()
}

// FetchFrom fetches the state at once from a store that is known otherwise to hold a newer one, and
// returns when that has ended or ctx has. It returns at once while another fetch is in progress.
func (c *Client) FetchFrom(ctx context.Context, address string) {
	c.mu.Lock()
	if c.state.fetchEnds != nil || c.ctx.Err() != nil {
		c.mu.Unlock()
		return
	}
	c.beginFetch([]string{address})
	ends := c.state.fetchEnds
	c.mu.Unlock()
	select {
	case <-ends:
	case <-ctx.Done():
	}
}

// fetchSources returns the stores that hold a newer state, the best one first; those of
// other regions only when the host lags. The lock is held.
func (c *Client) fetchSources() []string {
	self := c.options.Self()
	var found []*store
	for _, s := range c.stores {
		near := s.region == self.Region || s.address == c.primary
		if s.generation > c.state.held.Generation && (near || c.lagging()) {
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

// fetch fetches one state from the first of the stores that completes it, and passes it to the
// Receiver.
func (c *Client) fetch(stores []string, held wheelgauge.ConfigHead) {
	began := c.now()
	var errs []error
	for _, address := range stores {
		head, rows, err := c.fetchState(address, held)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		c.options.Log.Info("State is fetched.", "generation", head.Generation, "version", head.Version, "took_ms", c.now().Sub(began).Milliseconds(), "rows", rows, "store", address)
		c.fetchEnded(head, 0)
		if c.current() {
			c.deliverMu.Lock()
			defer c.deliverMu.Unlock()
			c.options.Receiver.StateCurrent()
		}
		return
	}
	c.options.Log.Info("State is not fetched.", "generation", held.Generation, "took_ms", c.now().Sub(began).Milliseconds(), "cause", errors.Join(errs...).Error())
	c.fetchEnded(held, fetchRetryDelay)
}

// fetchState fetches the state of a store, one response after another: each has its own timeout,
// so that a state of any size passes a link of any bandwidth.
func (c *Client) fetchState(address string, held wheelgauge.ConfigHead) (head wheelgauge.ConfigHead, rows int, err error) {
	for {
		batch, err := c.state.fetcher.Fetch(c.ctx, address, wheelgauge.ChangesRequest{Config: true, Generation: held.Generation})
		c.deliverMu.Lock()
		for _, u := range batch.Updates {
			rows += len(u.Rows)
			c.options.Receiver.RouteRows(u.Rows)
		}
		current := err == nil && batch.Config != nil && batch.Current
		if current {
			c.options.Receiver.State(*batch.Config)
		}
		c.deliverMu.Unlock()
		switch {
		case err != nil:
			return head, rows, err
		case batch.Config == nil:
			return head, rows, fmt.Errorf("fetch state from %s: %w", address, errNoNewerState)
		case current:
			return *batch.Config, rows, nil
		}
	}
}

// fetchEnded records the state held after a fetch; the next fetch may begin after a delay.
func (c *Client) fetchEnded(held wheelgauge.ConfigHead, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.state.fetchEnds)
	c.state.held, c.state.fetchEnds, c.state.nextFetch = held, nil, c.now().Add(pause)
	c.updateLag()
	c.startFetch()
}

// updateLag records since when a newer state is known; the lock is held.
func (c *Client) updateLag() {
	switch {
	case c.newest() <= c.state.held.Generation:
		c.state.behindSince = time.Time{}
	case c.state.behindSince.IsZero():
		c.state.behindSince = c.now()
	}
	c.logLag()
}

// lagging reports whether a newer state has been known for more than lagIntervals, or
// the host holds no state at all; the lock is held.
func (c *Client) lagging() bool {
	return c.state.held.Generation == 0 || !c.state.behindSince.IsZero() && c.now().Sub(c.state.behindSince) > lagIntervals*c.options.Interval
}

// logLag logs once for each generation that a newer state is known and not held; the
// lock is held.
func (c *Client) logLag() {
	newest := c.newest()
	if !c.lagging() || newest <= max(c.state.held.Generation, c.state.logged) {
		return
	}
	c.state.logged = newest
	generations := map[string]uint64{}
	for _, s := range c.stores {
		generations[s.address] = s.generation
	}
	c.options.Log.Info("A newer state is known and not held.", "generation", c.state.held.Generation, "newest", newest,
		"behind_ms", c.now().Sub(c.state.behindSince).Milliseconds(), "told", generations)
}

// current reports whether no store is known to hold a newer state.
func (c *Client) current() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.held.Generation > 0 && c.newest() <= c.state.held.Generation
}

// newest returns the highest generation that any store has reported; the lock is held.
func (c *Client) newest() uint64 {
	var top uint64
	for _, s := range c.stores {
		top = max(top, s.generation)
	}
	return top
}
