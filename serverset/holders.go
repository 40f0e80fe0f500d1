package serverset

import (
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
	"wheelgauge/rendezvous"
)

const (
	// leastFetched is the fewest tokens worth a move between servers.
	leastFetched = 256
	// heldFor is how long after its last use a server surely holds a subject:
	// requests' own parts turn a busy engine's cache over in some seconds.
	heldFor = 3 * time.Second
)

// holderEntry is a server of another region.
type holderEntry struct {
	address string
	region  string
	service string
	hash    uint64
}

// SetHolders takes the servers of other regions, which may hold what the
// region's own do not.
func (t *Table) SetHolders(list []wheelgauge.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holders = t.holders[:0]
	for _, s := range list {
		if !s.Leaving {
			t.holders = append(t.holders, holderEntry{address: s.Address, region: s.Region, service: s.Service, hash: rendezvous.Hash(s.Instance)})
		}
	}
}

// SetBusy names the other region with the most work: its servers used a
// subject the most lately.
func (t *Table) SetBusy(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = region
}

// source finds a server that holds the prompt's shared parts, for one that may
// not: the one that used them last, else the subject's home, and for the home itself
// that of the busiest other region. Parts that are gone there are read as ever.
func (t *Table) source(chosen *Server, c candidates, j Job, now time.Time) string {
	p := j.prompt
	if chosen.holds(p, now, heldFor) || p.SharedTokens() < leastFetched {
		return ""
	}
	switch {
	case c.last != nil && c.last != chosen && c.last.holds(p, now, heldFor):
		return c.last.spec.Address
	case c.home != nil && c.home != chosen:
		return c.home.spec.Address
	}
	return t.awayHolder(chosen.spec.Service, j)
}

// awayHolder returns the subject's home in the busiest other region.
func (t *Table) awayHolder(service string, j Job) string {
	if t.busy == "" || j.within != nil && !j.within(t.busy) {
		return ""
	}
	best, top := "", uint64(0)
	for _, h := range t.holders {
		if h.service != service || h.region != t.busy {
			continue
		}
		if score := rendezvous.Score(j.prompt.Subject(), h.hash); best == "" || score > top {
			best, top = h.address, score
		}
	}
	return best
}

// holds tells whether the server used the prompt's subject within a time.
func (s *Server) holds(p prompt.Prompt, now time.Time, within time.Duration) bool {
	used, ok := s.cached[p.Subject()]
	return ok && now.Sub(used) < within
}
