// Package membership tells the hosts of a region of each other, of the backend
// servers' load and of the other regions.
//
// Each host sends one heartbeat an interval to the region's hub and gets back
// what changed; hubs exchange one summary a region. The traffic of a host does
// not grow with the number of hosts. The hub is the region's store host, which
// may be set aside; while it is not reached, a gateway that all agree on by
// rendezvous hashing stands in.
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
	// missedBeats is how many intervals without a sign of life mean failure.
	missedBeats = 3
	// handoverBeats is how many intervals more the last reports on a server hold
	// while nobody polls it: one until other hosts hear that its pollers are dead,
	// one until they have polled, one for a beat that is late.
	handoverBeats = 3
	// spareFraction of the slots of a region may be used before it grants none.
	spareFraction = 0.95
)

// hostRow and serverRow are the tables of a hub.
type hostRow struct {
	entry   wheelgauge.HostEntry
	boot    uint64
	asks    map[string]int
	seen    time.Time
	version uint64
}

type serverRow struct {
	entry wheelgauge.ServerEntry
	// number stands for the name on the wire, since the version born.
	number int
	born   uint64
	// told is the version at which the ready models last changed.
	told    uint64
	reports map[string]report
	version uint64
}

// report is what one polling host said of a server.
type report struct {
	entry wheelgauge.ServerEntry
	at    time.Time
}

type regionRow struct {
	summary wheelgauge.RegionSummary
	seen    time.Time
	version uint64
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
	// crashes joins what the hosts of all regions noted.
	crashes *quarantine.Table
	// limits are those that servers named to the region's hosts, permits what is given of
	// them.
	limits  *serverlimit.Table
	permits *permitissuer.Issuer
}

// NewHub returns an empty hub. current returns the configuration in force, nil
// while there is none.
func NewHub(region string, boot uint64, interval time.Duration, current func() *catalog.Catalog, now func() time.Time) *Hub {
	limits := serverlimit.New(now)
	return &Hub{
		region: region, boot: boot, interval: interval, catalog: current, now: now, started: now(),
		hosts: map[string]*hostRow{}, servers: map[string]*serverRow{}, regions: map[string]*regionRow{},
		crashes: quarantine.New(now), limits: limits, permits: permitissuer.New(limits, now),
	}
}

// Permit answers a host of the region that is to send a request to a server with a limit.
func (h *Hub) Permit(ask wheelgauge.PermitAsk) wheelgauge.PermitAnswer { return h.permits.Answer(ask) }

// Beat takes in a heartbeat and returns what its sender has not seen.
func (h *Hub) Beat(b wheelgauge.Heartbeat) wheelgauge.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.takeHost(b, now)
	for _, s := range b.Servers {
		h.takeServer(b.Host, s, now)
	}
	h.crashes.Merge(b.Crashes)
	h.limits.Merge(b.Limits)
	h.expire(now)
	return h.since(b)
}

func (h *Hub) takeHost(b wheelgauge.Heartbeat, now time.Time) {
	row := h.hosts[b.Host]
	if row == nil {
		row = &hostRow{}
		h.hosts[b.Host] = row
	}
	row.boot, row.seen, row.asks = b.Boot, now, b.Asks
	h.setHost(row, wheelgauge.HostEntry{Host: b.Host, Alive: true, Leaving: b.Leaving})
}

func (h *Hub) setHost(row *hostRow, entry wheelgauge.HostEntry) {
	if row.entry == entry {
		return
	}
	h.version++
	row.entry, row.version = entry, h.version
}

func (h *Hub) takeServer(by string, s wheelgauge.ServerEntry, now time.Time) {
	row := h.servers[s.Server]
	if row == nil {
		row = &serverRow{number: len(h.servers), born: h.version + 1, reports: map[string]report{}}
		h.servers[s.Server] = row
	}
	row.reports[by] = report{s, now}
	h.setServer(row, row.merged(now, h.interval))
}

// merged takes the newest report; a server is alive if any host that polls it
// lately reached it. While no host polls it, what its last pollers said holds on
// until others have taken over: that these are silent says nothing of the server.
func (r *serverRow) merged(now time.Time, interval time.Duration) wheelgauge.ServerEntry {
	maps.DeleteFunc(r.reports, func(_ string, one report) bool { return now.Sub(one.at) > (missedBeats+handoverBeats)*interval })
	fresh := func(one report) bool { return now.Sub(one.at) <= missedBeats*interval }
	polled := false
	for _, one := range r.reports {
		polled = polled || fresh(one)
	}
	var newest report
	alive := false
	for _, one := range r.reports {
		if polled && !fresh(one) {
			continue
		}
		if one.entry.Alive && (one.at.After(newest.at) || !newest.entry.Alive) || newest.at.IsZero() {
			newest = one
		}
		alive = alive || one.entry.Alive
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
		row.told = h.version
	}
	row.entry, row.version = entry, h.version
}

// expire marks what has not been heard of in time.
func (h *Hub) expire(now time.Time) {
	limit := missedBeats * h.interval
	for _, row := range h.hosts {
		if now.Sub(row.seen) > limit {
			entry := row.entry
			entry.Alive = false
			row.asks = nil
			h.setHost(row, entry)
		}
	}
	for _, row := range h.servers {
		h.setServer(row, row.merged(now, h.interval))
	}
	for name, row := range h.regions {
		if now.Sub(row.seen) > limit && !row.summary.Gone {
			h.setRegion(row, wheelgauge.RegionSummary{Region: name, Gone: true})
		}
	}
}

func (h *Hub) since(b wheelgauge.Heartbeat) wheelgauge.View {
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
		if row.told > from {
			models[row.number] = row.entry.Models
		}
		if row.born > from {
			names[row.number] = row.entry.Server
		}
	}
	for _, row := range h.regions {
		if row.version > from {
			summary := row.summary
			summary.Crashes = nil // hosts are told of what all regions noted together
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

// Summary sums the region up and grants its spare capacity.
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
		for pool, asks := range row.asks {
			s.Asks[pool] += asks
		}
	}
	c := h.catalog()
	if c == nil {
		return s
	}
	s.Down = h.down(c)
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

// down names the configured hosts that take no work. A hub that has just
// started does not know yet of hosts it has not heard.
func (h *Hub) down(c *catalog.Catalog) []string {
	settled := h.now().Sub(h.started) > settledViews*h.interval
	var out []string
	for _, host := range c.Hosts(h.region) {
		row := h.hosts[host.Name]
		if row == nil && settled || row != nil && (!row.entry.Alive || row.entry.Leaving) {
			out = append(out, host.Name)
		}
	}
	slices.Sort(out)
	return out
}

// grants splits the spare slots of a pool among the regions that ask, in
// proportion. While nobody asks each region may have all of them: the first to
// need them should not wait for a round of asking, and a gateway here turns back
// what comes when no slot is free.
func (h *Hub) grants(pool string, p wheelgauge.PoolSummary) map[string]int {
	spare := int(math.Round(spareFraction*float64(p.Slots))) - p.Running - p.Waiting
	if spare <= 0 || len(h.regions) == 0 {
		return nil
	}
	asks := 0
	for _, row := range h.regions {
		asks += row.summary.Asks[pool]
	}
	out := make(map[string]int, len(h.regions))
	for name, row := range h.regions {
		part := spare
		if asks > 0 {
			part = spare * row.summary.Asks[pool] / asks
		}
		out[name] = part
	}
	return out
}

// Exchange takes in another region's summary and returns this region's.
func (h *Hub) Exchange(s wheelgauge.RegionSummary) wheelgauge.RegionSummary {
	h.TakeRegion(s)
	return h.Summary()
}

// TakeRegion takes in another region's summary.
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
	row.seen = h.now()
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
