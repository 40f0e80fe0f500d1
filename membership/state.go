package membership

import (
	"slices"
	"strings"
	"time"

	"wheelgauge"
)

// ServerState is what a node knows of a backend server.
type ServerState struct {
	wheelgauge.ServerEntry
	// Known is false until a report came.
	Known bool
	// Since is when it was first seen alive after being down.
	Since time.Time
	// Reported counts the reports, so that a reader sees when a new one came.
	Reported uint64
}

// HostAlive tells whether the hub hears a host and it is not leaving.
func (n *Node) HostAlive(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	h, ok := n.hosts[name]
	return ok && h.Alive && !h.Leaving
}

// mayBeAlive tells whether the hub has not had the time to hear a host. Without
// this every host would poll every backend server when it starts.
func (n *Node) mayBeAlive(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	_, known := n.hosts[name]
	return !known && n.views <= settledViews
}

// Server returns what is known of a backend server.
func (n *Node) Server(name string) ServerState {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if s := n.servers[name]; s != nil {
		return *s
	}
	return ServerState{}
}

// Ready tells whether the server reports a version of a model as ready; any
// version when version is empty.
func (s *ServerState) Ready(model, version string) bool {
	for one := range strings.SplitSeq(s.Models, ",") {
		name, at, _ := strings.Cut(one, "@")
		if name == model && (version == "" || at == version) {
			return true
		}
	}
	return false
}

// Ramp returns the part of its slots that a server gets: less than 1 for a
// while after it came back.
func (s *ServerState) Ramp(now time.Time) float64 {
	if s.Since.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.Since)) / float64(returnRamp)
	return min(1, max(rampMinimum, part))
}

// Region returns the last summary of another region.
func (n *Node) Region(name string) wheelgauge.RegionSummary {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.regions[name]
}

// RegionGone tells whether a region was heard of and is not any more.
func (n *Node) RegionGone(name string) bool { return n.Region(name).Gone }

// HostDown tells whether another region says that one of its hosts takes no work.
func (n *Node) HostDown(region, host string) bool {
	return slices.Contains(n.Region(region).Down, host)
}

// RegionKnown tells whether a region was ever heard of.
func (n *Node) RegionKnown(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	_, ok := n.regions[name]
	return ok
}

// HubAddress returns the hub in use; empty is this host itself.
func (n *Node) HubAddress() string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.target
}
