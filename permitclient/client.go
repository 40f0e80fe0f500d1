// Package permitclient is an entry host's side of the limits that backend servers name: it
// asks a store of the region before a request is sent to a server that has one, and goes
// by a small share of its own while no store answers.
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

// Path is where stores are asked for permits.
const Path = "/v1/permits"

const (
	// requestTimeout bounds one asking within a region: some ways there and back.
	requestTimeout = 150 * time.Millisecond
	// silentStorePause keeps askings off a store that did not answer.
	silentStorePause = time.Second
	// standaloneFraction is the part of a limit that hosts share while no store answers: one that
	// some of them still reach gives the whole, and both together stay below one and a half
	// times the limit.
	standaloneFraction = 0.4
	// standaloneRetryAfter is when a host asks again that has no share, or has used it.
	standaloneRetryAfter = 300 * time.Millisecond
	// minStandaloneRate is the least rate that is shared, in requests a second: without any request
	// nobody would hear that a limit has ended.
	minStandaloneRate = 0.1
)

// Options of a Client.
type Options struct {
	Host string
	// Limits are those that servers have named.
	Limits *serverlimit.Table
	// Stores returns all stores of the region, silent ones too.
	Stores func() []wheelgauge.RegionStore
	// Sharers are the hosts among which a limit is shared while no store answers.
	Sharers func() []string
	// Ask carries an asking to a store.
	Ask func(ctx context.Context, address string, ask wheelgauge.PermitAsk) (wheelgauge.PermitAnswer, error)
	Now func() time.Time
}

// Client is safe for concurrent use.
type Client struct {
	options      Options
	shares *coldrate.Shares
	mu     sync.Mutex
	// silent is until when a store that did not answer is not asked.
	silentUntil map[string]time.Time
}

// New returns a client.
func New(o Options) *Client {
	return &Client{options: o, shares: coldrate.New(o.Now), silentUntil: map[string]time.Time{}}
}

// Take implements wheelgauge.Permits.
func (c *Client) Take(ctx context.Context, server string, patience time.Duration) (after time.Duration, ok bool) {
	rate, limited := c.options.Limits.Rate(server)
	if !limited {
		return 0, true
	}
	for i, store := range c.rankedStores(server) {
		if !store.Answers || c.isSilent(store.Address) {
			continue
		}
		answer, err := c.ask(ctx, store.Address, wheelgauge.PermitAsk{Limit: c.options.Limits.Get(server), PatienceMS: patience.Milliseconds(), Instead: i > 0})
		if err == nil {
			c.options.Limits.Merge([]wheelgauge.ServerLimit{answer.Limit})
			return time.Duration(answer.AfterMS) * time.Millisecond, answer.Granted
		}
		if ctx.Err() != nil {
			return 0, false // the request had less time than the store
		}
		c.markSilent(store.Address)
	}
	// A store that answers nobody gives nothing: a few hosts go on with their shares.
	if c.shares.Take(server, c.options.Host, c.options.Sharers(), standaloneFraction*max(rate, minStandaloneRate)) {
		return 0, true
	}
	return standaloneRetryAfter, false
}

// rankedStores returns the stores of the region, the one that gives the server's permits first:
// all hosts agree on it, so that nothing is given twice.
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

func (c *Client) ask(ctx context.Context, address string, ask wheelgauge.PermitAsk) (wheelgauge.PermitAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return c.options.Ask(ctx, address, ask)
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
