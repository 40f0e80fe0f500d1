// Package hosttable is a store's table of entry hosts: which ones sent a heartbeat lately,
// what each has in flight, and the sums that are sent to other hosts.
package hosttable

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/announcedhosts"
	"wheelgauge/changelog"
)

const (
	// missedIntervals is how many intervals a host may be silent: one lost heartbeat is
	// not a failure.
	missedIntervals = 2
	// maxDelay is how much later a heartbeat may arrive over a lossy link.
	maxDelay = 900 * time.Millisecond
	// maxSumAge is the age up to which sums are reused, a fraction of the shortest interval,
	// so that not every heartbeat iterates over all hosts.
	maxSumAge = 100 * time.Millisecond
	// relayTTL is how long another store's report is valid: it sends several in that time,
	// and its hosts change to another store when it is silent.
	relayTTL = 800 * time.Millisecond
)

// entry is the last heartbeat of a host.
type entry struct {
	host     wheelgauge.FleetHost
	lastSeen time.Time
	interval time.Duration
	primary  bool
	uses     []wheelgauge.ServerUsage
	totals   []wheelgauge.ServiceUsage
}

// relayed is another store's last report of the hosts of which it is the primary.
type relayed struct {
	receivedAt time.Time
	region     string
	loads      []wheelgauge.RegionLoad
	uses       []wheelgauge.ServerUsage
}

// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
	// changes has the hosts for the feed of changes, eligible those of each region that may be
	// announced to callers.
	changes  *changelog.Table
	eligible map[string]*announcedhosts.Set
	version  uint64
	// list holds the hosts at listVersion, which may be older than version.
	list        []wheelgauge.FleetHost
	listVersion uint64
	sums        sums
	summedAt    time.Time
	// relays holds the reports of other stores by address.
	relays map[string]relayed
	// peaks holds the recent peak of requests in flight of each region.
	peaks map[string]peak
	// lastLoss is when a host of each region last left or became silent.
	lastLoss map[string]time.Time
	now      func() time.Time
}

// New returns an empty table that reads time from now.
func New(now func() time.Time) *Table {
	return &Table{entries: map[string]*entry{}, changes: changelog.New(), eligible: map[string]*announcedhosts.Set{}, version: 1, relays: map[string]relayed{}, peaks: map[string]peak{}, lastLoss: map[string]time.Time{}, now: now}
}

// Changes returns the table of live hosts for the feed of changes.
func (t *Table) Changes() *changelog.Table { return t.changes }

// RecordHeartbeat records a heartbeat of a host that sends one every interval.
func (t *Table) RecordHeartbeat(hb wheelgauge.FleetHeartbeat, interval time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[hb.Host.Name]
	if e != nil && e.host.Boot == hb.Host.Boot && e.host.Leaving {
		hb.Host.Leaving = true // one sent before may arrive after it
	}
	if e == nil || e.host != hb.Host {
		t.version++
		row, err := wheelgauge.EncodeRow(hb.Host.Name, hb.Host)
		if err != nil {
			return err
		}
		t.changes.Apply([]wheelgauge.TableRow{row})
		if e != nil {
			t.eligibleIn(e.host.Region).Update(e.host, wheelgauge.FleetHost{})
		}
		t.eligibleIn(hb.Host.Region).Update(wheelgauge.FleetHost{}, hb.Host)
	}
	if e == nil {
		e = &entry{}
		t.entries[hb.Host.Name] = e
	}
	if hb.Host.Leaving && !e.host.Leaving {
		t.lastLoss[hb.Host.Region] = t.now()
	}
	e.host, e.lastSeen, e.interval, e.primary = hb.Host, t.now(), interval, hb.Primary
	e.totals, e.uses = hb.ServiceTotals, hb.ServerUsage
	return nil
}

// refresh removes hosts that were silent for too long and recomputes the sums, unless these
// are recent; the lock is held.
func (t *Table) refresh() {
	now := t.now()
	if !t.summedAt.IsZero() && now.Sub(t.summedAt) < maxSumAge {
		return
	}
	t.summedAt = now
	var gone []wheelgauge.TableRow
	for name, e := range t.entries {
		if now.Sub(e.lastSeen) > missedIntervals*e.interval+maxDelay {
			delete(t.entries, name)
			t.lastLoss[e.host.Region] = now
			t.version++
			gone = append(gone, wheelgauge.TableRow{Key: name})
			t.eligibleIn(e.host.Region).Update(e.host, wheelgauge.FleetHost{})
		}
	}
	t.changes.Apply(gone)
	t.sums = newSums()
	for _, e := range t.entries {
		t.sums.add(e)
	}
	for from, r := range t.relays {
		if now.Sub(r.receivedAt) > relayTTL {
			delete(t.relays, from)
			continue
		}
		t.sums.addRelayed(r)
	}
	for region, services := range t.sums.regions() {
		t.peaks[region] = t.peaks[region].update(services, now)
	}
}

// Hosts returns all live hosts sorted by name, and a version number of the list.
// The list must not be changed.
func (t *Table) Hosts() ([]wheelgauge.FleetHost, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if t.listVersion == t.version {
		return t.list, t.version
	}
	t.list = make([]wheelgauge.FleetHost, 0, len(t.entries))
	for _, e := range t.entries {
		t.list = append(t.list, e.host)
	}
	slices.SortFunc(t.list, func(a, b wheelgauge.FleetHost) int { return cmp.Compare(a.Name, b.Name) })
	t.listVersion = t.version
	return t.list, t.version
}

// eligibleIn returns the hosts of a region that may be announced; the lock is held.
func (t *Table) eligibleIn(region string) *announcedhosts.Set {
	if t.eligible[region] == nil {
		t.eligible[region] = &announcedhosts.Set{}
	}
	return t.eligible[region]
}

// Announced returns the addresses for callers of at most limit hosts of a region.
func (t *Table) Announced(region string, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.eligibleIn(region).Addresses(limit)
}

// LastLoss returns when a host of a region last left or became silent; the zero time if
// none ever did.
func (t *Table) LastLoss(region string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.lastLoss[region]
}

// RecordStore records another store's report of the hosts of which it is the primary.
func (t *Table) RecordStore(update wheelgauge.StoreUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays[update.Address] = relayed{receivedAt: t.now(), region: update.Region, loads: update.Loads, uses: update.ServerUsage}
}

// LocalLoad returns the load of the hosts of which this store is the primary, by region, and
// what those of one region have in flight at each server.
func (t *Table) LocalLoad(region string) ([]wheelgauge.RegionLoad, []wheelgauge.ServerUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	var loads []wheelgauge.RegionLoad
	for name, l := range t.sums.local {
		loads = append(loads, wheelgauge.RegionLoad{Region: name, Hosts: l.hosts, Services: slices.Collect(maps.Values(l.services))})
	}
	return loads, slices.Collect(maps.Values(t.sums.localUses[region]))
}

// UsageWithout returns what the hosts of a region have in flight at each server, without the host
// named except.
func (t *Table) UsageWithout(region, except string) []wheelgauge.ServerUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	own := map[string]wheelgauge.ServerUsage{}
	if e := t.entries[except]; e != nil {
		for _, u := range e.uses {
			own[u.Instance] = u
		}
	}
	out := make([]wheelgauge.ServerUsage, 0, len(t.sums.uses[region]))
	for instance, sum := range t.sums.uses[region] {
		// The host's own share may be newer than the sum: negative differences become 0.
		mine := own[instance]
		if mine.StartUnixMS != sum.StartUnixMS {
			mine = wheelgauge.ServerUsage{} // of another instance
		}
		u := wheelgauge.ServerUsage{
			Instance: instance, StartUnixMS: sum.StartUnixMS, Running: max(0, sum.Running-mine.Running), PrefillTokens: max(0, sum.PrefillTokens-mine.PrefillTokens), Work: sum.Work.Minus(mine.Work).NonZero(),
			UnreachableFrom: max(0, sum.UnreachableFrom-mine.UnreachableFrom), SlowdownSum: max(0, sum.SlowdownSum-mine.SlowdownSum), SlowdownHosts: max(0, sum.SlowdownHosts-mine.SlowdownHosts),
		}
		if u.Reportable() {
			out = append(out, u)
		}
	}
	return out
}

// PeakInFlight returns the peak of requests that a region's hosts had in flight in this window of
// peakWindow and the one before, which is up to a minute.
func (t *Table) PeakInFlight(region string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.peaks[region].highest()
}

// RegionUsage returns what each region has in flight, by service.
func (t *Table) RegionUsage() map[string]map[string]wheelgauge.ServiceUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.sums.regions()
}

// RegionAges returns how long ago the last report of each region's load was received.
func (t *Table) RegionAges() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	now := t.now()
	out := map[string]time.Duration{}
	for region, l := range t.sums.bestLoads() {
		out[region] = now.Sub(l.newest)
	}
	return out
}
