// Package serverset is a host's table of the backend servers of its region: the
// load, failures and cached prompts of each, and the choice of the server for a
// request.
package serverset

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/coldrate"
	"wheelgauge/pushback"
	"wheelgauge/versionhistory"
)

const (
	// cacheRetention is how long a part of a prompt is assumed to stay in an engine's
	// cache after its last use by this host.
	cacheRetention = 20 * time.Second
	// rereadCostFactor is the cost of prefilling shared parts again to later requests, as
	// a multiple of the prefill time.
	rereadCostFactor = 20.0
	// fetchCostMS is the time to fetch shared parts from another server: far less than
	// prefilling them.
	fetchCostMS = 8.0
	// moveCostMS is the cost of such a fetch to users, in milliseconds of waiting: the
	// bytes moved, and the cache space at the receiving server.
	moveCostMS = 300.0
	// defaultEngineDurationMS is the assumed duration of a request at an engine of another
	// region.
	defaultEngineDurationMS = 2500.0
	// defaultServiceTime is the assumed time of an answer of a plain service until one is
	// known.
	defaultServiceTime = 30 * time.Millisecond
	// otherHallCostMS is the cost of a server in another hall, in milliseconds of waiting:
	// traffic between halls, and connections opened as each host talks to more servers.
	otherHallCostMS = 10.0
	// minConns is how many connections a host may open to a server even if its share is
	// smaller.
	minConns = 4
)

// Place is the location of the host and the hosts that share its region.
type Place struct {
	Host string
	Hall string
	// Peers are the names of all live hosts of the region.
	Peers []string
}

// Table is the set of servers of the region. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	place    Place
	servers  map[string]*Server
	services map[string][]*Server
	drained  []string
	// sharers returns the hosts among which the rate of a cold server is shared, and how old that
	// view is.
	sharers func() (hosts []string, age time.Duration)
	// orderedAt is when the latest order for a hall was given, or its drain was seen to end, until
	// a list is newer than that: its servers may be cold.
	orderedAt map[string]time.Time
	// remoteServers are those of other regions, by region and instance.
	remoteServers map[string]*remoteList
	busiestRegion string
	// listRequestedAt is when the current list of servers was requested.
	listRequestedAt time.Time
	serviceConfig   func(service string) *wheelgauge.Service
	coldRates       *coldrate.Shares
	// touched are the servers that this host has used lately, usedByPeers those that others use,
	// cold those that may be cold, leaving those that announced their leaving themselves: what is
	// done regularly costs nothing for all others.
	touched, usedByPeers, cold, leaving map[*Server]bool
	// usesAt is when others last reported what they use.
	usesAt time.Time
	// versions are those listed in the region, remoteVersions in others; stateConfirmedAt is when
	// the state was last confirmed as the newest.
	versions, remoteVersions listedVersions
	stateConfirmedAt         time.Time
	// outOfReach reports whether this host reaches no server of a service; nil if it does not know.
	outOfReach func(service string) bool
	// history holds the versions listed lately, in all regions.
	history *versionhistory.History
	// unlistedPushbacks are those of instances that are no longer listed, by instance key.
	unlistedPushbacks map[string]pushback.State
	// limitOf and rejectionsOf return the limits that servers have announced; nil without any.
	limitOf, rejectionsOf LimitFunc
	// brittle are the services with servers that bear few rejections.
	brittle map[string]brittleService
	// lastHolders maps a prefix to the server that used it last.
	lastHolders map[uint64]*Server
	// sameHall, otherHalls and shortlist are scratch space for one choice, drawCount seeds the
	// samples of requests without a prompt.
	sameHall, otherHalls []*Server
	shortlist            []*Server
	drawCount            uint64
	// choices counts the choices made.
	choices uint64
	// model predicts how requests run at engines; nil for the fixed figures. residentTokens are
	// the mean tokens that a request keeps in memory there.
	model          wheelgauge.EngineModel
	residentTokens map[rankOfService]float64
	now            func() time.Time
}

// New returns an empty table. serviceConfig returns the configuration of a service.
func New(place Place, serviceConfig func(service string) *wheelgauge.Service, now func() time.Time) *Table {
	t := &Table{
		place: place, servers: map[string]*Server{}, services: map[string][]*Server{}, orderedAt: map[string]time.Time{}, brittle: map[string]brittleService{}, unlistedPushbacks: map[string]pushback.State{},
		remoteServers: map[string]*remoteList{}, remoteVersions: listedVersions{}, touched: map[*Server]bool{}, usedByPeers: map[*Server]bool{}, cold: map[*Server]bool{}, leaving: map[*Server]bool{}, versions: listedVersions{},
		serviceConfig: serviceConfig, coldRates: coldrate.New(now), lastHolders: map[uint64]*Server{}, history: versionhistory.New(now), residentTokens: map[rankOfService]float64{}, now: now,
	}
	t.sharers = func() ([]string, time.Duration) { return t.place.Peers, 0 }
	return t
}

// SetSharers sets the function that returns the hosts among which the rate of a cold server is
// shared, none while this host has no share, and how old that view is.
func (t *Table) SetSharers(sharers func() (hosts []string, age time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sharers = sharers
}

// SetPeers sets the hosts that share the region.
func (t *Table) SetPeers(peers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.place.Peers = slices.Clone(peers)
	for s := range t.touched {
		s.pool.SetMaxConns(t.connLimit(s.spec.Service))
	}
}

// SetOutOfReach sets how the table learns that this host reaches no server of a service. It then
// reports none of them as unreachable to other hosts: they may be up.
func (t *Table) SetOutOfReach(outOfReach func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outOfReach = outOfReach
}

// ListedServers returns how many servers of a service the region lists.
func (t *Table) ListedServers(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.services[service])
}

// connLimit is this host's share of a server's connections.
func (t *Table) connLimit(service string) int {
	config := t.serviceConfig(service)
	if config == nil || config.MaxConns == 0 {
		return minConns
	}
	return max(minConns, config.MaxConns/(len(t.place.Peers)+1))
}

// Update sets and removes servers of the region's list. Cold ones are as of a request of the list
// at requestedAt; which request all of the list is as of, ConfirmList tells.
func (t *Table) Update(changed []wheelgauge.Server, removed []string, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range removed {
		if s := t.servers[name]; s != nil {
			t.drop(s)
		}
	}
	for _, spec := range changed {
		s := t.servers[spec.Instance]
		if s != nil && spec.StartUnixMS < s.spec.StartUnixMS {
			continue // an outdated list, which names an earlier instance
		}
		if s != nil && (spec.StartUnixMS > s.spec.StartUnixMS || spec.Service != s.spec.Service) {
			t.drop(s)
			s = nil
		}
		if s == nil {
			s = t.addInstance(spec)
		}
		if s.spec.Address == spec.Address && t.becameCold(s, spec, requestedAt) {
			s.clearCache()
		}
		t.setVersion(s, spec.Version)
		s.spec = spec
		t.updateCold(s, requestedAt)
	}
	t.forgetResident()
	t.recordListed()
}

// drop removes a server.
func (t *Table) drop(s *Server) {
	s.pool.Close()
	t.savePushback(s)
	t.removeFromService(s)
	delete(t.servers, s.instance)
	for _, set := range []map[*Server]bool{t.touched, t.usedByPeers, t.cold, t.leaving} {
		delete(set, s)
	}
}

// addInstance returns an entry for a new instance of a server: nothing learned of an
// earlier one under the same name applies to it.
func (t *Table) addInstance(spec wheelgauge.Server) *Server {
	s := newServer(spec, t.connLimit(spec.Service), t.now)
	s.pushback = t.takePushback(s.instanceKey)
	s.statsStale = s.pushback.BackedOff()
	if s.pushback.Leaving() {
		t.leaving[s] = true
	}
	t.servers[spec.Instance] = s
	t.addToService(s)
	return s
}

// becameCold reports whether a server that was warm, or nearly, has become cold: it may
// have restarted, even where the list does not identify instances.
func (t *Table) becameCold(s *Server, spec wheelgauge.Server, requestedAt time.Time) bool {
	until := requestedAt.Add(time.Duration(spec.ColdMS) * time.Millisecond)
	return spec.ColdMS > 0 && until.After(s.coldUntil.Add(coldMargin))
}

// updateCold updates how long a server stays cold by the list.
func (t *Table) updateCold(s *Server, requestedAt time.Time) {
	if s.spec.ColdMS > 0 {
		s.coldUntil = requestedAt.Add(time.Duration(s.spec.ColdMS)*time.Millisecond + coldMargin)
		t.cold[s] = true
		return
	}
	if until := requestedAt.Add(coldMargin); s.coldUntil.After(until) {
		s.coldUntil = until
	}
}

// ConfirmList records that the list held was current when requested at a time.
func (t *Table) ConfirmList(requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listRequestedAt = requestedAt
	t.history.Confirm(requestedAt)
	t.confirmListed(requestedAt)
	t.confirmOrdered(requestedAt)
	for s := range t.cold {
		if s.spec.ColdMS == 0 {
			t.updateCold(s, requestedAt)
		}
		if t.now().After(s.coldUntil) {
			delete(t.cold, s)
		}
	}
}

// ListAge returns the time since the current list was requested; -1 without one.
func (t *Table) ListAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listRequestedAt.IsZero() {
		return -1
	}
	return t.now().Sub(t.listRequestedAt)
}

func compareInstances(a, b *Server) int { return cmp.Compare(a.instance, b.instance) }

// addToService adds a server to those of its service, which are sorted by name.
func (t *Table) addToService(s *Server) {
	list := t.services[s.spec.Service]
	i, _ := slices.BinarySearchFunc(list, s, compareInstances)
	t.services[s.spec.Service] = slices.Insert(list, i, s)
	s.versionListedAt = t.countVersion(s.spec.Service, s.spec.Version)
}

// removeFromService removes a server from those of its service.
func (t *Table) removeFromService(s *Server) {
	list := t.services[s.spec.Service]
	if i, ok := slices.BinarySearchFunc(list, s, compareInstances); ok {
		list = slices.Delete(list, i, i+1)
	}
	t.services[s.spec.Service] = list
	t.versions.remove(s.spec.Service, s.spec.Version)
	if len(list) == 0 {
		delete(t.services, s.spec.Service)
	}
}

// setVersion counts another version of a listed server.
func (t *Table) setVersion(s *Server, version string) {
	if version == s.spec.Version {
		return
	}
	s.versionListedAt = t.countVersion(s.spec.Service, version)
	t.versions.remove(s.spec.Service, s.spec.Version)
}

// SetDrained sets the halls that get no work.
func (t *Table) SetDrained(halls []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hall := range t.drained {
		if !slices.Contains(halls, hall) {
			t.setOrdered(hall, t.now())
		}
	}
	t.drained = slices.Clone(halls)
}

// SetUses sets what the region's other hosts have in flight.
func (t *Table) SetUses(uses []wheelgauge.ServerUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.usesAt = now
	for s := range t.usedByPeers {
		if !s.hasRecentReport(now) {
			s.peerUse, s.peerUseAt = wheelgauge.ServerUsage{}, now
			delete(t.usedByPeers, s)
		}
	}
	for _, u := range uses {
		s := t.servers[u.Instance]
		if s == nil || u.StartUnixMS != s.spec.StartUnixMS {
			continue // an earlier instance, or one that is not listed yet
		}
		if !s.hasRecentReport(now) {
			s.peerUse, s.peerUseAt = u, now
			t.usedByPeers[s] = true
		}
		s.applyPeerReports(u, now)
	}
}

// peerUseTime returns as of when it is known what others have in flight at a server.
func (t *Table) peerUseTime(s *Server) time.Time {
	if t.usesAt.After(s.peerUseAt) && !t.usedByPeers[s] {
		return t.usesAt
	}
	return s.peerUseAt
}

// Uses returns what this host has in flight, by server and by service.
func (t *Table) Uses() ([]wheelgauge.ServerUsage, []wheelgauge.ServiceUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var uses []wheelgauge.ServerUsage
	sums := map[string]wheelgauge.ServiceUsage{}
	for s := range t.touched {
		use := s.use(t.now())
		if t.outOfReach != nil && t.outOfReach(s.spec.Service) {
			use.UnreachableFrom = 0
		}
		if use.Reportable() {
			uses = append(uses, use)
		}
		if s.running == 0 {
			continue
		}
		own := wheelgauge.ServiceUsage{Service: s.spec.Service, Running: use.Running, PrefillTokens: use.PrefillTokens, Work: use.Work}
		sums[own.Service] = sums[own.Service].Plus(own)
	}
	totals := make([]wheelgauge.ServiceUsage, 0, len(sums))
	for _, sum := range sums {
		totals = append(totals, sum)
	}
	return uses, totals
}

// Prune closes idle connections and drops expired cache entries and pushbacks.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prunePushbacks()
	oldest := t.now().Add(-cacheRetention)
	for prefix, s := range t.lastHolders {
		if s.cachedParts[prefix].Before(oldest) {
			delete(t.lastHolders, prefix)
		}
	}
	for s := range t.touched {
		s.pool.Prune()
		for id, used := range s.cachedParts {
			if used.Before(oldest) {
				delete(s.cachedParts, id)
			}
		}
		if s.running == 0 && s.pool.OpenCount() == 0 && len(s.cachedParts) == 0 && !s.use(t.now()).Reportable() {
			delete(t.touched, s)
		}
	}
}

// Close closes all connections.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.pool.Close()
	}
}

// Dialed returns how many connections were ever opened to the servers listed.
func (t *Table) Dialed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		n += s.pool.Dialed()
	}
	return n
}

// available reports whether a server may get work.
func (t *Table) available(s *Server, now time.Time) bool {
	return t.availableBesidesLimit(s, now) && !t.deferred(s, now)
}

// availableBesidesLimit is available without regard to the server's limit.
func (t *Table) availableBesidesLimit(s *Server, now time.Time) bool {
	return s.pushback.Allows(now) && now.After(s.pausedUntil) && t.eligible(s, now)
}

// eligible is availableBesidesLimit without regard to backoffs and pauses.
func (t *Table) eligible(s *Server, now time.Time) bool {
	return !s.spec.Leaving && !s.replaced && !slices.Contains(t.drained, s.spec.Hall) && !t.versionUnconfirmed(s, now)
}
