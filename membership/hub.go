// Package membership distributes to the hosts of a region the state of the other
// hosts, the load of the backend servers and summaries of the other regions.
//
// Each host sends one heartbeat per interval to the region's hub and gets back
// what changed; hubs exchange one summary per region. The traffic of a host does
// not grow with the number of hosts. The hub is the region's store host; while that
// is unreachable or taken out of service, a gateway that all hosts select by
// rendezvous hashing takes its place.
package membership

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/permitissuer"
	"wheelgauge/quarantine"
	"wheelgauge/serverlimit"
)

const (
	// missedIntervals is how many intervals without a heartbeat, report or summary mean failure.
	missedIntervals = 3
	// handoverIntervals is how many intervals longer the last reports on a server are valid
	// while no host polls it: one until other hosts learn that its pollers are dead,
	// one until they have polled it, one for a late heartbeat.
	handoverIntervals = 3
	// grantableFraction is the fraction of a region's slots up to which it grants spare
	// ones to other regions.
	grantableFraction = 0.95
)

// hostRow is a hub's record of a host.
type hostRow struct {
	entry       wheelgauge.HostEntry
	boot        uint64
	forwardable map[string]int
	lastSeen    time.Time
	version     uint64
}

// serverRow is a hub's record of a backend server.
type serverRow struct {
	entry wheelgauge.ServerEntry
	// number replaces the name on the wire; createdVersion is the version that assigned it.
	number         int
	createdVersion uint64
	// modelsVersion is the version at which the ready models last changed.
	modelsVersion uint64
	reports       map[string]report
	version       uint64
}

// report is the last status of a server that one polling host sent.
type report struct {
	entry      wheelgauge.ServerEntry
	receivedAt time.Time
}

// regionRow is a hub's record of another region.
type regionRow struct {
	summary  wheelgauge.RegionSummary
	lastSeen time.Time
	version  uint64
}

// Hub holds the tables of one region.
type Hub struct {
	mu       sync.Mutex
	region   string
	boot     uint64
	interval time.Duration
	catalog  func() *catalog.Catalog
	now      func() time.Time
	version  uint64
	started  time.Time
	hosts    map[string]*hostRow
	servers  map[string]*serverRow
	regions  map[string]*regionRow
	// crashes merges what the hosts of all regions recorded.
	crashes *quarantine.Table
	// limits are the rate limits that servers announced to the region's hosts; permits issues
	// shares of them.
	limits  *serverlimit.Table
	permits *permitissuer.Issuer
}

// NewHub returns an empty hub. current returns the configuration in use, nil
// while there is none.
func NewHub(region string, boot uint64, interval time.Duration, current func() *catalog.Catalog, now func() time.Time) *Hub {
	limits := serverlimit.New(now)
	return &Hub{
		region: region, boot: boot, interval: interval, catalog: current, now: now, started: now(),
		hosts: map[string]*hostRow{}, servers: map[string]*serverRow{}, regions: map[string]*regionRow{},
		crashes: quarantine.New(now), limits: limits, permits: permitissuer.New(limits, now),
	}
}

// Permit answers a host of the region that wants to send a request to a server with a rate
// limit.
func (h *Hub) Permit(r wheelgauge.PermitAsk) wheelgauge.PermitAnswer { return h.permits.Answer(r) }

// Beat processes a heartbeat and returns what changed since its sender's last view.
func (h *Hub) Beat(b wheelgauge.Heartbeat) wheelgauge.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.updateHost(b, now)
	for _, s := range b.Servers {
		h.updateServer(b.Host, s, now)
	}
	h.crashes.Merge(b.Crashes)
	h.limits.Merge(b.Limits)
	h.expire(now)
	return h.viewSince(b)
}

func (h *Hub) updateHost(b wheelgauge.Heartbeat, now time.Time) {
	row := h.hosts[b.Host]
	if row == nil {
		row = &hostRow{}
		h.hosts[b.Host] = row
	}
	row.boot, row.lastSeen, row.forwardable = b.Boot, now, b.Asks
	h.setHost(row, wheelgauge.HostEntry{Host: b.Host, Alive: true, Leaving: b.Leaving})
}

func (h *Hub) setHost(row *hostRow, entry wheelgauge.HostEntry) {
	if row.entry == entry {
		return
	}
	h.version++
	row.entry, row.version = entry, h.version
}

func (h *Hub) updateServer(poller string, s wheelgauge.ServerEntry, now time.Time) {
	row := h.servers[s.Server]
	if row == nil {
		row = &serverRow{number: len(h.servers), createdVersion: h.version + 1, reports: map[string]report{}}
		h.servers[s.Server] = row
	}
	row.reports[poller] = report{s, now}
	h.setServer(row, row.merged(now, h.interval))
}

// merged returns the newest report; a server is alive if any of its current pollers reached
// it. While no host polls it, the last reports stay valid until others have taken over:
// silent pollers say nothing about the server.
func (r *serverRow) merged(now time.Time, interval time.Duration) wheelgauge.ServerEntry {
	maps.DeleteFunc(r.reports, func(_ string, rep report) bool {
		return now.Sub(rep.receivedAt) > (missedIntervals+handoverIntervals)*interval
	})
	recent := func(rep report) bool { return now.Sub(rep.receivedAt) <= missedIntervals*interval }
	polled := false
	for _, rep := range r.reports {
		polled = polled || recent(rep)
	}
	var newest report
	alive := false
	for _, rep := range r.reports {
		if polled && !recent(rep) {
			continue
		}
		if rep.entry.Alive && (rep.receivedAt.After(newest.receivedAt) || !newest.entry.Alive) || newest.receivedAt.IsZero() {
			newest = rep
		}
		alive = alive || rep.entry.Alive
	}
	out := newest.entry
	out.Alive = alive
	if out.Server == "" {
		out = r.entry
		out.Alive = false
	}
	return out
}

func (h *Hub) setServer(row *serverRow, entry wheelgauge.ServerEntry) {
	if row.entry == entry {
		return
	}
	h.version++
	if row.entry.Models != entry.Models {
		row.modelsVersion = h.version
	}
	row.entry, row.version = entry, h.version
}

// expire marks hosts, servers and regions as dead from which nothing came in time.
func (h *Hub) expire(now time.Time) {
	maxSilence := missedIntervals * h.interval
	for _, row := range h.hosts {
		if now.Sub(row.lastSeen) > maxSilence {
			entry := row.entry
			entry.Alive = false
			row.forwardable = nil
			h.setHost(row, entry)
		}
	}
	for _, row := range h.servers {
		h.setServer(row, row.merged(now, h.interval))
	}
	for name, row := range h.regions {
		if now.Sub(row.lastSeen) > maxSilence && !row.summary.Gone {
			h.setRegion(row, wheelgauge.RegionSummary{Region: name, Gone: true})
		}
	}
}

func (h *Hub) viewSince(b wheelgauge.Heartbeat) wheelgauge.View {
	from := b.Since
	names, models := map[int]string{}, map[int]string{}
	v := wheelgauge.View{Hub: h.boot, Version: h.version, Names: names, Models: models}
	if b.Hub != h.boot {
		from, v.Full = 0, true
	}
	for _, row := range h.hosts {
		if row.version > from {
			v.Hosts = append(v.Hosts, row.entry)
		}
	}
	for _, row := range h.servers {
		if row.version > from {
			v.Loads = append(v.Loads, wheelgauge.NewServerLoad(row.number, row.entry))
		}
		if row.modelsVersion > from {
			models[row.number] = row.entry.Models
		}
		if row.createdVersion > from {
			names[row.number] = row.entry.Server
		}
	}
	for _, row := range h.regions {
		if row.version > from {
			summary := row.summary
			summary.Crashes = nil // hosts get the merged crashes of all regions
			v.Regions = append(v.Regions, summary)
		}
	}
	serious, at := h.crashes.Serious()
	if v.CrashesAt = at; v.Full || b.CrashesAt != at {
		v.Crashes = serious
	}
	limitsAt := b.LimitsAt
	if v.Full {
		limitsAt = 0
	}
	v.Limits, v.LimitsAt = h.limits.Since(limitsAt)
	return v
}

// Summary returns the region's totals and grants its spare capacity to other regions.
func (h *Hub) Summary() wheelgauge.RegionSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(h.now())
	h.crashes.Prune()
	h.limits.Prune()
	h.permits.Prune()
	s := wheelgauge.RegionSummary{Region: h.region, Crashes: h.crashes.Latest(), Asks: map[string]int{}, Pools: map[string]wheelgauge.PoolSummary{}}
	for _, row := range h.hosts {
		if !row.entry.Alive || row.entry.Leaving {
			continue
		}
		s.Hosts++
		for pool, n := range row.forwardable {
			s.Asks[pool] += n
		}
	}
	c := h.catalog()
	if c == nil {
		return s
	}
	s.Down = h.downHosts(c)
	for _, row := range h.servers {
		spec := c.Server(row.entry.Server)
		if spec == nil || !row.entry.Alive || row.entry.Leaving || spec.Leaving {
			continue
		}
		p := s.Pools[spec.Pool]
		p.Slots += spec.Slots
		p.Running += row.entry.Running
		p.Waiting += row.entry.Waiting
		s.Pools[spec.Pool] = p
	}
	for name, p := range s.Pools {
		p.Grants = h.grants(name, p)
		s.Pools[name] = p
	}
	return s
}

// downHosts returns the configured hosts that accept no requests, sorted. A hub that has just
// started does not count hosts as down from which no heartbeat came yet.
func (h *Hub) downHosts(c *catalog.Catalog) []string {
	warmedUp := h.now().Sub(h.started) > warmUpViews*h.interval
	var out []string
	for _, host := range c.Hosts(h.region) {
		row := h.hosts[host.Name]
		if row == nil && warmedUp || row != nil && (!row.entry.Alive || row.entry.Leaving) {
			out = append(out, host.Name)
		}
	}
	slices.Sort(out)
	return out
}

// grants splits the spare slots of a pool among the other regions in proportion to their
// demand. Without any demand each region is granted all of them: the first to need slots
// should not wait for an exchange of summaries, and gateways of this region refuse requests
// when no slot is free.
func (h *Hub) grants(pool string, p wheelgauge.PoolSummary) map[string]int {
	spare := int(math.Round(grantableFraction*float64(p.Slots))) - p.Running - p.Waiting
	if spare <= 0 || len(h.regions) == 0 {
		return nil
	}
	demand := 0
	for _, row := range h.regions {
		demand += row.summary.Asks[pool]
	}
	out := make(map[string]int, len(h.regions))
	for name, row := range h.regions {
		share := spare
		if demand > 0 {
			share = spare * row.summary.Asks[pool] / demand
		}
		out[name] = share
	}
	return out
}

// Exchange processes another region's summary and returns this region's.
func (h *Hub) Exchange(s wheelgauge.RegionSummary) wheelgauge.RegionSummary {
	h.TakeRegion(s)
	return h.Summary()
}

// TakeRegion processes another region's summary.
func (h *Hub) TakeRegion(s wheelgauge.RegionSummary) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Region == h.region || s.Region == "" {
		return
	}
	row := h.regions[s.Region]
	if row == nil {
		row = &regionRow{}
		h.regions[s.Region] = row
	}
	row.lastSeen = h.now()
	h.crashes.Merge(s.Crashes)
	h.setRegion(row, s)
}

func (h *Hub) setRegion(row *regionRow, s wheelgauge.RegionSummary) {
	h.version++
	row.summary, row.version = s, h.version
}

// Hosts returns the hosts the hub knows, sorted by name.
func (h *Hub) Hosts() []wheelgauge.HostEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(h.now())
	out := make([]wheelgauge.HostEntry, 0, len(h.hosts))
	for _, row := range h.hosts {
		out = append(out, row.entry)
	}
	slices.SortFunc(out, func(a, b wheelgauge.HostEntry) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return out
}
