// Package capallocator divides the caps of workspaces among stores. Each store has an equal base
// share of every cap and leases the part that its own hosts do not use to stores whose hosts
// need it. Hosts draw units from a store before they send requests. Leases expire by
// themselves, and the lessor counts a share as gone until its lease has expired for sure: the
// shares of all stores never add up to more than the cap, whatever messages are lost, stores
// restart, or regions are partitioned.
package capallocator

import (
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
	"wheelgauge/rendezvous"
)

const (
	// leaseTime is how long a lease holds without renewal. Partitions between regions last
	// some seconds: a region that is cut off in its busy hour keeps its leases that long.
	leaseTime = 10 * time.Second
	// evenFraction of each cap is divided evenly whatever the demand, so that a region whose
	// demand begins can serve until shares have moved, which takes about 0.5 s.
	evenFraction = 0.25
	// The margin beyond rate and burst covers errors; each of these is a fraction of it.
	// burstMarginFraction is what buckets hold on top of the burst, debtMarginFraction how far
	// requests may take them below zero, so that large ones pass through small shares.
	// restartMarginFraction is what stores begin with that do not know what was drawn before,
	// prefetchMarginFraction what hosts may hold for future requests. The rest is for
	// standalone hosts. Over 300 seeded schedules of overlapping faults the worst window
	// reaches 0.90 of its bound.
	burstMarginFraction    = 0.25
	debtMarginFraction     = 0.25
	restartMarginFraction  = 0.15
	prefetchMarginFraction = 0.2
	// minSplitTokens is the smallest share of burst and margin, in tokens, that a cap is
	// divided into: one long prompt. For caps in requests it is one request.
	minSplitTokens = 16000
	// recomputeInterval is the maximum age of the shares used by draws; leases apply at once.
	recomputeInterval = 50 * time.Millisecond
	// minLeasedShare is the smallest share that is worth an entry in a lease.
	minLeasedShare = 0.002
)

// Options are the options of New.
type Options struct {
	// Self is the store's address, Boot identifies this run of its process.
	Self string
	Boot uint64
	// Window is the length of the sliding windows over which usage is bounded. In each, a
	// fraction Overage of rate and burst, plus Slack units, may be sent beyond these.
	Window  time.Duration
	Overage float64
	Slack   float64
	Now     func() time.Time
}

// Allocator divides caps with the other stores. It is safe for concurrent use.
type Allocator struct {
	options    Options
	mu         sync.Mutex
	started    time.Time
	recomputed time.Time
	members    []string
	// previousMembers is the divisor used until shrinkAt, after members were removed.
	previousMembers int
	shrinkAt        time.Time
	// unsplitFrom is when a cap that another store held unsplit has expired there for sure.
	unsplitFrom time.Time
	peers       map[string]*peer
	hosts       map[string]*host
	buckets     map[string]*bucket
}

// New returns an allocator without caps.
func New(o Options) *Allocator {
	return &Allocator{options: o, started: o.Now(), peers: map[string]*peer{}, hosts: map[string]*host{}, buckets: map[string]*bucket{}}
}

// SetCaps applies the workspaces of the current configuration.
func (a *Allocator) SetCaps(list []wheelgauge.Workspace) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	seen := map[string]bool{}
	for i := range list {
		w := &list[i]
		if !w.Cap.HasLimit() {
			continue
		}
		seen[w.Name] = true
		if b := a.buckets[w.Name]; b != nil {
			b.refill(now)
			b.cap, b.margin = w.Cap, a.margin(w.Cap)
			b.level = min(b.level, b.capacity())
			continue
		}
		a.buckets[w.Name] = &bucket{
			name: w.Name, cap: w.Cap, margin: a.margin(w.Cap), window: a.options.Window, refilled: now,
			demand: meanrate.New(demandTimeConstant), prefetched: meanrate.New(demandTimeConstant),
		}
	}
	for name := range a.buckets {
		if !seen[name] {
			delete(a.buckets, name)
		}
	}
	a.recompute(now)
	for _, b := range a.buckets {
		if !b.initialized {
			b.initialize(a, now)
		}
	}
}

// SetMembers applies the addresses of all stores. A smaller number takes effect only once
// removed stores have noticed for sure, or their hosts have turned to others.
func (a *Allocator) SetMembers(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	if was := a.divisor(now); len(addresses) < was {
		if len(addresses) < len(a.members) {
			a.shrinkAt = now.Add(leaseTime)
		}
		a.previousMembers = was
	}
	if len(a.members) > 0 && !slices.Equal(a.members, addresses) {
		a.unsplitFrom = now.Add(leaseTime)
	}
	a.members = slices.Clone(addresses)
	for address := range a.peers {
		if !slices.Contains(addresses, address) && !a.peers[address].mayHoldLease(now) {
			delete(a.peers, address)
		}
	}
	a.recompute(now)
}

// margin is what may be sent of a cap in a window beyond its rate and burst.
func (a *Allocator) margin(c wheelgauge.Cap) float64 {
	return a.options.Overage*(c.Rate*a.options.Window.Seconds()+c.Burst) + a.options.Slack
}

// divisor is the number of stores that caps are divided among.
func (a *Allocator) divisor(now time.Time) int {
	if now.Before(a.shrinkAt) {
		return max(a.previousMembers, len(a.members))
	}
	return len(a.members)
}

// ownShare is the share of a cap that this store may use or lease. It is 0 while the store
// does not know whether others still hold leases from before its restart.
func (a *Allocator) ownShare(b *bucket, now time.Time) float64 {
	if !a.ready(now) || !slices.Contains(a.members, a.options.Self) {
		return 0
	}
	if base := a.baseShare(b, a.options.Self, now); base < 1 || !now.Before(a.unsplitFrom) {
		return base
	}
	return 0
}

// baseShare is a store's share of a cap before any leases.
func (a *Allocator) baseShare(b *bucket, address string, now time.Time) float64 {
	if !a.unsplit(b, now) {
		return 1 / float64(a.divisor(now))
	}
	if a.soleHolder(b) == address {
		return 1
	}
	return 0
}

// soleHolder is the store that holds an unsplit cap.
func (a *Allocator) soleHolder(b *bucket) string {
	if len(a.members) == 0 {
		return ""
	}
	return rendezvous.Top(b.name, a.members, 1)[0]
}

// unsplit reports whether a cap is too small to be divided. It then stays with one store, and
// hosts of other stores are redirected there: shares that no request fits into would let
// nothing pass. A region that is cut off from that store cannot use the cap. All stores must
// agree, so the decision depends on the configuration only.
func (a *Allocator) unsplit(b *bucket, now time.Time) bool {
	minSplit := 1.0
	if b.cap.Unit == wheelgauge.CapTokens {
		minSplit = minSplitTokens
	}
	return b.cap.Burst+b.margin < minSplit*float64(a.divisor(now))
}

// ready reports whether no store holds a lease from before this store's start.
func (a *Allocator) ready(now time.Time) bool {
	if now.Sub(a.started) > leaseTime {
		return true
	}
	for _, m := range a.members {
		if m != a.options.Self && (a.peers[m] == nil || !a.peers[m].confirmed) {
			return false
		}
	}
	return len(a.members) > 0
}

// recompute recalculates the shares that draws use. The lock must be held.
func (a *Allocator) recompute(now time.Time) {
	a.recomputed = now
	silent := a.silentHosts(now)
	for name, b := range a.buckets {
		b.refill(now)
		share := a.ownShare(b, now)
		for _, p := range a.peers {
			share += p.leasedFrom(name, now) - p.maxLeasedTo(name, now)
		}
		for _, h := range silent {
			share -= h.standaloneShares[name]
		}
		b.setShare(max(0, min(1, share)), a.baseShare(b, a.options.Self, now))
	}
}

// recomputeIfStale recalculates shares older than recomputeInterval. The lock must be held.
func (a *Allocator) recomputeIfStale(now time.Time) {
	if now.Sub(a.recomputed) >= recomputeInterval {
		a.recompute(now)
	}
}
