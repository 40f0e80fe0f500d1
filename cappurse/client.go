// Package cappurse is an entry host's side of the caps of workspaces: it draws units at
// a store before requests are sent to backend servers, and goes on for a while by itself
// when no store answers.
package cappurse

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
)

// Path is where stores are asked for units.
const Path = "/v1/caps"

const (
	// nearTimeout bounds one asking within a region, where an answer takes 1 to 3 ms,
	// farTimeout one of a store elsewhere: connect and answer over a long link.
	nearTimeout = 150 * time.Millisecond
	farTimeout  = 400 * time.Millisecond
	// maxStoresPerRequest are asked for one request.
	maxStoresPerRequest = 2
	// silentStorePause keeps askings off a store that did not answer.
	silentStorePause = 300 * time.Millisecond
	// cachedTTL is how long units are good that were drawn and not used: a store has
	// counted them as sent.
	cachedTTL = time.Second
	// prefetchTime is for how long a host draws ahead at a far store, which takes two of its
	// ways there and back at worst: without, nearly all requests of a region whose stores
	// are dark would wait for them.
	prefetchTime = 500 * time.Millisecond
	// rateTimeConstant is over how long what is drawn is averaged.
	rateTimeConstant = 2 * time.Second
	// standaloneBurst is what a host may send at once when it begins to go on alone, in
	// seconds of its rate: all hosts that begin at once send 0.2 s of the caps.
	standaloneBurst = 0.3
	// meanSizeWeight is the weight of a new request in their mean size.
	meanSizeWeight = 0.05
	// standaloneRetryAfter is when a caller comes back to a host that is alone and has nothing left.
	standaloneRetryAfter = 400 * time.Millisecond
	// noStoreRetryAfter is when a caller comes back who was refused because no store answers.
	noStoreRetryAfter = 300 * time.Millisecond
)

// Options of a Purse.
type Options struct {
	Host string
	// Boot differs between two starts of the host's process.
	Boot uint64
	// Stores returns those in touch, the best first.
	Stores func() []wheelgauge.StoreAt
	// Ask carries an asking to a store.
	Ask func(ctx context.Context, address string, ask wheelgauge.CapAsk) (wheelgauge.CapAnswer, error)
	Now func() time.Time
}

// standaloneBucket is what the host may send of a workspace while no store answers.
type standaloneBucket struct {
	rate  float64
	expires time.Time
	level float64
	refilled    time.Time
}

// unitCache are units that were drawn and not used: those of requests that were not run, and
// those drawn ahead at a far store.
type unitCache struct {
	units float64
	expires time.Time
	// drawn is what is drawn a second, size what a request counts in the mean.
	drawRate meanrate.Rate
	meanSize  float64
	// far is the store that was asked last if it is a far one, fetching is set while it
	// is asked ahead of requests.
	farStore      string
	prefetching bool
}

// record takes what a request counts into the means.
func (k *unitCache) record(units float64, now time.Time) {
	if k.meanSize == 0 {
		k.meanSize = units
	}
	k.meanSize += meanSizeWeight * (units - k.meanSize)
	k.drawRate.Add(units, now)
}

// target is what should be there for requests to come.
func (k *unitCache) target() float64 { return max(k.meanSize, k.drawRate.Last()*prefetchTime.Seconds()) }

// available is what is still good.
func (k *unitCache) available(now time.Time) float64 {
	if !now.Before(k.expires) {
		return 0
	}
	return k.units
}

// add adds units that are good from now on, with what is left.
func (k *unitCache) add(units float64, now time.Time) {
	if units > 0 {
		k.units, k.expires = k.available(now)+units, now.Add(cachedTTL)
	}
}

// Purse is safe for concurrent use.
type Purse struct {
	options      Options
	mu     sync.Mutex
	standalone  map[string]*standaloneBucket
	cached   map[string]*unitCache
	silentUntil map[string]time.Time
	// fetches are askings ahead of requests; ctx ends them.
	prefetches sync.WaitGroup
	ctx     context.Context
	cancel    context.CancelFunc
}

// New returns a purse without units.
func New(o Options) *Purse {
	ctx, stop := context.WithCancel(context.Background())
	return &Purse{options: o, standalone: map[string]*standaloneBucket{}, cached: map[string]*unitCache{}, silentUntil: map[string]time.Time{}, ctx: ctx, cancel: stop}
}

// Close ends askings that are under way, and waits.
func (p *Purse) Close() {
	p.cancel()
	p.prefetches.Wait()
}

// Take implements wheelgauge.CapLimiter.
func (p *Purse) Take(ctx context.Context, w *wheelgauge.Workspace, units float64) *wheelgauge.Error {
	if p.takeCached(w.Name, units) {
		return nil
	}
	for _, s := range p.reachable() {
		g, ok := p.draw(ctx, s, w.Name, units, false)
		if ok && g.Elsewhere != "" {
			// Parts of caps follow what is asked by some 0.5 s: until then another store
			// may have what this one lacks.
			if there, answered := p.draw(ctx, wheelgauge.StoreAt{Address: g.Elsewhere}, w.Name, units, true); answered {
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
		return capExceeded(time.Duration(g.AfterMS) * time.Millisecond)
	}
	return p.takeStandalone(w.Name, units)
}

// Return implements wheelgauge.CapLimiter.
func (p *Purse) Return(w *wheelgauge.Workspace, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cacheOf(w.Name).add(units, p.options.Now())
}

// cacheOf returns what is kept of a workspace; the lock is held.
func (p *Purse) cacheOf(workspace string) *unitCache {
	if p.cached[workspace] == nil {
		p.cached[workspace] = &unitCache{drawRate: meanrate.New(rateTimeConstant)}
	}
	return p.cached[workspace]
}

// takeCached takes units that are there, and draws others in time if the store is far.
func (p *Purse) takeCached(workspace string, units float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	k := p.cacheOf(workspace)
	k.record(units, now)
	left := k.available(now)
	if left < units {
		return false
	}
	k.units = left - units
	if k.farStore != "" && !k.prefetching && k.units < k.target()/2 && p.ctx.Err() == nil {
		k.prefetching = true
		p.prefetches.Add(1)
		go p.prefetch(wheelgauge.StoreAt{Address: k.farStore}, workspace)
	}
	return true
}

// prefetch draws units ahead of requests.
func (p *Purse) prefetch(s wheelgauge.StoreAt, workspace string) {
	defer p.prefetches.Done()
	p.draw(p.ctx, s, workspace, 0, false)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cacheOf(workspace).prefetching = false
}

// reachable returns the stores to ask; none when all in touch were silent lately.
func (p *Purse) reachable() []wheelgauge.StoreAt {
	all := p.options.Stores()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	out := make([]wheelgauge.StoreAt, 0, maxStoresPerRequest)
	for _, s := range all {
		if len(out) < maxStoresPerRequest && !now.Before(p.silentUntil[s.Address]) {
			out = append(out, s)
		}
	}
	return out
}

// draw asks one store; ok is false when it does not answer.
func (p *Purse) draw(within context.Context, s wheelgauge.StoreAt, workspace string, units float64, moved bool) (g wheelgauge.CapGrant, ok bool) {
	timeout := farTimeout
	if s.Near {
		timeout = nearTimeout
	}
	ctx, cancel := context.WithTimeout(within, timeout)
	defer cancel()
	asked := p.options.Now()
	want := wheelgauge.CapWant{Workspace: workspace, Units: units}
	if !s.Near && !moved {
		want.Ahead = p.prefetchAmount(workspace)
	}
	answer, err := p.options.Ask(ctx, s.Address, wheelgauge.CapAsk{Host: p.options.Host, Boot: p.options.Boot, Moved: moved, Wants: []wheelgauge.CapWant{want}})
	if err != nil || len(answer.Grants) != 1 {
		// A request that had less time than the store says nothing about the store.
		if within.Err() == nil {
			p.markSilent(s.Address)
		}
		return g, false
	}
	g = answer.Grants[0]
	if !moved {
		p.updateStandalone(workspace, g, asked)
		p.addPrefetched(workspace, s, g.Ahead)
	}
	return g, true
}

// prefetchAmount is what is missing for requests to come.
func (p *Purse) prefetchAmount(workspace string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.cacheOf(workspace)
	return max(0, k.target()-k.available(p.options.Now()))
}

// addPrefetched keeps units that a store gave for requests to come.
func (p *Purse) addPrefetched(workspace string, s wheelgauge.StoreAt, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.cacheOf(workspace)
	k.farStore = ""
	if !s.Near {
		k.farStore = s.Address
	}
	k.add(units, p.options.Now())
}

func (p *Purse) markSilent(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentUntil[address] = p.options.Now().Add(silentStorePause)
}

// updateStandalone takes a store's word of what the host may do without it. The units of an
// earlier time alone stay spent.
func (p *Purse) updateStandalone(workspace string, g wheelgauge.CapGrant, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.standalone[workspace]
	if a == nil {
		a = &standaloneBucket{level: standaloneBurst * g.Alone, refilled: asked}
		p.standalone[workspace] = a
	}
	a.refill(p.options.Now())
	a.rate, a.expires = g.Alone, asked.Add(time.Duration(g.AloneMS)*time.Millisecond)
}

// refill lets the units fill until now.
func (a *standaloneBucket) refill(now time.Time) {
	a.level = min(standaloneBurst*a.rate, a.level+a.rate*now.Sub(a.refilled).Seconds())
	a.refilled = now
}

// takeStandalone sends what the host may by itself.
func (p *Purse) takeStandalone(workspace string, units float64) *wheelgauge.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	a := p.standalone[workspace]
	if a == nil || !now.Before(a.expires) {
		return noStoreAnswers()
	}
	a.refill(now)
	if a.spend(units) {
		return nil
	}
	return capExceeded(standaloneRetryAfter)
}

// spend spends the units that are there. Where they are fewer than a request needs, it
// is sent as often as they make up for it: parts of single hosts are smaller than one
// request, and all hosts together send what they may.
func (a *standaloneBucket) spend(units float64) bool {
	spent := min(max(0, a.level), units)
	a.level -= spent
	return spent > 0 && rand.Float64()*units < spent
}

func capExceeded(after time.Duration) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonRateLimited, wheelgauge.OutcomeNotRun, http.StatusTooManyRequests, "the workspace has used its cap").WithRetryAfter(after)
}

func noStoreAnswers() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no store tells what is left of the workspace's cap").WithRetryAfter(noStoreRetryAfter)
}
