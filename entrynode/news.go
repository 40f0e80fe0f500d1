package entrynode

import (
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/entryset"
	"wheelgauge/routetable"
)

// State implements beat.News. An older state than the one in force is passed over.
func (n *Node) State(s wheelgauge.FleetState) {
	if s.Generation <= n.generation {
		return
	}
	n.quarantine.KeepBesides(s.Crashes) // before anything is served by the state
	if len(s.Body) > 0 && (n.gate.Table() == nil || s.Version > n.gate.Table().Version()) {
		set, err := n.o.Decode(s.Body)
		if err != nil {
			// A store checked it; only another release can disagree.
			n.o.Log.Error(err, "Configuration cannot be read; the last one holds.", "version", s.Version)
			return
		}
		n.gate.SetTable(routetable.New(set))
	}
	n.generation = s.Generation
	n.versions.Set(s.Rollouts)
	n.servers.SetDrained(s.Drained)
	n.o.Log.Info("State is in force.", "generation", s.Generation, "version", s.Version, "drained", s.Drained, "rollouts", s.Rollouts)
}

// SameState implements beat.News.
func (n *Node) SameState() {
	n.gate.Confirm()
	n.versions.Confirm()
	n.servers.ConfirmState()
}

// Hosts implements beat.News.
func (n *Node) Hosts(hosts []wheelgauge.FleetHost, partial bool) {
	hosts = n.merge(hosts, partial)
	region, named := regional(hosts, n.o.Region)
	n.servers.SetPeers(region, named)
	n.peers.SetHosts(hosts)
	n.budget.SetHosts(len(hosts))
	n.versions.SetHosts(len(hosts))
	n.o.Log.Info("Hosts change.", "hosts", len(hosts), "region", len(region))
}

// regional returns the names of a region's hosts, and of those that callers are
// always told of. Shares of a cold server's rate belong to the latter: those of hosts that
// callers never come to would be lost.
func regional(hosts []wheelgauge.FleetHost, region string) (all, named []string) {
	var own []wheelgauge.FleetHost
	for _, h := range hosts {
		if h.Region == region {
			own = append(own, h)
			all = append(all, h.Name)
		}
	}
	for _, h := range entryset.Always(own) {
		named = append(named, h.Name)
	}
	if len(named) == 0 {
		return all, all
	}
	return all, named
}

// Servers implements beat.News.
func (n *Node) Servers(list []wheelgauge.Server, asked time.Time) {
	var own, others []wheelgauge.Server
	for _, s := range list {
		if s.Region == n.o.Region {
			own = append(own, s)
			continue
		}
		others = append(others, s)
	}
	n.servers.Update(own, asked)
	n.servers.SetHolders(others)
	n.gate.SetListed()
	n.o.Log.Info("Servers change.", "servers", len(own), "age_ms", n.o.Clock.Now().Sub(asked).Milliseconds())
}

// SameServers implements beat.News.
func (n *Node) SameServers(asked time.Time) { n.servers.Confirm(asked) }

// Uses implements beat.News.
func (n *Node) Uses(uses []wheelgauge.ServerUse) { n.servers.SetUses(uses) }

// Regions implements beat.News.
func (n *Node) Regions(regions []wheelgauge.RegionUse, partial bool) {
	if partial && n.told {
		return // the last sums are nearer the truth
	}
	n.told = n.told || !partial
	n.peers.SetUses(regions)
	n.servers.SetBusy(n.peers.Busiest())
}

// Crashes implements beat.News. A store that does not know yet what the group keeps takes
// nothing back.
func (n *Node) Crashes(crashes []wheelgauge.Crash, partial bool) {
	before := n.quarantine.Condemned()
	if partial {
		n.quarantine.KeepBesides(crashes)
	} else {
		n.quarantine.Keep(crashes)
	}
	if held := n.quarantine.Condemned(); !slices.Equal(held, before) {
		n.o.Log.Info("Requests are held back.", "held", held, "crashes", len(crashes), "partial", partial)
	}
}

// Reached implements beat.News.
func (n *Node) Reached(region string, took time.Duration) { n.peers.Reached(region, took) }

// merge adds the hosts known before to partial news.
func (n *Node) merge(hosts []wheelgauge.FleetHost, partial bool) []wheelgauge.FleetHost {
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
