package entrynode

import (
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/announcedhosts"
	"wheelgauge/routetable"
)

// Names of what stores tell, in metrics.
const (
	kindHosts   = "hosts"
	kindRoutes  = "routes"
	kindServers = "servers"
)

// countUpdate counts the rows of an update and the time that applying it took.
func (n *Node) countUpdate(kind string, rows int, began time.Time) {
	n.meter.Add("update.rows."+kind, int64(rows))
	n.meter.Add("update.us."+kind, time.Since(began).Microseconds())
}

// State applies a state received from a store, unless it is older than the applied one.
func (n *Node) State(s wheelgauge.FleetState) {
	if s.Generation <= n.generation {
		return
	}
	began := time.Now()
	n.quarantine.AddPersisted(s.Crashes) // before the first request is routed by this state
	if len(s.Body) > 0 && (n.gate.RouteTable() == nil || s.Version > n.gate.RouteTable().Version()) {
		set, err := n.options.DecodeRoutes(s.Body)
		if err != nil {
			// Stores validate configurations, so only another release can fail to decode one.
			n.options.Log.Error(err, "Configuration cannot be decoded; keeping the previous one.", "version", s.Version)
			return
		}
		n.gate.SetTable(routetable.New(set))
		n.countUpdate(kindRoutes, len(set.Routes), began)
	}
	n.generation = s.Generation
	n.versions.SetRollouts(s.Rollouts)
	n.servers.SetDrained(s.DrainedHalls)
	n.options.Log.Info("State is in force.", "generation", s.Generation, "version", s.Version, "drained", s.DrainedHalls, "rollouts", s.Rollouts)
}

// StateCurrent records that no store is known to hold a newer state.
func (n *Node) StateCurrent() {
	n.gate.ConfirmConfig()
	n.versions.ConfirmState()
	n.servers.ConfirmState()
}

// Hosts updates the entry hosts; a partial list does not remove any.
func (n *Node) Hosts(hosts []wheelgauge.FleetHost, partial bool) {
	defer n.countUpdate(kindHosts, len(hosts), time.Now())
	hosts = n.mergeHosts(hosts, partial)
	region, announced := hostsOf(hosts, n.options.Region)
	n.servers.SetPeers(region, announced)
	n.peers.SetHosts(hosts)
	n.budget.SetHosts(len(hosts))
	n.versions.SetHosts(len(hosts))
	n.options.Log.Info("Hosts change.", "hosts", len(hosts), "region", len(region))
}

// hostsOf returns the names of a region's hosts, and of those that are announced to callers
// at any load. Only the latter get shares of a cold server's rate: shares of hosts without
// callers would be unused.
func hostsOf(hosts []wheelgauge.FleetHost, region string) (all, announced []string) {
	var own []wheelgauge.FleetHost
	for _, h := range hosts {
		if h.Region == region {
			own = append(own, h)
			all = append(all, h.Name)
		}
	}
	for _, h := range announcedhosts.Minimum(own) {
		announced = append(announced, h.Name)
	}
	if len(announced) == 0 {
		return all, all
	}
	return all, announced
}

// Servers updates the list of backend servers, as requested at the given time.
func (n *Node) Servers(list []wheelgauge.Server, requestedAt time.Time) {
	defer n.countUpdate(kindServers, len(list), time.Now())
	var own, others []wheelgauge.Server
	for _, s := range list {
		if s.Region == n.options.Region {
			own = append(own, s)
			continue
		}
		others = append(others, s)
	}
	n.servers.Update(own, requestedAt)
	n.servers.SetRemoteServers(others)
	n.servers.RecordListed(list)
	n.origins.Tick()
	n.gate.SetServersKnown()
	n.options.Log.Info("Servers change.", "servers", len(own), "age_ms", n.options.Clock.Now().Sub(requestedAt).Milliseconds())
}

// ServersUnchanged records that the list was unchanged when requested at the given time.
func (n *Node) ServersUnchanged(requestedAt time.Time) { n.servers.ConfirmList(requestedAt) }

// ServerUsage updates what the region's other hosts have in flight at each server.
func (n *Node) ServerUsage(usage []wheelgauge.ServerUsage) { n.servers.SetUses(usage) }

// RegionUsage updates the usage by region. Partial totals are ignored once complete ones
// have arrived.
func (n *Node) RegionUsage(regions []wheelgauge.RegionUsage, partial bool) {
	if partial && n.completeTotals {
		return // older complete totals are more accurate than partial ones
	}
	n.completeTotals = n.completeTotals || !partial
	n.peers.SetLoads(regions)
	if n.credits != nil && n.completeTotals { // by partial totals and hosts its part would be too large
		n.credits.SetUsage(regions, forwardingHosts(n.hosts, n.options.Region))
	}
	n.servers.SetBusiestRegion(n.peers.BusiestRegion())
}

// forwardingHosts returns how many hosts of a region accept callers.
func forwardingHosts(hosts []wheelgauge.FleetHost, region string) int {
	count := 0
	for _, h := range hosts {
		if h.Region == region && h.Ready && !h.Leaving {
			count++
		}
	}
	return count
}

// Crashes updates the crashes by which requests are quarantined. A partial list comes from a
// store that has not received the replicated crashes yet, so it removes none.
func (n *Node) Crashes(crashes []wheelgauge.Crash, partial bool) {
	before := n.quarantine.Quarantined()
	if partial {
		n.quarantine.AddPersisted(crashes)
	} else {
		n.quarantine.SetPersisted(crashes)
	}
	if quarantined := n.quarantine.Quarantined(); !slices.Equal(quarantined, before) {
		n.options.Log.Info("Requests are held back.", "held", quarantined, "crashes", len(crashes), "partial", partial)
	}
}

// RoundTrip records the round-trip time to a region.
func (n *Node) RoundTrip(region string, roundTrip time.Duration) {
	n.peers.ObserveRoundTrip(region, roundTrip)
}

// mergeHosts adds the hosts known before to a partial list.
func (n *Node) mergeHosts(hosts []wheelgauge.FleetHost, partial bool) []wheelgauge.FleetHost {
	if partial {
		for _, old := range n.hosts {
			if !slices.ContainsFunc(hosts, func(h wheelgauge.FleetHost) bool { return h.Name == old.Name }) {
				hosts = append(hosts, old)
			}
		}
	}
	n.hosts = hosts
	return hosts
}
