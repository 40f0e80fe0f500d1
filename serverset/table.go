// Package serverset is a host's table of the backend servers of its region:
// what is in flight at each, how each behaved, and which one a request is
// best sent to.
package serverset

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/coldrate"
	"wheelgauge/pushback"
)

const (
	// cacheLife is how long a part of a prompt is taken to stay in an engine's
	// cache after its last use here.
	cacheLife = 20 * time.Second
	// againCost is what reading shared parts again costs the requests that come
	// after, as a multiple of the time it takes.
	againCost = 20.0
	// fetchCost is the time that a move of shared parts between servers takes, in
	// milliseconds: far less than reading them.
	fetchCost = 8.0
	// moveCost is what a move costs users, in milliseconds of waiting: its bytes, and
	// the cache of the server it goes to.
	moveCost = 300.0
	// failCost is what a failure costs a user, in milliseconds of waiting.
	failCost = 1500.0
	// failTolerated is the failure rate that a sound server may have: some
	// requests fail wherever they run.
	failTolerated = 0.15
	// firstLasts is how long a request at an engine of another region is taken to
	// last, in milliseconds.
	firstLasts = 2500.0
	// firstService is the time of an answer of a plain service until one is known.
	firstService = 30 * time.Millisecond
	// otherHallCost is what a server of another hall costs, in milliseconds of
	// waiting: bytes that go between halls, and connections that are opened as each
	// host speaks to more servers.
	otherHallCost = 10.0
	// spareConns is how many connections beyond its part a host may open.
	spareConns = 4
)

// Place says where the host is and who shares the region with it.
type Place struct {
	Host string
	Hall string
	// Peers are the names of all live hosts of the region, Named those of them that
	// callers are told of.
	Peers []string
	Named []string
}

// Table is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	place    Place
	servers  map[string]*Server
	services map[string][]*Server
	drained  []string
	// resumed is when a hall was last taken back: its servers may be cold.
	resumed map[string]time.Time
	holders []holderEntry
	busy    string
	// asked is when the list of servers was asked for that holds now.
	asked  time.Time
	limits func(service string) *wheelgauge.Service
	cold   *coldrate.Shares
	// versions are those listed of each service, with the time since when they are if they
	// are new; stateAt is when the state was last known to be the newest.
	versions map[string]map[string]time.Time
	stateAt  time.Time
	// pushbacks are those of starts of servers that are on the list no more, by life.
	pushbacks map[string]pushback.State
	// limitOf gives the limits that servers have named; nil without any.
	limitOf LimitOf
	// used is the server that had a subject last.
	used map[uint64]*Server
	// near, far and listed are memory for one choice, draws numbers those without a
	// prompt.
	near, far []*Server
	listed    []*Server
	draws     uint64
	now       func() time.Time
}

// New returns an empty table. limits gives the configuration of a service.
func New(place Place, limits func(service string) *wheelgauge.Service, now func() time.Time) *Table {
	return &Table{
		place: place, servers: map[string]*Server{}, services: map[string][]*Server{}, resumed: map[string]time.Time{}, pushbacks: map[string]pushback.State{},
		limits: limits, cold: coldrate.New(now), used: map[uint64]*Server{}, now: now,
	}
}

// SetPeers tells which hosts share the region, and which of them callers are
// told of.
func (t *Table) SetPeers(peers, named []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.place.Peers, t.place.Named = slices.Clone(peers), slices.Clone(named)
	for _, s := range t.servers {
		s.pool.SetMost(t.conns(s.spec.Service))
	}
}

// Sharers returns the hosts among which the rate of a server is shared that takes little.
func (t *Table) Sharers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.place.Named)
}

// conns is this host's part of a server's connections.
func (t *Table) conns(service string) int {
	l := t.limits(service)
	if l == nil || l.Conns == 0 {
		return spareConns
	}
	return max(spareConns, l.Conns/(len(t.place.Peers)+1))
}

// Update takes the list of the region's servers as it was asked for at an
// earlier moment.
func (t *Table) Update(list []wheelgauge.Server, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked = asked
	seen := map[string]bool{}
	for _, spec := range list {
		seen[spec.Instance] = true
		s := t.servers[spec.Instance]
		if s != nil && spec.Born < s.spec.Born {
			continue // an older reading of the list: it names an earlier start
		}
		if s == nil || spec.Born > s.spec.Born {
			s = t.started(s, spec)
		}
		if s.spec.Address == spec.Address && t.coldAgain(s, spec, asked) {
			s.forget()
		}
		s.spec = spec
		t.warm(s, asked)
	}
	for name, s := range t.servers {
		if !seen[name] {
			s.pool.Close()
			t.keepPushback(s)
			delete(t.servers, name)
		}
	}
	t.heardOf(asked)
	t.arrange()
}

// started returns an entry for a new start of a server: whatever was learned of an
// earlier one under the same name says nothing of it.
func (t *Table) started(was *Server, spec wheelgauge.Server) *Server {
	if was != nil {
		was.pool.Close()
		t.keepPushback(was)
	}
	s := newServer(spec, t.conns(spec.Service), t.now)
	s.pushback = t.takePushback(s.life)
	s.stale = s.pushback.BackedOff()
	t.servers[spec.Instance] = s
	return s
}

// coldAgain tells whether a server that was warm, or nearly, has become cold: it may
// have started again, also where the list does not tell starts.
func (t *Table) coldAgain(s *Server, spec wheelgauge.Server, asked time.Time) bool {
	until := asked.Add(time.Duration(spec.ColdMS) * time.Millisecond)
	return spec.ColdMS > 0 && until.After(s.coldUntil.Add(coldMargin))
}

// warm takes over how long a server stays cold, unless the list is older than
// the hall's return.
func (t *Table) warm(s *Server, asked time.Time) {
	if s.spec.ColdMS > 0 {
		s.coldUntil = asked.Add(time.Duration(s.spec.ColdMS)*time.Millisecond + coldMargin)
		return
	}
	if back, ok := t.resumed[s.spec.Hall]; ok && asked.Before(back.Add(listLag)) {
		return
	}
	if until := asked.Add(coldMargin); s.coldUntil.After(until) {
		s.coldUntil = until
	}
}

// coldMargin goes on after the list says that a server is warm: the rate binds
// every second that begins while it is cold, and requests are on their way.
const coldMargin = 1200 * time.Millisecond

// listLag is how far the list of servers may run behind: it is not believed
// about the cold servers of a hall that has just been taken back.
const listLag = 1500 * time.Millisecond

// coldAfterReturn keeps servers of a hall that was taken back on the cold rate
// until a newer list says otherwise.
const coldAfterReturn = 10 * time.Second

// Confirm tells that the last list was still true when asked for anew.
func (t *Table) Confirm(asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked = asked
	t.heardOf(asked)
	for _, s := range t.servers {
		if s.spec.ColdMS == 0 {
			t.warm(s, asked)
		}
	}
}

// ListAge is how long ago the list that holds now was asked for; -1 without one.
func (t *Table) ListAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asked.IsZero() {
		return -1
	}
	return t.now().Sub(t.asked)
}

func (t *Table) arrange() {
	defer t.noteVersions()
	t.services = map[string][]*Server{}
	for _, s := range t.servers {
		t.services[s.spec.Service] = append(t.services[s.spec.Service], s)
	}
	for _, list := range t.services {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.spec.Instance, b.spec.Instance) })
	}
}

// SetDrained tells which halls get no work.
func (t *Table) SetDrained(halls []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, was := range t.drained {
		if slices.Contains(halls, was) {
			continue
		}
		t.resumed[was] = t.now()
		for _, s := range t.servers {
			if l := t.limits(s.spec.Service); s.spec.Hall == was && l != nil && l.ColdRate > 0 {
				s.coldUntil = t.now().Add(coldAfterReturn)
			}
		}
	}
	t.drained = slices.Clone(halls)
}

// SetUses takes what the region's other hosts have in flight.
func (t *Table) SetUses(uses []wheelgauge.ServerUse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.servers {
		if !s.reportedLately(now) {
			s.others, s.othersAt = wheelgauge.ServerUse{}, now
		}
	}
	for _, u := range uses {
		s := t.servers[u.Instance]
		if s == nil || u.Born != s.spec.Born {
			continue // of an earlier start, or of one that is not listed yet
		}
		if !s.reportedLately(now) {
			s.others = u
		}
		s.heard(u, now)
	}
}

// Uses returns what this host has in flight, by server and by service.
func (t *Table) Uses() ([]wheelgauge.ServerUse, []wheelgauge.ServiceUse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var uses []wheelgauge.ServerUse
	sums := map[string]wheelgauge.ServiceUse{}
	for _, s := range t.servers {
		use := s.use(t.now())
		if use.Told() {
			uses = append(uses, use)
		}
		if s.running == 0 {
			continue
		}
		own := wheelgauge.ServiceUse{Service: s.spec.Service, Running: use.Running, Tokens: use.Tokens, Work: use.Work}
		sums[own.Service] = sums[own.Service].Plus(own)
	}
	totals := make([]wheelgauge.ServiceUse, 0, len(sums))
	for _, sum := range sums {
		totals = append(totals, sum)
	}
	return uses, totals
}

// Prune closes idle connections and forgets what caches no longer hold.
func (t *Table) Prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prunePushbacks()
	old := t.now().Add(-cacheLife)
	for subject, s := range t.used {
		if s.cached[subject].Before(old) {
			delete(t.used, subject)
		}
	}
	for _, s := range t.servers {
		s.pool.Prune()
		for id, used := range s.cached {
			if used.Before(old) {
				delete(s.cached, id)
			}
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

// takes tells whether a server may get work at all.
func (t *Table) takes(s *Server, now time.Time) bool {
	return t.able(s, now) && !t.deferred(s, now)
}

// able is the same but for the server's limit.
func (t *Table) able(s *Server, now time.Time) bool {
	return s.pushback.Allows(now) && now.After(s.pausedUntil) && t.fit(s, now)
}

// fit is the same but for a backoff or a pause.
func (t *Table) fit(s *Server, now time.Time) bool {
	return !s.spec.Leaving && !s.gone && !slices.Contains(t.drained, s.spec.Hall) && !t.unproved(s, now)
}
