// Package lookupclient asks stores for single routes and servers, for hosts whose tables are too
// old to go by.
package lookupclient

import (
	"context"
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
	// maxStores is the number of stores tried for one lookup.
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
	// Request sends a lookup to a store.
	Request func(ctx context.Context, address string, req wheelgauge.LookupRequest) (wheelgauge.LookupResponse, error)
	Now     func() time.Time
}

// Client implements wheelgauge.Lookup. It is safe for concurrent use.
type Client struct {
	options Options

	mu sync.Mutex
	// lookups are those in progress and those answered lately.
	lookups map[wheelgauge.LookupRequest]*lookup
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
	return &Client{options: o, lookups: map[wheelgauge.LookupRequest]*lookup{}}
}

// Routes implements wheelgauge.Lookup.
func (c *Client) Routes(ctx context.Context, hostName string, version uint64) (wheelgauge.LookupResponse, bool) {
	return c.find(ctx, wheelgauge.LookupRequest{HostName: hostName, Version: version}, func(r wheelgauge.LookupResponse) bool { return r.Version > version })
}

// Gone implements wheelgauge.Lookup.
func (c *Client) Gone(ctx context.Context, instanceKey string, listAgeMS int64) bool {
	resp, ok := c.find(ctx, wheelgauge.LookupRequest{Server: instanceKey}, func(r wheelgauge.LookupResponse) bool { return r.ListAgeMS >= 0 && r.ListAgeMS < listAgeMS })
	return ok && !resp.Listed
}

// find returns the answer of the first store that knows better.
func (c *Client) find(ctx context.Context, r wheelgauge.LookupRequest, better func(wheelgauge.LookupResponse) bool) (wheelgauge.LookupResponse, bool) {
	l, first := c.begin(r)
	if l == nil {
		return wheelgauge.LookupResponse{}, false
	}
	if first {
		c.ask(ctx, l, r, better)
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
func (c *Client) begin(r wheelgauge.LookupRequest) (l *lookup, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	if l := c.lookups[r]; l != nil && (l.until.IsZero() || now.Before(l.until)) {
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
	c.lookups[r] = l
	return l, true
}

// ask makes a lookup.
func (c *Client) ask(ctx context.Context, l *lookup, r wheelgauge.LookupRequest, better func(wheelgauge.LookupResponse) bool) {
	stores := c.options.Stores()
	answered, found := false, false
	var response wheelgauge.LookupResponse
	for _, s := range stores[:min(maxStores, len(stores))] {
		timeout := farTimeout
		if s.SameRegion {
			timeout = nearTimeout
		}
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		resp, err := c.options.Request(callCtx, s.Address, r)
		cancel()
		if err != nil {
			continue // the next store may answer
		}
		answered = true
		if found = better(resp); found {
			response = resp
			response.Store = s.Address
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l.response, l.ok, l.until = response, found, c.options.Now().Add(cachedTTL)
	if !answered {
		c.silentUntil = c.options.Now().Add(silentPause)
	}
	close(l.done)
}
