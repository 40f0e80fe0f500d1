package serverset

import (
	"time"

	"wheelgauge"
	"wheelgauge/enginewait"
	"wheelgauge/prompt"
)

// Pick is a server chosen for one request. It counts as in flight until Done.
type Pick struct {
	table  *Table
	server *Server
	// version is that of the server when it was chosen.
	version string
	tokens  int
	rank    int
	prompt  prompt.Prompt
	wait    time.Duration
	source  string
	load    Load
	sent    time.Time
	began   bool
	ended   bool
}

// Load is what a server had to do, by what was known, when it was chosen.
type Load struct {
	running int
	tokens  int
	age     time.Duration
}

// Running returns the requests in flight from all hosts.
func (l Load) Running() int { return l.running }

// Tokens returns those of prompts that waited for their first event.
func (l Load) Tokens() int { return l.tokens }

// Age returns how old the part is that other hosts told of.
func (l Load) Age() time.Duration { return l.age }

// Server returns the server chosen.
func (k *Pick) Server() *Server { return k.server }

// Wait returns the predicted time to the first event or to the answer.
func (k *Pick) Wait() time.Duration { return k.wait }

// Source returns the address of a server that holds shared parts of the prompt
// which the chosen one lacks; empty when there is none.
func (k *Pick) Source() string { return k.source }

// Missing returns how many tokens of the prompt the server must read.
func (k *Pick) Missing() int { return k.tokens }

// Before returns the server's load when it was chosen.
func (k *Pick) Before() Load { return k.load }

// Choose picks the server with the least cost, but none of those tried. It
// returns nil when no server may take the job.
func (t *Table) Choose(j Job) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	from := t.candidates(j, now)
	c := t.best(from, j, now, true)
	s := c.server
	if s == nil {
		return nil
	}
	k := t.pick(c, from.home, j, now)
	k.source = t.source(s, from, j, now)
	return k
}

// pick counts a job as in flight at the server chosen; the lock is held.
func (t *Table) pick(c choice, home *Server, j Job, now time.Time) *Pick {
	s := c.server
	k := &Pick{table: t, server: s, version: s.spec.Version, prompt: j.prompt, rank: j.rank, tokens: s.missing(j.prompt, s == home), wait: duration(c.wait), sent: now}
	k.load = Load{running: s.inFlight(), tokens: s.tokens + s.others.Tokens, age: now.Sub(s.othersAt)}
	s.resumed = !s.pushback.BackingOff(now)
	s.running++
	s.tokens += k.tokens
	s.work = s.work.Add(k.rank, 1, k.tokens)
	return k
}

// Estimate is what a region offers a request.
type Estimate struct {
	wait time.Duration
	cost time.Duration
}

// Over returns what is offered at the end of a way that takes so long.
func (e Estimate) Over(way time.Duration) Estimate {
	return Estimate{wait: e.wait + way, cost: e.cost + way}
}

// Wait returns the predicted time to the first event or to the answer.
func (e Estimate) Wait() time.Duration { return e.wait }

// Cost returns the wait with what the choice costs besides.
func (e Estimate) Cost() time.Duration { return e.cost }

// Predict estimates without choosing; ok is false when no server may take the
// request.
func (t *Table) Predict(j Job) (e Estimate, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c := t.best(t.candidates(j, now), j, now, false)
	return Estimate{wait: duration(c.wait), cost: duration(c.score)}, c.server != nil
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// choice is a server with its score and the wait predicted there.
type choice struct {
	server *Server
	score  float64
	wait   float64
}

func (c choice) better(than choice) bool { return than.server == nil || c.score < than.score }

func (t *Table) best(from candidates, j Job, now time.Time, take bool) choice {
	var best, cold choice
	for _, s := range from.list {
		c := t.rate(s, j, from, now)
		switch {
		case now.Before(s.coldUntil):
			if c.better(cold) {
				cold = c
			}
		case s.due(now):
			return c
		case c.better(best):
			best = c
		}
	}
	// A cold server is warmed up by its small share when it has less to do.
	if cold.server != nil && cold.better(best) && t.allowCold(cold.server, take) {
		return cold
	}
	return best
}

func (t *Table) allowCold(s *Server, take bool) bool {
	l := t.limits(s.spec.Service)
	if l == nil || l.ColdRate <= 0 {
		return true
	}
	if !take {
		return t.cold.Mine(s.spec.Instance, t.place.Host, t.place.Named)
	}
	return t.cold.Take(s.spec.Instance, t.place.Host, t.place.Named, l.ColdRate)
}

// rate predicts the wait at a server, and scores it by what the choice costs
// this request and others, both in milliseconds.
func (t *Table) rate(s *Server, j Job, from candidates, now time.Time) choice {
	t.noteLimitOver(s)
	p, home := j.prompt, s == from.home
	c := choice{server: s, score: max(0, s.fails(now)-failTolerated) * failCost}
	if s.spec.Hall != t.place.Hall {
		c.score += otherHallCost
	}
	if t.engine(s) {
		missing := s.missing(p, home)
		again := missing - p.Tokens() + p.SharedTokens()
		if again > 0 && from.others(s) {
			c.wait = fetchCost
			c.score += moveCost
			missing, again = missing-again, 0
		}
		l, slow := engineLoad(s, j.rank, missing, now), s.slowness()
		c.wait += l.Wait() * slow
		c.score += (l.Cost() - l.Wait()) * slow
		// Shared parts that are read again delay all who come after.
		c.score += againCost * float64(again) / enginewait.ReadRate * slow
	} else {
		c.wait = s.serviceWait(t.answerTime(s, from))
	}
	c.score += c.wait + shedRisk(float64(s.inFlight()), float64(s.full))
	return c
}

// engineLoad is what an engine has in flight, as a request of a rank sees it.
func engineLoad(s *Server, rank, missing int, now time.Time) enginewait.Load {
	running, urgent, tokens := s.work.Before(rank)
	othersRunning, othersUrgent, othersTokens := s.others.Work.Before(rank)
	// What other hosts told of has been read on since.
	read := enginewait.ReadRate * float64(now.Sub(s.othersAt).Milliseconds())
	aheadOfOthers := max(0, float64(othersTokens)-read)
	all := max(0, float64(s.others.Tokens)-read)
	return enginewait.Load{
		Running: float64(s.inFlight()), Before: float64(running + othersRunning),
		Ahead: float64(tokens) + aheadOfOthers, Later: float64(s.tokens-tokens) + all - aheadOfOthers, Missing: float64(missing),
		Slots: float64(max(s.slots, s.spec.Slots)), Lasts: float64(s.service.Milliseconds()), Overtaken: urgent+othersUrgent > 0,
	}
}

// answerTime is how long a plain service is expected to take by itself. A server with a
// limit, or after a backoff, is expected to be as fast as any: what it bears it has said, and few answers renew
// its mean, so that a single late one would keep all work from it.
func (t *Table) answerTime(s *Server, from candidates) time.Duration {
	mean := s.service
	if mean == 0 {
		mean = firstService
	}
	if from.fastest > 0 && from.fastest < mean && (s.stale || t.hasLimit(s)) {
		return from.fastest
	}
	return mean
}

// serviceWait predicts the time to the answer of a plain service that takes mean by itself,
// in milliseconds.
func (s *Server) serviceWait(mean time.Duration) float64 {
	// Below full, fewer in flight is better all the same.
	return float64(mean.Milliseconds())*s.queueFactor(s.inFlight()) + float64(s.inFlight())/float64(s.places())
}

// places is how many requests the server works on at once.
func (s *Server) places() int { return max(1, s.slots, s.spec.Slots) }

// queueFactor is how much longer a request takes that comes to so many others.
func (s *Server) queueFactor(inFlight int) float64 {
	return 1 + float64(max(0, inFlight+1-s.places()))/float64(s.places())
}

// PredictAt estimates what a region offers by the sums of its load.
func (t *Table) PredictAt(service wheelgauge.Service, u wheelgauge.ServiceUse, p prompt.Prompt, rank int) Estimate {
	if u.Servers == 0 {
		return Estimate{}
	}
	if service.CacheTokens > 0 {
		l := meanEngine(u, p, rank)
		return Estimate{wait: duration(l.Wait()), cost: duration(l.Cost())}
	}
	slots := max(1, u.Slots)
	wait := float64(firstService.Milliseconds()) * (1 + float64(max(0, u.Running+1-slots))/float64(slots))
	risk := shedRisk(float64(u.Running)/float64(u.Servers), float64(t.full(service.Name)))
	return Estimate{wait: duration(wait), cost: duration(wait + risk)}
}

// full is the most requests that a server of a service held when it refused one,
// as far as this host has seen; 0 if it has not.
func (t *Table) full(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, s := range t.services[service] {
		most = max(most, s.full)
	}
	return most
}

// meanEngine is the load of an engine that has its even part of a region's.
func meanEngine(u wheelgauge.ServiceUse, p prompt.Prompt, rank int) enginewait.Load {
	n := float64(u.Servers)
	running, urgent, tokens := u.Work.Before(rank)
	return enginewait.Load{
		Running: float64(u.Running) / n, Before: float64(running) / n,
		Ahead: float64(tokens) / n, Later: float64(u.Tokens-tokens) / n, Missing: float64(p.Tokens() - p.SharedTokens()),
		Slots: float64(u.Slots) / n, Lasts: firstLasts, Overtaken: urgent > 0,
	}
}

// Sent tells that the request goes to the server only now: a wait for a permit before says
// nothing of how long the server takes.
func (k *Pick) Sent() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	k.sent = t.now()
	k.server.limited = true
}

// Began tells that the first event has come.
func (k *Pick) Began() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.read() {
		return
	}
	for _, part := range k.prompt.Shared() {
		k.server.cached[part.ID()] = t.now()
	}
	t.used[k.prompt.Subject()] = k.server
}

// lasted takes how long an answer took that came to so many others. Of a plain
// service the queue is left out, which a prediction adds again.
func (s *Server) lasted(took time.Duration, inFlight int, engine bool) {
	if !engine {
		took = time.Duration(float64(took) / s.queueFactor(inFlight))
	}
	if s.service == 0 {
		s.service = took
	}
	s.service += time.Duration(timeWeight * float64(took-s.service))
}

// engine tells whether a server is a model engine; the lock is held.
func (t *Table) engine(s *Server) bool {
	l := t.limits(s.spec.Service)
	return l != nil && l.CacheTokens > 0
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
	// BackedOff: the server turned the request away and asked to back off, which says when it
	// takes work again.
	BackedOff
	// Unreached: no connection could be had.
	Unreached
	// Gone: another server has the address.
	Gone
	// Left: nobody waits any more; it says nothing of the server.
	Left
)

// Done ends the dispatch.
func (k *Pick) Done(o Outcome) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	k.read() // nothing has come, if it was not read before
	s, now := k.server, t.now()
	s.running--
	s.work = s.work.Add(k.rank, -1, 0)
	switch o {
	case Served:
		s.renewed(k)
		s.outcome(now, false)
		s.pause, s.lostUntil, s.reached = 0, time.Time{}, now
		s.lasted(now.Sub(k.sent), k.load.running, t.engine(s))
	case Failed:
		s.renewed(k)
		s.outcome(now, true)
	case Shed:
		s.pausedUntil = now.Add(shedPause)
	case Unreached:
		s.pause = min(longestPause, max(firstPause, 2*s.pause))
		s.pausedUntil = now.Add(s.pause)
		s.lostUntil = s.pausedUntil
		s.stale = false
		s.outcome(now, true)
	case Gone:
		s.gone = true
	}
}

// read takes the prompt's tokens off those that wait; false if they were taken
// off before. The table's lock is held.
func (k *Pick) read() bool {
	if k.began {
		return false
	}
	k.began = true
	k.server.tokens -= k.tokens
	k.server.work = k.server.work.Add(k.rank, 0, -k.tokens)
	return true
}
