// Package enginemodel learns from a host's own requests how they run at model engines: the time
// to the first event, the pace, the longest pause and the end.
package enginemodel

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/enginewait"
)

const (
	// Units of the features, so that usual values are near 1.
	tokensUnit        = 1000.0
	runningUnit       = 10.0
	pendingTokensUnit = 10_000.0
	// minPrefillRate and maxPrefillRate bound the tokens prefilled in a millisecond.
	minPrefillRate = 5.0
	maxPrefillRate = 500.0
	// maxConstantMS bounds the part of a first event that does not depend on the load,
	// maxRunningMS what ten running requests add.
	maxConstantMS = 2000.0
	maxRunningMS  = 500.0
	// maxPaceMS bounds the time of an output token, maxPauseMS that of a pause.
	maxPaceMS  = 1000.0
	maxPauseMS = 20_000.0
	// minSamples is how many answers must have ended before paces, pauses and ends are predicted.
	minSamples = 20
	// A sample further from its prediction than outlierErrors mean errors, and than minOutlierMS,
	// counts as if it were that far.
	// The first samples are held closer to the fixed figures: firstSamples is how many of
	// minSamples count as taken before.
	outlierErrors = 3.0
	firstSamples  = 5
	minOutlierMS  = 200.0
	// varianceMS is where half of a wait's variance is constant; the rest grows with the wait.
	varianceMS = 100.0
	// queuePriorMS is the predicted wait for a slot that counts as observed before any sample, and
	// the most that a sample counts; maxQueueFactor bounds the factor of such waits.
	queuePriorMS   = 1000.0
	maxQueueFactor = 4.0
	// errorWeight is the weight of a new error in the mean, and of other running means.
	errorWeight = 0.05
	// freshTime is how long what was learned holds without new samples. After it the first event
	// returns to the fixed figures by half every staleHalfLife, and the rest is unknown: a host
	// whose forecasts refuse everything must try again.
	freshTime     = 5 * time.Second
	staleHalfLife = 5 * time.Second
	// forgetTime is how long a service is kept without samples: routes and services come and go.
	forgetTime = time.Hour
)

// Model is a learned model of the engines of each service. It is safe for concurrent use.
type Model struct {
	mu       sync.Mutex
	services map[string]*serviceModel
	now      func() time.Time
}

// serviceModel is what is known of the engines of a service, at usual speed.
type serviceModel struct {
	// first predicts the first event, overtaken that of requests that more urgent ones overtake,
	// pace the time of an output token, pause the longest pause; all in milliseconds.
	first, overtaken, pace, pause regression
	// queueObserved and queuePredicted are decaying sums of the waits for a slot, in milliseconds.
	queueObserved, queuePredicted float64
	// firstAt, overtakenAt, queueAt and lastAt are the times of the latest samples of first events,
	// of those of overtaken requests, of waits for a slot and of ends. Each ages apart: a kind of
	// request that is refused is not confirmed by those that are served.
	firstAt, overtakenAt, queueAt, lastAt time.Time
	// firstErrorMS and lastErrorMS are mean absolute errors.
	firstErrorMS, lastErrorMS float64
	// decodeMS is the mean time from the first to the last event, tokensPerEvent the mean of the
	// expected tokens by event.
	decodeMS, tokensPerEvent float64
}

// Figures are what a model has learned of the engines of a service at usual speed.
type Figures struct {
	Service string
	// ConstantMS, PrefillMSPerToken and RunningMS are the parts of a first event: always, for each
	// prompt token, and for each running request.
	ConstantMS, PrefillMSPerToken, RunningMS float64
	// PaceMS is the time of an output token and PauseMS the longest pause, at an engine with ten
	// requests.
	PaceMS, PauseMS float64
	// ErrorMS is the mean absolute error of first events, Samples their number.
	ErrorMS float64
	Samples int
}

// New returns a model that has learned nothing: its first events are those of package enginewait.
func New(now func() time.Time) *Model {
	return &Model{services: map[string]*serviceModel{}, now: now}
}

// service returns the model of a service; the lock is held.
func (m *Model) service(name string) *serviceModel {
	if s := m.services[name]; s != nil {
		return s
	}
	firstFigures := [features]figure{
		{initial: 0, weight: 4, least: 0, most: maxConstantMS},
		{initial: tokensUnit / enginewait.PrefillTokensPerMS, weight: 10, least: tokensUnit / maxPrefillRate, most: tokensUnit / minPrefillRate},
		{initial: runningUnit * enginewait.DelayPerRunningMS, weight: 10, least: 0, most: maxRunningMS},
	}
	s := &serviceModel{
		first: newRegression(firstFigures), overtaken: newRegression(firstFigures), queueObserved: queuePriorMS, queuePredicted: queuePriorMS,
		pace:  newRegression([features]figure{{weight: 0.1, most: maxPaceMS}, {weight: 1, most: maxPaceMS}, {weight: 1, most: maxPaceMS}}),
		pause: newRegression([features]figure{{weight: 0.1, most: maxPauseMS}, {weight: 1, most: maxPauseMS}, {weight: 1, most: maxPauseMS}}),
	}
	m.forget()
	m.services[name] = s
	return s
}

// forget drops services without recent samples; the lock is held.
func (m *Model) forget() {
	from := m.now().Add(-forgetTime)
	maps.DeleteFunc(m.services, func(_ string, s *serviceModel) bool {
		return s.firstAt.Before(from) && s.overtakenAt.Before(from) && s.lastAt.Before(from)
	})
}

// Predict forecasts a request that would be sent to an engine now. slowness is how many times as
// long as usual work takes there.
func (m *Model) Predict(service string, l wheelgauge.EngineLoad, slowness float64) wheelgauge.EngineForecast {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, now := m.service(service), m.now()
	known := s.knowsEnds(now)
	if l.DurationMS <= 0 && known {
		l.DurationMS = slowness * s.decodeMS
	}
	regression, at := s.firsts(l)
	first := slowness * regression.predict(firstFeatures(l), trust(*at, now))
	if queue := queueMS(l); queue > 0 {
		first += queue * (1 + trust(s.queueAt, now)*(s.queueFactor()-1))
	}
	f := wheelgauge.EngineForecast{First: duration(first), Delay: duration(slowness * enginewait.SlowdownCostMS * l.InFlight), Error: duration(s.firstErrorMS)}
	if !known {
		return f
	}
	f.Last = f.First + duration(slowness*s.decode(l))
	f.LastError = duration(s.lastErrorMS)
	if l.OutputTokens == 0 || l.OutputTokens > s.tokensPerEvent {
		f.Pause = duration(slowness * s.pause.predict(pauseFeatures(l), 1))
	}
	return f
}

// Observe records how a request ran at an engine with a slowness: once at its first event, and again
// when it ended.
func (m *Model) Observe(service string, r wheelgauge.EngineRun, slowness float64) {
	if !(slowness > 0) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, now := m.service(service), m.now()
	if r.Last > 0 {
		if r.Complete && r.Events > 1 {
			s.observeEnd(r, slowness, now)
		}
		return
	}
	x := firstFeatures(r.Load)
	first, at := s.firsts(r.Load)
	predicted := first.predict(x, 1)
	*at = now
	if queue := queueMS(r.Load); queue > 0 {
		s.queueAt = now
		s.observeQueue(milliseconds(r.First)-slowness*predicted, queue)
		return
	}
	observed := milliseconds(r.First) / slowness
	most := max(minOutlierMS*min(1, float64(first.samples+firstSamples)/minSamples), outlierErrors*s.firstErrorMS)
	off := min(most, max(-most, observed-predicted))
	first.add(x, predicted+off, varianceMS/(varianceMS+predicted))
	s.firstErrorMS += errorWeight * (min(outlierErrors*most, math.Abs(observed-predicted)) - s.firstErrorMS)
}

// firsts returns the regression of first events for a load, and the time of its latest sample.
func (s *serviceModel) firsts(l wheelgauge.EngineLoad) (*regression, *time.Time) {
	if l.Overtaken {
		return &s.overtaken, &s.overtakenAt
	}
	return &s.first, &s.firstAt
}

// observeQueue records a wait for a slot, in milliseconds.
func (s *serviceModel) observeQueue(observed, predicted float64) {
	part := min(queuePriorMS, predicted) / predicted
	observed = min(maxQueueFactor*predicted, max(0, observed))
	s.queueObserved += errorWeight * (queuePriorMS - s.queueObserved)
	s.queuePredicted += errorWeight * (queuePriorMS - s.queuePredicted)
	s.queueObserved += part * observed
	s.queuePredicted += part * predicted
}

// queueFactor is how many times as long as predicted requests wait for a slot.
func (s *serviceModel) queueFactor() float64 {
	return min(maxQueueFactor, max(1/maxQueueFactor, s.queueObserved/s.queuePredicted))
}

// observeEnd records a complete answer of several events.
func (s *serviceModel) observeEnd(r wheelgauge.EngineRun, slowness float64, now time.Time) {
	decode := milliseconds(r.Last-r.First) / slowness
	if s.pace.samples >= minSamples {
		s.lastErrorMS += errorWeight * (math.Abs(decode-s.decode(r.Load)) - s.lastErrorMS)
	}
	tokens := r.Load.OutputTokens
	if s.decodeMS == 0 {
		s.decodeMS, s.tokensPerEvent = decode, tokens/float64(r.Events)
	}
	s.decodeMS += errorWeight * (decode - s.decodeMS)
	if tokens > 0 {
		s.tokensPerEvent += errorWeight * (tokens/float64(r.Events) - s.tokensPerEvent)
		s.pace.add(paceFeatures(r.Load), min(maxPaceMS, decode/tokens), 1)
	}
	s.pause.add(pauseFeatures(r.Load), min(maxPauseMS, milliseconds(r.Pause)/slowness), 1)
	s.lastAt = now
}

// PrefillRate is the prompt tokens that an engine of usual speed prefills in a millisecond, at most
// the fixed figure: where prompts fit in steps that are full anyway, a first event does not show
// how long they take.
func (m *Model) PrefillRate(service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(enginewait.PrefillTokensPerMS, tokensUnit/m.service(service).first.fitted[1])
}

// Figures returns what was learned of each service, by name.
func (m *Model) Figures() []Figures {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Figures, 0, len(m.services))
	ten := wheelgauge.EngineLoad{InFlight: runningUnit}
	for name, s := range m.services {
		out = append(out, Figures{
			Service: name, ConstantMS: s.first.fitted[0], PrefillMSPerToken: s.first.fitted[1] / tokensUnit, RunningMS: s.first.fitted[2] / runningUnit,
			PaceMS: s.pace.predict(paceFeatures(ten), 1), PauseMS: s.pause.predict(pauseFeatures(ten), 1), ErrorMS: s.firstErrorMS, Samples: s.first.samples,
		})
	}
	slices.SortFunc(out, func(a, b Figures) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// trust is how much still holds of what was last confirmed at a time, from 0 to 1.
func trust(at, now time.Time) float64 {
	idle := now.Sub(at) - freshTime
	if idle <= 0 {
		return 1
	}
	return math.Exp2(-idle.Seconds() / staleHalfLife.Seconds())
}

// knowsEnds reports whether paces, pauses and ends are predicted.
func (s *serviceModel) knowsEnds(now time.Time) bool {
	return s.pause.samples >= minSamples && now.Sub(s.lastAt) <= freshTime
}

// decode predicts the time from the first to the last event, in milliseconds.
func (s *serviceModel) decode(l wheelgauge.EngineLoad) float64 {
	if l.OutputTokens == 0 || s.pace.samples < minSamples {
		return s.decodeMS
	}
	return l.OutputTokens * s.pace.predict(paceFeatures(l), 1)
}

// running is how many of the requests in flight run.
func running(l wheelgauge.EngineLoad) float64 {
	if l.Slots <= 0 {
		return l.InFlight
	}
	return min(l.InFlight, l.Slots)
}

// behindInSlots are the prompt tokens of less urgent requests that hold a slot: those that wait
// for one are not prefilled before the request.
func behindInSlots(l wheelgauge.EngineLoad) float64 {
	behind := l.InFlight - l.InFlightAhead
	if l.Slots <= 0 || behind <= 0 {
		return l.TokensBehind
	}
	return l.TokensBehind * min(1, max(0, l.Slots-l.InFlightAhead)/behind)
}

func firstFeatures(l wheelgauge.EngineLoad) [features]float64 {
	tokens := l.TokensAhead + enginewait.LowerPriorityShare*behindInSlots(l) + l.OwnTokens
	return [features]float64{1, tokens / tokensUnit, running(l) / runningUnit}
}

func paceFeatures(l wheelgauge.EngineLoad) [features]float64 {
	return [features]float64{1, running(l) / runningUnit, (l.TokensAhead + behindInSlots(l)) / pendingTokensUnit}
}

func pauseFeatures(l wheelgauge.EngineLoad) [features]float64 {
	return [features]float64{1, running(l) / runningUnit, (l.TokensAhead + behindInSlots(l)) / pendingTokensUnit}
}

// queueMS is the wait for a slot beside those that are reserved.
func queueMS(l wheelgauge.EngineLoad) float64 {
	if l.Slots > 0 {
		l.Slots = max(1, l.Slots-l.Reserved)
	}
	return enginewait.Load(l).Queue()
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
