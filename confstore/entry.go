package confstore

import (
	"net/http"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/entryset"
	"wheelgauge/routetable"
)

// warmUp is how long a store that has just started waits for hosts' beats
// before it says that a region has none.
const warmUp = 2 * time.Second

const (
	// briefHold is how long an answer holds while hosts of the region leave or
	// fail: some callers keep it three times as long, and one that was named
	// should be gone by then.
	briefHold = 500 * time.Millisecond
	// calmHold holds once none did for calmAfter: planned stops come one after
	// another, some seconds apart.
	calmHold  = 2 * time.Second
	calmAfter = 10 * time.Second
	// farHold holds for callers of other regions. They ask there when the stores
	// of their own are silent, and each time wait for those first.
	farHold = 3 * time.Second
)

// EntryAddresses implements wheelgauge.Operations. It names the region's own
// hosts, else those of regions where every route of the host name may run. Hosts
// that leave refuse long requests, but are better than a region where some routes
// may not run.
func (n *Node) EntryAddresses(name, region string) ([]string, time.Duration, error) {
	hosts, _ := n.hosts.Hosts()
	wanted := entryset.Wanted(n.hosts.Busiest(region))
	if own := addresses(hosts, wanted, func(h wheelgauge.FleetHost) bool { return h.Region == region && !h.Leaving }); len(own) > 0 {
		return own, n.hold(region), nil
	}
	if n.now().Sub(n.started) < warmUp {
		return nil, 0, noEntry()
	}
	homes := n.homes(name)
	fits := []func(wheelgauge.FleetHost) bool{
		func(h wheelgauge.FleetHost) bool { return !h.Leaving && slices.Contains(homes, h.Region) },
		func(h wheelgauge.FleetHost) bool { return h.Region == region },
		func(h wheelgauge.FleetHost) bool { return !h.Leaving },
	}
	for _, fit := range fits {
		if some := addresses(hosts, entryset.Most, fit); len(some) > 0 {
			return some, briefHold, nil
		}
	}
	return nil, 0, noEntry()
}

// hold is how long the names of a region's own hosts hold.
func (n *Node) hold(region string) time.Duration {
	switch {
	case region != n.o.Region:
		return farHold
	case n.now().Sub(n.hosts.Lost(region)) < calmAfter:
		return briefHold
	}
	return calmHold
}

func noEntry() error {
	return wheelgauge.NewError(wheelgauge.ReasonNoServer, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"no entry host is known here").WithRetryAfter(time.Second)
}

// addresses are those of hosts that fit, of so many at most.
func addresses(hosts []wheelgauge.FleetHost, most int, fit func(wheelgauge.FleetHost) bool) []string {
	var fits []wheelgauge.FleetHost
	for _, h := range hosts {
		if h.Ready && fit(h) {
			fits = append(fits, h)
		}
	}
	out := make([]string, 0, min(most, len(fits)))
	for _, h := range entryset.Choose(fits, most) {
		out = append(out, h.Caller)
	}
	return out
}

// routes returns the configuration held, decoded once for each version: a large
// one takes a store some 20 ms, and all callers of a region whose hosts are gone
// may ask within the same second. It is nil while none was taken.
func (n *Node) routes() *wheelgauge.RouteSet {
	s := n.machine.State()
	if set := n.decoded.Load(); set != nil && set.Version == s.Version {
		return set
	}
	set, err := n.o.Decode(s.Body)
	if err != nil {
		return nil
	}
	n.decoded.Store(set)
	return set
}

// homes returns the regions in which every route of a host name may run.
func (n *Node) homes(name string) []string {
	set := n.routes()
	if set == nil {
		return nil
	}
	var out []string
	for _, region := range n.o.Halls {
		if !slices.Contains(out, region) && routetable.RunsIn(set, name, region) {
			out = append(out, region)
		}
	}
	return out
}
