package confstore

import (
	"context"
	"maps"
	"slices"
	"time"

	"wheelgauge"
)

// staleReads is how many intervals old the list of a region may be before this store
// reads it itself, whoever should: its reader, or the way there, is gone then.
const staleReads = 2.5

// poll reads the lists that are this store's to read. Each region's is read by one
// store, which passes it on: with all read by all, five stores made 28 calls a
// second for 210 servers.
func (n *Node) poll(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, 2*n.o.PollEvery)
	defer cancel()
	for _, region := range n.regions() {
		if n.reads(region) {
			n.read(limit, region)
		}
	}
}

// regions returns all regions that have halls.
func (n *Node) regions() []string {
	var out []string
	for _, region := range n.o.Halls {
		if !slices.Contains(out, region) {
			out = append(out, region)
		}
	}
	slices.Sort(out)
	return out
}

// reads tells whether the list of a region is this store's to read: it is that
// of the first store there, or of the first of all where there is none. A list
// that has not come for a while is read by whoever lacks it.
func (n *Node) reads(region string) bool {
	limit := time.Duration(staleReads * float64(n.o.PollEvery))
	if age, ok := n.servers.Age(region); !ok || age > limit {
		return true
	}
	return n.members.first(n.o.Peer, n.o.Region, region, n.now().Add(-limit)) == n.o.Peer
}

// read reads the list of a region; the last one holds if that fails.
func (n *Node) read(ctx context.Context, region string) {
	var halls []string
	for hall, of := range n.o.Halls {
		if of == region {
			halls = append(halls, hall)
		}
	}
	slices.Sort(halls)
	asked := n.now()
	list, foreign, err := n.o.List.Servers(ctx, halls)
	if err != nil {
		n.meter.Count("list.failed")
		n.o.Log.Info("List of servers is not read; the last one holds.", "region", region, "cause", err.Error())
		return
	}
	n.noteForeign(region, foreign)
	// Whoever gives the list may not part it by halls.
	list = slices.DeleteFunc(list, func(s wheelgauge.Server) bool { return n.o.Halls[s.Hall] != region })
	for i := range list {
		list[i].Region = region
	}
	n.servers.Read(region, list, asked)
}

// addServers adds the list of servers when it changed, unless the host holds a
// newer one: those of the host's region for work, the others as holders of prompts.
// Its age is that of the part of the host's region.
func (n *Node) addServers(a *wheelgauge.BeatAnswer, b wheelgauge.Beat, same bool) {
	list, version := n.servers.All()
	held := same && b.Servers == version
	since, ok := n.servers.Age(b.Host.Region)
	age := since.Milliseconds()
	if !ok || !held && b.ListAgeMS > 0 && age > b.ListAgeMS {
		return
	}
	a.ServersAt, a.ServersAgeMS = version, age
	if !held {
		a.Servers = list
	}
}

// regionUses joins what hosts have in flight with the servers there are.
func (n *Node) regionUses() []wheelgauge.RegionUse {
	sums := n.hosts.Regions()
	state := n.fleetState()
	list, _ := n.servers.All()
	limited := n.limits.Limited()
	for _, s := range list {
		region := n.o.Halls[s.Hall]
		if s.Leaving || slices.Contains(state.Drained, s.Hall) || !offered(state.Rollouts, s) {
			continue
		}
		if sums[region] == nil {
			sums[region] = map[string]wheelgauge.ServiceUse{}
		}
		u := sums[region][s.Service]
		u.Service = s.Service
		if limited[s.Life()] {
			// It offers other regions little, however idle it is.
			u.Limited++
		} else {
			u.Servers, u.Slots = u.Servers+1, u.Slots+s.Slots
		}
		sums[region][s.Service] = u
	}
	out := make([]wheelgauge.RegionUse, 0, len(sums))
	for region, uses := range sums {
		r := wheelgauge.RegionUse{Region: region}
		for _, u := range uses {
			r.Uses = append(r.Uses, u)
		}
		out = append(out, r)
	}
	return out
}

// noteForeign counts the entries that name no server, and writes a line when there are
// others than at the last reading.
func (n *Node) noteForeign(region string, foreign wheelgauge.ForeignEntries) {
	for fault, count := range foreign {
		n.meter.Gauge("list.foreign."+region+"."+string(fault), int64(count))
	}
	if maps.Equal(n.foreign[region], foreign) {
		return
	}
	for fault := range n.foreign[region] {
		if foreign[fault] == 0 {
			n.meter.Gauge("list.foreign."+region+"."+string(fault), 0)
		}
	}
	n.foreign[region] = foreign
	n.o.Log.Info("Entries of the list name no server; the others hold.", "region", region, "entries", foreign)
}
