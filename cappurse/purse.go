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
	// mostStores are asked for one request.
	mostStores = 2
	// silentPause keeps askings off a store that did not answer.
	silentPause = 300 * time.Millisecond
	// keptLife is how long units are good that were drawn and not used: a store has
	// counted them as sent.
	keptLife = time.Second
	// aheadTime is for how long a host draws ahead at a far store, which takes two of its
	// ways there and back at worst: without, nearly all requests of a region whose stores
	// are dark would wait for them.
	aheadTime = 500 * time.Millisecond
	// rateSpan is over how long what is drawn is averaged.
	rateSpan = 2 * time.Second
	// aloneBurst is what a host may send at once when it begins to go on alone, in
	// seconds of its rate: all hosts that begin at once send 0.2 s of the caps.
	aloneBurst = 0.3
	// sizeWeight is the weight of a new request in their mean size.
	sizeWeight = 0.05
	// aloneRetry is when a caller comes back to a host that is alone and has nothing left.
	aloneRetry = 400 * time.Millisecond
	// unsureRetry is when a caller comes back who was refused because no store answers.
	unsureRetry = 300 * time.Millisecond
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

// alone is what the host may send of a workspace while no store answers.
type alone struct {
	rate  float64
	until time.Time
	level float64
	at    time.Time
}

// kept are units that were drawn and not used: those of requests that were not run, and
// those drawn ahead at a far store.
type kept struct {
	units float64
	until time.Time
	// drawn is what is drawn a second, size what a request counts in the mean.
	drawn meanrate.Rate
	size  float64
	// far is the store that was asked last if it is a far one, fetching is set while it
	// is asked ahead of requests.
	far      string
	fetching bool
}

// note takes what a request counts into the means.
func (k *kept) note(units float64, now time.Time) {
	if k.size == 0 {
		k.size = units
	}
	k.size += sizeWeight * (units - k.size)
	k.drawn.Add(units, now)
}

// wanted is what should be there for requests to come.
func (k *kept) wanted() float64 { return max(k.size, k.drawn.Last()*aheadTime.Seconds()) }

// left is what is still good.
func (k *kept) left(now time.Time) float64 {
	if !now.Before(k.until) {
		return 0
	}
	return k.units
}

// add adds units that are good from now on, with what is left.
func (k *kept) add(units float64, now time.Time) {
	if units > 0 {
		k.units, k.until = k.left(now)+units, now.Add(keptLife)
	}
}

// Purse is safe for concurrent use.
type Purse struct {
	o      Options
	mu     sync.Mutex
	alone  map[string]*alone
	kept   map[string]*kept
	silent map[string]time.Time
	// fetches are askings ahead of requests; ctx ends them.
	fetches sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
}

// New returns a purse without units.
func New(o Options) *Purse {
	ctx, stop := context.WithCancel(context.Background())
	return &Purse{o: o, alone: map[string]*alone{}, kept: map[string]*kept{}, silent: map[string]time.Time{}, ctx: ctx, stop: stop}
}

// Close ends askings that are under way, and waits.
func (p *Purse) Close() {
	p.stop()
	p.fetches.Wait()
}

// Take implements wheelgauge.CapLimiter.
func (p *Purse) Take(ctx context.Context, w *wheelgauge.Workspace, units float64) *wheelgauge.Error {
	if p.reuse(w.Name, units) {
		return nil
	}
	for _, s := range p.reachable() {
		g, ok := p.ask(ctx, s, w.Name, units, false)
		if ok && g.Elsewhere != "" {
			// Parts of caps follow what is asked by some 0.5 s: until then another store
			// may have what this one lacks.
			if there, answered := p.ask(ctx, wheelgauge.StoreAt{Address: g.Elsewhere}, w.Name, units, true); answered {
				g = there
			}
		}
		switch {
		case !ok && ctx.Err() != nil:
			return unsure()
		case !ok:
			continue
		case g.Granted:
			return nil
		}
		return refused(time.Duration(g.AfterMS) * time.Millisecond)
	}
	return p.goAlone(w.Name, units)
}

// Return implements wheelgauge.CapLimiter.
func (p *Purse) Return(w *wheelgauge.Workspace, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(w.Name).add(units, p.o.Now())
}

// of returns what is kept of a workspace; the lock is held.
func (p *Purse) of(workspace string) *kept {
	if p.kept[workspace] == nil {
		p.kept[workspace] = &kept{drawn: meanrate.New(rateSpan)}
	}
	return p.kept[workspace]
}

// reuse takes units that are there, and draws others in time if the store is far.
func (p *Purse) reuse(workspace string, units float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Now()
	k := p.of(workspace)
	k.note(units, now)
	left := k.left(now)
	if left < units {
		return false
	}
	k.units = left - units
	if k.far != "" && !k.fetching && k.units < k.wanted()/2 && p.ctx.Err() == nil {
		k.fetching = true
		p.fetches.Add(1)
		go p.fetch(wheelgauge.StoreAt{Address: k.far}, workspace)
	}
	return true
}

// fetch draws units ahead of requests.
func (p *Purse) fetch(s wheelgauge.StoreAt, workspace string) {
	defer p.fetches.Done()
	p.ask(p.ctx, s, workspace, 0, false)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(workspace).fetching = false
}

// reachable returns the stores to ask; none when all in touch were silent lately.
func (p *Purse) reachable() []wheelgauge.StoreAt {
	all := p.o.Stores()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Now()
	out := make([]wheelgauge.StoreAt, 0, mostStores)
	for _, s := range all {
		if len(out) < mostStores && !now.Before(p.silent[s.Address]) {
			out = append(out, s)
		}
	}
	return out
}

// ask asks one store; ok is false when it does not answer.
func (p *Purse) ask(within context.Context, s wheelgauge.StoreAt, workspace string, units float64, moved bool) (g wheelgauge.CapGrant, ok bool) {
	timeout := farTimeout
	if s.Near {
		timeout = nearTimeout
	}
	ctx, cancel := context.WithTimeout(within, timeout)
	defer cancel()
	asked := p.o.Now()
	want := wheelgauge.CapWant{Workspace: workspace, Units: units}
	if !s.Near && !moved {
		want.Ahead = p.ahead(workspace)
	}
	answer, err := p.o.Ask(ctx, s.Address, wheelgauge.CapAsk{Host: p.o.Host, Boot: p.o.Boot, Moved: moved, Wants: []wheelgauge.CapWant{want}})
	if err != nil || len(answer.Grants) != 1 {
		// A request that had less time than the store says nothing about the store.
		if within.Err() == nil {
			p.noteSilent(s.Address)
		}
		return g, false
	}
	g = answer.Grants[0]
	if !moved {
		p.noteAlone(workspace, g, asked)
		p.noteAhead(workspace, s, g.Ahead)
	}
	return g, true
}

// ahead is what is missing for requests to come.
func (p *Purse) ahead(workspace string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.of(workspace)
	return max(0, k.wanted()-k.left(p.o.Now()))
}

// noteAhead keeps units that a store gave for requests to come.
func (p *Purse) noteAhead(workspace string, s wheelgauge.StoreAt, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.of(workspace)
	k.far = ""
	if !s.Near {
		k.far = s.Address
	}
	k.add(units, p.o.Now())
}

func (p *Purse) noteSilent(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[address] = p.o.Now().Add(silentPause)
}

// noteAlone takes a store's word of what the host may do without it. The units of an
// earlier time alone stay spent.
func (p *Purse) noteAlone(workspace string, g wheelgauge.CapGrant, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.alone[workspace]
	if a == nil {
		a = &alone{level: aloneBurst * g.Alone, at: asked}
		p.alone[workspace] = a
	}
	a.settle(p.o.Now())
	a.rate, a.until = g.Alone, asked.Add(time.Duration(g.AloneMS)*time.Millisecond)
}

// settle lets the units fill until now.
func (a *alone) settle(now time.Time) {
	a.level = min(aloneBurst*a.rate, a.level+a.rate*now.Sub(a.at).Seconds())
	a.at = now
}

// goAlone sends what the host may by itself.
func (p *Purse) goAlone(workspace string, units float64) *wheelgauge.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Now()
	a := p.alone[workspace]
	if a == nil || !now.Before(a.until) {
		return unsure()
	}
	a.settle(now)
	if a.stake(units) {
		return nil
	}
	return refused(aloneRetry)
}

// stake spends the units that are there. Where they are fewer than a request needs, it
// is sent as often as they make up for it: parts of single hosts are smaller than one
// request, and all hosts together send what they may.
func (a *alone) stake(units float64) bool {
	spent := min(max(0, a.level), units)
	a.level -= spent
	return spent > 0 && rand.Float64()*units < spent
}

func refused(after time.Duration) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonRateLimited, wheelgauge.OutcomeNotRun, http.StatusTooManyRequests, "the workspace has used its cap").WithRetryAfter(after)
}

func unsure() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no store tells what is left of the workspace's cap").WithRetryAfter(unsureRetry)
}
