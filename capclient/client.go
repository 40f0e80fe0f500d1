// Package capclient is the entry host's client for the caps of workspaces. It draws units from
// a store before requests are sent to backend servers, and goes on standalone for a while when
// no store answers.
package capclient

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
)

// Path is the HTTP path of stores that answers draws.
const Path = "/v1/caps"

const (
	// nearTimeout bounds a draw from a store of the own region, where an answer takes 1 to 3
	// ms; farTimeout bounds one from another region, which connects and answers over a long
	// link.
	nearTimeout = 150 * time.Millisecond
	farTimeout  = 400 * time.Millisecond
	// maxStoresPerRequest is the number of stores tried for one request.
	maxStoresPerRequest = 2
	// silentStorePause is how long a store that did not answer is not tried.
	silentStorePause = 300 * time.Millisecond
	// cachedTTL is how long drawn and unused units may be used: the store has counted them as
	// sent.
	cachedTTL = time.Second
	// prefetchTime is how much demand a host prefetches from a far store. A draw there takes
	// two round trips at worst; without prefetching, nearly all requests of a region whose
	// stores are unreachable would wait for them.
	prefetchTime = 500 * time.Millisecond
	// rateTimeConstant is the time constant of the average rate of draws.
	rateTimeConstant = 2 * time.Second
	// standaloneBurst is what a host may send at once when it becomes standalone, in seconds
	// of its rate. If all hosts become standalone together, they send 0.2 s of the caps at
	// once.
	standaloneBurst = 0.3
	// meanSizeWeight is the weight of a new request in the mean size.
	meanSizeWeight = 0.05
	// standaloneRetryAfter is the delay given to callers when a standalone host has no units
	// left.
	standaloneRetryAfter = 400 * time.Millisecond
	// noStoreRetryAfter is the delay given to callers when no store answers.
	noStoreRetryAfter = 300 * time.Millisecond
)

// Options are the options of New.
type Options struct {
	Host string
	// Boot identifies this run of the host's process.
	Boot uint64
	// Stores returns the reachable stores in order of preference.
	Stores func() []wheelgauge.StoreEndpoint
	// Draw sends a draw to a store.
	Draw func(ctx context.Context, address string, req wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error)
	Now  func() time.Time
}

// standaloneBucket bounds what the host may send of a workspace while no store answers.
type standaloneBucket struct {
	rate     float64
	expires  time.Time
	level    float64
	refilled time.Time
}

// unitCache holds units that were drawn and not used: those of requests that were not run, and
// those prefetched from a far store.
type unitCache struct {
	units   float64
	expires time.Time
	// drawRate is the mean rate of draws in units a second, meanSize the mean units of a
	// request.
	drawRate meanrate.Rate
	meanSize float64
	// farStore is the last store that answered if it is a far one; prefetching is set during a
	// prefetch from it.
	farStore    string
	prefetching bool
}

// record adds a request to the means.
func (c *unitCache) record(units float64, now time.Time) {
	if c.meanSize == 0 {
		c.meanSize = units
	}
	c.meanSize += meanSizeWeight * (units - c.meanSize)
	c.drawRate.Add(units, now)
}

// target is how many units should be cached for future requests.
func (c *unitCache) target() float64 {
	return max(c.meanSize, c.drawRate.Last()*prefetchTime.Seconds())
}

// available returns the units that have not expired.
func (c *unitCache) available(now time.Time) float64 {
	if !now.Before(c.expires) {
		return 0
	}
	return c.units
}

// add adds units to those that are left, and restarts their lifetime.
func (c *unitCache) add(units float64, now time.Time) {
	if units > 0 {
		c.units, c.expires = c.available(now)+units, now.Add(cachedTTL)
	}
}

// Client draws units from stores. It is safe for concurrent use.
type Client struct {
	options     Options
	mu          sync.Mutex
	standalone  map[string]*standaloneBucket
	cached      map[string]*unitCache
	silentUntil map[string]time.Time
	// prefetches counts prefetches in progress; ctx cancels them.
	prefetches sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns a client without units.
func New(o Options) *Client {
	ctx, stop := context.WithCancel(context.Background())
	return &Client{options: o, standalone: map[string]*standaloneBucket{}, cached: map[string]*unitCache{}, silentUntil: map[string]time.Time{}, ctx: ctx, cancel: stop}
}

// Close cancels prefetches in progress and waits for them.
func (c *Client) Close() {
	c.cancel()
	c.prefetches.Wait()
}

// Acquire implements wheelgauge.CapLimiter.
func (c *Client) Acquire(ctx context.Context, w *wheelgauge.Workspace, units float64) *wheelgauge.Error {
	if c.takeCached(w.Name, units) {
		return nil
	}
	for _, s := range c.reachable() {
		g, ok := c.draw(ctx, s, w.Name, units, false)
		if ok && g.OtherStore != "" {
			// Shares of caps follow demand within about 0.5 s; until then another store may
			// have the units that this one lacks.
			if there, answered := c.draw(ctx, wheelgauge.StoreEndpoint{Address: g.OtherStore}, w.Name, units, true); answered {
				g = there
			}
		}
		switch {
		case !ok && ctx.Err() != nil:
			return noStoreAnswers()
		case !ok:
			continue
		case g.Granted:
			return nil
		}
		return capExceeded(time.Duration(g.RetryAfterMS) * time.Millisecond)
	}
	return c.takeStandalone(w.Name, units)
}

// Refund implements wheelgauge.CapLimiter.
func (c *Client) Refund(w *wheelgauge.Workspace, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cacheOf(w.Name).add(units, c.options.Now())
}

// cacheOf returns the cache of a workspace. The lock must be held.
func (c *Client) cacheOf(workspace string) *unitCache {
	if c.cached[workspace] == nil {
		c.cached[workspace] = &unitCache{drawRate: meanrate.New(rateTimeConstant)}
	}
	return c.cached[workspace]
}

// takeCached takes cached units, and starts a prefetch in time if the store is far.
func (c *Client) takeCached(workspace string, units float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	cache := c.cacheOf(workspace)
	cache.record(units, now)
	cached := cache.available(now)
	if cached < units {
		return false
	}
	cache.units = cached - units
	if cache.farStore != "" && !cache.prefetching && cache.units < cache.target()/2 && c.ctx.Err() == nil {
		cache.prefetching = true
		c.prefetches.Add(1)
		go c.prefetch(wheelgauge.StoreEndpoint{Address: cache.farStore}, workspace)
	}
	return true
}

// prefetch draws units ahead of requests.
func (c *Client) prefetch(s wheelgauge.StoreEndpoint, workspace string) {
	defer c.prefetches.Done()
	c.draw(c.ctx, s, workspace, 0, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cacheOf(workspace).prefetching = false
}

// reachable returns the stores to try; none if all of them were silent lately.
func (c *Client) reachable() []wheelgauge.StoreEndpoint {
	all := c.options.Stores()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	out := make([]wheelgauge.StoreEndpoint, 0, maxStoresPerRequest)
	for _, s := range all {
		if len(out) < maxStoresPerRequest && !now.Before(c.silentUntil[s.Address]) {
			out = append(out, s)
		}
	}
	return out
}

// draw draws units from one store; ok is false when the store does not answer.
func (c *Client) draw(parent context.Context, s wheelgauge.StoreEndpoint, workspace string, units float64, redirected bool) (g wheelgauge.CapGrant, ok bool) {
	timeout := farTimeout
	if s.SameRegion {
		timeout = nearTimeout
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	sent := c.options.Now()
	item := wheelgauge.CapUnitsItem{Workspace: workspace, Units: units}
	if !s.SameRegion && !redirected {
		item.Prefetch = c.prefetchAmount(workspace)
	}
	answer, err := c.options.Draw(ctx, s.Address, wheelgauge.CapUnitsRequest{Host: c.options.Host, Boot: c.options.Boot, Redirected: redirected, Items: []wheelgauge.CapUnitsItem{item}})
	if err != nil || len(answer.Grants) != 1 {
		// A request whose own deadline has passed says nothing about the store.
		if parent.Err() == nil {
			c.markSilent(s.Address)
		}
		return g, false
	}
	g = answer.Grants[0]
	if !redirected {
		c.updateStandalone(workspace, g, sent)
		c.addPrefetched(workspace, s, g.Prefetched)
	}
	return g, true
}

// prefetchAmount returns how many units are missing for future requests.
func (c *Client) prefetchAmount(workspace string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	cache := c.cacheOf(workspace)
	return max(0, cache.target()-cache.available(c.options.Now()))
}

// addPrefetched adds units that a store granted for future requests.
func (c *Client) addPrefetched(workspace string, s wheelgauge.StoreEndpoint, units float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cache := c.cacheOf(workspace)
	cache.farStore = ""
	if !s.SameRegion {
		cache.farStore = s.Address
	}
	cache.add(units, c.options.Now())
}

func (c *Client) markSilent(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentUntil[address] = c.options.Now().Add(silentStorePause)
}

// updateStandalone applies a store's answer on what the host may send standalone. Units spent
// while standalone earlier stay spent.
func (c *Client) updateStandalone(workspace string, g wheelgauge.CapGrant, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.standalone[workspace]
	if b == nil {
		b = &standaloneBucket{level: standaloneBurst * g.StandaloneRate, refilled: sent}
		c.standalone[workspace] = b
	}
	b.refill(c.options.Now())
	b.rate, b.expires = g.StandaloneRate, sent.Add(time.Duration(g.StandaloneMS)*time.Millisecond)
}

// refill adds the units of the time since the last refill.
func (b *standaloneBucket) refill(now time.Time) {
	b.level = min(standaloneBurst*b.rate, b.level+b.rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
}

// takeStandalone takes units from the host's standalone rate.
func (c *Client) takeStandalone(workspace string, units float64) *wheelgauge.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	b := c.standalone[workspace]
	if b == nil || !now.Before(b.expires) {
		return noStoreAnswers()
	}
	b.refill(now)
	if b.spend(units) {
		return nil
	}
	return capExceeded(standaloneRetryAfter)
}

// spend spends available units. If they are fewer than the request needs, the request passes
// with the probability of the fraction they cover: the share of a single host may be smaller
// than one request, and so all hosts together still send what they may.
func (b *standaloneBucket) spend(units float64) bool {
	spent := min(max(0, b.level), units)
	b.level -= spent
	return spent > 0 && rand.Float64()*units < spent
}

func capExceeded(after time.Duration) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonRateLimited, wheelgauge.OutcomeNotRun, http.StatusTooManyRequests, "workspace cap exceeded").WithRetryAfter(after)
}

func noStoreAnswers() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no store answers to grant units of the workspace's cap").WithRetryAfter(noStoreRetryAfter)
}
