// Package permitclient is the entry host's client for the limits that backend servers
// announce. It takes a permit from a store of the region before a request is sent to a limited
// server, or a place if the server fails when it has to reject requests. While no store answers it
// uses a small share of the limit by itself.
package permitclient

import (
	"context"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/coldrate"
	"wheelgauge/rendezvous"
	"wheelgauge/serverlimit"
)

// Path is the HTTP path of stores that answers permit requests.
const Path = "/v1/permits"

const (
	// requestTimeout bounds one permit request within a region: a few round trips.
	requestTimeout = 150 * time.Millisecond
	// silentStorePause is how long a store that did not answer is not tried.
	silentStorePause = time.Second
	// standaloneFraction is the fraction of a limit that hosts share while no store answers. A
	// store that some hosts still reach grants the whole limit, and both together stay below
	// one and a half times the limit.
	standaloneFraction = 0.4
	// standaloneRetryAfter is when a host that has no share, or has used it, may try again.
	standaloneRetryAfter = 300 * time.Millisecond
	// minStandaloneRate is the least rate that is shared, in requests a second: without any
	// request no host would learn that a limit has ended.
	minStandaloneRate = 0.1
)

// Options are the options of New.
type Options struct {
	Host string
	// Boot identifies this start of the host's process.
	Boot uint64
	// Limits are the limits that servers have announced.
	Limits *serverlimit.Table
	// Stores returns all stores of the region, including silent ones.
	Stores func() []wheelgauge.RegionStore
	// Sharers returns the hosts that share a limit while no store answers.
	Sharers func() []string
	// Request sends a permit request to a store.
	Request func(ctx context.Context, address string, req wheelgauge.PermitRequest) (wheelgauge.PermitResponse, error)
	Now     func() time.Time
}

// Client takes permits from stores. It is safe for concurrent use.
type Client struct {
	options Options
	shares  *coldrate.Shares
	mu      sync.Mutex
	// silentUntil is until when a store that did not answer is not tried.
	silentUntil map[string]time.Time
	// misses are the consecutive requests for places without an answer, by store.
	misses map[string]int
	// uses are what is in flight, by server. seq numbers messages, nextNumber requests for places.
	uses            map[string]*use
	seq, nextNumber uint64
	// wake has a message while a report is due.
	wake chan struct{}
}

// New returns a client that considers all stores reachable.
func New(o Options) *Client {
	return &Client{options: o, shares: coldrate.New(o.Now), silentUntil: map[string]time.Time{}, misses: map[string]int{}, uses: map[string]*use{}, wake: make(chan struct{}, 1)}
}

// Acquire implements wheelgauge.PermitSource.
func (c *Client) Acquire(ctx context.Context, server string, maxWait time.Duration) (after time.Duration, ok bool) {
	rate, limited := c.options.Limits.Rate(server)
	if !limited {
		return 0, true
	}
	for i, store := range c.rankedStores(server) {
		if !store.Reachable || c.isSilent(store.Address) {
			continue
		}
		answer, err := c.request(ctx, store.Address, wheelgauge.PermitRequest{Limit: c.options.Limits.Get(server), MaxWaitMS: maxWait.Milliseconds(), Fallback: i > 0})
		if err == nil {
			c.options.Limits.Merge([]wheelgauge.ServerLimit{answer.Limit})
			return time.Duration(answer.DelayMS) * time.Millisecond, answer.Granted
		}
		if ctx.Err() != nil {
			return 0, false // the request's deadline passed before the store's timeout
		}
		c.markSilent(store.Address)
	}
	// A store that answers no host grants nothing: a few hosts go on with their shares.
	if c.shares.Take(server, c.options.Host, c.options.Sharers(), standaloneFraction*max(rate, minStandaloneRate)) {
		return 0, true
	}
	return standaloneRetryAfter, false
}

// rankedStores returns the stores of the region, the one that issues the server's permits
// first. All hosts agree on it, so no permit is granted twice.
func (c *Client) rankedStores(server string) []wheelgauge.RegionStore {
	stores := c.options.Stores()
	byName := make(map[string]wheelgauge.RegionStore, len(stores))
	names := make([]string, 0, len(stores))
	for _, s := range stores {
		byName[s.Address] = s
		names = append(names, s.Address)
	}
	for i, name := range rendezvous.Top(server, names, len(names)) {
		stores[i] = byName[name]
	}
	return stores
}

func (c *Client) request(ctx context.Context, address string, req wheelgauge.PermitRequest) (wheelgauge.PermitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return c.options.Request(ctx, address, req)
}

func (c *Client) isSilent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.options.Now().Before(c.silentUntil[address])
}

func (c *Client) markSilent(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentUntil[address] = c.options.Now().Add(silentStorePause)
}
