package entrynode

import (
	"maps"
	"slices"
	"time"
	"unique"

	"wheelgauge"
	"wheelgauge/heartbeat"
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

// RouteRows takes rows of the configuration, for the next State.
func (n *Node) RouteRows(rows []wheelgauge.TableRow) {
	for _, row := range rows {
		n.pendingRoutes[row.Key] = row
	}
}

// State applies a state received from a store, unless it is older than the applied one. The rows
// received since the last state lead to its configuration.
func (n *Node) State(s wheelgauge.ConfigHead) {
	if s.Generation <= n.generation {
		return
	}
	began := time.Now()
	n.quarantine.AddPersisted(s.Crashes) // before the first request is routed by this state
	current := n.gate.RouteTable()
	if current == nil {
		current = routetable.New(&wheelgauge.RouteSet{})
	}
	if s.Version > current.Version() {
		rows := slices.Collect(maps.Values(n.pendingRoutes))
		table, err := current.With(s.Version, rows)
		if err != nil {
			// Stores validate configurations, so only another release can fail to decode one.
			n.options.Log.Error(err, "Configuration cannot be decoded; keeping the previous one.", "version", s.Version)
			return
		}
		clear(n.pendingRoutes)
		n.gate.SetTable(table)
		n.countUpdate(kindRoutes, len(rows), began)
	}
	n.generation = s.Generation
	n.versions.SetRollouts(s.Rollouts)
	n.HallOrders(s.HallOrders)
	n.servers.SetDrained(s.DrainedHalls)
	n.options.Log.Info("State is in force.", "generation", s.Generation, "version", s.Version, "held", current.Version(), "drained", s.DrainedHalls, "hall_orders", s.HallOrders, "rollouts", s.Rollouts)
}

// StateCurrent records that no store is known to hold a newer state.
func (n *Node) StateCurrent() {
	n.gate.ConfirmConfig()
	n.versions.ConfirmState()
	n.servers.ConfirmState()
}

// HostRows updates the entry hosts.
func (n *Node) HostRows(rows []wheelgauge.TableRow) {
	defer n.countUpdate(kindHosts, len(rows), time.Now())
	var changed []wheelgauge.FleetHost
	var removed []string
	for _, row := range rows {
		h, err := wheelgauge.DecodeRow[wheelgauge.FleetHost](row)
		if err != nil {
			n.options.Log.Error(err, "Host cannot be decoded; it is ignored.", "host", row.Key)
			continue
		}
		if n.hosts.set(row.Key, h, n.options.Region); h == nil {
			removed = append(removed, row.Key)
			continue
		}
		changed = append(changed, *h)
	}
	n.servers.SetPeers(n.hosts.region)
	n.sharers.SetHosts(n.hosts.announced())
	n.peers.UpdateHosts(changed, removed)
	n.setHostCount()
	n.options.Log.Info("Hosts change.", "hosts", len(n.hosts.all), "region", len(n.hosts.region), "rows", len(rows))
}

// HostsCurrent records that the table of entry hosts was that of a connected store at a time.
func (n *Node) HostsCurrent(at time.Time, complete bool) {
	n.sharers.Confirm(at, complete)
	n.setHostCount()
}

// setHostCount sets the number of hosts that divide common allowances: none has a part before its
// view of the hosts has settled.
func (n *Node) setHostCount() {
	count := 0
	settled := n.sharers.Settled()
	if settled {
		count = len(n.hosts.all)
	}
	n.budget.SetHosts(count)
	n.versions.SetHosts(count)
	if settled != n.hasShares {
		n.hasShares = settled
		n.options.Log.Info("Shares of common rates change.", "has_shares", settled, "hosts", len(n.hosts.all), "region", len(n.hosts.region))
	}
}

// HallOrders records the latest orders for halls.
func (n *Node) HallOrders(orders []wheelgauge.HallOrder) {
	for _, o := range orders {
		n.servers.SetOrdered(o.Hall, n.options.Clock.Now().Add(-time.Duration(o.AgeMS)*time.Millisecond))
	}
}

// ColdServers records the servers that said themselves that they are cold.
func (n *Node) ColdServers(servers []wheelgauge.ColdServer) {
	for _, s := range servers {
		n.servers.SetCold(s.Server, time.Duration(s.LeftMS)*time.Millisecond)
	}
}

// ServerRows updates the list of a region's backend servers, as requested at a time.
func (n *Node) ServerRows(region string, rows []wheelgauge.TableRow, at heartbeat.ListTime) {
	defer n.countUpdate(kindServers, len(rows), time.Now())
	var changed []wheelgauge.Server
	var removed []string
	cold := 0
	for _, row := range rows {
		s, err := wheelgauge.DecodeRow[wheelgauge.Server](row)
		switch {
		case err != nil:
			n.options.Log.Error(err, "Server cannot be decoded; it is ignored.", "server", row.Key)
		case s == nil:
			removed = append(removed, row.Key)
		default:
			s.Region = region
			for _, text := range []*string{&s.Service, &s.Version, &s.Hall} {
				*text = unique.Make(*text).Value() // the same in thousands of rows
			}
			if s.ColdUntilMS > 0 {
				s.ColdMS, s.ColdUntilMS, s.ColdClock = s.ColdLeftMS(at.Clock, at.ClockMS), 0, 0
				cold++
			}
			changed = append(changed, *s)
		}
	}
	if region == n.options.Region {
		n.servers.Update(changed, removed, at.RequestedAt)
	} else {
		n.servers.UpdateRemoteServers(region, changed, removed)
	}
	n.origins.Tick()
	n.options.Log.Info("Servers change.", "region", region, "rows", len(rows), "removed", len(removed), "cold", cold, "age_ms", n.options.Clock.Now().Sub(at.RequestedAt).Milliseconds())
}

// ServersCurrent records that the list of the host's region is complete and was unchanged when
// requested at the given time.
func (n *Node) ServersCurrent(requestedAt time.Time) {
	n.servers.ConfirmList(requestedAt)
	n.gate.SetServersKnown()
}

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
		n.credits.SetUsage(regions, n.hosts.eligible.Len())
	}
	n.servers.SetBusiestRegion(n.peers.BusiestRegion())
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
