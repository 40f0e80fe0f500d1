package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"wheelgauge"
)

// crashThreshold is how many servers must have crashed with a request in flight. One may
// crash for any reason, and two crashes within a caller's two attempts occur when a region
// loses servers. Each further one costs one more server.
const crashThreshold = 3

// serverSet is a set of names of server instances.
type serverSet map[string]bool

// serversByRequest returns the servers that crashed with each request in flight, without
// cleared crashes, which another request is known to have caused.
func serversByRequest(crashes []wheelgauge.Crash) map[wheelgauge.Fingerprint]serverSet {
	out := map[wheelgauge.Fingerprint]serverSet{}
	for _, c := range crashes {
		if c.Cleared {
			continue
		}
		if out[c.Request] == nil {
			out[c.Request] = serverSet{}
		}
		out[c.Request][c.Server] = true
	}
	return out
}

// attribute returns the requests that crash the servers that run them. Dozens of requests are
// in flight at a server that crashes, and all but one are bystanders: the request that
// explains the most crashes comes first, and crashes that it explains do not count against
// any other. If two crashing requests are in flight at each other's crashes, the second needs
// one crash that the first does not explain: each crashed at most 5 servers in 50 simulated
// schedules, against 7 if it needed three such crashes. A bystander blamed for the same three
// crashes is released when the actual culprit causes a fourth.
func attribute(crashes []wheelgauge.Crash) map[wheelgauge.Fingerprint]bool {
	all, unexplained := serversByRequest(crashes), serversByRequest(crashes)
	out := map[wheelgauge.Fingerprint]bool{}
	for {
		culprit := nextCulprit(unexplained, all)
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

// nextCulprit returns the request with the most unexplained crashes; ties go to the one with
// the most crashes, then to the first by name, so that all hosts agree. Requests below
// crashThreshold are skipped.
func nextCulprit(unexplained, all map[wheelgauge.Fingerprint]serverSet) wheelgauge.Fingerprint {
	var worst wheelgauge.Fingerprint
	for request, servers := range unexplained {
		if len(all[request]) < crashThreshold {
			continue
		}
		order := cmp.Or(cmp.Compare(len(servers), len(unexplained[worst])), cmp.Compare(len(all[request]), len(all[worst])), cmp.Compare(worst, request))
		if worst == "" || order > 0 {
			worst = request
		}
	}
	return worst
}

// candidateCrashes returns the sorted crashes of requests that reach crashThreshold; the
// others do not affect attribution.
func candidateCrashes(crashes []wheelgauge.Crash) []wheelgauge.Crash {
	byRequest := serversByRequest(crashes)
	var out []wheelgauge.Crash
	for _, c := range crashes {
		if len(byRequest[c.Request]) >= crashThreshold {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareCrashes)
	return out
}

func compareCrashes(a, b wheelgauge.Crash) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Server, b.Server))
}
