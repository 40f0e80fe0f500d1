package hosttable

import (
	"maps"
	"time"

	"wheelgauge"
)

// minRelayed is the fraction of a region's hosts that the reports of stores must cover:
// below it the hosts' own heartbeats to this store are more accurate, though older.
const minRelayed = 0.9

// load is what several hosts of a region have in flight, by service.
type load struct {
	hosts int
	// newest is when the last report of it was received.
	newest   time.Time
	services map[string]wheelgauge.ServiceUsage
}

func (l *load) add(hosts int, uses []wheelgauge.ServiceUsage, receivedAt time.Time) {
	l.hosts += hosts
	if receivedAt.After(l.newest) {
		l.newest = receivedAt
	}
	for _, u := range uses {
		l.services[u.Service] = l.services[u.Service].Plus(u)
	}
}

// regionLoads maps regions to their load.
type regionLoads map[string]*load

func (l regionLoads) add(region string, hosts int, uses []wheelgauge.ServiceUsage, receivedAt time.Time) {
	if l[region] == nil {
		l[region] = &load{services: map[string]wheelgauge.ServiceUsage{}}
	}
	l[region].add(hosts, uses, receivedAt)
}

// serverUsage is what is in flight at each server, by region and instance.
type serverUsage map[string]map[string]wheelgauge.ServerUsage

func (s serverUsage) add(region string, uses []wheelgauge.ServerUsage) {
	if s[region] == nil {
		s[region] = map[string]wheelgauge.ServerUsage{}
	}
	for _, u := range uses {
		s[region][u.Instance] = s[region][u.Instance].Plus(u)
	}
}

// sums is what the hosts of each region have in flight together: direct counts all hosts
// that send heartbeats to this store, local those of which it is the primary, combined
// these and the ones that other stores report. uses and localUses are the same by server.
type sums struct {
	direct    regionLoads
	local     regionLoads
	combined  regionLoads
	uses      serverUsage
	localUses serverUsage
}

func newSums() sums {
	return sums{direct: regionLoads{}, local: regionLoads{}, combined: regionLoads{}, uses: serverUsage{}, localUses: serverUsage{}}
}

func (s *sums) add(e *entry) {
	region := e.host.Region
	s.direct.add(region, 1, e.totals, e.lastSeen)
	if !e.primary {
		return
	}
	s.local.add(region, 1, e.totals, e.lastSeen)
	s.combined.add(region, 1, e.totals, e.lastSeen)
	s.uses.add(region, e.uses)
	s.localUses.add(region, e.uses)
}

func (s *sums) addRelayed(r relayed) {
	for _, l := range r.loads {
		s.combined.add(l.Region, l.Hosts, l.Services, r.receivedAt)
	}
	s.uses.add(r.region, r.uses)
}

// regions returns the load of each region by service.
func (s *sums) regions() map[string]map[string]wheelgauge.ServiceUsage {
	out := make(map[string]map[string]wheelgauge.ServiceUsage, len(s.combined))
	for region, l := range s.bestLoads() {
		out[region] = maps.Clone(l.services)
	}
	return out
}

// bestLoads returns the most accurate load of each region.
func (s *sums) bestLoads() regionLoads {
	out := maps.Clone(s.combined)
	for region, l := range s.direct {
		if combined := s.combined[region]; combined == nil || float64(combined.hosts) < minRelayed*float64(l.hosts) {
			out[region] = l
		}
	}
	return out
}
