package confstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"wheelgauge"
	"wheelgauge/coldprobe"
)

// coldProbeInterval is the interval of rounds of probes while this store is cut off.
const coldProbeInterval = 250 * time.Millisecond

func (n *Node) newColdProber() *coldprobe.Prober {
	return coldprobe.New(coldprobe.Options{Source: n.o.ColdSource, Servers: n.ownServers, HealthPath: n.coldHealthPath, Now: n.now, Log: n.o.Log})
}

// probeColdServers probes the servers of the region while this store is cut off from the others.
// Each store of the region does, as its hosts may reach any of them.
func (n *Node) probeColdServers(ctx context.Context) {
	if n.replica.LeaderAddress() == "" {
		n.meter.Add("cold.probes", int64(n.coldProber.Round(ctx)))
	}
}

// ownServers returns the servers of the region, sorted by name.
func (n *Node) ownServers() []wheelgauge.Server {
	list := n.servers.Servers(n.o.Region)
	slices.SortFunc(list, func(a, b wheelgauge.Server) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// coldHealthPath returns the path of a service's health checks if its servers have a cold rate;
// empty without a valid one.
func (n *Node) coldHealthPath(service string) string {
	table := n.routeTable()
	if table == nil {
		return ""
	}
	s := table.Service(service)
	if s == nil || s.ColdRate <= 0 || !strings.HasPrefix(s.HealthPath, "/") {
		return ""
	}
	return s.HealthPath
}
