// Package entrylist ranks the hosts that a client may use.
package entrylist

import (
	"slices"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/rendezvous"
)

const (
	// hostsPerRegion is how many hosts of a region a list contains.
	hostsPerRegion = 3
	// unlistedHostShare is the share of a client's limit on a host that is not on its list.
	unlistedHostShare = 0.05
)

// shares are the fractions of a client's limit on its first, second and third host: a
// client that follows the list has most of its limit there, and one that spreads its
// requests over all hosts of a region gets little more than its limit in total.
var shares = [hostsPerRegion]float64{0.6, 0.25, 0.15}

// Usable reports whether a host accepts new callers.
type Usable func(h *catalog.Host) bool

// List ranks hosts for a client: first those of its home region, if that is allowed, else
// of the region near, then those of the other allowed regions by link delay.
func List(c *catalog.Catalog, id wheelgauge.Identity, near string, usable Usable) []wheelgauge.Entry {
	var out []wheelgauge.Entry
	for _, region := range regionOrder(c, id, near) {
		for _, h := range rankHosts(c, id, region, usable) {
			out = append(out, wheelgauge.Entry{Host: h.Name, Region: region, Address: h.Caller})
		}
	}
	return out
}

func regionOrder(c *catalog.Catalog, id wheelgauge.Identity, near string) []string {
	regions := c.AllowedRegions(id)
	first := near
	if slices.Contains(regions, id.Home) {
		first = id.Home
	}
	links := c.Region(first).Links
	slices.SortStableFunc(regions, func(a, b string) int {
		switch {
		case a == first:
			return -1
		case b == first:
			return 1
		case links[a] < links[b]:
			return -1
		case links[a] > links[b]:
			return 1
		}
		return 0
	})
	return regions
}

func rankHosts(c *catalog.Catalog, id wheelgauge.Identity, region string, usable Usable) []*catalog.Host {
	hosts := make([]*catalog.Host, 0, len(c.Hosts(region)))
	for _, h := range c.Hosts(region) {
		if !h.Leaving && usable(h) {
			hosts = append(hosts, h)
		}
	}
	key := rendezvous.Hash(id.Client)
	slices.SortFunc(hosts, func(a, b *catalog.Host) int {
		if rendezvous.Weighted(key, a.Hash, a.Weight) > rendezvous.Weighted(key, b.Hash, b.Weight) {
			return -1
		}
		return 1
	})
	return hosts[:min(hostsPerRegion, len(hosts))]
}

// Share returns the fraction of a client's limit that applies on one host.
func Share(c *catalog.Catalog, id wheelgauge.Identity, region, host string, usable Usable) float64 {
	ranked := rankHosts(c, id, region, usable)
	i := slices.IndexFunc(ranked, func(h *catalog.Host) bool { return h.Name == host })
	if i < 0 {
		return unlistedHostShare
	}
	share := shares[i]
	if len(ranked) < hostsPerRegion && i == 0 {
		for _, rest := range shares[len(ranked):] {
			share += rest
		}
	}
	return share
}
