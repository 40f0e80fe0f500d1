package routegate

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"wheelgauge"
)

// scriptedModel forecasts the same for all requests, and records what it observes.
type scriptedModel struct {
	forecast wheelgauge.EngineForecast
	mu       sync.Mutex
	runs     []wheelgauge.EngineRun
}

func (m *scriptedModel) Predict(string, wheelgauge.EngineLoad, float64) wheelgauge.EngineForecast {
	return m.forecast
}

func (m *scriptedModel) Observe(_ string, r wheelgauge.EngineRun, _ float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs = append(m.runs, r)
}

func (m *scriptedModel) PrefillRate(string) float64 { return 80 }

func (m *scriptedModel) observed() []wheelgauge.EngineRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs
}

// newModelGate returns a gate of engines with a model; without one if it is nil.
func newModelGate(t *testing.T, m *scriptedModel, b ...*backend) (*Gate, net.Conn) {
	t.Helper()
	list := routes()
	for i := range list {
		list[i].LatencyObjective = 600 * time.Millisecond
	}
	g, c := newGateOf(t, &wheelgauge.Service{Name: "s", MaxConns: 100, KVCacheTokens: 600_000}, list, b...)
	if m != nil {
		g.options.Servers.SetEngineModel(m)
	}
	return g, c
}

// Requests are refused at once if the model forecasts that they cannot begin or end in time
// anywhere, and only then.
func TestForecastRefuses(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		forecast wheelgauge.EngineForecast
		status   int
	}{
		{"in time", "/stream/", wheelgauge.EngineForecast{First: 300 * time.Millisecond, Last: 900 * time.Millisecond}, http.StatusOK},
		{"nothing known", "/stream/", wheelgauge.EngineForecast{}, http.StatusOK},
		{"begins too late", "/stream/", wheelgauge.EngineForecast{First: time.Second}, http.StatusServiceUnavailable},
		{"ends too late", "/stream/", wheelgauge.EngineForecast{First: 300 * time.Millisecond, Last: 3 * time.Second}, http.StatusServiceUnavailable},
		{"may end in time", "/stream/", wheelgauge.EngineForecast{First: 300 * time.Millisecond, Last: 3 * time.Second, LastError: 2 * time.Second}, http.StatusOK},
		{"no stream, ends after its objective", "/once/", wheelgauge.EngineForecast{First: 300 * time.Millisecond, Last: 1500 * time.Millisecond}, http.StatusServiceUnavailable},
		{"a long pause", "/stream/", wheelgauge.EngineForecast{First: 300 * time.Millisecond, Pause: time.Second, Last: time.Second}, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			if tt.path == "/stream/" {
				b.fallback = streamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
			}
			_, c := newModelGate(t, &scriptedModel{forecast: tt.forecast}, b)
			resp, _, err := get(t, c, tt.path, "Wheelgauge-Deadline-Ms: 2000\r\n")
			if err != nil {
				t.Fatal(err)
			}
			refused := tt.status != http.StatusOK
			if resp.StatusCode != tt.status || refused != (len(b.received()) == 0) {
				t.Errorf("got %d after %d sends, want %d", resp.StatusCode, len(b.received()), tt.status)
			}
			if refused && resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) {
				t.Errorf("a refusal has the outcome %q", resp.Header.Get(wheelgauge.HeaderOutcome))
			}
		})
	}
}

func TestLeavingHostRefusesWhatIsForecastToOutlastIt(t *testing.T) {
	tests := []struct {
		name   string
		last   time.Duration
		status int
	}{
		{"ends before", 2 * time.Second, http.StatusOK},
		{"not known", 0, http.StatusOK},
		{"ends after", 7 * time.Second, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		b := newBackend(t)
		b.fallback = streamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
		g, c := newModelGate(t, &scriptedModel{forecast: wheelgauge.EngineForecast{First: 300 * time.Millisecond, Last: tt.last}}, b)
		g.durations.observe("stream", time.Second)
		g.ShutDownBy(time.Now().Add(5 * time.Second))
		resp, body, err := get(t, c, "/stream/", "")
		if err != nil || resp.StatusCode != tt.status {
			t.Errorf("%s: got %v %s, %v, want %d", tt.name, resp, body, err, tt.status)
			continue
		}
		if tt.status != http.StatusOK && (len(b.received()) > 0 || resp.Header.Get(wheelgauge.HeaderReason) != string(wheelgauge.ReasonDraining)) {
			t.Errorf("%s: got reason %q after %d sends, want draining and none", tt.name, resp.Header.Get(wheelgauge.HeaderReason), len(b.received()))
		}
	}
}

// A forecast of the model is not multiplied by how much longer requests of the route took than
// the fixed figures say.
func TestForecastIsNotCorrected(t *testing.T) {
	for _, tt := range []struct {
		name   string
		model  *scriptedModel
		status int
	}{
		{"with a model", &scriptedModel{forecast: wheelgauge.EngineForecast{First: 400 * time.Millisecond}}, http.StatusOK},
		{"without one", nil, http.StatusServiceUnavailable},
	} {
		b := newBackend(t)
		g, c := newModelGate(t, tt.model, b)
		for range 200 {
			g.waits.observe("once", 20*time.Millisecond, 550*time.Millisecond)
		}
		const tokens = "Wheelgauge-Prompt: own1:16000\r\nWheelgauge-Tokens: 16000,20\r\n"
		resp, _, err := get(t, c, "/once/", tokens)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != tt.status {
			t.Errorf("%s: got %d, want %d", tt.name, resp.StatusCode, tt.status)
		}
	}
}

// A stream is observed at its first event and when it is complete; one that breaks off at its
// first event only.
func TestStreamsAreObserved(t *testing.T) {
	one, two := chunk("id: 1\ndata: a\n\n"), chunk("id: 2\ndata: b\n\n")
	tests := []struct {
		name   string
		script string
		events []int // of each observation
	}{
		{"complete", streamHead + one + two + "0\r\n\r\n", []int{0, 2}},
		{"broken", streamHead + one + chunk("id: 2\nda"), []int{0}},
		{"failed", failureAnswer, nil},
	}
	for _, tt := range tests {
		m := &scriptedModel{forecast: wheelgauge.EngineForecast{First: 300 * time.Millisecond}}
		_, c := newModelGate(t, m, newBackend(t, tt.script))
		_, _, _ = get(t, c, "/stream/", "")
		var events []int
		for _, r := range m.observed() {
			events = append(events, r.Events)
			if r.First <= 0 || r.Last > 0 && (r.Last < r.First || !r.Complete) {
				t.Errorf("%s: observed %+v", tt.name, r)
			}
		}
		if len(events) != len(tt.events) || len(events) == 2 && events[1] != tt.events[1] {
			t.Errorf("%s: observations with %v events, want %v", tt.name, events, tt.events)
		}
	}
}

// Pauses are measured between arrivals, without the time that the caller takes to read.
func TestStreamPace(t *testing.T) {
	var p streamPace
	at := time.Unix(1000, 0)
	p.arrived(at)
	p.written(at, at.Add(30*time.Millisecond))
	p.arrived(at.Add(50 * time.Millisecond))
	p.written(at.Add(50*time.Millisecond), at.Add(50*time.Millisecond))
	if p.pause != 20*time.Millisecond || p.writing != 30*time.Millisecond {
		t.Errorf("pause %s and writing %s, want 20ms and 30ms", p.pause, p.writing)
	}
}
