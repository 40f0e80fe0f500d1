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
	// version is that of the server at the time of the choice.
	version       string
	missingTokens int
	rank          int
	prompt        prompt.Prompt
	predictedWait time.Duration
	source        string
	loadBefore    Load
	sentAt        time.Time
	// heldUp is for how long the caller held the answer up.
	heldUp         time.Duration
	firstEventSeen bool
	ended          bool
	// load, slowness and forecast are those of the engine model, modelled is set if there is one.
	load     wheelgauge.EngineLoad
	slowness float64
	forecast wheelgauge.EngineForecast
	modelled bool
	// cold is how the choice of a cold server was made; nil for a warm one.
	cold *ColdChoice
	// probe is set for a request that tries an idle server whose earlier answers were late.
	probe bool
	// onEnd is called when the dispatch ends.
	onEnd func()
}

// Load is the known load of a server at the time of the choice.
type Load struct {
	running int
	own     int
	tokens  int
	age     time.Duration
}

// Running returns the requests in flight from all hosts.
func (l Load) Running() int { return l.running }

// Own returns the requests in flight from this host.
func (l Load) Own() int { return l.own }

// Tokens returns the tokens of prompts that waited for their first event.
func (l Load) Tokens() int { return l.tokens }

// Age returns the age of the part that other hosts reported.
func (l Load) Age() time.Duration { return l.age }

// Server returns the server chosen.
func (k *Pick) Server() *Server { return k.server }

// AddCost returns the estimate with another cost of the choice added.
func (e Estimate) AddCost(cost time.Duration) Estimate {
	e.cost += cost
	return e
}

// Wait returns the predicted time to the first event or to the answer.
func (k *Pick) Wait() time.Duration { return k.predictedWait }

// Source returns the address of a server that has shared parts of the prompt cached
// which the chosen one lacks; empty if there is none.
func (k *Pick) Source() string { return k.source }

// MissingTokens returns how many tokens of the prompt the server must prefill.
func (k *Pick) MissingTokens() int { return k.missingTokens }

// LoadBefore returns the server's load at the time of the choice.
func (k *Pick) LoadBefore() Load { return k.loadBefore }

// Choose picks the server with the least cost, excluding those already tried. It
// returns nil if no server can take the job.
func (t *Table) Choose(j Job) *Pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	cands := t.candidates(j, now)
	c := t.bestChoice(cands, j, now, true)
	s := c.server
	if s == nil {
		return nil
	}
	k := t.newPick(c, cands.home, j, now)
	k.source = t.fetchSource(s, cands, j, now)
	return k
}

// newPick counts a job as in flight at the chosen server; the lock is held.
func (t *Table) newPick(c choice, home *Server, j Job, now time.Time) *Pick {
	s := c.server
	k := &Pick{table: t, server: s, version: s.spec.Version, prompt: j.prompt, rank: j.rank, missingTokens: s.missingTokens(j.prompt, s == home), predictedWait: duration(c.wait), sentAt: now}
	k.cold = t.coldChoice(s, now)
	k.loadBefore = Load{running: s.inFlight(), own: s.running, tokens: s.pendingTokens + s.peerUse.PrefillTokens, age: now.Sub(t.peerUseTime(s))}
	if t.model != nil && t.isEngine(s) {
		k.load, k.slowness, k.forecast, k.modelled = c.load, c.slowness, c.forecast, true
		t.recordResident(j)
	}
	s.probeSent = !s.pushback.BackingOff(now)
	if !t.touched[s] {
		t.touched[s] = true
		s.pool.SetMaxConns(t.connLimit(s.spec.Service))
	}
	t.choices++
	s.chosenAt = t.choices
	s.running++
	s.pendingTokens += k.missingTokens
	s.workByRank = s.workByRank.Add(k.rank, 1, k.missingTokens)
	return k
}

// Estimate is the predicted wait and cost of a request in a region.
type Estimate struct {
	wait time.Duration
	cost time.Duration
	// forecast is that of the engine model; zero without one.
	forecast wheelgauge.EngineForecast
	// queued is set if the request would wait for a slot, idle if only earlier answers say how long
	// it would wait.
	queued, idle bool
}

// AddLatency returns the estimate with the latency of a link added.
func (e Estimate) AddLatency(latency time.Duration) Estimate {
	e.wait += latency
	e.cost += latency
	if e.forecast.Last > 0 {
		e.forecast.Last += latency
	}
	return e
}

// Wait returns the predicted time to the first event or to the answer.
func (e Estimate) Wait() time.Duration { return e.wait }

// Cost returns the wait plus the other costs of the choice.
func (e Estimate) Cost() time.Duration { return e.cost }

// EndsWithin reports whether the answer may end in a time; true if its end is not known.
func (e Estimate) EndsWithin(left time.Duration) bool {
	return e.forecast.Last == 0 || e.forecast.Last-e.forecast.LastError <= left
}

// Queued reports whether the request would wait for a slot at an engine.
func (e Estimate) Queued() bool { return e.queued }

// Idle reports whether, as far as is known, nothing is in progress at the server of a plain service:
// what is expected of it comes from earlier answers alone. At an engine the prompt has its part in it.
func (e Estimate) Idle() bool { return e.idle }

// End returns the predicted time to the end of the answer, or to its first event if the end is not
// known.
func (e Estimate) End() time.Duration { return max(e.wait, e.forecast.Last) }

// Predict estimates without choosing; ok is false if no server can take the
// request.
func (t *Table) Predict(j Job) (e Estimate, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c := t.bestChoice(t.candidates(j, now), j, now, false)
	return Estimate{wait: duration(c.wait), cost: duration(c.score), forecast: c.forecast, queued: c.load.NoSlot(), idle: c.server != nil && c.server.inFlight() == 0 && !t.isEngine(c.server)}, c.server != nil
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// choice is a server with its score and predicted wait, in milliseconds.
type choice struct {
	server *Server
	score  float64
	wait   float64
	// load, slowness and forecast are those of the engine model.
	load     wheelgauge.EngineLoad
	slowness float64
	forecast wheelgauge.EngineForecast
}

// better reports whether c costs less than other. Of servers with the same cost the one that was
// not chosen for longest goes first: each gets its part, and none that returns is passed over.
func (c choice) better(other choice) bool {
	if other.server == nil || c.score != other.score {
		return other.server == nil || c.score < other.score
	}
	return c.server.chosenAt < other.server.chosenAt
}

func (t *Table) bestChoice(cands candidates, j Job, now time.Time, take bool) choice {
	var best, cold choice
	for _, s := range cands.list {
		c := t.evaluate(s, j, cands, now)
		switch {
		case t.isCold(s, now):
			if c.better(cold) {
				cold = c
			}
		case s.probeDue(now):
			return c
		case c.better(best):
			best = c
		}
	}
	// A cold server gets its small share of requests if it is the cheaper choice.
	if cold.server != nil && cold.better(best) && t.allowCold(cold.server, take) {
		return cold
	}
	return best
}

func (t *Table) allowCold(s *Server, take bool) bool {
	config := t.serviceConfig(s.spec.Service)
	if config == nil || config.ColdRate <= 0 {
		return true
	}
	hosts, _ := t.sharers()
	if !take {
		return t.coldRates.Allows(s.spec.Instance, t.place.Host, hosts, config.ColdRate)
	}
	return t.coldRates.Take(s.spec.Instance, t.place.Host, hosts, config.ColdRate)
}

// evaluate predicts the wait at a server, and scores the choice by its cost to this
// request and to others, both in milliseconds.
func (t *Table) evaluate(s *Server, j Job, cands candidates, now time.Time) choice {
	t.checkLimitEnd(s)
	p, home := j.prompt, s == cands.home
	c := choice{server: s, score: float64(s.failures.Cost(now)) / float64(time.Millisecond)}
	if s.spec.Hall != t.place.Hall {
		c.score += otherHallCostMS
	}
	if t.isEngine(s) {
		missing := s.missingTokens(p, home)
		reread := missing - p.Tokens() + p.SharedTokens()
		if reread > 0 && cands.heldElsewhere(s) {
			c.wait = fetchCostMS
			c.score += moveCostMS
			missing, reread = missing-reread, 0
		}
		if t.model != nil {
			c = t.modelled(c, j, missing, reread, now)
		} else {
			l, slowdown := fixedLoad(s, j, missing, now), s.slowdownFactor()
			c.wait += l.Wait() * slowdown
			c.score += (l.Cost() - l.Wait()) * slowdown
			// Prefilling shared parts again delays all requests that come after.
			c.score += rereadCostFactor * float64(reread) / enginewait.PrefillTokensPerMS * slowdown
		}
	} else {
		c.wait = s.serviceWait(t.expectedServiceTime(s, cands))
	}
	c.score += c.wait + shedRisk(float64(s.inFlight()), float64(s.shedLevel))
	return c
}

// engineLoad is the load of an engine that prefills rate tokens in a millisecond, as seen by a
// request of a rank.
func engineLoad(s *Server, rank, missing int, now time.Time, rate float64) enginewait.Load {
	running, urgent, tokens := s.workByRank.AheadAndUrgent(rank)
	othersRunning, othersUrgent, othersTokens := s.peerUse.Work.AheadAndUrgent(rank)
	// The engine went on prefilling after the other hosts' report.
	prefilled := rate * float64(now.Sub(s.peerUseAt).Milliseconds())
	aheadOfOthers := max(0, float64(othersTokens)-prefilled)
	all := max(0, float64(s.peerUse.PrefillTokens)-prefilled)
	return enginewait.Load{
		InFlight: float64(s.inFlight()), InFlightAhead: float64(running + othersRunning),
		TokensAhead: float64(tokens) + aheadOfOthers, TokensBehind: float64(s.pendingTokens-tokens) + all - aheadOfOthers, OwnTokens: float64(missing),
		Slots: float64(max(s.slots, s.spec.Slots)), DurationMS: float64(s.serviceTime.Milliseconds()), Overtaken: urgent+othersUrgent > 0,
	}
}

// expectedServiceTime is how long a plain service is expected to take without queueing. A
// server with a limit, or after a backoff, is assumed to be as fast as the fastest: it has
// stated what it can take, and few answers update its average, so that a single late one
// would keep all work from it. So is one whose average exceeds the fastest by less than its
// answers vary: by such differences one server would get the work of all others.
func (t *Table) expectedServiceTime(s *Server, cands candidates) time.Duration {
	now := t.now()
	mean := s.currentServiceTime(now)
	if mean == 0 {
		mean = defaultServiceTime
	}
	alike := mean-cands.fastestServiceTime <= s.serviceTimeNoise(now)
	if cands.fastestServiceTime > 0 && cands.fastestServiceTime < mean && (s.statsStale || alike || t.hasLimit(s)) {
		return cands.fastestServiceTime
	}
	return mean
}

// serviceWait predicts the time to the answer of a plain service with the given mean time
// without queueing, in milliseconds.
func (s *Server) serviceWait(mean time.Duration) float64 {
	// Fewer requests in flight are better even below saturation.
	return float64(mean.Milliseconds())*s.queueFactor(s.inFlight()) + float64(s.inFlight())/float64(s.concurrency())
}

// concurrency is how many requests the server processes at once.
func (s *Server) concurrency() int { return max(1, s.slots, s.spec.Slots) }

// queueFactor is how many times as long a request takes that arrives behind inFlight others.
func (s *Server) queueFactor(inFlight int) float64 {
	return 1 + float64(max(0, inFlight+1-s.concurrency()))/float64(s.concurrency())
}

// PredictAt estimates the wait and cost in a region from the totals of its load.
func (t *Table) PredictAt(service wheelgauge.Service, u wheelgauge.ServiceUsage, j Job) Estimate {
	if u.Servers == 0 {
		return Estimate{}
	}
	if service.KVCacheTokens > 0 {
		l := meanEngineLoad(u, j.prompt, j.rank)
		if t.model != nil {
			_, urgent, _ := u.Work.AheadAndUrgent(j.rank)
			least := leastEngineLoad(l, float64(urgent)/float64(u.Servers), j)
			f := t.model.Predict(service.Name, least, 1)
			return Estimate{wait: f.First, cost: f.First + f.Delay + duration(targetCost(f, j)), forecast: f, queued: least.NoSlot()}
		}
		return Estimate{wait: duration(l.Wait()), cost: duration(l.Cost())}
	}
	slots := max(1, u.Slots)
	wait := float64(defaultServiceTime.Milliseconds()) * (1 + float64(max(0, u.Running+1-slots))/float64(slots))
	risk := shedRisk(float64(u.Running)/float64(u.Servers), float64(t.maxShedLevel(service.Name)))
	return Estimate{wait: duration(wait), cost: duration(wait + risk)}
}

// maxShedLevel is the most requests that a server of a service held when it refused
// one, as far as this host knows; 0 if none has.
func (t *Table) maxShedLevel(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, s := range t.services[service] {
		most = max(most, s.shedLevel)
	}
	return most
}

// meanEngineLoad is the load of an engine that has an equal share of its region's load.
func meanEngineLoad(u wheelgauge.ServiceUsage, p prompt.Prompt, rank int) enginewait.Load {
	n := float64(u.Servers)
	running, urgent, tokens := u.Work.AheadAndUrgent(rank)
	return enginewait.Load{
		InFlight: float64(u.Running) / n, InFlightAhead: float64(running) / n,
		TokensAhead: float64(tokens) / n, TokensBehind: float64(u.PrefillTokens-tokens) / n, OwnTokens: float64(p.Tokens() - p.SharedTokens()),
		Slots: float64(u.Slots) / n, DurationMS: defaultEngineDurationMS, Overtaken: urgent > 0,
	}
}

// Sent records that the request is sent only now: a preceding wait for a permit is not part
// of the service time.
func (k *Pick) Sent() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	k.sentAt = t.now()
	k.server.sentUnderLimit = k.server.sentUnderLimit || t.hasLimit(k.server)
}

// HeldUp records for how long in all a caller that read slowly held the answer up: that is not
// service time.
func (k *Pick) HeldUp(by time.Duration) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.heldUp = by
}

// FirstEvent records that the first event has arrived.
func (k *Pick) FirstEvent() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.endPrefill() {
		return
	}
	for _, part := range k.prompt.Shared() {
		k.server.cachedParts[part.ID()] = t.now()
	}
	t.lastHolders[k.prompt.PrefixID()] = k.server
}

// recordServiceTime records how long an answer took that came behind inFlight others. For a
// plain service the queueing time is removed, as predictions add it again.
func (s *Server) recordServiceTime(took time.Duration, inFlight int, engine bool) {
	if !engine {
		took = time.Duration(float64(took) / s.queueFactor(inFlight))
	}
	s.serviceTimeSamples++
	if s.serviceTime == 0 {
		s.serviceTime, s.serviceTimeDeviation = took, took/2
		return
	}
	// Until the average has as many answers as it remembers, all of them count alike.
	weight := max(serviceTimeWeight, 1/float64(s.serviceTimeSamples))
	s.serviceTimeDeviation += time.Duration(weight * float64((took-s.serviceTime).Abs()-s.serviceTimeDeviation))
	s.serviceTime += time.Duration(weight * float64(took-s.serviceTime))
}

// isEngine reports whether a server is a model engine; the lock is held.
func (t *Table) isEngine(s *Server) bool {
	config := t.serviceConfig(s.spec.Service)
	return config != nil && config.KVCacheTokens > 0
}

// Outcome is how a dispatch ended.
type Outcome int

// Outcomes of a dispatch.
const (
	// Served: the server answered.
	Served Outcome = iota
	// Failed: the server failed, or broke off its answer.
	Failed
	// Shed: the server stated that it did not run the request.
	Shed
	// BackedOff: the server rejected the request and asked to back off, which determines when
	// it gets work again.
	BackedOff
	// Unreachable: no connection could be established.
	Unreachable
	// AddressReused: another server uses the address.
	AddressReused
	// Abandoned: the request was not sent or the caller no longer waits; it says nothing of the
	// server.
	Abandoned
)

// MarkProbe records that the request tries an idle server, although its earlier answers were late. If the
// answer is quicker than their average it replaces that.
func (k *Pick) MarkProbe() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.probe = true
}

// OnEnd sets a function that is called once when the dispatch ends.
func (k *Pick) OnEnd(f func()) { k.onEnd = f }

// Done ends the dispatch and records its outcome; later calls have no effect.
func (k *Pick) Done(o Outcome) {
	if k.end(o) && k.onEnd != nil {
		k.onEnd()
	}
}

// end records the outcome of the dispatch; false if it has ended before.
func (k *Pick) end(o Outcome) bool {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.ended {
		return false
	}
	k.ended = true
	k.endPrefill() // the tokens are still pending if no event came
	s, now := k.server, t.now()
	s.running--
	s.workByRank = s.workByRank.Add(k.rank, -1, 0)
	switch o {
	case Served:
		s.noteAnswer(k)
		s.failures.Add(false, now)
		s.pause, s.unreachableUntil, s.lastReached = 0, time.Time{}, now
		took := max(0, now.Sub(k.sentAt)-k.heldUp)
		s.recordServiceTime(took, k.loadBefore.running, t.isEngine(s))
		if k.probe {
			s.serviceTime = min(s.serviceTime, took)
		}
		s.serviceTimeAt = now
	case Failed:
		s.noteAnswer(k)
		s.failures.Add(true, now)
	case Shed:
		s.pausedUntil = now.Add(shedPause)
	case Unreachable:
		s.pause = min(maxPause, max(minPause, 2*s.pause))
		s.pausedUntil = now.Add(s.pause)
		s.unreachableUntil = s.pausedUntil
		s.statsStale = false
		s.failures.Add(true, now)
	case AddressReused:
		s.replaced = true
	}
	return true
}

// endPrefill subtracts the prompt's tokens from the pending ones; false if that was done
// before. The table's lock is held.
func (k *Pick) endPrefill() bool {
	if k.firstEventSeen {
		return false
	}
	k.firstEventSeen = true
	k.server.pendingTokens -= k.missingTokens
	k.server.workByRank = k.server.workByRank.Add(k.rank, 0, -k.missingTokens)
	return true
}
