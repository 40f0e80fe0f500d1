// Package announcedhosts chooses which entry hosts are announced to callers, where there are more
// than a caller reads of an answer.
package announcedhosts

import (
	"cmp"
	"slices"

	"wheelgauge"
	"wheelgauge/rendezvous"
)

const (
	// MaxHosts is the maximum number of hosts announced: callers read no more of an answer.
	MaxHosts = 64
	// MinHosts is the minimum number of hosts announced, where there are so many: with 16 in
	// each of two halls the loss of one host affects 3 in 100 requests.
	MinHosts = 32
	// requestsPerHost is the intended number of requests in flight per announced host. With
	// fewer, a host has fewer reusable connections to each server and observes less by
	// itself; 40 with prompts of 12 KB are 0.3 MB/s, a quarter of a link of 10 Mbit/s.
	requestsPerHost = 40
)

// HostCount returns how many hosts of a region are announced while it has inFlight requests. The
// number depends on the load, not on the number of hosts.
func HostCount(inFlight int) int {
	return min(MaxHosts, max(MinHosts, (inFlight+requestsPerHost-1)/requestsPerHost))
}

// Choose returns at most limit of the hosts, in a fixed order. Halls are represented as
// evenly as possible, so that callers still have hosts after the loss of a hall; within a
// hall the order is by a hash of the name. The same set of hosts always gives the same
// choice, and adding or removing a host changes one. hosts is not modified.
func Choose(hosts []wheelgauge.FleetHost, limit int) []wheelgauge.FleetHost {
	return interleave(byHall(hosts), limit)
}

// interleave returns at most limit elements: the first of each queue in turn, then the second.
func interleave[T any](queues [][]T, limit int) []T {
	total := 0
	for _, q := range queues {
		total += len(q)
	}
	out := make([]T, 0, min(limit, total))
	for round := 0; len(out) < cap(out); round++ {
		for _, q := range queues {
			if round < len(q) && len(out) < cap(out) {
				out = append(out, q[round])
			}
		}
	}
	return out
}

// byHall groups hosts by hall, with the halls sorted by name.
func byHall(hosts []wheelgauge.FleetHost) [][]wheelgauge.FleetHost {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b wheelgauge.FleetHost) int {
		return cmp.Or(cmp.Compare(a.Hall, b.Hall), cmp.Compare(rendezvous.Hash(a.Name), rendezvous.Hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	var out [][]wheelgauge.FleetHost
	for i, h := range sorted {
		if i == 0 || h.Hall != sorted[i-1].Hall {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], h)
	}
	return out
}
