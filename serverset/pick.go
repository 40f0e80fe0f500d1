package serverset

import (
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

// Pick is a server chosen for one request. It counts as in flight until Done.
type Pick struct {
	table  *Table
	server *Server
	tokens int
	prompt prompt.Prompt
	wait   time.Duration
	sent   time.Time
	began  bool
	ended  bool
}

// Server returns the server chosen.
func (k *Pick) Server() *Server { return k.server }

// Wait returns the predicted time to the first event or to the answer.
func (k *Pick) Wait() time.Duration { return k.wait }

// Choose picks the server with the least predicted wait, but none of those
// tried. It returns nil when no server may take the request.
func (t *Table) Choose(service string, p prompt.Prompt, tried []string) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	servers := t.services[service]
	home := t.home(servers, p, now)
	best, wait := t.best(servers, p, tried, home, now, true)
	if best == nil {
		return nil
	}
	k := &Pick{table: t, server: best, prompt: p, tokens: best.missing(p, best == home), wait: wait, sent: now}
	best.running++
	best.tokens += k.tokens
	return k
}

// Predict returns the least predicted wait without choosing; ok is false when
// no server may take the request.
func (t *Table) Predict(service string, p prompt.Prompt) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	servers := t.services[service]
	best, wait := t.best(servers, p, nil, t.home(servers, p, now), now, false)
	return wait, best != nil
}

func (t *Table) best(servers []*Server, p prompt.Prompt, tried []string, home *Server, now time.Time, take bool) (*Server, time.Duration) {
	var best, cold *Server
	var least, leastCold float64
	for _, s := range servers {
		if !t.takes(s, now) || slices.Contains(tried, s.spec.Instance) {
			continue
		}
		score := t.score(s, p, s == home, now)
		if now.Before(s.coldUntil) {
			if cold == nil || score < leastCold {
				cold, leastCold = s, score
			}
			continue
		}
		if best == nil || score < least {
			best, least = s, score
		}
	}
	// A cold server is warmed up by its small share when it has less to do.
	if cold != nil && (best == nil || leastCold < least) && t.allowCold(cold, take) {
		return cold, time.Duration(leastCold * float64(time.Millisecond))
	}
	return best, time.Duration(least * float64(time.Millisecond))
}

func (t *Table) allowCold(s *Server, take bool) bool {
	l := t.limits(s.spec.Service)
	if l == nil || l.ColdRate <= 0 {
		return true
	}
	if !take {
		return t.cold.Mine(s.spec.Instance, t.place.Host, t.place.Peers)
	}
	return t.cold.Take(s.spec.Instance, t.place.Host, t.place.Peers, l.ColdRate)
}

// score predicts the wait at a server in milliseconds.
func (t *Table) score(s *Server, p prompt.Prompt, home bool, now time.Time) float64 {
	cost := s.fails(now) * failCost
	if s.spec.Hall != t.place.Hall {
		cost += otherHallCost
	}
	if l := t.limits(s.spec.Service); l != nil && l.CacheTokens > 0 {
		return cost + t.engineWait(s, p, home, now)
	}
	return cost + t.serviceWait(s)
}

func (t *Table) engineWait(s *Server, p prompt.Prompt, home bool, now time.Time) float64 {
	others := float64(s.others.Tokens) - firstReadRate*float64(now.Sub(s.othersAt).Milliseconds())
	missing := s.missing(p, home)
	read := float64(s.tokens) + max(0, others) + float64(missing)
	// Shared parts that are read again delay all who come after.
	again := float64(missing - p.Tokens() + p.SharedTokens())
	return (read+againCost*again)/firstReadRate + runCost*float64(s.inFlight())
}

func (t *Table) serviceWait(s *Server) float64 {
	mean := s.service
	if mean == 0 {
		mean = firstService
	}
	slots := max(1, s.slots, s.spec.Slots)
	waiting := max(0, s.inFlight()+1-slots)
	// Below full, fewer in flight is better all the same.
	return float64(mean.Milliseconds())*(1+float64(waiting)/float64(slots)) + float64(s.inFlight())/float64(slots)
}

// WaitAt predicts the wait in a region by the sums of its load.
func (t *Table) WaitAt(service wheelgauge.Service, u wheelgauge.ServiceUse, p prompt.Prompt) time.Duration {
	if u.Servers == 0 {
		return 0
	}
	n := float64(u.Servers)
	wait := 0.0
	if service.CacheTokens > 0 {
		wait = (float64(u.Tokens)/n+float64(p.Tokens()-p.SharedTokens()))/firstReadRate + runCost*float64(u.Running)/n
	} else {
		slots := max(1, u.Slots)
		wait = float64(firstService.Milliseconds()) * (1 + float64(max(0, u.Running+1-slots))/float64(slots))
	}
	return time.Duration(wait * float64(time.Millisecond))
}

// Began tells that the first event has come.
func (k *Pick) Began() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.began {
		return
	}
	k.began = true
	k.server.tokens -= k.tokens
	for _, part := range k.prompt.Shared() {
		k.server.cached[part.ID()] = t.now()
	}
}

// Outcome is how a dispatch ended.
type Outcome int

// Outcomes of a dispatch.
const (
	// Served: the server answered.
	Served Outcome = iota
	// Failed: the server failed, or broke off.
	Failed
	// Shed: the server said that it did not run the request.
	Shed
	// Unreached: no connection could be had.
	Unreached
	// Gone: another server has the address.
	Gone
	// Left: nobody waits any more; it says nothing of the server.
	Left
)

// Done ends the dispatch.
func (k *Pick) Done(o Outcome) {
	k.unread()
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	s, now := k.server, t.now()
	s.running--
	switch o {
	case Served:
		s.outcome(now, false)
		s.pause = 0
		took := now.Sub(k.sent)
		if s.service == 0 {
			s.service = took
		}
		s.service += time.Duration(timeWeight * float64(took-s.service))
	case Failed:
		s.outcome(now, true)
	case Shed:
		s.pausedUntil = now.Add(firstPause / 5)
	case Unreached:
		s.pause = min(longestPause, max(firstPause, 2*s.pause))
		s.pausedUntil = now.Add(s.pause)
		s.outcome(now, true)
	case Gone:
		s.gone = true
	}
}

// unread takes the prompt's tokens back if no first event ever came.
func (k *Pick) unread() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.began {
		k.began = true
		k.server.tokens -= k.tokens
	}
}

// Load takes what the server says of itself.
func (k *Pick) Load(slots int) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if slots > 0 {
		k.server.slots = slots
	}
}
