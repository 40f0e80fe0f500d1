package enginemodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/enginewait"
)

const service = "lm"

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newModel() (*Model, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	return New(c.now), c
}

// randomLoad is that of an engine with free slots.
func randomLoad(r *rand.Rand) wheelgauge.EngineLoad {
	ahead := float64(r.IntN(20))
	return wheelgauge.EngineLoad{InFlight: ahead, InFlightAhead: ahead, TokensAhead: 6000 * r.Float64(), OwnTokens: 500 + 8000*r.Float64(), Slots: 32, DurationMS: 2000, OutputTokens: float64(50 + r.IntN(400))}
}

// engine is how long requests take at an engine, in milliseconds.
type engine struct {
	constant, rate, running, pace float64
}

func (e engine) run(l wheelgauge.EngineLoad, r *rand.Rand) wheelgauge.EngineRun {
	noise := 0.9 + 0.2*r.Float64()
	first := noise * (e.constant + (l.TokensAhead+l.OwnTokens)/e.rate + e.running*l.InFlight)
	return wheelgauge.EngineRun{Load: l, First: duration(first), Last: duration(first + noise*e.pace*l.OutputTokens), Pause: duration(10 * e.pace), Events: int(l.OutputTokens / 8), Complete: true}
}

// observe records a run as hosts do: at the first event, and at the end.
func observe(m *Model, run wheelgauge.EngineRun, slowness float64) {
	first := run
	first.Last, first.Complete = 0, false
	m.Observe(service, first, slowness)
	m.Observe(service, run, slowness)
}

func learn(m *Model, e engine, samples int, r *rand.Rand) {
	for range samples {
		observe(m, e.run(randomLoad(r), r), 1)
	}
}

// A model without samples predicts as the fixed figures do, so that a host that knows nothing
// decides as without a model.
func TestFreshModelIsTheFixedFigures(t *testing.T) {
	m, _ := newModel()
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		l := randomLoad(r)
		l.InFlightAhead, l.Slots = 40*r.Float64(), float64(20+r.IntN(20))
		l.InFlight, l.Overtaken = min(l.InFlightAhead, l.Slots), r.IntN(2) == 0
		f, fixed := m.Predict(service, l, 1), enginewait.Load(l)
		if math.Abs(milliseconds(f.First)-fixed.Wait()) > 0.01 || math.Abs(milliseconds(f.First+f.Delay)-fixed.Cost()) > 0.01 {
			t.Fatalf("%+v: first event %s and delay %s, want %.2f and %.2f ms", l, f.First, f.Delay, fixed.Wait(), fixed.Cost()-fixed.Wait())
		}
		if f.Last != 0 || f.Pause != 0 {
			t.Fatalf("end %s and pause %s are known without a sample", f.Last, f.Pause)
		}
	}
}

// Engines of any rate are learned within some hundred requests; the noise of a sample is up to a
// tenth.
func TestLearnsEngines(t *testing.T) {
	const maxError = 0.2
	tests := []engine{
		{150, 5, 2, 20}, {150, 20, 2, 4}, {0, 80, 1, 4}, {200, 80, 1, 8}, {100, 125, 3, 4}, {250, 60, 10, 4}, {100, 500, 0.5, 2},
	}
	for _, e := range tests {
		for _, seed := range []uint64{1, 2, 3} {
			m, _ := newModel()
			r := rand.New(rand.NewPCG(seed, 2))
			learn(m, e, 300, r)
			var firstOff, lastOff, firsts, lasts float64
			for range 100 {
				l := randomLoad(r)
				f, run := m.Predict(service, l, 1), e.run(l, r)
				firstOff += math.Abs(milliseconds(f.First - run.First))
				lastOff += math.Abs(milliseconds(f.Last - run.Last))
				firsts += milliseconds(run.First)
				lasts += milliseconds(run.Last)
			}
			if firstOff > maxError*firsts || lastOff > maxError*lasts {
				t.Errorf("%+v, seed %d: first events off by %.3f, ends by %.3f, want at most %g", e, seed, firstOff/firsts, lastOff/lasts, maxError)
			}
		}
	}
}

// A sample far from all others, such as a request that hung, must not move the forecasts much.
func TestOddSample(t *testing.T) {
	for _, learned := range []int{0, 20, 300} {
		m, _ := newModel()
		r := rand.New(rand.NewPCG(3, 3))
		learn(m, engine{150, 80, 1, 4}, learned, r)
		l := randomLoad(r)
		before := m.Predict(service, l, 1).First
		m.Observe(service, wheelgauge.EngineRun{Load: l, First: time.Minute}, 1)
		if after := m.Predict(service, l, 1).First; after > before+50*time.Millisecond {
			t.Errorf("after %d samples a first event after a minute moves the forecast from %s to %s, want at most 50ms more", learned, before, after)
		}
	}
}

// Whatever is observed, forecasts are finite and within the bounds.
func TestForecastsAreBounded(t *testing.T) {
	const maxFirst = 10 * time.Second // the most for 14,000 tokens at 5 in a ms
	r := rand.New(rand.NewPCG(4, 4))
	for range 50 {
		m, _ := newModel()
		for range 100 {
			run := wheelgauge.EngineRun{Load: randomLoad(r), First: time.Duration(r.Int64N(int64(time.Hour))), Events: r.IntN(3), Complete: true}
			if r.IntN(2) == 0 {
				run.Load.OutputTokens = 0
			}
			run.Last, run.Pause = run.First+time.Duration(r.Int64N(int64(time.Hour))), time.Duration(r.Int64N(int64(time.Hour)))
			observe(m, run, 0.25+3*r.Float64())
		}
		if f := m.Predict(service, randomLoad(r), 1); f.First < 0 || f.First > maxFirst || f.Pause < 0 || f.Last < 0 {
			t.Fatalf("forecast is %+v", f)
		}
	}
}

// What was learned and is not confirmed any more is given up: a host that refused everything
// because of it would never learn better.
func TestUnconfirmedFiguresAreGivenUp(t *testing.T) {
	m, c := newModel()
	r := rand.New(rand.NewPCG(5, 5))
	learn(m, engine{1500, 10, 5, 50}, 200, r)
	l := randomLoad(r)
	c.at = c.at.Add(time.Minute)
	f := m.Predict(service, l, 1)
	if want := enginewait.Load(l).Wait(); milliseconds(f.First) > want+5 {
		t.Errorf("first event after a minute without requests: %s, want the fixed %.0f ms", f.First, want)
	}
	if f.Last != 0 || f.Pause != 0 {
		t.Errorf("end %s and pause %s a minute after the last request, want none", f.Last, f.Pause)
	}
}

// Requests that are refused because of what was learned of them are tried again, although others
// of the service are served meanwhile: each kind is given up apart.
func TestKindsAreGivenUpApart(t *testing.T) {
	overtaken := func(l wheelgauge.EngineLoad) wheelgauge.EngineLoad { l.Overtaken = true; return l }
	queued := func(l wheelgauge.EngineLoad) wheelgauge.EngineLoad { l.InFlight, l.InFlightAhead = 36, 36; return l }
	for _, tt := range []struct {
		name string
		kind func(wheelgauge.EngineLoad) wheelgauge.EngineLoad
		took time.Duration // of the first event
	}{
		{"overtaken", overtaken, 2500 * time.Millisecond},
		{"waiting for a slot", queued, 4 * time.Second},
	} {
		m, c := newModel()
		r := rand.New(rand.NewPCG(8, 8))
		usual := engine{0, enginewait.PrefillTokensPerMS, enginewait.DelayPerRunningMS, 4}
		for range 200 {
			m.Observe(service, wheelgauge.EngineRun{Load: tt.kind(randomLoad(r)), First: tt.took}, 1)
			learn(m, usual, 1, r)
		}
		l := tt.kind(randomLoad(r))
		fixed := enginewait.Load(l).Wait()
		if got := milliseconds(m.Predict(service, l, 1).First); got < 1.5*fixed {
			t.Errorf("%s: forecast after %.0f ms, want at least 1.5 times the fixed %.0f", tt.name, got, fixed)
		}
		for range 600 {
			c.at = c.at.Add(100 * time.Millisecond)
			learn(m, usual, 1, r)
		}
		if got := milliseconds(m.Predict(service, l, 1).First); got > 1.1*fixed {
			t.Errorf("%s: forecast after %.0f ms a minute after the last one, want the fixed %.0f", tt.name, got, fixed)
		}
	}
}

// Services that are gone are forgotten.
func TestServicesAreForgotten(t *testing.T) {
	m, c := newModel()
	r := rand.New(rand.NewPCG(9, 9))
	learn(m, engine{150, 80, 1, 4}, 30, r)
	c.at = c.at.Add(forgetTime / 2)
	m.Predict("other", randomLoad(r), 1)
	if m.services[service] == nil {
		t.Error("a service is forgotten too early")
	}
	c.at = c.at.Add(forgetTime)
	m.Predict("third", randomLoad(r), 1)
	if got := len(m.services); got != 1 {
		t.Errorf("%d services are known, want the one in use", got)
	}
}

// Pauses are forecast for answers of more than one event only, and grow with the slowness.
func TestPauses(t *testing.T) {
	m, _ := newModel()
	r := rand.New(rand.NewPCG(6, 6))
	learn(m, engine{150, 80, 1, 10}, 100, r)
	l := randomLoad(r)
	l.OutputTokens = 5
	if f := m.Predict(service, l, 1); f.Pause != 0 {
		t.Errorf("pause of an answer of one event is %s, want none", f.Pause)
	}
	l.OutputTokens = 300
	usual, slow := m.Predict(service, l, 1).Pause, m.Predict(service, l, 2).Pause
	if usual < 80*time.Millisecond || usual > 120*time.Millisecond || (slow-2*usual).Abs() > time.Millisecond {
		t.Errorf("pause is %s, and %s at half the speed, want 100ms and twice that", usual, slow)
	}
}

// Less urgent prompts that wait for a slot are not prefilled before an urgent one.
func TestPromptsWithoutSlotDoNotDelay(t *testing.T) {
	m, _ := newModel()
	l := wheelgauge.EngineLoad{InFlight: 66, TokensBehind: 250_000, OwnTokens: 1800, Slots: 24, DurationMS: 2500}
	if got, fixed := m.Predict(service, l, 1).First, duration(enginewait.Load(l).Wait()); got > fixed/2 {
		t.Errorf("first event is forecast after %s, want less than half of the fixed %s", got, fixed)
	}
}

// A request that more urgent ones overtake is learned apart: their presence does not make urgent
// requests look late.
func TestOvertakenAreLearnedApart(t *testing.T) {
	m, _ := newModel()
	r := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		l := randomLoad(r)
		observe(m, engine{100, 80, 1, 4}.run(l, r), 1)
		l.Overtaken = true
		observe(m, engine{900, 80, 1, 4}.run(l, r), 1)
	}
	l := randomLoad(r)
	urgent := m.Predict(service, l, 1).First
	l.Overtaken = true
	if less := m.Predict(service, l, 1).First; (less - urgent - 800*time.Millisecond).Abs() > 150*time.Millisecond {
		t.Errorf("first events are forecast after %s and %s, want 800 ms between them", urgent, less)
	}
}
