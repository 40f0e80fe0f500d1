package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wheelgauge"
)

// crashThreshold is how many servers must have crashed with a request in flight. One may
// crash for any reason, and two crashes within a caller's two attempts occur when a region
// loses servers. Each further one costs one more server.
const crashThreshold = 3

const (
	// A part of prompts is preferred to an earlier part, which more requests hold, if it was in
	// flight at nestedShare of nestedOutOf crashes that the earlier one would explain.
	nestedShare = 3
	nestedOutOf = 4
	// minPartExtent is the least time between the first and the last crash of a part. Servers that
	// crash together do so for a reason of their own, with every common part in flight.
	minPartExtent = 300 * time.Millisecond
)

// serverSet is a set of names of server instances.
type serverSet map[string]bool

// serversByRequest returns the servers that crashed with each request in flight, without
// cleared crashes, which another request is known to have caused.
func serversByRequest(crashes []wheelgauge.Crash) map[wheelgauge.Fingerprint]serverSet {
	out := map[wheelgauge.Fingerprint]serverSet{}
	for _, c := range crashes {
		if c.Cleared || c.Trial != "" {
			continue
		}
		if out[c.Fingerprint] == nil {
			out[c.Fingerprint] = serverSet{}
		}
		out[c.Fingerprint][c.Server] = true
	}
	return out
}

// depths returns the depth of each fingerprint, the deepest if it differs.
func depths(crashes []wheelgauge.Crash) map[wheelgauge.Fingerprint]int {
	out := map[wheelgauge.Fingerprint]int{}
	for _, c := range crashes {
		out[c.Fingerprint] = max(out[c.Fingerprint], c.Depth)
	}
	return out
}

// attribute returns the requests, and the parts of prompts, that crash the servers that run them.
// Dozens of requests are in flight at a server that crashes, and all but one are bystanders: the
// one that explains the most crashes comes first, and crashes that it explains do not count
// against any other. If two crashing requests are in flight at each other's crashes, the second
// needs one crash that the first does not explain: each crashed at most 5 servers in 50 simulated
// schedules, against 7 if it needed three such crashes. A part, which many requests hold, needs
// crashThreshold of them. A bystander blamed for the same three crashes is released when the
// actual culprit causes a fourth.
func attribute(crashes []wheelgauge.Crash) map[wheelgauge.Fingerprint]bool {
	all, unexplained, depth := serversByRequest(crashes), serversByRequest(crashes), depths(crashes)
	out := map[wheelgauge.Fingerprint]bool{}
	for {
		culprit := nextCulprit(unexplained, all, depth)
		if len(unexplained[culprit]) == 0 {
			return out
		}
		out[culprit] = true
		explained := slices.Collect(maps.Keys(unexplained[culprit]))
		for _, servers := range unexplained {
			for _, server := range explained {
				delete(servers, server)
			}
		}
	}
}

// nextCulprit returns the request or part with the most unexplained crashes; ties go to the one
// with the most crashes, then to whole requests, then to later parts, then to the first by name,
// so that all hosts agree. Those below their threshold are skipped. A part gives way to a later
// one that explains nearly as much.
func nextCulprit(unexplained, all map[wheelgauge.Fingerprint]serverSet, depth map[wheelgauge.Fingerprint]int) wheelgauge.Fingerprint {
	var worst wheelgauge.Fingerprint
	for request, servers := range unexplained {
		if len(all[request]) < crashThreshold || depth[request] > 0 && len(servers) < crashThreshold {
			continue
		}
		order := cmp.Or(cmp.Compare(len(servers), len(unexplained[worst])), cmp.Compare(len(all[request]), len(all[worst])),
			cmp.Compare(narrowness(depth[request]), narrowness(depth[worst])), cmp.Compare(worst, request))
		if worst == "" || order > 0 {
			worst = request
		}
	}
	if depth[worst] == 0 {
		return worst
	}
	return nestedCulprit(worst, unexplained, depth)
}

// narrowness orders depths by how few requests they stand for.
func narrowness(depth int) int {
	if depth == 0 {
		return math.MaxInt
	}
	return depth
}

// nestedCulprit returns the latest part that was in flight at nestedShare of the unexplained
// crashes of a part, that part itself if there is none.
func nestedCulprit(part wheelgauge.Fingerprint, unexplained map[wheelgauge.Fingerprint]serverSet, depth map[wheelgauge.Fingerprint]int) wheelgauge.Fingerprint {
	best, most := part, 0
	for other, servers := range unexplained {
		if depth[other] <= depth[part] || len(servers) < crashThreshold {
			continue
		}
		common := 0
		for server := range servers {
			if unexplained[part][server] {
				common++
			}
		}
		if nestedOutOf*common < nestedShare*len(unexplained[part]) {
			continue
		}
		if best == part || cmp.Or(cmp.Compare(common, most), cmp.Compare(depth[other], depth[best]), cmp.Compare(best, other)) > 0 {
			best, most = other, common
		}
	}
	return best
}

// candidateCrashes returns the sorted crashes of requests that reach crashThreshold; the
// others do not affect attribution.
func candidateCrashes(crashes []wheelgauge.Crash) []wheelgauge.Crash {
	byRequest := serversByRequest(crashes)
	var out []wheelgauge.Crash
	for _, c := range crashes {
		if len(byRequest[c.Fingerprint]) >= crashThreshold {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareCrashes)
	return out
}

func compareCrashes(a, b wheelgauge.Crash) int {
	return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Server, b.Server))
}
