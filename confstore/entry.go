package confstore

import (
	"net/http"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/announcedhosts"
	"wheelgauge/routetable"
)

// warmUpPeriod is how long a store that has just started waits for heartbeats of
// hosts before it reports that a region has none.
const warmUpPeriod = 2 * time.Second

const (
	// unstableTTL is the TTL of addresses while hosts of the region leave or fail:
	// some callers keep an answer three times as long, and should drop the
	// address of a lost host within that time.
	unstableTTL = 500 * time.Millisecond
	// stableTTL applies once no host has left or failed for stableAfter: planned
	// shutdowns follow each other some seconds apart.
	stableTTL   = 2 * time.Second
	stableAfter = 10 * time.Second
	// remoteTTL applies to callers of other regions. They ask here only when the
	// stores of their own region do not respond, and wait for those first each time.
	remoteTTL = 3 * time.Second
)

// EntryAddresses implements wheelgauge.Operations. It returns the region's own
// hosts, else those of regions where every route of the host name may run. Hosts
// that shut down refuse long requests, but are preferred to a region where some
// routes may not run.
func (n *Node) EntryAddresses(name, region string) ([]string, time.Duration, error) {
	if own := n.hosts.Announced(region, announcedhosts.HostCount(n.hosts.PeakInFlight(region))); len(own) > 0 {
		return own, n.addressTTL(region), nil
	}
	if n.warmingUp() {
		return nil, 0, noEntryHostError()
	}
	hosts, _ := n.hosts.Hosts()
	homeRegions := n.homeRegions(name)
	fallbacks := []func(wheelgauge.FleetHost) bool{
		func(h wheelgauge.FleetHost) bool { return !h.Leaving && slices.Contains(homeRegions, h.Region) },
		func(h wheelgauge.FleetHost) bool { return h.Region == region },
		func(h wheelgauge.FleetHost) bool { return !h.Leaving },
	}
	for _, match := range fallbacks {
		if found := chooseAddresses(hosts, announcedhosts.MaxHosts, match); len(found) > 0 {
			return found, unstableTTL, nil
		}
	}
	return nil, 0, noEntryHostError()
}

// addressTTL returns how long callers may use the addresses of a region's own hosts.
func (n *Node) addressTTL(region string) time.Duration {
	switch {
	case region != n.o.Region:
		return remoteTTL
	case n.now().Sub(n.hosts.LastLoss(region)) < stableAfter:
		return unstableTTL
	}
	return stableTTL
}

func noEntryHostError() error {
	return wheelgauge.NewError(wheelgauge.ReasonNoServer, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"no ready entry host is known to this store").WithRetryAfter(time.Second)
}

// chooseAddresses returns the addresses of at most limit ready hosts that match.
func chooseAddresses(hosts []wheelgauge.FleetHost, limit int, match func(wheelgauge.FleetHost) bool) []string {
	var matching []wheelgauge.FleetHost
	for _, h := range hosts {
		if h.Ready && match(h) {
			matching = append(matching, h)
		}
	}
	out := make([]string, 0, min(limit, len(matching)))
	for _, h := range announcedhosts.Choose(matching, limit) {
		out = append(out, h.CallerAddress)
	}
	return out
}

// routes returns the current configuration, or nil if there is none yet. Each
// version is decoded once: a large configuration takes about 20 ms to decode, and
// all callers of a region that lost its hosts may ask within the same second.
func (n *Node) routes() *wheelgauge.RouteSet {
	s := n.machine.State()
	return n.routesOf(s.Version, s.Body)
}

// routesOf returns the configuration of a version, or nil if its body cannot be decoded.
func (n *Node) routesOf(version uint64, body []byte) *wheelgauge.RouteSet {
	if set := n.routeSet.Load(); set != nil && set.Version == version {
		return set
	}
	set, err := n.o.DecodeRoutes(body)
	if err != nil {
		return nil
	}
	n.routeSet.Store(set)
	return set
}

// homeRegions returns the regions in which every route of a host name may run.
func (n *Node) homeRegions(name string) []string {
	set := n.routes()
	if set == nil {
		return nil
	}
	var out []string
	for _, region := range n.o.RegionByHall {
		if !slices.Contains(out, region) && routetable.HostAllowedIn(set, name, region) {
			out = append(out, region)
		}
	}
	return out
}
