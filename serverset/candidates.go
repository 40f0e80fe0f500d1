package serverset

import (
	"slices"
	"time"

	"wheelgauge/rendezvous"
)

const (
	// fullScan is how many servers are all weighed. Of more, those of the subject and
	// some drawn at random are: hosts that hear the same news would all take the same
	// least loaded server until the next.
	fullScan = 12
	// subjectHomes is how many servers a subject has, best first: its prompts that
	// leave the first one go where other prompts of the subject have gone.
	subjectHomes = 3
	// drawn is how many others are weighed besides, of the host's hall and of other halls.
	drawn = 4
)

// candidates are the servers that a job may go to.
type candidates struct {
	// home is the first server of the job's subject; nil without one.
	home *Server
	// last is the server that had the subject last, as far as this host knows.
	last *Server
	list []*Server
	// fastest is the shortest mean time of an answer among them; 0 if none is known.
	fastest time.Duration
}

// others tells whether another server surely holds the subject's parts.
func (c candidates) others(s *Server) bool {
	return c.last != nil && c.last != s
}

// candidates finds where a job may go; the list holds until the next call. The lock
// is held.
func (t *Table) candidates(j Job, now time.Time) candidates {
	servers := t.services[j.service]
	subject := j.prompt.Subject()
	var homes ranking
	t.near, t.far, t.listed = t.near[:0], t.far[:0], t.listed[:0]
	for _, s := range servers {
		if !j.versions.Allows(s.spec.Version) || !t.takes(s, now) {
			continue
		}
		tried := slices.Contains(j.tried, s.spec.Instance)
		if now.Before(s.coldUntil) {
			if !tried {
				t.listed = append(t.listed, s)
			}
			continue
		}
		homes.add(s, rendezvous.Score(subject, s.hash))
		in := &t.far
		if s.spec.Hall == t.place.Hall {
			in = &t.near
		}
		if !tried {
			*in = append(*in, s)
		}
	}
	c := candidates{last: t.holder(j, now)}
	if subject != 0 {
		c.home = homes.first[0].server
	}
	t.choose(j, homes, c.last, subject != 0)
	c.list = t.listed
	c.fastest = fastest(c.list)
	return c
}

// fastest returns the shortest mean time of an answer that is known; 0 without any.
func fastest(list []*Server) time.Duration {
	least := time.Duration(0)
	for _, s := range list {
		if s.service > 0 && (least == 0 || s.service < least) {
			least = s.service
		}
	}
	return least
}

// choose adds warm servers to the list: all of few, else those of the subject, the
// one that had it last, and some drawn.
func (t *Table) choose(j Job, homes ranking, last *Server, subject bool) {
	if len(t.near)+len(t.far) <= fullScan {
		t.listed = append(t.listed, t.near...)
		t.listed = append(t.listed, t.far...)
		return
	}
	if subject {
		for _, r := range homes.first {
			t.list(r.server, j)
		}
		t.list(last, j)
	}
	seed := t.seed(j)
	for _, from := range [][]*Server{t.near, t.far} {
		for _, s := range from {
			if s.stale {
				t.list(s, j)
			}
		}
		for i := range min(drawn, len(from)) {
			t.list(from[rendezvous.Score(seed, uint64(i))%uint64(len(from))], j)
		}
	}
}

// list adds a server that was not tried and is not listed yet.
func (t *Table) list(s *Server, j Job) {
	if s != nil && !slices.Contains(t.listed, s) && !slices.Contains(j.tried, s.spec.Instance) {
		t.listed = append(t.listed, s)
	}
}

// seed is the same for a prediction and the choice that follows it.
func (t *Table) seed(j Job) uint64 {
	if own := j.prompt.Own(); own != 0 {
		return own + uint64(len(j.tried))
	}
	t.draws++
	return t.draws
}

// ranking are the servers with the highest scores, best first.
type ranking struct {
	first [subjectHomes]ranked
}

type ranked struct {
	server *Server
	score  uint64
}

func (k *ranking) add(s *Server, score uint64) {
	r := ranked{s, score}
	for i, was := range k.first {
		if was.server == nil || r.score > was.score {
			k.first[i], r = r, was
		}
		if r.server == nil {
			return
		}
	}
}

// holder returns the server that used the prompt's subject last, as far as this host
// knows; nil if it may get no work. The lock is held.
func (t *Table) holder(j Job, now time.Time) *Server {
	p := j.prompt
	s := t.used[p.Subject()]
	if s == nil || !j.versions.Allows(s.spec.Version) || t.servers[s.instance] != s || !s.holds(p, now, cacheLife) || !t.takes(s, now) {
		return nil
	}
	return s
}
