// Package hosttable is a store's table of entry hosts: who beat lately, what
// each has in flight, and the sums that other hosts are told.
package hosttable

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"wheelgauge"
)

const (
	// missedBeats is how many intervals a host may be silent: one lost beat is no
	// failure.
	missedBeats = 2
	// lateBeat is how late a beat may be over a lossy link besides.
	lateBeat = 900 * time.Millisecond
	// sumEvery is how old the sums told may be: a part of the shortest interval,
	// so that a beat need not go over all hosts.
	sumEvery = 100 * time.Millisecond
	// relayLife is how long another store's word holds: it tells several times in
	// that, and its hosts turn to another store after it has fallen silent.
	relayLife = 800 * time.Millisecond
)

type entry struct {
	host     wheelgauge.FleetHost
	seen     time.Time
	interval time.Duration
	primary  bool
	uses     []wheelgauge.ServerUse
	totals   []wheelgauge.ServiceUse
}

// relayed is what another store told last of the hosts that beat to it as their
// primary.
type relayed struct {
	seen   time.Time
	region string
	loads  []wheelgauge.RegionLoad
	uses   []wheelgauge.ServerUse
}

// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
	version uint64
	// list is that of listed, an earlier version perhaps.
	list   []wheelgauge.FleetHost
	listed uint64
	sums   sums
	summed time.Time
	// relays are other stores' words by address.
	relays map[string]relayed
	// busiest is the most that each region had in flight lately.
	busiest map[string]peak
	// lost is when a host of each region last left or fell silent.
	lost map[string]time.Time
	now  func() time.Time
}

// New returns an empty table that reads time from now.
func New(now func() time.Time) *Table {
	return &Table{entries: map[string]*entry{}, version: 1, relays: map[string]relayed{}, busiest: map[string]peak{}, lost: map[string]time.Time{}, now: now}
}

// Take records a beat of a host that beats every interval.
func (t *Table) Take(b wheelgauge.Beat, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[b.Host.Name]
	if e == nil || e.host != b.Host {
		t.version++
	}
	if e == nil {
		e = &entry{}
		t.entries[b.Host.Name] = e
	}
	if b.Host.Leaving && !e.host.Leaving {
		t.lost[b.Host.Region] = t.now()
	}
	e.host, e.seen, e.interval, e.primary = b.Host, t.now(), interval, b.Primary
	e.totals, e.uses = b.Totals, b.Uses
}

// refresh forgets hosts that were silent for too long and sums the others anew,
// if that has not been done lately; the lock is held.
func (t *Table) refresh() {
	now := t.now()
	if !t.summed.IsZero() && now.Sub(t.summed) < sumEvery {
		return
	}
	t.summed = now
	for name, e := range t.entries {
		if now.Sub(e.seen) > missedBeats*e.interval+lateBeat {
			delete(t.entries, name)
			t.lost[e.host.Region] = now
			t.version++
		}
	}
	t.sums = newSums()
	for _, e := range t.entries {
		t.sums.add(e)
	}
	for from, r := range t.relays {
		if now.Sub(r.seen) > relayLife {
			delete(t.relays, from)
			continue
		}
		t.sums.relay(r)
	}
	for region, services := range t.sums.regions() {
		t.busiest[region] = t.busiest[region].after(services, now)
	}
}

// Hosts returns all live hosts by name, and a number that changes with them.
// The list must not be changed.
func (t *Table) Hosts() ([]wheelgauge.FleetHost, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if t.listed == t.version {
		return t.list, t.version
	}
	t.list = make([]wheelgauge.FleetHost, 0, len(t.entries))
	for _, e := range t.entries {
		t.list = append(t.list, e.host)
	}
	slices.SortFunc(t.list, func(a, b wheelgauge.FleetHost) int { return cmp.Compare(a.Name, b.Name) })
	t.listed = t.version
	return t.list, t.version
}

// Lost returns when a host of a region last left or fell silent; the zero time if
// none ever did.
func (t *Table) Lost(region string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.lost[region]
}

// Relay records what another store tells of the hosts that take their news from it.
func (t *Table) Relay(n wheelgauge.StoreNews) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays[n.Address] = relayed{seen: t.now(), region: n.Region, loads: n.Loads, uses: n.Uses}
}

// Own returns the load of the hosts that take their news from this store, by
// region, and what those of one region have in flight at each server.
func (t *Table) Own(region string) ([]wheelgauge.RegionLoad, []wheelgauge.ServerUse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	var loads []wheelgauge.RegionLoad
	for of, l := range t.sums.own {
		loads = append(loads, wheelgauge.RegionLoad{Region: of, Hosts: l.hosts, Uses: slices.Collect(maps.Values(l.services))})
	}
	return loads, slices.Collect(maps.Values(t.sums.ownUses[region]))
}

// Uses returns what the hosts of a region, but the named one, have in flight.
func (t *Table) Uses(region, but string) []wheelgauge.ServerUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	own := map[string]wheelgauge.ServerUse{}
	if e := t.entries[but]; e != nil {
		for _, u := range e.uses {
			own[u.Instance] = u
		}
	}
	out := make([]wheelgauge.ServerUse, 0, len(t.sums.uses[region]))
	for instance, sum := range t.sums.uses[region] {
		// The host's own part is newer than the sum: never below nothing.
		mine := own[instance]
		if mine.Born != sum.Born {
			mine = wheelgauge.ServerUse{} // of another start
		}
		u := wheelgauge.ServerUse{
			Instance: instance, Born: sum.Born, Running: max(0, sum.Running-mine.Running), Tokens: max(0, sum.Tokens-mine.Tokens), Work: sum.Work.Minus(mine.Work).Used(),
			Lost: max(0, sum.Lost-mine.Lost), Pace: max(0, sum.Pace-mine.Pace), Paced: max(0, sum.Paced-mine.Paced),
		}
		if u.Told() {
			out = append(out, u)
		}
	}
	return out
}

// Busiest returns the most requests that a region's hosts had in flight in the last
// minute or so.
func (t *Table) Busiest(region string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.busiest[region].most()
}

// Regions returns what each region has in flight by service.
func (t *Table) Regions() map[string]map[string]wheelgauge.ServiceUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.sums.regions()
}
