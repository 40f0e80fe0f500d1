// Package peerset is a host's table of the gateways of other regions and of the load of
// those regions.
package peerset

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/announcedhosts"
	"wheelgauge/failurerate"
	"wheelgauge/serverconn"
)

const (
	// maxConnsPerPeer bounds the connections to one gateway of another region.
	maxConnsPerPeer = 256
	// pauseTime is how long a gateway gets no requests after it refused one or was unreachable.
	pauseTime = time.Second
	// silentTime is how long a region gets no requests after one of its gateways did not
	// answer: most likely the link to the region is down.
	silentTime = 1500 * time.Millisecond
	// initialRoundTrip is the round-trip time assumed for a region until a call there was
	// measured: a long one, so that few requests are forwarded there.
	initialRoundTrip = 200 * time.Millisecond
	// roundTripWeight is the weight of a new measurement in the running mean.
	roundTripWeight = 0.2
)

// Peer is a gateway of another region.
type Peer struct {
	host   wheelgauge.FleetHost
	pool   *serverconn.Pool
	paused time.Time
	// backoffs is the time until which the servers of a service back off, as reported by this
	// gateway.
	backoffs map[string]time.Time
	// announced is set while it is among the hosts announced to callers of its region.
	announced bool
}

// Name returns the gateway's name.
func (p *Peer) Name() string { return p.host.Name }

// Region returns the gateway's region.
func (p *Peer) Region() string { return p.host.Region }

// Pool returns the connections to the gateway.
func (p *Peer) Pool() *serverconn.Pool { return p.pool }

// serviceLoad is the last reported load of a service in another region, and what this host
// has sent there since.
type serviceLoad struct {
	reported wheelgauge.ServiceUsage
	sent     wheelgauge.Work
	// failures is how often forwarded requests failed there.
	failures failurerate.Rate
}

// Table is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	region string
	peers  map[string]*Peer
	// eligible are the hosts of each other region that may be announced to callers there, announced
	// the names of those that are.
	eligible  map[string]*announcedhosts.Set
	announced map[string][]string
	loads     map[string]map[string]*serviceLoad
	// silentUntil is the time until which a region counts as unreachable.
	silentUntil map[string]time.Time
	// roundTrips are the running means of the round-trip times of calls to regions,
	// lastAnswers the times at which one was last answered.
	roundTrips  map[string]time.Duration
	lastAnswers map[string]time.Time
	// idleMisses counts the requests to each region that found no idle connection since
	// connections were last opened ahead of use.
	idleMisses map[string]int
	// maxSilence is how long a reachable region may leave all calls unanswered.
	maxSilence time.Duration
	now        func() time.Time
}

// New returns an empty table of a host in region. maxSilence is how long a reachable
// region may leave all calls unanswered.
func New(region string, maxSilence time.Duration, now func() time.Time) *Table {
	return &Table{
		region: region, peers: map[string]*Peer{}, eligible: map[string]*announcedhosts.Set{}, announced: map[string][]string{}, loads: map[string]map[string]*serviceLoad{}, silentUntil: map[string]time.Time{},
		roundTrips: map[string]time.Duration{}, lastAnswers: map[string]time.Time{}, idleMisses: map[string]int{}, maxSilence: maxSilence, now: now,
	}
}

// UpdateHosts sets and removes live hosts of all regions.
func (t *Table) UpdateHosts(changed []wheelgauge.FleetHost, removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	regions := map[string]bool{}
	for _, name := range removed {
		t.updateHost(name, wheelgauge.FleetHost{}, regions)
	}
	for _, h := range changed {
		t.updateHost(h.Name, h, regions)
	}
	for region, changed := range regions {
		if changed {
			t.markAnnounced(region)
		}
	}
}

// updateHost sets a host, or removes it if h is the zero value, and adds the regions whose hosts
// to announce may have changed; the lock is held.
func (t *Table) updateHost(name string, h wheelgauge.FleetHost, regions map[string]bool) {
	if h.Region == t.region || !h.Ready {
		h = wheelgauge.FleetHost{} // no peer
	}
	var before wheelgauge.FleetHost
	p := t.peers[name]
	if p != nil {
		before = p.host
	}
	if before.Region != h.Region && before.Name != "" && h.Name != "" {
		t.updateHost(name, wheelgauge.FleetHost{}, regions) // moved to another region
		p, before = nil, wheelgauge.FleetHost{}
	}
	if region := cmp.Or(h.Region, before.Region); region != "" {
		if t.eligible[region] == nil {
			t.eligible[region] = &announcedhosts.Set{}
		}
		regions[region] = t.eligible[region].Update(before, h) || regions[region]
	}
	if h.Name != "" {
		t.peers[name] = updated(p, h, t.now)
		return
	}
	if p != nil {
		p.pool.Close()
		delete(t.peers, name)
	}
}

// markAnnounced marks the gateways that are announced to callers of a region; the lock is held.
func (t *Table) markAnnounced(region string) {
	for _, name := range t.announced[region] {
		if p := t.peers[name]; p != nil {
			p.announced = false
		}
	}
	t.announced[region] = t.eligible[region].Minimum()
	for _, name := range t.announced[region] {
		if p := t.peers[name]; p != nil {
			p.announced = true
		}
	}
}

// updated returns the peer for a host's current description. A peer in use is never
// modified, as dispatches read it without the lock.
func updated(p *Peer, h wheelgauge.FleetHost, now func() time.Time) *Peer {
	switch {
	case p == nil:
	case p.host == h:
		return p
	case p.host.PeerAddress == h.PeerAddress && p.host.Boot == h.Boot:
		return &Peer{host: h, pool: p.pool, paused: p.paused, backoffs: p.backoffs, announced: p.announced}
	default:
		p.pool.Close()
	}
	return &Peer{host: h, pool: serverconn.New(h.PeerAddress, maxConnsPerPeer, serverconn.CrossRegion(now))}
}

// SetLoads sets the load of all regions.
func (t *Table) SetLoads(regions []wheelgauge.RegionUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.loads
	t.loads = map[string]map[string]*serviceLoad{}
	for _, r := range regions {
		services := map[string]*serviceLoad{}
		for _, u := range r.Services {
			if was := before[r.Region][u.Service]; was != nil && u.Servers > was.reported.Servers {
				t.endBackoffs(r.Region, u.Service)
			}
			load := &serviceLoad{reported: u}
			if was := before[r.Region][u.Service]; was != nil {
				load.failures = was.failures
			}
			services[u.Service] = load
		}
		t.loads[r.Region] = services
	}
}

// Regions returns the other regions that have live gateways and, as far as is known,
// servers of the service that accept requests.
func (t *Table) Regions(service string) []string {
	return t.regions(service, staying, func(uses map[string]*serviceLoad) bool { return hasServers(uses[service]) })
}

// LimitedRegions returns the other regions that have live gateways, and only servers of the
// service that have announced a rate limit.
func (t *Table) LimitedRegions(service string) []string {
	return t.regions(service, staying, func(uses map[string]*serviceLoad) bool {
		u := uses[service]
		return !hasServers(u) && u != nil && u.reported.LimitedServers > 0
	})
}

// LeavingRegions returns the other regions with gateways that are leaving: a last resort for
// requests that may run nowhere else, as these gateways still accept what they can finish.
func (t *Table) LeavingRegions(service string) []string {
	return t.regions(service, func(p *Peer) bool { return p.host.Leaving }, func(uses map[string]*serviceLoad) bool { return hasServers(uses[service]) })
}

func staying(p *Peer) bool { return !p.host.Leaving }

func hasServers(u *serviceLoad) bool { return u != nil && u.reported.Servers > 0 }

func (t *Table) regions(service string, fits func(p *Peer) bool, serves func(uses map[string]*serviceLoad) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, p := range t.peers {
		if !fits(p) || slices.Contains(out, p.host.Region) || !p.accepts(service, t.now()) || t.now().Before(t.silentUntil[p.host.Region]) {
			continue
		}
		// A region whose load is not known yet is included.
		uses, known := t.loads[p.host.Region]
		if !known || serves(uses) {
			out = append(out, p.host.Region)
		}
	}
	slices.Sort(out)
	return out
}

// BusiestRegion returns the reachable other region with the most requests in flight; empty when
// there is none.
func (t *Table) BusiestRegion() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, most := "", -1
	for region, services := range t.loads {
		if region == t.region || !t.reachable(region) {
			continue
		}
		running := 0
		for _, u := range services {
			running += u.reported.Running
		}
		if running > most || running == most && region < best {
			best, most = region, running
		}
	}
	return best
}

// Load returns the last reported load of a service in a region, with the requests and tokens
// that this host has sent there since.
func (t *Table) Load(region, service string) wheelgauge.ServiceUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.loads[region][service]
	if u == nil {
		return wheelgauge.ServiceUsage{Service: service}
	}
	sum := u.reported
	running, tokens := u.sent.Total()
	sum.Running += running
	sum.PrefillTokens += tokens
	sum.Work = sum.Work.Plus(u.sent)
	return sum
}

// Choose returns a live gateway of a region, none of those tried; nil when there is none.
// A leaving one is the last resort: it still accepts what it can finish, and during a rolling
// restart a region may have no other for seconds. One with an idle connection is
// preferred: opening a connection takes another round trip. rank and tokens are those of
// the prompt that will be sent.
func (t *Table) Choose(region, service string, rank, tokens int, tried []string) *Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	fitting := t.candidates(region, service, tried)
	if len(fitting) == 0 {
		return nil
	}
	if u := t.loads[region][service]; u != nil {
		u.sent = u.sent.Add(rank, 1, tokens)
	}
	p := fitting[rand.IntN(len(fitting))]
	if !p.pool.HasIdle() {
		t.idleMisses[region]++
	}
	return p
}

// CanTake reports whether a region has a gateway, none of those tried, that accepts requests for a
// service.
func (t *Table) CanTake(region, service string, tried []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.candidates(region, service, tried)) > 0
}

// Reaches reports whether a gateway reaches servers of a service, as far as it says.
func (t *Table) Reaches(p *Peer, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.peers[p.host.Name]
	return current == nil || current.host.Reaches(service)
}

// candidates returns the gateways of a region of the highest rank for a service, none of
// those tried; the lock is held.
func (t *Table) candidates(region, service string, tried []string) []*Peer {
	var best []*Peer
	top := -1
	for _, p := range t.peers {
		if p.host.Region != region || slices.Contains(tried, p.host.Name) || !p.accepts(service, t.now()) {
			continue
		}
		rank := p.rank()
		if rank > top {
			best, top = best[:0], rank
		}
		if rank == top {
			best = append(best, p)
		}
	}
	return best
}

// rank is higher for preferred gateways. In a large region those announced to callers are
// preferred to the others: they already have connections to its servers.
func (p *Peer) rank() int {
	rank := 0
	if !p.host.Leaving {
		rank += 4
	}
	if p.pool.HasIdle() {
		rank += 2
	}
	if p.announced {
		rank++
	}
	return rank
}

// accepts reports whether the gateway may get requests for a service.
func (p *Peer) accepts(service string, now time.Time) bool {
	return p.host.Reaches(service) && !now.Before(p.paused) && !now.Before(p.backoffs[service])
}

// BackOff stops requests for a service to a gateway for some time, as all servers that it
// could use for them back off.
func (t *Table) BackOff(p *Peer, service string, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.peers[p.host.Name]
	if current == nil {
		return
	}
	if current.backoffs == nil {
		current.backoffs = map[string]time.Time{}
	}
	current.backoffs[service] = t.now().Add(wait)
}

// endBackoffs allows requests for a service to the gateways of a region again, as the region
// has more servers of it. The lock is held.
func (t *Table) endBackoffs(region, service string) {
	for _, p := range t.peers {
		if p.host.Region == region {
			delete(p.backoffs, service)
		}
	}
}

// BackoffRemaining returns the time after which the first backed-off gateway of some regions
// accepts requests for a service again; ok is false if no gateway there is backed off.
func (t *Table) BackoffRemaining(service string, in func(region string) bool) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, p := range t.peers {
		left := p.backoffs[service].Sub(now)
		if left <= 0 || !in(p.host.Region) {
			continue
		}
		if !ok || left < after {
			after, ok = left, true
		}
	}
	return after, ok
}

// Refused records that a gateway refused a request. It gets no requests for pauseTime,
// unless it is leaving: then it refuses some requests and accepts others.
func (t *Table) Refused(p *Peer) {
	if !p.host.Leaving {
		t.Pause(p)
	}
}

// Pause stops requests to a gateway for pauseTime.
func (t *Table) Pause(p *Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.peers[p.host.Name]; current != nil {
		current.paused = t.now().Add(pauseTime)
	}
}

// ObserveRoundTrip records the round-trip time of an answered call to a region.
func (t *Table) ObserveRoundTrip(region string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	was, ok := t.roundTrips[region]
	if !ok {
		was = took
	}
	t.roundTrips[region] = was + time.Duration(roundTripWeight*float64(took-was))
	t.lastAnswers[region] = t.now()
}

// reachable reports whether a region answered a call lately, or no call was ever answered;
// the lock is held.
func (t *Table) reachable(region string) bool {
	last, ok := t.lastAnswers[region]
	return !ok || t.now().Sub(last) < t.maxSilence
}

// RoundTrip returns the mean round-trip time to a region.
func (t *Table) RoundTrip(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if roundTrip, ok := t.roundTrips[region]; ok {
		return roundTrip
	}
	return initialRoundTrip
}

// PauseRegion stops requests to the whole region of a gateway that did not answer, for
// silentTime.
func (t *Table) PauseRegion(p *Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silentUntil[p.host.Region] = t.now().Add(silentTime)
}

// Prune closes connections that have been idle for too long.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.pool.Prune()
	}
}

// Close closes all connections.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.pool.Close()
	}
}
