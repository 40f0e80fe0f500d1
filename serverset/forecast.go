package serverset

import (
	"maps"
	"math"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/enginewait"
)

const (
	// endCostMS is the cost of a server where the answer cannot end in its time, in milliseconds
	// of waiting: any other that can take the request is preferred.
	endCostMS = 10_000.0
	// A pause costs from pauseCostFrom of its objective on, and the whole cost from pauseCostTo:
	// forecasts are means, and half of the answers pause for longer.
	pauseCostFrom = 0.8
	pauseCostTo   = 1.2
	// urgentMeanTime is the time over which the urgent requests at a server are averaged: some
	// times that of a request with little output.
	urgentMeanTime = 2 * time.Second
	// urgentSpread is by how many times the square root of that mean the urgent ones exceed it at
	// times while a less urgent request runs, which would be displaced then. maxUrgentShare is the
	// share of the slots that is kept for them at most.
	urgentSpread   = 4.0
	maxUrgentShare = 0.8
	// residentWeight is the weight of a new request in the mean tokens that one of its rank
	// keeps in an engine's memory.
	residentWeight = 0.05
)

// SetEngineModel sets the model that predicts how requests run at engines; without one, fixed
// figures are used. It is called before the first request.
func (t *Table) SetEngineModel(m wheelgauge.EngineModel) { t.model = m }

// HasModel reports whether a model predicts how requests of a service run.
func (t *Table) HasModel(service string) bool {
	if t.model == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	config := t.serviceConfig(service)
	return config != nil && config.KVCacheTokens > 0
}

// modelled adds the forecast of the model to a choice: the wait, and the cost of what the request
// delays, of a long pause and of an end that comes too late. The lock is held.
func (t *Table) modelled(c choice, j Job, missing, reread int, now time.Time) choice {
	s := c.server
	c.load = t.modelLoad(s, j, missing, now)
	c.slowness = s.slowness(now)
	c.forecast = t.model.Predict(j.service, c.load, c.slowness)
	fetch := c.wait
	c.wait += ms(c.forecast.First)
	c.score += ms(c.forecast.Delay) + targetCost(c.forecast, j)
	c.score += rereadCostFactor * float64(reread) / t.model.PrefillRate(j.service) * c.slowness
	c.forecast.First += duration(fetch)
	if c.forecast.Last > 0 {
		c.forecast.Last += duration(fetch)
	}
	return c
}

// targetCost is the cost of a forecast that misses the targets of a job, in milliseconds of
// waiting. A caller has no more use of an answer that pauses for too long than of one that begins
// twice as late as it should.
func targetCost(f wheelgauge.EngineForecast, j Job) float64 {
	cost := 0.0
	if j.pauseObjective > 0 {
		share := (float64(f.Pause)/float64(j.pauseObjective) - pauseCostFrom) / (pauseCostTo - pauseCostFrom)
		cost += min(1, max(0, share)) * ms(j.firstObjective)
	}
	if j.timeLeft > 0 && f.Last > j.timeLeft {
		cost += endCostMS
	}
	return cost
}

// modelLoad is the load of an engine as the model sees it. The lock is held.
func (t *Table) modelLoad(s *Server, j Job, missing int, now time.Time) wheelgauge.EngineLoad {
	l := wheelgauge.EngineLoad(engineLoad(s, j.rank, missing, now, t.model.PrefillRate(j.service)))
	l.OutputTokens = float64(j.prompt.Output())
	work := s.workByRank.Plus(s.peerUse.Work)
	if slots := t.memorySlots(work, j); slots > 0 && (l.Slots <= 0 || slots < l.Slots) {
		l.Slots = slots
	}
	l.Reserved = s.urgentLevels.reserved(work, j.rank, l.Slots, now)
	return l
}

// memorySlots is how many requests like work, which is in flight at an engine, and this one fit in
// its memory; 0 if unknown. Parts of prompts that requests share are not counted.
func (t *Table) memorySlots(work wheelgauge.Work, j Job) float64 {
	config := t.serviceConfig(j.service)
	if config == nil || config.KVCacheTokens <= 0 {
		return 0
	}
	tokens, requests := j.residentTokens(), 1.0
	for _, r := range work {
		mean := t.residentTokens[rankOfService{j.service, r.Rank}]
		if mean <= 0 || r.Running <= 0 {
			continue
		}
		tokens += mean * float64(r.Running)
		requests += float64(r.Running)
	}
	if tokens <= 0 {
		return 0
	}
	return max(1, math.Floor(float64(config.KVCacheTokens)*requests/tokens))
}

// rankOfService identifies the requests of a rank for a service.
type rankOfService struct {
	service string
	rank    int
}

// residentTokens are the tokens that the job alone keeps in an engine's memory until it ends.
func (j Job) residentTokens() float64 {
	return float64(j.prompt.Tokens() - j.prompt.SharedTokens() + j.prompt.Output())
}

// leastEngineLoad is the load of the engine that a region would choose, from the mean load of its
// engines: it runs one request less than the mean, and has one prompt less before it. urgent are
// the more urgent requests in the region by engine: slots are kept for them there as here.
func leastEngineLoad(mean enginewait.Load, urgent float64, j Job) wheelgauge.EngineLoad {
	l := wheelgauge.EngineLoad(mean)
	l.Reserved = max(0, urgentPeak(urgent, l.Slots)-urgent)
	l.OutputTokens = float64(j.prompt.Output())
	l.TokensAhead = max(0, l.TokensAhead-l.OwnTokens)
	l.InFlight, l.InFlightAhead = max(0, l.InFlight-1), max(0, l.InFlightAhead-1)
	return l
}

// recordResident updates the mean tokens of a rank. What a caller states counts for no more than
// the memory of an engine, or one false figure would fill them all. The lock is held.
func (t *Table) recordResident(j Job) {
	config := t.serviceConfig(j.service)
	if config == nil {
		return
	}
	key, tokens := rankOfService{j.service, j.rank}, min(j.residentTokens(), float64(config.KVCacheTokens))
	mean, ok := t.residentTokens[key]
	if !ok {
		mean = tokens
	}
	t.residentTokens[key] = mean + residentWeight*(tokens-mean)
}

// forgetResident drops the means of services that have no servers any more; the lock is held.
func (t *Table) forgetResident() {
	maps.DeleteFunc(t.residentTokens, func(r rankOfService, _ float64) bool { return len(t.services[r.service]) == 0 })
}

// urgentLevels are the mean requests of each rank in flight at a server lately.
type urgentLevels struct {
	means []rankMean
	at    time.Time
}

type rankMean struct {
	rank int
	mean float64
}

// note records what is in flight now.
func (u *urgentLevels) note(work wheelgauge.Work, now time.Time) {
	kept := 0.0
	if !u.at.IsZero() {
		kept = math.Exp(-max(0, now.Sub(u.at).Seconds()) / urgentMeanTime.Seconds())
	}
	u.at = now
	for i := range u.means {
		u.means[i].mean *= kept
	}
	for _, r := range work {
		i := slices.IndexFunc(u.means, func(m rankMean) bool { return m.rank == r.Rank })
		if i < 0 {
			i = len(u.means)
			u.means = append(u.means, rankMean{rank: r.Rank})
		}
		u.means[i].mean += (1 - kept) * float64(r.Running)
	}
}

// reserved is how many more requests that are more urgent than a rank are to be expected: the peak
// of them, without those in flight.
func (u *urgentLevels) reserved(work wheelgauge.Work, rank int, slots float64, now time.Time) float64 {
	u.note(work, now)
	mean := 0.0
	for _, m := range u.means {
		if m.rank < rank {
			mean += m.mean
		}
	}
	_, urgent, _ := work.AheadAndUrgent(rank)
	return max(0, urgentPeak(mean, slots)-float64(urgent))
}

// urgentPeak is how many urgent requests are to be expected at times at an engine that has mean of
// them.
func urgentPeak(mean, slots float64) float64 {
	peak := mean + urgentSpread*math.Sqrt(mean)
	if slots > 0 {
		peak = min(peak, maxUrgentShare*slots)
	}
	return peak
}

// observeFirst records the time to the first event, or a lower bound of it if the request
// failed. The lock is held.
func (k *Pick) observeFirst(after time.Duration, failed bool) {
	model := k.table.model
	if !k.modelled || failed && after <= k.forecast.First {
		return
	}
	service := k.server.spec.Service
	if unit := model.Predict(service, k.load, 1); !k.load.Full() {
		k.server.slownessSums.add(ms(after), ms(unit.First), k.server.reportedSlowness(), k.table.now())
	}
	model.Observe(service, wheelgauge.EngineRun{Load: k.load, First: after}, k.slowness)
}

// FirstEventAfter records how long the first event took, or how long the request waited until it
// failed.
func (k *Pick) FirstEventAfter(after time.Duration, failed bool) {
	if k.table.model == nil {
		return
	}
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.observeFirst(after, failed)
}

// Ended records how an answer ran that is complete.
func (k *Pick) Ended(first, last, pause time.Duration, events int) {
	t := k.table
	if t.model == nil || !k.modelled || last <= first {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	service := k.server.spec.Service
	if unit := t.model.Predict(service, k.load, 1); unit.Last > unit.First && events > 1 {
		k.server.slownessSums.add(ms(last-first), ms(unit.Last-unit.First), k.server.reportedSlowness(), t.now())
	}
	t.model.Observe(service, wheelgauge.EngineRun{Load: k.load, First: first, Last: last, Pause: pause, Events: events, Complete: true}, k.slowness)
}

// Forecast returns how the request was expected to run, and the slowness of the server; ok is false
// without a model.
func (k *Pick) Forecast() (f wheelgauge.EngineForecast, slowness float64, ok bool) {
	return k.forecast, k.slowness, k.modelled
}

// fixedLoad returns the load that the fixed figures are applied to.
func fixedLoad(s *Server, j Job, missing int, now time.Time) enginewait.Load {
	return engineLoad(s, j.rank, missing, now, enginewait.PrefillTokensPerMS)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
