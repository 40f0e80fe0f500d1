// Package lookupclient asks stores for single routes and servers, for hosts whose tables are too
// old to go by.
package lookupclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"wheelgauge"
)

// Path is the HTTP path of stores that answers lookups.
const Path = "/v1/lookup"

const (
	// nearTimeout bounds a lookup at a store of the own region, farTimeout one over a long link.
	nearTimeout = 150 * time.Millisecond
	farTimeout  = 400 * time.Millisecond
	// maxStores is the number of stores asked one after another in a lookup that is not required.
	maxStores = 2
	// cachedTTL is how long an answer holds for further requests.
	cachedTTL = 250 * time.Millisecond
	// silentPause is how long no store is asked after none answered: what is known is used, and
	// requests are not held up one after another.
	silentPause = time.Second
)

// Options are the options of New.
type Options struct {
	// Stores returns the reachable stores in order of preference.
	Stores func() []wheelgauge.StoreEndpoint
	// Fetch begins to fetch the whole configuration from a store, and returns when it has ended; nil
	// fetches none.
	Fetch func(ctx context.Context, address string)
	// Request sends a lookup to a store.
	Request func(ctx context.Context, address string, req wheelgauge.LookupRequest) (wheelgauge.LookupResponse, error)
	Now     func() time.Time
}

// Client implements wheelgauge.Lookup. It is safe for concurrent use.
type Client struct {
	options Options

	mu sync.Mutex
	// lookups are those in progress and those answered lately.
	lookups map[wheelgauge.RouteQuery]*lookup
	// silentUntil is until when no store is asked.
	silentUntil time.Time
}

// lookup is one lookup, whose answer is shared by all requests that need it.
type lookup struct {
	done chan struct{}
	// response is valid until a time if ok is set; all are written before done is closed.
	response wheelgauge.LookupResponse
	ok       bool
	until    time.Time
}

// New returns a client.
func New(o Options) *Client {
	return &Client{options: o, lookups: map[wheelgauge.RouteQuery]*lookup{}}
}

// Routes implements wheelgauge.Lookup.
func (c *Client) Routes(ctx context.Context, q wheelgauge.RouteQuery) (wheelgauge.LookupResponse, bool) {
	return c.find(ctx, q, func(r wheelgauge.LookupResponse) bool { return r.Version > q.Version })
}

// Gone implements wheelgauge.Lookup.
func (c *Client) Gone(ctx context.Context, instanceKey string, listAgeMS int64) bool {
	resp, ok := c.find(ctx, wheelgauge.RouteQuery{LookupRequest: wheelgauge.LookupRequest{Server: instanceKey}}, func(r wheelgauge.LookupResponse) bool { return r.ListAgeMS >= 0 && r.ListAgeMS < listAgeMS })
	return ok && !resp.Listed
}

// find returns the answer of the first store that knows better.
func (c *Client) find(ctx context.Context, q wheelgauge.RouteQuery, better func(wheelgauge.LookupResponse) bool) (wheelgauge.LookupResponse, bool) {
	l, first := c.begin(q)
	if l == nil {
		return wheelgauge.LookupResponse{}, false
	}
	if first {
		c.ask(ctx, l, q, better)
	}
	select {
	case <-l.done:
		return l.response, l.ok
	case <-ctx.Done():
		return wheelgauge.LookupResponse{}, false
	}
}

// begin returns the lookup for a request, and whether the caller has to make it; nil while stores
// are silent.
func (c *Client) begin(q wheelgauge.RouteQuery) (l *lookup, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	if l := c.lookups[q]; l != nil && (l.until.IsZero() || now.Before(l.until)) {
		return l, false
	}
	if now.Before(c.silentUntil) {
		return nil, false
	}
	for key, old := range c.lookups {
		if !old.until.IsZero() && !now.Before(old.until) {
			delete(c.lookups, key)
		}
	}
	l = &lookup{done: make(chan struct{})}
	c.lookups[q] = l
	return l, true
}

// ask makes a lookup.
func (c *Client) ask(ctx context.Context, l *lookup, q wheelgauge.RouteQuery, better func(wheelgauge.LookupResponse) bool) {
	stores := slices.Clone(c.options.Stores())
	// One that is cut off from the others may not know of what they know.
	slices.SortStableFunc(stores, func(a, b wheelgauge.StoreEndpoint) int {
		switch {
		case a.Connected == b.Connected:
			return 0
		case a.Connected:
			return -1
		}
		return 1
	})
	ask := c.askInTurn
	if q.Required {
		ask = c.askAll
	}
	found, answered := ask(ctx, stores, q.LookupRequest, better)
	if found != nil && q.Server == "" && c.options.Fetch != nil {
		fetchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), farTimeout)
		c.options.Fetch(fetchCtx, found.Store)
		cancel()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.ok = found != nil; l.ok {
		l.response = *found
	}
	l.until = c.options.Now().Add(cachedTTL)
	if !answered {
		c.silentUntil = c.options.Now().Add(silentPause)
	}
	close(l.done)
}

// askInTurn asks the next stores one after another until one knows better.
func (c *Client) askInTurn(ctx context.Context, stores []wheelgauge.StoreEndpoint, r wheelgauge.LookupRequest, better func(wheelgauge.LookupResponse) bool) (found *wheelgauge.LookupResponse, answered bool) {
	for _, s := range stores[:min(maxStores, len(stores))] {
		resp, err := c.askStore(ctx, s, r)
		if err != nil {
			continue // the next store may answer
		}
		answered = true
		if better(resp) {
			return &resp, true
		}
	}
	return nil, answered
}

// askAll asks all stores at once and returns the first answer of one that knows better.
func (c *Client) askAll(ctx context.Context, stores []wheelgauge.StoreEndpoint, r wheelgauge.LookupRequest, better func(wheelgauge.LookupResponse) bool) (found *wheelgauge.LookupResponse, answered bool) {
	answers := make(chan *wheelgauge.LookupResponse, len(stores))
	for _, s := range stores {
		go func() {
			resp, err := c.askStore(ctx, s, r)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &resp
		}()
	}
	for range stores {
		resp := <-answers
		if resp == nil {
			continue
		}
		answered = true
		if better(*resp) {
			return resp, true
		}
	}
	return nil, answered
}

// askStore asks one store.
func (c *Client) askStore(ctx context.Context, s wheelgauge.StoreEndpoint, r wheelgauge.LookupRequest) (wheelgauge.LookupResponse, error) {
	timeout := farTimeout
	if s.SameRegion {
		timeout = nearTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	resp, err := c.options.Request(ctx, s.Address, r)
	resp.Store = s.Address
	return resp, err
}
