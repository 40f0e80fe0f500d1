package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"wheelgauge"
)

// condemnedBy is how many servers must have ended under a request: one may end for any
// reason, and two ends within a caller's two tries are seen where servers are lost by
// the region. With each more the request takes one more server with it.
const condemnedBy = 3

// servers are the names of servers' starts.
type servers map[string]bool

// suspects returns the servers that ended under each request, without those ends that
// another one is known to have brought about.
func suspects(crashes []wheelgauge.Crash) map[wheelgauge.Fingerprint]servers {
	out := map[wheelgauge.Fingerprint]servers{}
	for _, c := range crashes {
		if c.Cleared {
			continue
		}
		if out[c.Request] == nil {
			out[c.Request] = servers{}
		}
		out[c.Request][c.Server] = true
	}
	return out
}

// condemn returns the requests that end the servers which run them. Some tens are in
// flight at a server that ends, and all but one only stood beside it: the request that
// explains most ends comes first, and what it explains counts against no other. Of two
// that are in flight at each other's ends the second needs one end that the first can't
// explain: each ended 5 servers at most in 50 played schedules; with three such ends 7.
// One condemned wrongly, by the same three ends, is let go when the right one ends a
// fourth.
func condemn(crashes []wheelgauge.Crash) map[wheelgauge.Fingerprint]bool {
	all, left := suspects(crashes), suspects(crashes)
	out := map[wheelgauge.Fingerprint]bool{}
	for {
		worst := worstOf(left, all)
		if len(left[worst]) == 0 {
			return out
		}
		out[worst] = true
		explained := slices.Collect(maps.Keys(left[worst]))
		for _, under := range left {
			for _, server := range explained {
				delete(under, server)
			}
		}
	}
}

// worstOf returns the request under which most servers are left, of equals the one
// under which most ended, then the first by name, so that all hosts agree. One under
// which fewer ended than condemn is passed over.
func worstOf(left, all map[wheelgauge.Fingerprint]servers) wheelgauge.Fingerprint {
	var worst wheelgauge.Fingerprint
	for request, under := range left {
		if len(all[request]) < condemnedBy {
			continue
		}
		order := cmp.Or(cmp.Compare(len(under), len(left[worst])), cmp.Compare(len(all[request]), len(all[worst])), cmp.Compare(worst, request))
		if worst == "" || order > 0 {
			worst = request
		}
	}
	return worst
}

// serious returns the crashes of requests that enough servers ended under to be
// condemned, sorted: the others say nothing about who is.
func serious(crashes []wheelgauge.Crash) []wheelgauge.Crash {
	under := suspects(crashes)
	var out []wheelgauge.Crash
	for _, c := range crashes {
		if len(under[c.Request]) >= condemnedBy {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b wheelgauge.Crash) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Server, b.Server))
}
