package serverset

import (
	"slices"
	"time"

	"wheelgauge/rendezvous"
)

const (
	// maxFullScan is the most servers that are all evaluated. Of more, those of the prefix and
	// a random sample are: hosts with the same load update would all choose the same least
	// loaded server until the next one.
	maxFullScan = 12
	// homesPerPrefix is how many servers a prefix has, best first: prompts that do not go to
	// the first one go where other prompts with the prefix have gone.
	homesPerPrefix = 3
	// samplesPerGroup is how many others are sampled from the host's hall and from other halls.
	samplesPerGroup = 4
)

// candidates are the servers that a job may go to.
type candidates struct {
	// home is the first server of the job's prefix; nil without one.
	home *Server
	// lastHolder is the server that used the prefix last, as far as this host knows.
	lastHolder *Server
	list       []*Server
	// fastestServiceTime is the shortest average among them; 0 if none is known.
	fastestServiceTime time.Duration
}

// heldElsewhere reports whether another server surely has the prefix cached.
func (c candidates) heldElsewhere(s *Server) bool {
	return c.lastHolder != nil && c.lastHolder != s
}

// candidates returns the servers that a job may go to; the list is valid until the next
// call. The lock is held.
func (t *Table) candidates(j Job, now time.Time) candidates {
	servers := t.services[j.service]
	prefix := j.prompt.PrefixID()
	var homes ranking
	t.sameHall, t.otherHalls, t.shortlist = t.sameHall[:0], t.otherHalls[:0], t.shortlist[:0]
	for _, s := range servers {
		if !j.versions.Allows(s.spec.Version) || !t.available(s, now) {
			continue
		}
		tried := slices.Contains(j.tried, s.spec.Instance)
		if t.isCold(s, now) {
			if !tried {
				t.shortlist = append(t.shortlist, s)
			}
			continue
		}
		homes.add(s, rendezvous.Score(prefix, s.hash))
		group := &t.otherHalls
		if s.spec.Hall == t.place.Hall {
			group = &t.sameHall
		}
		if !tried {
			*group = append(*group, s)
		}
	}
	c := candidates{lastHolder: t.lastHolder(j, now)}
	if prefix != 0 {
		c.home = homes.top[0].server
	}
	t.buildShortlist(j, homes, c.lastHolder, prefix != 0)
	c.list = t.shortlist
	c.fastestServiceTime = fastestServiceTime(c.list)
	return c
}

// fastestServiceTime returns the shortest known average; 0 without any.
func fastestServiceTime(list []*Server) time.Duration {
	least := time.Duration(0)
	for _, s := range list {
		if s.serviceTime > 0 && (least == 0 || s.serviceTime < least) {
			least = s.serviceTime
		}
	}
	return least
}

// buildShortlist adds warm servers to the shortlist: all if they are few, else those of the
// prefix, its last holder, those with stale statistics, and a sample.
func (t *Table) buildShortlist(j Job, homes ranking, lastHolder *Server, hasPrefix bool) {
	if len(t.sameHall)+len(t.otherHalls) <= maxFullScan {
		t.shortlist = append(t.shortlist, t.sameHall...)
		t.shortlist = append(t.shortlist, t.otherHalls...)
		return
	}
	if hasPrefix {
		for _, r := range homes.top {
			t.addToShortlist(r.server, j)
		}
		t.addToShortlist(lastHolder, j)
	}
	seed := t.sampleSeed(j)
	for _, group := range [][]*Server{t.sameHall, t.otherHalls} {
		for _, s := range group {
			if s.statsStale {
				t.addToShortlist(s, j)
			}
		}
		for i := range min(samplesPerGroup, len(group)) {
			t.addToShortlist(group[rendezvous.Score(seed, uint64(i))%uint64(len(group))], j)
		}
	}
}

// addToShortlist adds a server that was not tried and is not on the shortlist yet.
func (t *Table) addToShortlist(s *Server, j Job) {
	if s != nil && !slices.Contains(t.shortlist, s) && !slices.Contains(j.tried, s.spec.Instance) {
		t.shortlist = append(t.shortlist, s)
	}
}

// sampleSeed is the same for a prediction and the choice that follows it.
func (t *Table) sampleSeed(j Job) uint64 {
	if own := j.prompt.OwnPartID(); own != 0 {
		return own + uint64(len(j.tried))
	}
	t.drawCount++
	return t.drawCount
}

// ranking holds the servers with the highest scores, best first.
type ranking struct {
	top [homesPerPrefix]ranked
}

type ranked struct {
	server *Server
	score  uint64
}

func (k *ranking) add(s *Server, score uint64) {
	r := ranked{s, score}
	for i, prev := range k.top {
		if prev.server == nil || r.score > prev.score {
			k.top[i], r = r, prev
		}
		if r.server == nil {
			return
		}
	}
}

// lastHolder returns the server that used the prompt's prefix last, as far as this host
// knows; nil if it may get no work. The lock is held.
func (t *Table) lastHolder(j Job, now time.Time) *Server {
	p := j.prompt
	s := t.lastHolders[p.PrefixID()]
	if s == nil || !j.versions.Allows(s.spec.Version) || t.servers[s.instance] != s || !s.holdsPrefix(p, now, cacheRetention) || !t.available(s, now) {
		return nil
	}
	return s
}
