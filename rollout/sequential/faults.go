package sequential

import (
	"math"

	"wheelgauge"
)

// faults counts the bad answers of the target version by server.
type faults struct {
	// answers counts the answers of all servers, servers those of each server with bad
	// answers.
	answers float64
	servers map[string]*serverAnswers
}

// serverAnswers counts all answers and the bad answers of one server.
type serverAnswers struct {
	answers, bad float64
}

// add adds answers, and the reports on servers with bad ones.
func (f *faults) add(answers float64, reports []wheelgauge.ServerFaults) {
	f.answers += answers
	for _, r := range reports {
		if f.servers == nil {
			f.servers = map[string]*serverAnswers{}
		}
		s := f.servers[r.Server]
		if s == nil {
			s = &serverAnswers{}
			f.servers[r.Server] = s
		}
		s.answers, s.bad = s.answers+float64(r.Answers), s.bad+float64(r.Count)
	}
}

// worstExcess returns how many more bad answers the worst server gave than the other servers
// would suggest, or 0 if chance explains the difference. A single failing server is no reason
// to roll back its version; faults on all servers are. badRate is the rate of bad answers of
// other versions.
func (f *faults) worstExcess(servers int, badRate float64) float64 {
	if servers < 2 || len(f.servers) == 0 {
		return 0
	}
	worst, bad := &serverAnswers{}, 0.0
	for _, s := range f.servers {
		bad += s.bad
		if s.bad > worst.bad {
			worst = s
		}
	}
	worstAnswers := worst.answers
	if worstAnswers == 0 {
		worstAnswers = f.answers / float64(servers) // reports without answers per server: assume an even spread
	}
	otherAnswers := max(0, f.answers-worstAnswers)
	expected := worstAnswers * (bad - worst.bad + priorAnswers*badRate) / (otherAnswers + priorAnswers)
	if worst.bad <= expected+outlierDeviations*math.Sqrt(expected+1) {
		return 0
	}
	return worst.bad - expected
}
