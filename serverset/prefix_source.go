package serverset

import (
	"time"

	"wheelgauge/prompt"
	"wheelgauge/rendezvous"
)

const (
	// minFetchTokens is the fewest tokens worth fetching from another server.
	minFetchTokens = 256
	// assuredCacheTime is how long after its last use a prefix is surely still cached: the
	// unshared parts of requests replace a busy engine's cache within some seconds.
	assuredCacheTime = 3 * time.Second
)

// SetBusiestRegion names the other region with the most work: its servers are the likeliest
// to have used a prefix lately.
func (t *Table) SetBusiestRegion(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busiestRegion = region
}

// fetchSource returns the address of a server to fetch the prompt's shared parts from if
// the chosen one may not have them: the one that used them last, else the prefix's home,
// and for the home itself the home in the busiest other region. Parts that are no longer
// cached there are prefilled as usual.
func (t *Table) fetchSource(chosen *Server, c candidates, j Job, now time.Time) string {
	p := j.prompt
	if chosen.holdsPrefix(p, now, assuredCacheTime) || p.SharedTokens() < minFetchTokens {
		return ""
	}
	switch {
	case c.lastHolder != nil && c.lastHolder != chosen && c.lastHolder.holdsPrefix(p, now, assuredCacheTime):
		return c.lastHolder.spec.Address
	case c.home != nil && c.home != chosen:
		return c.home.spec.Address
	}
	return t.remoteHome(chosen.spec.Service, j)
}

// remoteHome returns the address of the prefix's home in the busiest other region.
func (t *Table) remoteHome(service string, j Job) string {
	if t.busiestRegion == "" || j.regionAllowed != nil && !j.regionAllowed(t.busiestRegion) {
		return ""
	}
	best, bestScore := "", uint64(0)
	for _, h := range t.remote(t.busiestRegion) {
		if h.service != service || h.leaving || !j.versions.Allows(h.version) {
			continue
		}
		if score := rendezvous.Score(j.prompt.PrefixID(), h.hash); best == "" || score > bestScore {
			best, bestScore = h.address, score
		}
	}
	return best
}

// holdsPrefix reports whether the server used the prompt's prefix within a time.
func (s *Server) holdsPrefix(p prompt.Prompt, now time.Time, within time.Duration) bool {
	used, ok := s.cachedParts[p.PrefixID()]
	return ok && now.Sub(used) < within
}
