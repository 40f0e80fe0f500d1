package sequential

import (
	"math"

	"wheelgauge"
)

// faults are the bad answers of the target version by server.
type faults struct {
	// all are the answers of all servers, servers those that gave bad ones.
	all     float64
	servers map[string]*answers
}

// answers are those of one server.
type answers struct {
	all, bad float64
}

// add takes so many answers more, of which servers told bad ones.
func (f *faults) add(all float64, told []wheelgauge.ServerFaults) {
	f.all += all
	for _, one := range told {
		if f.servers == nil {
			f.servers = map[string]*answers{}
		}
		s := f.servers[one.Server]
		if s == nil {
			s = &answers{}
			f.servers[one.Server] = s
		}
		s.all, s.bad = s.all+float64(one.Answers), s.bad+float64(one.Count)
	}
}

// worst is how many more bad answers a server gave than its fellows, if chance does not explain it: one
// server that fails is no reason to take its version back, faults that are spread over all of
// them are. usual is the part of answers that are bad of other versions.
func (f *faults) worst(servers int, usual float64) float64 {
	if servers < 2 || len(f.servers) == 0 {
		return 0
	}
	worst, bad := &answers{}, 0.0
	for _, s := range f.servers {
		bad += s.bad
		if s.bad > worst.bad {
			worst = s
		}
	}
	of := worst.all
	if of == 0 {
		of = f.all / float64(servers) // a host that does not tell
	}
	others := max(0, f.all-of)
	expected := of * (bad - worst.bad + priorAnswers*usual) / (others + priorAnswers)
	if worst.bad <= expected+outlier*math.Sqrt(expected+1) {
		return 0
	}
	return worst.bad - expected
}
