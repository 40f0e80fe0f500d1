package confstore

import (
	"context"
	"slices"
	"time"

	"wheelgauge"
)

// serverView is the list of servers as it was last read.
type serverView struct {
	list  []wheelgauge.Server
	asked time.Time
	// version changes with the list.
	version uint64
}

// poll reads the list of servers if this store is the primary of some host, so
// that there is about one poller a region.
func (n *Node) poll(ctx context.Context) {
	if len(n.hosts.Primary()) > 0 {
		n.read(ctx)
	}
}

// read reads the list; the last one holds if that fails.
func (n *Node) read(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, 2*n.o.PollEvery)
	defer cancel()
	asked := time.Now()
	list, err := n.o.List.Servers(limit, nil)
	if err != nil {
		n.meter.Count("list.failed")
		n.o.Log.Info("List of servers is not read; the last one holds.", "cause", err.Error())
		return
	}
	for i := range list {
		list[i].Region = n.o.Halls[list[i].Hall]
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.servers.version == 0 || !slices.Equal(list, n.servers.list) {
		n.servers.version++
		n.servers.list = list
	}
	n.servers.asked = asked
}

// addServers adds the list of servers when it changed, unless the host holds a
// newer one: those of the host's region for work, the others as holders of prompts.
func (n *Node) addServers(a *wheelgauge.BeatAnswer, b wheelgauge.Beat, same bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := &n.servers
	held := same && b.Servers == v.version
	age := time.Since(v.asked).Milliseconds()
	if v.version == 0 || !held && b.ListAgeMS > 0 && age > b.ListAgeMS {
		return
	}
	a.ServersAt, a.ServersAgeMS = v.version, age
	if !held {
		a.Servers = slices.Clone(v.list)
	}
}

// regionUses joins what hosts have in flight with the servers there are.
func (n *Node) regionUses() []wheelgauge.RegionUse {
	sums := n.hosts.Regions()
	drained := n.machine.State().Drained
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.servers.list {
		region := n.o.Halls[s.Hall]
		if s.Leaving || slices.Contains(drained, s.Hall) {
			continue
		}
		if sums[region] == nil {
			sums[region] = map[string]wheelgauge.ServiceUse{}
		}
		u := sums[region][s.Service]
		u.Service, u.Servers, u.Slots = s.Service, u.Servers+1, u.Slots+s.Slots
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
