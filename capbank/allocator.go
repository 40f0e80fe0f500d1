// Package capbank is a store's part of the caps of workspaces. Each store has an even
// part of every cap and lends of it what its own hosts do not ask for to stores whose
// hosts do; hosts draw units before they send. What is lent lapses by itself, and the
// lender counts it as gone until it surely has: parts of all stores never add up to more
// than the cap, though messages are lost, stores start again, and regions lose each
// other.
package capbank

import (
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
	"wheelgauge/rendezvous"
)

const (
	// leaseTime is how long a lent part holds without news. Regions lose each other for
	// some seconds: one that is cut off in its busy hour goes on with what it had.
	leaseTime = 10 * time.Second
	// evenFraction of each cap is parted evenly whatever is asked, so that a region which
	// wakes up serves until parts have moved, in some 0.5 s.
	evenFraction = 0.25
	// Beyond rate and burst there is room for errors, of which each of these is a part.
	// burstRoom is what buckets hold on top of the burst; debtRoom what requests may take
	// them below nothing, so that large ones come through small parts; restartRoom what
	// stores begin with that do not know what was drawn before; aheadRoom what hosts may
	// hold for requests to come. The rest is for hosts that go on alone. In the worst
	// window of 300 seeded schedules with overlapping faults 0.90 of what is allowed was
	// sent.
	burstMarginFraction   = 0.25
	debtMarginFraction    = 0.25
	restartMarginFraction = 0.15
	prefetchMarginFraction   = 0.2
	// minSplitTokens is the smallest part of burst and room, in tokens, that a cap is parted
	// into: a long prompt. Of caps in requests it is one.
	minSplitTokens = 16000
	// recomputeInterval is how old the parts may be that draws go by, but for what is lent.
	recomputeInterval = 50 * time.Millisecond
	// minLeasedShare is the smallest part worth a line on a sheet.
	minLeasedShare = 0.002
)

// Options of a Bank.
type Options struct {
	// Self is the store's address, Boot differs between two of its starts.
	Self string
	Boot uint64
	// Window is the length of the spans in which what is sent is bounded; Overage is the
	// part of rate and burst, Slack the units that may be sent beyond these in one.
	Window  time.Duration
	Overage float64
	Slack   float64
	Now     func() time.Time
}

// Bank is safe for concurrent use.
type Bank struct {
	options       Options
	mu      sync.Mutex
	started time.Time
	recomputed time.Time
	members []string
	// most is the most members there were until fewer, from when on fewer count.
	previousMembers  int
	shrinkAt time.Time
	// settled is when a small cap that another store had before has surely lapsed there.
	unsplitFrom  time.Time
	peers    map[string]*peer
	hosts    map[string]*host
	buckets map[string]*bucket
}

// New returns a bank without caps.
func New(o Options) *Bank {
	return &Bank{options: o, started: o.Now(), peers: map[string]*peer{}, hosts: map[string]*host{}, buckets: map[string]*bucket{}}
}

// SetCaps takes the workspaces of the configuration in force.
func (a *Bank) SetCaps(list []wheelgauge.Workspace) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	seen := map[string]bool{}
	for i := range list {
		w := &list[i]
		if !w.Cap.Bounds() {
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

// SetMembers takes the addresses of all stores. Fewer than before count only when those
// that are gone have surely noticed, or their hosts have turned to others.
func (a *Bank) SetMembers(addresses []string) {
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
func (a *Bank) margin(c wheelgauge.Cap) float64 {
	return a.options.Overage*(c.Rate*a.options.Window.Seconds()+c.Burst) + a.options.Slack
}

// divisor is by how many stores caps are parted.
func (a *Bank) divisor(now time.Time) int {
	if now.Before(a.shrinkAt) {
		return max(a.previousMembers, len(a.members))
	}
	return len(a.members)
}

// ownShare is the part of a cap that this store may use or lend; 0 while it does not know
// whether the others still hold what it lent before it started again.
func (a *Bank) ownShare(b *bucket, now time.Time) float64 {
	if !a.ready(now) || !slices.Contains(a.members, a.options.Self) {
		return 0
	}
	if part := a.baseShare(b, a.options.Self, now); part < 1 || !now.Before(a.unsplitFrom) {
		return part
	}
	return 0
}

// baseShare is a store's part of a cap before anything is lent.
func (a *Bank) baseShare(b *bucket, address string, now time.Time) float64 {
	if !a.unsplit(b, now) {
		return 1 / float64(a.divisor(now))
	}
	if a.soleHolder(b) == address {
		return 1
	}
	return 0
}

// soleHolder is the store that a cap stays with which is not parted.
func (a *Bank) soleHolder(b *bucket) string {
	if len(a.members) == 0 {
		return ""
	}
	return rendezvous.Top(b.name, a.members, 1)[0]
}

// unsplit tells whether a cap is too small for parts: it stays with one store, where hosts
// of the others are sent. Parts that no request fits in would let nothing through, and a
// region that is cut off from that store must do without. All stores must find the same,
// so it goes by what is configured.
func (a *Bank) unsplit(b *bucket, now time.Time) bool {
	least := 1.0
	if b.cap.Unit == wheelgauge.CapTokens {
		least = minSplitTokens
	}
	return b.cap.Burst+b.margin < least*float64(a.divisor(now))
}

// ready tells whether nobody holds anything that was lent before the start.
func (a *Bank) ready(now time.Time) bool {
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

// recompute works out the parts anew that draws go by; the lock is held.
func (a *Bank) recompute(now time.Time) {
	a.recomputed = now
	silent := a.silentHosts(now)
	for name, b := range a.buckets {
		b.refill(now)
		share := a.ownShare(b, now)
		for _, p := range a.peers {
			share += p.borrowed(name, now) - p.maxLent(name, now)
		}
		for _, h := range silent {
			share -= h.standaloneShares[name]
		}
		b.setShare(max(0, min(1, share)), a.baseShare(b, a.options.Self, now))
	}
}

// recomputeIfStale counts anew what has become old; the lock is held.
func (a *Bank) recomputeIfStale(now time.Time) {
	if now.Sub(a.recomputed) >= recomputeInterval {
		a.recompute(now)
	}
}
