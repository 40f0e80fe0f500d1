package capbank

import (
	"slices"
	"time"

	"wheelgauge"
)

// reportTTL is how long a store's word of its hosts holds: some of its news.
const reportTTL = 1500 * time.Millisecond

// lease is what one store has lent another.
type lease struct {
	lender  uint64
	number uint64
	expires  time.Time
	shares map[string]float64
}

// peer is another store.
type peer struct {
	boot uint64
	// seen is when it last sent news.
	lastReport time.Time
	// ready is set while it uses its own part.
	ready bool
	// demand is what its hosts ask by workspace, in units a second.
	demand map[string]float64
	// spare is what it has to spare, in units, less what hosts were sent there for since
	// it said so.
	spare map[string]float64
	// given are the sheets that it may go by, the last one at the end; number is that of
	// the last one ever given.
	granted  []lease
	lastNumber uint64
	// answered is set once it has a sheet of this store's present start: it goes by no
	// earlier one.
	confirmed bool
	// taken is the last sheet of its own.
	held lease
}

// currentDemand is what the peer's hosts ask, in units a second; nothing of one that is silent:
// its hosts have turned to others, or it is cut off and can be lent nothing.
func (p *peer) currentDemand(workspace string, now time.Time) float64 {
	if now.Sub(p.lastReport) > reportTTL {
		return 0
	}
	return p.demand[workspace]
}

// maxLent is the most that the peer may go by of what it was lent.
func (p *peer) maxLent(workspace string, now time.Time) float64 {
	most := 0.0
	for _, s := range p.granted {
		if now.Before(s.expires) {
			most = max(most, s.shares[workspace])
		}
	}
	return most
}

// borrowed is what the peer has lent this store.
func (p *peer) borrowed(workspace string, now time.Time) float64 {
	if now.Before(p.held.expires) {
		return p.held.shares[workspace]
	}
	return 0
}

// mayHoldLease tells whether the peer may still go by a sheet.
func (p *peer) mayHoldLease(now time.Time) bool {
	for _, s := range p.granted {
		if now.Before(s.expires) {
			return true
		}
	}
	return false
}

// dropBefore drops the sheets that the peer has put aside for a later one.
func (p *peer) dropBefore(number uint64) {
	for len(p.granted) > 0 && p.granted[0].number < number {
		p.granted = p.granted[1:]
	}
}

// restarted notes a start of the peer. One that follows an earlier start known here goes
// by nothing: that process is gone, and what it was lent with it.
func (p *peer) restarted(boot uint64) {
	if p.boot != 0 {
		p.granted, p.confirmed = nil, true
	}
	p.boot = boot
}

// dropExpired drops the sheets that have lapsed.
func (p *peer) dropExpired(now time.Time) {
	p.granted = slices.DeleteFunc(p.granted, func(s lease) bool { return !now.Before(s.expires) })
}

// News returns what another store is told of this one's hosts.
func (a *Bank) News(to string) wheelgauge.CapNews {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	n := wheelgauge.CapNews{Ready: a.ready(now)}
	if p := a.peers[to]; p != nil {
		n.Giver, n.Number = p.held.lender, p.held.number
	}
	for name, b := range a.buckets {
		b.refill(now)
		d := wheelgauge.CapDemand{Workspace: name, Units: int64(b.demand.At(now))}
		if d.Units > 0 || a.hasRemoteDemand(name, now) {
			d.Spare = int64(b.available())
			n.Demands = append(n.Demands, d)
		}
	}
	return n
}

// hasRemoteDemand tells whether hosts of other stores ask for units of a workspace's cap.
func (a *Bank) hasRemoteDemand(workspace string, now time.Time) bool {
	for _, p := range a.peers {
		if p.currentDemand(workspace, now) > 0 {
			return true
		}
	}
	return false
}

// alternative returns the store that seems to have units which this one lacks, empty when
// there is none.
func (a *Bank) alternative(b *bucket, units float64, now time.Time) string {
	if a.unsplit(b, now) {
		return a.soleHolder(b)
	}
	workspace := b.name
	best, most := "", units
	for address, p := range a.peers {
		if spare := p.spare[workspace]; spare >= most && now.Sub(p.lastReport) < reportTTL {
			best, most = address, spare
		}
	}
	if best != "" {
		a.peers[best].spare[workspace] -= units
	}
	return best
}

// Lend takes another store's news, and returns what it may use of this store's part
// from when it sent them. The lender counts it as gone for as long from now.
func (a *Bank) Lend(from string, boot uint64, n wheelgauge.CapNews) wheelgauge.CapSheet {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	p := a.peer(from)
	if p.boot != boot {
		p.restarted(boot)
	}
	p.lastReport, p.ready, p.demand, p.spare = now, n.Ready, map[string]float64{}, map[string]float64{}
	p.dropExpired(now)
	for _, d := range n.Demands {
		p.demand[d.Workspace], p.spare[d.Workspace] = float64(d.Units), float64(d.Spare)
	}
	if n.Giver == a.options.Boot {
		p.dropBefore(n.Number)
		p.confirmed = true
	}
	p.lastNumber++
	s := lease{number: p.lastNumber, expires: now.Add(leaseTime), shares: map[string]float64{}}
	out := wheelgauge.CapSheet{Giver: a.options.Boot, Number: p.lastNumber}
	if now.Before(p.held.expires) {
		out.Holds = p.held.lender
	}
	a.recompute(now)
	for name, b := range a.buckets {
		if share := a.leasableShare(from, b, now); share >= minLeasedShare {
			s.shares[name] = share
			out.Shares = append(out.Shares, wheelgauge.CapShare{Workspace: name, Share: share})
		}
	}
	p.granted = append(p.granted, s)
	a.recompute(now)
	return out
}

// leasableShare is the part of a cap that a peer is lent: of what this store's hosts do not
// need, by what each store lacks.
func (a *Bank) leasableShare(from string, b *bucket, now time.Time) float64 {
	own := a.ownShare(b, now)
	if own == 0 || a.unsplit(b, now) {
		return 0
	}
	surplus := own - a.targetShare(b, a.options.Self, b.demand.At(now), now)
	lacks, mine := 0.0, 0.0
	for address, other := range a.peers {
		part := a.baseShare(b, address, now)
		lack := a.targetShare(b, address, other.currentDemand(b.name, now), now)
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
	for address, other := range a.peers {
		if address != from {
			free -= other.maxLent(b.name, now)
		}
	}
	return max(0, min(surplus*mine/lacks, mine, free))
}

// targetShare is the part of a cap that a store should have.
func (a *Bank) targetShare(b *bucket, address string, demand float64, now time.Time) float64 {
	part := a.baseShare(b, address, now)
	all := b.demand.At(now)
	for _, p := range a.peers {
		all += p.currentDemand(b.name, now)
	}
	if all <= 0 {
		return part
	}
	return evenFraction*part + (1-evenFraction)*demand/all
}

// Borrow takes another store's answer to news sent at a moment.
func (a *Bank) Borrow(from string, sent time.Time, s wheelgauge.CapSheet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	p := a.peer(from)
	p.held = lease{lender: s.Giver, number: s.Number, expires: sent.Add(leaseTime), shares: map[string]float64{}}
	if s.Holds == 0 || s.Holds == a.options.Boot {
		p.confirmed = true
	}
	for _, share := range s.Shares {
		p.held.shares[share.Workspace] = share.Share
	}
	a.recompute(now)
}

// peer returns a store's entry; the lock is held.
func (a *Bank) peer(address string) *peer {
	if a.peers[address] == nil {
		a.peers[address] = &peer{}
	}
	return a.peers[address]
}
