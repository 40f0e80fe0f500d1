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
	// evenPart of each cap is parted evenly whatever is asked, so that a region which
	// wakes up serves until parts have moved, in some 0.5 s.
	evenPart = 0.25
	// Beyond rate and burst there is room for errors, of which each of these is a part.
	// burstRoom is what buckets hold on top of the burst; debtRoom what requests may take
	// them below nothing, so that large ones come through small parts; restartRoom what
	// stores begin with that do not know what was drawn before; aheadRoom what hosts may
	// hold for requests to come. The rest is for hosts that go on alone. In the worst
	// window of 300 seeded schedules with overlapping faults 0.90 of what is allowed was
	// sent.
	burstRoom   = 0.25
	debtRoom    = 0.25
	restartRoom = 0.15
	aheadRoom   = 0.2
	// leastPart is the smallest part of burst and room, in tokens, that a cap is parted
	// into: a long prompt. Of caps in requests it is one.
	leastPart = 16000
	// recount is how old the parts may be that draws go by, but for what is lent.
	recount = 50 * time.Millisecond
	// leastShare is the smallest part worth a line on a sheet.
	leastShare = 0.002
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
	o       Options
	mu      sync.Mutex
	started time.Time
	counted time.Time
	members []string
	// most is the most members there were until fewer, from when on fewer count.
	most  int
	fewer time.Time
	// settled is when a small cap that another store had before has surely lapsed there.
	settled  time.Time
	peers    map[string]*peer
	hosts    map[string]*host
	accounts map[string]*account
}

// New returns a bank without caps.
func New(o Options) *Bank {
	return &Bank{o: o, started: o.Now(), peers: map[string]*peer{}, hosts: map[string]*host{}, accounts: map[string]*account{}}
}

// SetCaps takes the workspaces of the configuration in force.
func (b *Bank) SetCaps(list []wheelgauge.Workspace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Now()
	seen := map[string]bool{}
	for i := range list {
		w := &list[i]
		if !w.Cap.Bounds() {
			continue
		}
		seen[w.Name] = true
		if a := b.accounts[w.Name]; a != nil {
			a.settle(now)
			a.cap, a.room = w.Cap, b.room(w.Cap)
			a.level = min(a.level, a.full())
			continue
		}
		b.accounts[w.Name] = &account{
			name: w.Name, cap: w.Cap, room: b.room(w.Cap), window: b.o.Window, at: now,
			demand: meanrate.New(demandSpan), ahead: meanrate.New(demandSpan),
		}
	}
	for name := range b.accounts {
		if !seen[name] {
			delete(b.accounts, name)
		}
	}
	b.count(now)
	for _, a := range b.accounts {
		if !a.opened {
			a.open(b, now)
		}
	}
}

// SetMembers takes the addresses of all stores. Fewer than before count only when those
// that are gone have surely noticed, or their hosts have turned to others.
func (b *Bank) SetMembers(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Now()
	if was := b.parts(now); len(addresses) < was {
		if len(addresses) < len(b.members) {
			b.fewer = now.Add(leaseTime)
		}
		b.most = was
	}
	if len(b.members) > 0 && !slices.Equal(b.members, addresses) {
		b.settled = now.Add(leaseTime)
	}
	b.members = slices.Clone(addresses)
	for address := range b.peers {
		if !slices.Contains(addresses, address) && !b.peers[address].owes(now) {
			delete(b.peers, address)
		}
	}
	b.count(now)
}

// room is what may be sent of a cap in a window beyond its rate and burst.
func (b *Bank) room(c wheelgauge.Cap) float64 {
	return b.o.Overage*(c.Rate*b.o.Window.Seconds()+c.Burst) + b.o.Slack
}

// parts is by how many stores caps are parted.
func (b *Bank) parts(now time.Time) int {
	if now.Before(b.fewer) {
		return max(b.most, len(b.members))
	}
	return len(b.members)
}

// own is the part of a cap that this store may use or lend; 0 while it does not know
// whether the others still hold what it lent before it started again.
func (b *Bank) own(a *account, now time.Time) float64 {
	if !b.ready(now) || !slices.Contains(b.members, b.o.Self) {
		return 0
	}
	if part := b.part(a, b.o.Self, now); part < 1 || !now.Before(b.settled) {
		return part
	}
	return 0
}

// part is a store's part of a cap before anything is lent.
func (b *Bank) part(a *account, address string, now time.Time) float64 {
	if !b.whole(a, now) {
		return 1 / float64(b.parts(now))
	}
	if b.keeper(a) == address {
		return 1
	}
	return 0
}

// keeper is the store that a cap stays with which is not parted.
func (b *Bank) keeper(a *account) string {
	if len(b.members) == 0 {
		return ""
	}
	return rendezvous.Top(a.name, b.members, 1)[0]
}

// whole tells whether a cap is too small for parts: it stays with one store, where hosts
// of the others are sent. Parts that no request fits in would let nothing through, and a
// region that is cut off from that store must do without. All stores must find the same,
// so it goes by what is configured.
func (b *Bank) whole(a *account, now time.Time) bool {
	least := 1.0
	if a.cap.Unit == wheelgauge.CapTokens {
		least = leastPart
	}
	return a.cap.Burst+a.room < least*float64(b.parts(now))
}

// ready tells whether nobody holds anything that was lent before the start.
func (b *Bank) ready(now time.Time) bool {
	if now.Sub(b.started) > leaseTime {
		return true
	}
	for _, m := range b.members {
		if m != b.o.Self && (b.peers[m] == nil || !b.peers[m].answered) {
			return false
		}
	}
	return len(b.members) > 0
}

// count works out the parts anew that draws go by; the lock is held.
func (b *Bank) count(now time.Time) {
	b.counted = now
	silent := b.silentHosts(now)
	for name, a := range b.accounts {
		a.settle(now)
		share := b.own(a, now)
		for _, p := range b.peers {
			share += p.holds(name, now) - p.lent(name, now)
		}
		for _, h := range silent {
			share -= h.alone[name]
		}
		a.setShare(max(0, min(1, share)), b.part(a, b.o.Self, now))
	}
}

// fresh counts anew what has become old; the lock is held.
func (b *Bank) fresh(now time.Time) {
	if now.Sub(b.counted) >= recount {
		b.count(now)
	}
}
