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
	// Known is false until the first report.
	Known bool
	// Since is when the server was first seen alive after being down.
	Since time.Time
	// Reported counts the reports, so that a reader can detect a new one.
	Reported uint64
}

// HostAlive reports whether a host is alive by the hub's view and not leaving.
func (n *Node) HostAlive(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	h, ok := n.hosts[name]
	return ok && h.Alive && !h.Leaving
}

// mayBeAlive reports whether the hub may not have received a host's first heartbeat yet.
// Without this every host would poll every backend server when it starts.
func (n *Node) mayBeAlive(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	_, known := n.hosts[name]
	return !known && n.views <= warmUpViews
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

// Ready reports whether the server has a version of a model as ready; any
// version when version is empty.
func (s *ServerState) Ready(model, version string) bool {
	for entry := range strings.SplitSeq(s.Models, ",") {
		name, reported, _ := strings.Cut(entry, "@")
		if name == model && (version == "" || reported == version) {
			return true
		}
	}
	return false
}

// Ramp returns the fraction of a server's slots that may be used: less than 1 for
// returnRamp after it recovered.
func (s *ServerState) Ramp(now time.Time) float64 {
	if s.Since.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(s.Since)) / float64(returnRamp)
	return min(1, max(minRamp, fraction))
}

// Region returns the last summary of another region.
func (n *Node) Region(name string) wheelgauge.RegionSummary {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.regions[name]
}

// RegionGone reports whether a region that was known has become unreachable.
func (n *Node) RegionGone(name string) bool { return n.Region(name).Gone }

// HostDown reports whether another region lists one of its hosts as accepting no requests.
func (n *Node) HostDown(region, host string) bool {
	return slices.Contains(n.Region(region).Down, host)
}

// RegionKnown reports whether a summary of a region was ever received.
func (n *Node) RegionKnown(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	_, ok := n.regions[name]
	return ok
}

// HubAddress returns the address of the hub in use, empty for this host itself.
func (n *Node) HubAddress() string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.hubAddress
}
