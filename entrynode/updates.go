package entrynode

import (
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/entryset"
	"wheelgauge/routetable"
)

// State applies a state received from a store, unless it is older than the applied one.
func (n *Node) State(s wheelgauge.FleetState) {
	if s.Generation <= n.generation {
		return
	}
	n.quarantine.KeepBesides(s.Crashes) // before the first request is routed by this state
	if len(s.Body) > 0 && (n.gate.Table() == nil || s.Version > n.gate.Table().Version()) {
		set, err := n.options.Decode(s.Body)
		if err != nil {
			// Stores validate configurations, so only another release can fail to decode one.
			n.options.Log.Error(err, "Configuration cannot be decoded; keeping the previous one.", "version", s.Version)
			return
		}
		n.gate.SetTable(routetable.New(set))
	}
	n.generation = s.Generation
	n.versions.Set(s.Rollouts)
	n.servers.SetDrained(s.Drained)
	n.options.Log.Info("State is in force.", "generation", s.Generation, "version", s.Version, "drained", s.Drained, "rollouts", s.Rollouts)
}

// SameState records that no store is known to hold a newer state.
func (n *Node) SameState() {
	n.gate.Confirm()
	n.versions.Confirm()
	n.servers.ConfirmState()
}

// Hosts updates the entry hosts; a partial list does not remove any.
func (n *Node) Hosts(hosts []wheelgauge.FleetHost, partial bool) {
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
	for _, h := range entryset.Always(own) {
		announced = append(announced, h.Name)
	}
	if len(announced) == 0 {
		return all, all
	}
	return all, announced
}

// Servers updates the list of backend servers, as requested at the given time.
func (n *Node) Servers(list []wheelgauge.Server, requestedAt time.Time) {
	var own, others []wheelgauge.Server
	for _, s := range list {
		if s.Region == n.options.Region {
			own = append(own, s)
			continue
		}
		others = append(others, s)
	}
	n.servers.Update(own, requestedAt)
	n.servers.SetHolders(others)
	n.gate.SetListed()
	n.options.Log.Info("Servers change.", "servers", len(own), "age_ms", n.options.Clock.Now().Sub(requestedAt).Milliseconds())
}

// SameServers records that the list was unchanged when requested at the given time.
func (n *Node) SameServers(requestedAt time.Time) { n.servers.Confirm(requestedAt) }

// Uses updates what the region's other hosts have in flight at each server.
func (n *Node) Uses(usage []wheelgauge.ServerUse) { n.servers.SetUses(usage) }

// Regions updates the usage by region. Partial totals are ignored once complete ones
// have arrived.
func (n *Node) Regions(regions []wheelgauge.RegionUse, partial bool) {
	if partial && n.completeTotals {
		return // older complete totals are more accurate than partial ones
	}
	n.completeTotals = n.completeTotals || !partial
	n.peers.SetUses(regions)
	n.servers.SetBusy(n.peers.Busiest())
}

// Crashes updates the crashes by which requests are quarantined. A partial list comes from a
// store that has not received the replicated crashes yet, so it removes none.
func (n *Node) Crashes(crashes []wheelgauge.Crash, partial bool) {
	before := n.quarantine.Condemned()
	if partial {
		n.quarantine.KeepBesides(crashes)
	} else {
		n.quarantine.Keep(crashes)
	}
	if quarantined := n.quarantine.Condemned(); !slices.Equal(quarantined, before) {
		n.options.Log.Info("Requests are held back.", "held", quarantined, "crashes", len(crashes), "partial", partial)
	}
}

// Reached records the round-trip time to a region.
func (n *Node) Reached(region string, roundTrip time.Duration) { n.peers.Reached(region, roundTrip) }

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
