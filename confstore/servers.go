package confstore

import (
	"context"
	"maps"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/serverlist"
)

// staleIntervals is how many poll intervals old the list of a region may be before this
// store reads it itself: the store that should read it is dead or unreachable then.
const staleIntervals = 2.5

// pollLists reads the server lists of the regions that this store is the reader of. One
// store reads each region's list and sends it to the others: when every store read every
// list, five stores made 28 calls a second for 210 servers.
func (n *Node) pollLists(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, 2*n.o.PollInterval)
	defer cancel()
	for _, region := range n.regions() {
		if n.isReader(region) {
			n.readList(pollCtx, region)
		}
	}
}

// regions returns all regions that have halls.
func (n *Node) regions() []string {
	var out []string
	for _, region := range n.o.RegionByHall {
		if !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	slices.Sort(out)
	return out
}

// isReader reports whether this store reads the list of a region. The reader is the
// store of that region with the lowest address, or of all stores if the region has
// none. Any store reads a list that it has not received for a while.
func (n *Node) isReader(region string) bool {
	maxAge := time.Duration(staleIntervals * float64(n.o.PollInterval))
	if age, ok := n.servers.Age(region); !ok || age > maxAge {
		return true
	}
	return n.peers.reader(n.o.PeerAddress, n.o.Region, region, n.now().Add(-maxAge)) == n.o.PeerAddress
}

// readList reads the list of a region. If that fails, the last list stays in use.
func (n *Node) readList(ctx context.Context, region string) {
	var halls []string
	for hall, hallRegion := range n.o.RegionByHall {
		if hallRegion == region {
			halls = append(halls, hall)
		}
	}
	slices.Sort(halls)
	readAt := n.now()
	list, invalid, err := n.o.ServerList.Servers(ctx, halls)
	if err != nil {
		n.meter.Count("list.failed")
		n.o.Log.Info("Server list could not be read; the last one stays in use.", "region", region, "cause", err.Error())
		return
	}
	n.recordInvalidEntries(region, invalid)
	// The provider of the list may ignore the halls asked for.
	list = slices.DeleteFunc(list, func(s wheelgauge.Server) bool { return n.o.RegionByHall[s.Hall] != region })
	for i := range list {
		list[i].Region = region
	}
	if err := n.servers.Read(region, list, readAt); err != nil {
		n.o.Log.Error(err, "Server list could not be taken over.", "region", region)
		return
	}
	n.lists.reset(region)
	n.offerList(region)
}

// regionUses returns the load and the capacity of each region: what hosts have in flight
// there, and the servers in use.
func (n *Node) regionUses() []wheelgauge.RegionUsage {
	sums := n.hosts.RegionUsage()
	drained, rollouts := n.machine.State().DrainedHalls, n.rollouts()
	inUse := func(g serverlist.Group) bool {
		return !g.Leaving && !slices.Contains(drained, g.Hall) && versionInUse(rollouts, g.Service, g.Version)
	}
	change := func(g serverlist.Group, f func(u *wheelgauge.ServiceUsage)) {
		if sums[g.Region] == nil {
			sums[g.Region] = map[string]wheelgauge.ServiceUsage{}
		}
		u := sums[g.Region][g.Service]
		u.Service = g.Service
		f(&u)
		sums[g.Region][g.Service] = u
	}
	for g, sum := range n.servers.Sums() {
		if inUse(g) {
			change(g, func(u *wheelgauge.ServiceUsage) { u.Servers, u.Slots = u.Servers+sum.Servers, u.Slots+sum.Slots })
		}
	}
	limited := n.limits.Limited()
	for key := range limited {
		s, ok := n.servers.Find(key)
		if g := serverlist.GroupOf(s); ok && inUse(g) {
			// A rate-limited server has little capacity for other regions even when idle.
			change(g, func(u *wheelgauge.ServiceUsage) {
				u.LimitedServers, u.Servers, u.Slots = u.LimitedServers+1, u.Servers-1, u.Slots-s.Slots
			})
		}
	}
	for _, s := range n.servers.Cold() {
		if g := serverlist.GroupOf(s); inUse(g) && !limited[s.InstanceKey()] {
			change(g, func(u *wheelgauge.ServiceUsage) { u.ColdServers, u.ColdSlots = u.ColdServers+1, u.ColdSlots+s.Slots })
		}
	}
	out := make([]wheelgauge.RegionUsage, 0, len(sums))
	ages := n.hosts.RegionAges()
	for region, uses := range sums {
		r := wheelgauge.RegionUsage{Region: region, AgeMS: -1}
		if age, ok := ages[region]; ok {
			r.AgeMS = age.Milliseconds()
		}
		for _, u := range uses {
			r.Services = append(r.Services, u)
		}
		out = append(out, r)
	}
	return out
}

// recordInvalidEntries sets the metrics of invalid list entries, by kind of fault, and logs
// the counts if they differ from those of the last reading.
func (n *Node) recordInvalidEntries(region string, invalid wheelgauge.InvalidEntries) {
	for fault, count := range invalid {
		n.meter.Gauge("list.foreign."+region+"."+string(fault), int64(count))
	}
	if maps.Equal(n.invalidEntries[region], invalid) {
		return
	}
	for fault := range n.invalidEntries[region] {
		if invalid[fault] == 0 {
			n.meter.Gauge("list.foreign."+region+"."+string(fault), 0)
		}
	}
	n.invalidEntries[region] = invalid
	n.o.Log.Info("Server list has invalid entries; only the valid ones are used.", "region", region, "entries", invalid)
}
