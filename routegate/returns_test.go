package routegate

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/promises"
	"wheelgauge/returnschedule"
	"wheelgauge/serverset"
)

// fakeReturns recognises all requests or none, and tells a fixed moment.
type fakeReturns struct {
	returning bool
	share     float64
	after     time.Duration
	refused   []wheelgauge.RefusedRequest
}

func (f *fakeReturns) Arrived(string, bool) {}
func (f *fakeReturns) Served(string)        {}
func (f *fakeReturns) Returning(int, func() wheelgauge.Fingerprint) (returning, early bool) {
	return f.returning, false
}
func (f *fakeReturns) PromisedShare(string, int) float64 { return f.share }
func (f *fakeReturns) Next(r wheelgauge.RefusedRequest) wheelgauge.Return {
	f.refused = append(f.refused, r)
	return wheelgauge.Return{After: f.after}
}

// A returning caller is refused at the wider limit only, a new one earlier by the share of the
// room that is promised. Without a schedule, and for forwarded requests, limits are as before.
// An engine model forecasts what congestion adds, so it does not lower the limit once more.
func TestLimitOfReturningCallers(t *testing.T) {
	const objective = time.Second
	tests := []struct {
		name      string
		returns   *fakeReturns
		returning bool
		congested bool
		modelled  bool
		limit     time.Duration
	}{
		{"no schedule", nil, false, false, false, 1500 * time.Millisecond},
		{"no schedule, congested", nil, false, true, false, 750 * time.Millisecond},
		{"new caller", &fakeReturns{}, false, false, false, 1500 * time.Millisecond},
		{"new caller, congested", &fakeReturns{}, false, true, false, 750 * time.Millisecond},
		{"new caller beside promised ones", &fakeReturns{share: 0.2}, false, false, false, 1200 * time.Millisecond},
		{"new caller beside promised ones, congested", &fakeReturns{share: 0.2}, false, true, false, 600 * time.Millisecond},
		{"returning caller", &fakeReturns{share: 0.2}, true, false, false, 1500 * time.Millisecond},
		{"returning caller, congested", &fakeReturns{share: 0.2}, true, true, false, 1000 * time.Millisecond},
		{"no schedule, modelled and congested", nil, false, true, true, 1500 * time.Millisecond},
		{"new caller, modelled and congested", &fakeReturns{share: 0.2}, false, true, true, 1200 * time.Millisecond},
		{"returning caller, modelled and congested", &fakeReturns{share: 0.2}, true, true, true, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			service := &wheelgauge.Service{Name: "s", KVCacheTokens: 600_000}
			servers := serverset.New(serverset.Place{Host: "g", Hall: "h", Peers: []string{"g"}}, func(string) *wheelgauge.Service { return service }, time.Now)
			defer servers.Close()
			if tt.modelled {
				servers.SetEngineModel(&scriptedModel{})
			}
			g := New(Options{Servers: servers})
			if tt.returns != nil {
				g.options.Returns = tt.returns
			}
			c := &call{gate: g, service: "s", route: &wheelgauge.PathRoute{Name: "r", LatencyObjective: objective}, returning: tt.returning}
			if tt.congested {
				for range 100 {
					g.waits.observe("r", objective, objective)
				}
			}
			if c.tooLate(tt.limit - time.Millisecond) {
				t.Errorf("refused before %v", tt.limit)
			}
			if !c.tooLate(tt.limit + time.Millisecond) {
				t.Errorf("not refused after %v", tt.limit)
			}
			c.forwarded = true
			if c.tooLate(time.Hour) {
				t.Error("a forwarded request is refused as late")
			}
		})
	}
}

// The moments offered to the schedule are within what the caller can use, and leave time for the
// answer.
func TestUsableReturns(t *testing.T) {
	tests := []struct {
		name             string
		left             time.Duration
		mean             time.Duration
		earliest, latest time.Duration
	}{
		{"long time", 12 * time.Second, 0, 500 * time.Millisecond, 4 * time.Second},
		{"short time", 900 * time.Millisecond, 0, 300 * time.Millisecond, 300 * time.Millisecond},
		{"long answers", 12 * time.Second, 10 * time.Second, 500 * time.Millisecond, 2 * time.Second},
		{"longer answers than time", 3 * time.Second, 10 * time.Second, 500 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		g := New(Options{})
		if tt.mean > 0 {
			g.durations.observe("r", tt.mean)
		}
		start := time.Now()
		c := &call{gate: g, route: &wheelgauge.PathRoute{Name: "r"}, deadline: start.Add(tt.left)}
		earliest, latest := c.usableReturns()
		slack := time.Since(start) // the time left shrinks meanwhile
		if earliest > tt.earliest || earliest < tt.earliest-slack || latest > tt.latest || latest < tt.latest-slack {
			t.Errorf("%s: %v to %v, want %v to %v", tt.name, earliest, latest, tt.earliest, tt.latest)
		}
	}
}

// retryAfter sends a request and returns the status and the moment told.
func retryAfter(t *testing.T, conn io.ReadWriter, header string) (status int, after time.Duration) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET /safe/x HTTP/1.1\r\nHost: h\r\n"+header+"\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if text := resp.Header.Get("Retry-After"); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		after = time.Duration(seconds * float64(time.Second))
	}
	return resp.StatusCode, after
}

// A refused caller is told what the schedule says; one that is refused with too little time for
// any return is told nothing; one that has returned is offered no promise again.
func TestRefusedByTheSchedule(t *testing.T) {
	tests := []struct {
		name      string
		header    string
		returning bool
		after     time.Duration
		asked     int
	}{
		{"new", "", false, 1234 * time.Millisecond, 1},
		{"returning", "", true, 1234 * time.Millisecond, 1},
		{"no time left", "Wheelgauge-Deadline-Ms: 200\r\n", false, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, conn := newGate(t, routes())
			returns := &fakeReturns{returning: tt.returning, after: 1234 * time.Millisecond}
			g.options.Returns = returns
			status, after := retryAfter(t, conn, tt.header)
			if status != http.StatusServiceUnavailable || after != tt.after {
				t.Errorf("status %d, Retry-After %v, want 503 and %v", status, after, tt.after)
			}
			if len(returns.refused) != tt.asked {
				t.Fatalf("the schedule was asked %d times, want %d", len(returns.refused), tt.asked)
			}
			for _, r := range returns.refused {
				if r.Returning != tt.returning || r.Service != "s" || r.Fingerprint == "" || r.Earliest != minOverloadRetryAfter {
					t.Errorf("the schedule was asked with %+v", r)
				}
			}
		})
	}
}

// A caller that is refused and comes back when it was told to is recognised, once.
func TestReturningCallerIsRecognised(t *testing.T) {
	g, conn := newGate(t, routes())
	clock := manualclock.New()
	table := promises.New(clock.Now)
	schedule := returnschedule.New(returnschedule.Options{Promises: table, Random: rand.New(rand.NewPCG(1, 1)).Float64, Now: clock.Now})
	g.options.Returns = schedule
	for range 400 {
		schedule.Served("s")
	}
	_, after := retryAfter(t, conn, "")
	if after <= 0 {
		t.Fatal("no moment was told")
	}
	count := func(name string) int { return counterValue(t, g, name) }
	if got := count("returns.promised"); got != 1 {
		t.Fatalf("%d promises, want 1", got)
	}
	retryAfter(t, conn, "") // at once
	clock.Advance(after)
	retryAfter(t, conn, "")
	retryAfter(t, conn, "")
	for name, want := range map[string]int{"returns.early": 1, "returns.in_window": 1, "returns.refused_again": 1, "returns.kept": 0} {
		if got := count(name); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
}

// While all servers back off, a caller is told a moment of the schedule that is not before they
// take requests again, whatever the schedule says.
func TestScheduledReturnAfterBackoff(t *testing.T) {
	const backoff = 2 * time.Second
	for _, scheduled := range []time.Duration{time.Second, 3 * time.Second} {
		g, conn := newGate(t, routes(), newBackend(t, "HTTP/1.1 503 Service Unavailable\r\nWheelgauge-Not-Run: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"))
		returns := &fakeReturns{after: scheduled}
		g.options.Returns = returns
		start := time.Now()
		status, after := retryAfter(t, conn, "")
		slack := time.Since(start) // the backoff shrinks meanwhile
		want := max(scheduled, backoff)
		if status != http.StatusServiceUnavailable || after > want || after < want-slack {
			t.Errorf("schedule %v: status %d, Retry-After %v, want 503 and %v", scheduled, status, after, want)
		}
		if len(returns.refused) != 1 || returns.refused[0].Earliest < backoff-slack {
			t.Errorf("schedule %v: asked with %+v, want the end of the backoff as the earliest moment", scheduled, returns.refused)
		}
	}
}
