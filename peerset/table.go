// Package peerset is a host's table of the gateways of other regions and of
// how much work those regions have.
package peerset

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/entryset"
	"wheelgauge/serverconn"
)

const (
	// connsToPeer bounds the connections to one gateway of another region.
	connsToPeer = 256
	// pauseTime keeps work off a gateway that was not reached or refused.
	pauseTime = time.Second
	// silentTime keeps work off a region of which a gateway was silent: the
	// link to it is cut more likely than not.
	silentTime = 1500 * time.Millisecond
	// firstWay is how long the way to another region and back is taken to be
	// until a call there was measured: a long one, so that little goes there.
	firstWay = 200 * time.Millisecond
	// wayWeight is the weight of a new measurement in the running mean.
	wayWeight = 0.2
)

// Peer is a gateway of another region.
type Peer struct {
	host   wheelgauge.FleetHost
	pool   *serverconn.Pool
	paused time.Time
	// backoffs is until when the servers of a service back off as far as this gateway has to do
	// with them.
	backoffs map[string]time.Time
	// named is set while the callers of its region are told of it.
	named bool
}

// Name returns the gateway's name.
func (p *Peer) Name() string { return p.host.Name }

// Region returns the gateway's region.
func (p *Peer) Region() string { return p.host.Region }

// Pool returns the connections to the gateway.
func (p *Peer) Pool() *serverconn.Pool { return p.pool }

// use is the load of a service in another region, with what this host has sent
// there since.
type use struct {
	told wheelgauge.ServiceUse
	sent wheelgauge.Work
}

// Table is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	region string
	peers  map[string]*Peer
	uses   map[string]map[string]*use
	// silent is until when a region counts as cut off.
	silent map[string]time.Time
	// ways are the running means of calls to regions, reached when one was last
	// answered.
	ways    map[string]time.Duration
	reached map[string]time.Time
	// opened counts the requests to each region that found no idle connection, since
	// connections were last opened ahead.
	opened map[string]int
	// silence is how long a region that is in touch may answer no call.
	silence time.Duration
	now     func() time.Time
}

// New returns an empty table of a host in region. silence is how long a region
// that is in touch may answer no call.
func New(region string, silence time.Duration, now func() time.Time) *Table {
	return &Table{
		region: region, peers: map[string]*Peer{}, uses: map[string]map[string]*use{}, silent: map[string]time.Time{},
		ways: map[string]time.Duration{}, reached: map[string]time.Time{}, opened: map[string]int{}, silence: silence, now: now,
	}
}

// SetHosts takes the live hosts of all regions.
func (t *Table) SetHosts(hosts []wheelgauge.FleetHost) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{}
	for _, h := range hosts {
		if h.Region == t.region || !h.Ready {
			continue
		}
		seen[h.Name] = true
		t.peers[h.Name] = renewed(t.peers[h.Name], h, t.now)
	}
	for name, p := range t.peers {
		if !seen[name] {
			p.pool.Close()
			delete(t.peers, name)
		}
	}
	t.name(hosts)
}

// name marks the gateways that callers of their regions are told of; the lock is held.
func (t *Table) name(hosts []wheelgauge.FleetHost) {
	regions := map[string][]wheelgauge.FleetHost{}
	for _, h := range hosts {
		regions[h.Region] = append(regions[h.Region], h)
	}
	named := map[string]bool{}
	for _, list := range regions {
		for _, h := range entryset.Always(list) {
			named[h.Name] = true
		}
	}
	for name, p := range t.peers {
		p.named = named[name]
	}
}

// renewed returns the peer for what a host tells of itself. A peer in use never
// changes: dispatches read it without the lock.
func renewed(p *Peer, h wheelgauge.FleetHost, now func() time.Time) *Peer {
	switch {
	case p == nil:
	case p.host == h:
		return p
	case p.host.Peer == h.Peer && p.host.Boot == h.Boot:
		return &Peer{host: h, pool: p.pool, paused: p.paused, backoffs: p.backoffs, named: p.named}
	default:
		p.pool.Close()
	}
	return &Peer{host: h, pool: serverconn.New(h.Peer, connsToPeer, serverconn.Far(now))}
}

// SetUses takes the load of all regions.
func (t *Table) SetUses(regions []wheelgauge.RegionUse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.uses
	t.uses = map[string]map[string]*use{}
	for _, r := range regions {
		services := map[string]*use{}
		for _, u := range r.Uses {
			if was := before[r.Region][u.Service]; was != nil && u.Servers > was.told.Servers {
				t.endBackoffs(r.Region, u.Service)
			}
			services[u.Service] = &use{told: u}
		}
		t.uses[r.Region] = services
	}
}

// Regions returns the other regions that have live gateways and, as far as is
// known, servers of the service which take work.
func (t *Table) Regions(service string) []string {
	return t.regions(service, stays, func(uses map[string]*use) bool { return offers(uses[service]) })
}

// LimitedRegions returns those that have live gateways, and of the service only servers
// that have named a limit.
func (t *Table) LimitedRegions(service string) []string {
	return t.regions(service, stays, func(uses map[string]*use) bool {
		u := uses[service]
		return !offers(u) && u != nil && u.told.Limited > 0
	})
}

// LeavingRegions returns those whose gateways leave: a last resort for what may
// run nowhere else, as they still take what they can finish.
func (t *Table) LeavingRegions(service string) []string {
	return t.regions(service, func(p *Peer) bool { return p.host.Leaving }, func(uses map[string]*use) bool { return offers(uses[service]) })
}

func stays(p *Peer) bool { return !p.host.Leaving }

func offers(u *use) bool { return u != nil && u.told.Servers > 0 }

func (t *Table) regions(service string, fits func(p *Peer) bool, serves func(uses map[string]*use) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, p := range t.peers {
		if !fits(p) || slices.Contains(out, p.host.Region) || !p.takes(service, t.now()) || t.now().Before(t.silent[p.host.Region]) {
			continue
		}
		// A region whose load is not known yet may be tried.
		uses, known := t.uses[p.host.Region]
		if !known || serves(uses) {
			out = append(out, p.host.Region)
		}
	}
	slices.Sort(out)
	return out
}

// Busiest returns the other region with the most requests in flight, of those
// in touch; empty when there is none.
func (t *Table) Busiest() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, most := "", -1
	for region, services := range t.uses {
		if region == t.region || !t.inTouch(region) {
			continue
		}
		running := 0
		for _, u := range services {
			running += u.told.Running
		}
		if running > most || running == most && region < best {
			best, most = region, running
		}
	}
	return best
}

// Load returns the load of a service in a region, with the tokens that this
// host has sent there since it was told.
func (t *Table) Load(region, service string) wheelgauge.ServiceUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.uses[region][service]
	if u == nil {
		return wheelgauge.ServiceUse{Service: service}
	}
	load := u.told
	running, tokens := u.sent.Total()
	load.Running += running
	load.Tokens += tokens
	load.Work = load.Work.Plus(u.sent)
	return load
}

// Choose returns a live gateway of a region, none of those tried; nil when
// there is none. One that leaves is the last resort: it still takes what it can
// finish, and with planned stops one after another a region may have no other for
// seconds. One with an idle connection goes first: opening another takes a
// whole way there and back. rank and tokens are those of the prompt that will be sent.
func (t *Table) Choose(region, service string, rank, tokens int, tried []string) *Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	fit := t.fit(region, service, tried)
	if len(fit) == 0 {
		return nil
	}
	if u := t.uses[region][service]; u != nil {
		u.sent = u.sent.Add(rank, 1, tokens)
	}
	p := fit[rand.IntN(len(fit))]
	if !p.pool.Idle() {
		t.opened[region]++
	}
	return p
}

// fit returns the best gateways of a region for a service, none of those tried; the lock
// is held.
func (t *Table) fit(region, service string, tried []string) []*Peer {
	var best []*Peer
	top := -1
	for _, p := range t.peers {
		if p.host.Region != region || slices.Contains(tried, p.host.Name) || !p.takes(service, t.now()) {
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

// rank is higher for gateways that go first. Those that callers are told of go
// before the others of a large region: they have connections to its servers.
func (p *Peer) rank() int {
	rank := 0
	if !p.host.Leaving {
		rank += 4
	}
	if p.pool.Idle() {
		rank += 2
	}
	if p.named {
		rank++
	}
	return rank
}

// takes tells whether the gateway may get requests for a service.
func (p *Peer) takes(service string, now time.Time) bool {
	return !now.Before(p.paused) && !now.Before(p.backoffs[service])
}

// BackOff keeps requests for a service off a gateway that has no server for them but some that
// back off.
func (t *Table) BackOff(p *Peer, service string, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.peers[p.host.Name]
	if now == nil {
		return
	}
	if now.backoffs == nil {
		now.backoffs = map[string]time.Time{}
	}
	now.backoffs[service] = t.now().Add(wait)
}

// endBackoffs lets requests for a service go again to the gateways of a region that has
// servers more of it. The lock is held.
func (t *Table) endBackoffs(region, service string) {
	for _, p := range t.peers {
		if p.host.Region == region {
			delete(p.backoffs, service)
		}
	}
}

// BackoffEnds returns after which time the first gateway of some regions takes requests for a
// service again whose servers back off; ok is false if none has said that they do.
func (t *Table) BackoffEnds(service string, in func(region string) bool) (after time.Duration, ok bool) {
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

// Refused tells that a gateway did not take a request. It gets no work for a
// while, unless it leaves: it refuses some requests then and takes others.
func (t *Table) Refused(p *Peer) {
	if !p.host.Leaving {
		t.Pause(p)
	}
}

// Pause keeps work off a gateway for a while.
func (t *Table) Pause(p *Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.peers[p.host.Name]; now != nil {
		now.paused = t.now().Add(pauseTime)
	}
}

// Reached takes how long a call to a region took.
func (t *Table) Reached(region string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	was, ok := t.ways[region]
	if !ok {
		was = took
	}
	t.ways[region] = was + time.Duration(wayWeight*float64(took-was))
	t.reached[region] = t.now()
}

// inTouch tells whether a region answered a call lately, or was never called;
// the lock is held.
func (t *Table) inTouch(region string) bool {
	last, ok := t.reached[region]
	return !ok || t.now().Sub(last) < t.silence
}

// Way returns how long the way to a region and back takes.
func (t *Table) Way(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if way, ok := t.ways[region]; ok {
		return way
	}
	return firstWay
}

// Silent keeps work off the whole region of a gateway that said nothing.
func (t *Table) Silent(p *Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent[p.host.Region] = t.now().Add(silentTime)
}

// Prune closes idle connections.
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
