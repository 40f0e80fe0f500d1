package capallocator

import (
	"slices"
	"time"

	"wheelgauge"
)

// reportTTL is how long a store's report of its hosts' demand is used: a few report intervals.
const reportTTL = 1500 * time.Millisecond

// lease is a set of shares that one store has granted to another.
type lease struct {
	lessor  uint64
	number  uint64
	expires time.Time
	shares  map[string]float64
}

// peer is the state kept for another store.
type peer struct {
	boot uint64
	// lastReport is when it last sent a report.
	lastReport time.Time
	// ready is set while it uses its own base share.
	ready bool
	// demand is what its hosts request by workspace, in units a second.
	demand map[string]float64
	// spare is what it has to spare, in units, less what hosts were redirected for since its
	// report.
	spare map[string]float64
	// granted holds the leases that it may be using, the latest at the end; lastNumber is the
	// number of the latest one ever granted.
	granted    []lease
	lastNumber uint64
	// confirmed is set once it is known to use no lease from an earlier run of this store.
	confirmed bool
	// held is the latest lease received from it.
	held lease
}

// currentDemand is the demand of the peer's hosts, in units a second. It is 0 for a silent
// peer: its hosts have turned to other stores, or it is cut off and no lease reaches it.
func (p *peer) currentDemand(workspace string, now time.Time) float64 {
	if now.Sub(p.lastReport) > reportTTL {
		return 0
	}
	return p.demand[workspace]
}

// maxLeasedTo is the largest share that the peer may be using under leases from this store.
func (p *peer) maxLeasedTo(workspace string, now time.Time) float64 {
	largest := 0.0
	for _, l := range p.granted {
		if now.Before(l.expires) {
			largest = max(largest, l.shares[workspace])
		}
	}
	return largest
}

// leasedFrom is the share that the peer has leased to this store.
func (p *peer) leasedFrom(workspace string, now time.Time) float64 {
	if now.Before(p.held.expires) {
		return p.held.shares[workspace]
	}
	return 0
}

// mayHoldLease reports whether the peer may still be using a lease.
func (p *peer) mayHoldLease(now time.Time) bool {
	for _, l := range p.granted {
		if now.Before(l.expires) {
			return true
		}
	}
	return false
}

// dropBefore drops the leases that the peer has replaced by a later one.
func (p *peer) dropBefore(number uint64) {
	for len(p.granted) > 0 && p.granted[0].number < number {
		p.granted = p.granted[1:]
	}
}

// restarted records a new run of the peer's process. If an earlier run is known, that process
// and the leases it held are gone.
func (p *peer) restarted(boot uint64) {
	if p.boot != 0 {
		p.granted, p.confirmed = nil, true
	}
	p.boot = boot
}

// dropExpired drops the leases that have expired.
func (p *peer) dropExpired(now time.Time) {
	p.granted = slices.DeleteFunc(p.granted, func(l lease) bool { return !now.Before(l.expires) })
}

// Report returns the report of this store's demand for another store.
func (a *Allocator) Report(to string) wheelgauge.CapUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	update := wheelgauge.CapUpdate{Ready: a.ready(now)}
	if p := a.peers[to]; p != nil {
		update.Lessor, update.LeaseNumber = p.held.lessor, p.held.number
	}
	for name, b := range a.buckets {
		b.refill(now)
		d := wheelgauge.CapDemand{Workspace: name, Units: int64(b.demand.At(now))}
		if d.Units > 0 || a.hasRemoteDemand(name, now) {
			d.Spare = int64(b.available())
			update.Demands = append(update.Demands, d)
		}
	}
	return update
}

// hasRemoteDemand reports whether hosts of other stores request units of a workspace's cap.
func (a *Allocator) hasRemoteDemand(workspace string, now time.Time) bool {
	for _, p := range a.peers {
		if p.currentDemand(workspace, now) > 0 {
			return true
		}
	}
	return false
}

// alternative returns the store that is likely to have the units which this one lacks, empty
// if there is none.
func (a *Allocator) alternative(b *bucket, units float64, now time.Time) string {
	if a.unsplit(b, now) {
		return a.soleHolder(b)
	}
	workspace := b.name
	best, mostSpare := "", units
	for address, p := range a.peers {
		if spare := p.spare[workspace]; spare >= mostSpare && now.Sub(p.lastReport) < reportTTL {
			best, mostSpare = address, spare
		}
	}
	if best != "" {
		a.peers[best].spare[workspace] -= units
	}
	return best
}

// GrantLease applies another store's report and returns the lease granted to it, which holds from
// when the report was sent. The lessor counts the shares as gone for as long from now.
func (a *Allocator) GrantLease(from string, boot uint64, update wheelgauge.CapUpdate) wheelgauge.CapLease {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	p := a.peer(from)
	if p.boot != boot {
		p.restarted(boot)
	}
	p.lastReport, p.ready, p.demand, p.spare = now, update.Ready, map[string]float64{}, map[string]float64{}
	p.dropExpired(now)
	for _, d := range update.Demands {
		p.demand[d.Workspace], p.spare[d.Workspace] = float64(d.Units), float64(d.Spare)
	}
	if update.Lessor == a.options.Boot {
		p.dropBefore(update.LeaseNumber)
		p.confirmed = true
	}
	p.lastNumber++
	l := lease{number: p.lastNumber, expires: now.Add(leaseTime), shares: map[string]float64{}}
	out := wheelgauge.CapLease{Lessor: a.options.Boot, Number: p.lastNumber}
	if now.Before(p.held.expires) {
		out.HeldLessor = p.held.lessor
	}
	a.recompute(now)
	for name, b := range a.buckets {
		if share := a.leasableShare(from, b, now); share >= minLeasedShare {
			l.shares[name] = share
			out.Shares = append(out.Shares, wheelgauge.CapShare{Workspace: name, Share: share})
		}
	}
	p.granted = append(p.granted, l)
	a.recompute(now)
	return out
}

// leasableShare is the share of a cap that a peer is granted: this store's surplus, divided in
// proportion to what each store lacks.
func (a *Allocator) leasableShare(from string, b *bucket, now time.Time) float64 {
	ownShare := a.ownShare(b, now)
	if ownShare == 0 || a.unsplit(b, now) {
		return 0
	}
	surplus := ownShare - a.targetShare(b, a.options.Self, b.demand.At(now), now)
	totalDeficit, peerDeficit := 0.0, 0.0
	for address, other := range a.peers {
		base := a.baseShare(b, address, now)
		deficit := a.targetShare(b, address, other.currentDemand(b.name, now), now)
		if other.ready {
			deficit -= base
		}
		deficit = max(0, deficit)
		totalDeficit += deficit
		if address == from {
			peerDeficit = deficit
		}
	}
	if surplus <= 0 || peerDeficit <= 0 {
		return 0
	}
	// Shares that other peers may still be using cannot be leased again.
	unleased := ownShare
	for address, other := range a.peers {
		if address != from {
			unleased -= other.maxLeasedTo(b.name, now)
		}
	}
	return max(0, min(surplus*peerDeficit/totalDeficit, peerDeficit, unleased))
}

// targetShare is the share of a cap that a store should have at its demand.
func (a *Allocator) targetShare(b *bucket, address string, demand float64, now time.Time) float64 {
	base := a.baseShare(b, address, now)
	totalDemand := b.demand.At(now)
	for _, p := range a.peers {
		totalDemand += p.currentDemand(b.name, now)
	}
	if totalDemand <= 0 {
		return base
	}
	return evenFraction*base + (1-evenFraction)*demand/totalDemand
}

// ApplyLease applies the lease with which another store answered a report sent at the given time.
func (a *Allocator) ApplyLease(from string, sent time.Time, l wheelgauge.CapLease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	p := a.peer(from)
	p.held = lease{lessor: l.Lessor, number: l.Number, expires: sent.Add(leaseTime), shares: map[string]float64{}}
	if l.HeldLessor == 0 || l.HeldLessor == a.options.Boot {
		p.confirmed = true
	}
	for _, share := range l.Shares {
		p.held.shares[share.Workspace] = share.Share
	}
	a.recompute(now)
}

// peer returns a store's entry, creating it if needed. The lock must be held.
func (a *Allocator) peer(address string) *peer {
	if a.peers[address] == nil {
		a.peers[address] = &peer{}
	}
	return a.peers[address]
}
