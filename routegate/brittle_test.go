package routegate

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"wheelgauge"
)

// fakePlaces answers requests for places by a script, then refuses them.
type fakePlaces struct {
	openPlaces
	mu       sync.Mutex
	script   []bool
	queries  []wheelgauge.PlaceQuery
	answers  []wheelgauge.PlaceAnswer
	left     int
	retryIn  time.Duration
	waitedBy time.Duration
}

func (p *fakePlaces) Acquire(context.Context, string, time.Duration) (time.Duration, bool) {
	return 0, true
}

func (p *fakePlaces) Enter(_ context.Context, q wheelgauge.PlaceQuery) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queries = append(p.queries, q)
	if len(p.script) == 0 || !p.script[0] {
		p.script = p.script[min(1, len(p.script)):]
		time.Sleep(min(q.MaxWait, p.waitedBy))
		return p.retryIn, false
	}
	p.script = p.script[1:]
	return 0, true
}

func (p *fakePlaces) Answered(_ string, a wheelgauge.PlaceAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = append(p.answers, a)
}

func (p *fakePlaces) Leave(string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left++
}

func (p *fakePlaces) leftCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left
}

// A request goes to a server with a place, waits a quarter of its objective for one, or is refused
// as not run with a time to return; each place is given back once.
func TestRequestWithoutPlaceIsNotSent(t *testing.T) {
	const objective = 400 * time.Millisecond
	full := "HTTP/1.1 503 Service Unavailable\r\nWheelgauge-Not-Run: 1\r\nWheelgauge-Load: 3,0,4\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name    string
		places  *fakePlaces
		answers []string
		status  int
		// maxWaits are those of the queries, sent is how many requests servers got, left how many
		// places were given back.
		maxWaits   []time.Duration
		sent, left int
	}{
		{"a place", &fakePlaces{script: []bool{true}}, nil, 200, []time.Duration{0}, 1, 1},
		{"one at another server", &fakePlaces{script: []bool{false, true}, retryIn: time.Second}, nil, 200, []time.Duration{0, 0}, 1, 1},
		{"one after a wait", &fakePlaces{script: []bool{false, false, true}, retryIn: 50 * time.Millisecond}, nil, 200, []time.Duration{0, 0, objective / 4}, 1, 1},
		{"none in time", &fakePlaces{retryIn: 200 * time.Millisecond}, nil, 503, []time.Duration{0, 0}, 0, 0},
		{"none after a wait", &fakePlaces{retryIn: 50 * time.Millisecond, waitedBy: time.Second}, nil, 503, []time.Duration{0, 0, objective / 4}, 0, 0},
		{"rejected all the same, and one elsewhere", &fakePlaces{script: []bool{true, true}}, []string{full}, 200, []time.Duration{0, 0}, 2, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := routes()
			for i := range list {
				list[i].LatencyObjective = objective
			}
			backends := []*backend{newBackend(t, tt.answers...), newBackend(t)}
			g, c := newGate(t, list, backends...)
			g.options.Permits = tt.places
			g.options.Servers.SetRejections(func(string) (float64, bool) { return 3, true })
			resp, _, err := get(t, c, "/once/", "")
			if err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(testLimit); tt.places.leftCount() != tt.left && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			tt.places.mu.Lock()
			defer tt.places.mu.Unlock()
			var maxWaits []time.Duration
			for _, q := range tt.places.queries {
				maxWaits = append(maxWaits, q.MaxWait)
				if !q.Brittle || q.Bears != 3 || q.Slots != 4 {
					t.Errorf("asked with %+v, want a server of 4 slots that bears 3", q)
				}
			}
			if resp.StatusCode != tt.status || !slices.Equal(maxWaits, tt.maxWaits) {
				t.Errorf("got %d, asked with maximum waits %v; want %d, %v", resp.StatusCode, maxWaits, tt.status, tt.maxWaits)
			}
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
				t.Error("refused without Retry-After")
			}
			if sent := len(backends[0].received()) + len(backends[1].received()); sent != tt.sent || tt.places.left != tt.left {
				t.Errorf("servers got %d requests and %d places were given back, want %d and %d", sent, tt.places.left, tt.sent, tt.left)
			}
			for i, a := range tt.places.answers {
				if want := (wheelgauge.PlaceAnswer{Rejected: true, LoadKnown: true, Running: 3}); len(tt.answers) > 0 && i == 0 && a != want {
					t.Errorf("the rejection is recorded as %+v, want %+v", a, want)
				}
			}
		})
	}
}
