package capbank

import (
	"slices"
	"time"

	"wheelgauge"
)

// newsLife is how long a store's word of its hosts holds: some of its news.
const newsLife = 1500 * time.Millisecond

// sheet is what one store has lent another.
type sheet struct {
	giver  uint64
	number uint64
	until  time.Time
	shares map[string]float64
}

// peer is another store.
type peer struct {
	boot uint64
	// seen is when it last sent news.
	seen time.Time
	// ready is set while it uses its own part.
	ready bool
	// demand is what its hosts ask by workspace, in units a second.
	demand map[string]float64
	// spare is what it has to spare, in units, less what hosts were sent there for since
	// it said so.
	spare map[string]float64
	// given are the sheets that it may go by, the last one at the end; number is that of
	// the last one ever given.
	given  []sheet
	number uint64
	// answered is set once it has a sheet of this store's present start: it goes by no
	// earlier one.
	answered bool
	// taken is the last sheet of its own.
	taken sheet
}

// asks is what the peer's hosts ask, in units a second; nothing of one that is silent:
// its hosts have turned to others, or it is cut off and can be lent nothing.
func (p *peer) asks(workspace string, now time.Time) float64 {
	if now.Sub(p.seen) > newsLife {
		return 0
	}
	return p.demand[workspace]
}

// lent is the most that the peer may go by of what it was lent.
func (p *peer) lent(workspace string, now time.Time) float64 {
	most := 0.0
	for _, s := range p.given {
		if now.Before(s.until) {
			most = max(most, s.shares[workspace])
		}
	}
	return most
}

// holds is what the peer has lent this store.
func (p *peer) holds(workspace string, now time.Time) float64 {
	if now.Before(p.taken.until) {
		return p.taken.shares[workspace]
	}
	return 0
}

// owes tells whether the peer may still go by a sheet.
func (p *peer) owes(now time.Time) bool {
	for _, s := range p.given {
		if now.Before(s.until) {
			return true
		}
	}
	return false
}

// acknowledged drops the sheets that the peer has put aside for a later one.
func (p *peer) acknowledged(number uint64) {
	for len(p.given) > 0 && p.given[0].number < number {
		p.given = p.given[1:]
	}
}

// started notes a start of the peer. One that follows an earlier start known here goes
// by nothing: that process is gone, and what it was lent with it.
func (p *peer) started(boot uint64) {
	if p.boot != 0 {
		p.given, p.answered = nil, true
	}
	p.boot = boot
}

// prune drops the sheets that have lapsed.
func (p *peer) prune(now time.Time) {
	p.given = slices.DeleteFunc(p.given, func(s sheet) bool { return !now.Before(s.until) })
}

// News returns what another store is told of this one's hosts.
func (b *Bank) News(to string) wheelgauge.CapNews {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Now()
	n := wheelgauge.CapNews{Ready: b.ready(now)}
	if p := b.peers[to]; p != nil {
		n.Giver, n.Number = p.taken.giver, p.taken.number
	}
	for name, a := range b.accounts {
		a.settle(now)
		d := wheelgauge.CapDemand{Workspace: name, Units: int64(a.demand.At(now))}
		if d.Units > 0 || b.asked(name, now) {
			d.Spare = int64(a.spare())
			n.Demands = append(n.Demands, d)
		}
	}
	return n
}

// asked tells whether hosts of other stores ask for units of a workspace's cap.
func (b *Bank) asked(workspace string, now time.Time) bool {
	for _, p := range b.peers {
		if p.asks(workspace, now) > 0 {
			return true
		}
	}
	return false
}

// elsewhere returns the store that seems to have units which this one lacks, empty when
// there is none.
func (b *Bank) elsewhere(a *account, units float64, now time.Time) string {
	if b.whole(a, now) {
		return b.keeper(a)
	}
	workspace := a.name
	best, most := "", units
	for address, p := range b.peers {
		if spare := p.spare[workspace]; spare >= most && now.Sub(p.seen) < newsLife {
			best, most = address, spare
		}
	}
	if best != "" {
		b.peers[best].spare[workspace] -= units
	}
	return best
}

// Lend takes another store's news, and returns what it may use of this store's part
// from when it sent them. The lender counts it as gone for as long from now.
func (b *Bank) Lend(from string, boot uint64, n wheelgauge.CapNews) wheelgauge.CapSheet {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Now()
	p := b.peer(from)
	if p.boot != boot {
		p.started(boot)
	}
	p.seen, p.ready, p.demand, p.spare = now, n.Ready, map[string]float64{}, map[string]float64{}
	p.prune(now)
	for _, d := range n.Demands {
		p.demand[d.Workspace], p.spare[d.Workspace] = float64(d.Units), float64(d.Spare)
	}
	if n.Giver == b.o.Boot {
		p.acknowledged(n.Number)
		p.answered = true
	}
	p.number++
	s := sheet{number: p.number, until: now.Add(leaseTime), shares: map[string]float64{}}
	out := wheelgauge.CapSheet{Giver: b.o.Boot, Number: p.number}
	if now.Before(p.taken.until) {
		out.Holds = p.taken.giver
	}
	b.count(now)
	for name, a := range b.accounts {
		if share := b.lendable(from, a, now); share >= leastShare {
			s.shares[name] = share
			out.Shares = append(out.Shares, wheelgauge.CapShare{Workspace: name, Share: share})
		}
	}
	p.given = append(p.given, s)
	b.count(now)
	return out
}

// lendable is the part of a cap that a peer is lent: of what this store's hosts do not
// need, by what each store lacks.
func (b *Bank) lendable(from string, a *account, now time.Time) float64 {
	own := b.own(a, now)
	if own == 0 || b.whole(a, now) {
		return 0
	}
	surplus := own - b.target(a, b.o.Self, a.demand.At(now), now)
	lacks, mine := 0.0, 0.0
	for address, other := range b.peers {
		part := b.part(a, address, now)
		lack := b.target(a, address, other.asks(a.name, now), now)
		if other.ready {
			lack -= part
		}
		lack = max(0, lack)
		lacks += lack
		if address == from {
			mine = lack
		}
	}
	if surplus <= 0 || mine <= 0 {
		return 0
	}
	// What others may still go by cannot be lent again.
	free := own
	for address, other := range b.peers {
		if address != from {
			free -= other.lent(a.name, now)
		}
	}
	return max(0, min(surplus*mine/lacks, mine, free))
}

// target is the part of a cap that a store should have.
func (b *Bank) target(a *account, address string, demand float64, now time.Time) float64 {
	part := b.part(a, address, now)
	all := a.demand.At(now)
	for _, p := range b.peers {
		all += p.asks(a.name, now)
	}
	if all <= 0 {
		return part
	}
	return evenPart*part + (1-evenPart)*demand/all
}

// Borrow takes another store's answer to news sent at a moment.
func (b *Bank) Borrow(from string, sent time.Time, s wheelgauge.CapSheet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Now()
	p := b.peer(from)
	p.taken = sheet{giver: s.Giver, number: s.Number, until: sent.Add(leaseTime), shares: map[string]float64{}}
	if s.Holds == 0 || s.Holds == b.o.Boot {
		p.answered = true
	}
	for _, share := range s.Shares {
		p.taken.shares[share.Workspace] = share.Share
	}
	b.count(now)
}

// peer returns a store's entry; the lock is held.
func (b *Bank) peer(address string) *peer {
	if b.peers[address] == nil {
		b.peers[address] = &peer{}
	}
	return b.peers[address]
}
