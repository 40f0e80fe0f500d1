package routegate

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/serverlimit"
)

// withLimits adds limit headers to an answer.
func withLimits(answer string, limits ...string) string {
	status, rest, _ := strings.Cut(answer, "\r\n")
	for _, l := range limits {
		rest = "Wheelgauge-Limit: " + l + "\r\n" + rest
	}
	return status + "\r\n" + rest
}

// Any answer of the server itself may announce a limit; only a success without the header ends
// it.
func TestObserveLimit(t *testing.T) {
	tests := []struct {
		name   string
		script []string
		rate   float64
		known  bool
	}{
		{"none", []string{okAnswer}, 0, false},
		{"in a success", []string{withLimits(okAnswer, "2.5")}, 2.5, true},
		{"in a failure", []string{withLimits(failureAnswer, "2.5")}, 2.5, true},
		{"in a refusal", []string{withLimits(notRunAnswer, "0.2")}, 0.2, true},
		{"of another server at the address", []string{withLimits(misdirectedAnswer, "2.5")}, 0, false},
		{"it changes", []string{withLimits(okAnswer, "2.5"), withLimits(okAnswer, "1")}, 1, true},
		{"it ends", []string{withLimits(okAnswer, "2.5"), okAnswer}, 0, false},
		{"a failure without it", []string{withLimits(okAnswer, "2.5"), failureAnswer}, 2.5, true},
		{"not a number", []string{withLimits(okAnswer, "2.5"), withLimits(okAnswer, "many")}, 2.5, true},
		{"negative", []string{withLimits(okAnswer, "-1")}, 0, false},
		{"doubled", []string{withLimits(okAnswer, "5", "3", "x")}, 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t, tt.script...))
			for range tt.script {
				if _, _, err := get(t, c, "/once/", ""); err != nil {
					t.Fatal(err)
				}
			}
			if rate, ok := g.options.Limits.Rate("i0"); rate != tt.rate || ok != tt.known {
				t.Errorf("the limit is %v, %v, want %v, %v", rate, ok, tt.rate, tt.known)
			}
		})
	}
}

// openPlaces has a place for every request.
type openPlaces struct{}

func (openPlaces) Enter(context.Context, wheelgauge.PlaceQuery) (time.Duration, bool) { return 0, true }

func (openPlaces) Answered(string, wheelgauge.PlaceAnswer) {}

func (openPlaces) Leave(string) {}

// fakePermits grants a number of permits, then none, each after a wait.
type fakePermits struct {
	openPlaces
	mu        sync.Mutex
	remaining int
	after     time.Duration
	maxWaits  []time.Duration
}

func (p *fakePermits) Acquire(_ context.Context, _ string, maxWait time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxWaits = append(p.maxWaits, maxWait)
	if p.after > maxWait || p.remaining == 0 {
		return max(p.after, time.Millisecond), false
	}
	p.remaining--
	return p.after, true
}

// A request over the limit of its server goes to another server, waits briefly if there is
// none, or is refused at once as not run.
func TestPermits(t *testing.T) {
	const objective = 400 * time.Millisecond
	tests := []struct {
		name     string
		permits  *fakePermits
		status   int
		maxWaits []time.Duration
	}{
		{"allowed", &fakePermits{remaining: 1}, 200, []time.Duration{0}},
		{"allowed soon", &fakePermits{remaining: 1, after: 30 * time.Millisecond}, 200, []time.Duration{0, objective / 4}},
		{"allowed too late", &fakePermits{remaining: 1, after: 200 * time.Millisecond}, 503, []time.Duration{0}},
		{"never", &fakePermits{after: 200 * time.Millisecond}, 503, []time.Duration{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := routes()
			for i := range list {
				list[i].LatencyObjective = objective
			}
			b := newBackend(t)
			g, c := newGate(t, list, b)
			g.options.Permits = tt.permits
			g.options.Limits.ObserveLimit("i0", 1)
			resp, _, err := get(t, c, "/once/", "")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || !slices.Equal(tt.permits.maxWaits, tt.maxWaits) {
				t.Errorf("got %d, asked with maximum waits %v; want %d, %v", resp.StatusCode, tt.permits.maxWaits, tt.status, tt.maxWaits)
			}
			if got := len(b.received()); got != tt.status/200%2 {
				t.Errorf("the server got %d requests, want one if the answer is 200, else none", got)
			}
			refused := resp.StatusCode == http.StatusServiceUnavailable
			if refused && (resp.Header.Get("Retry-After") == "" || resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun)) {
				t.Errorf("refused with headers %v, want Retry-After and not run", resp.Header)
			}
		})
	}
}

// A request whose caller disconnects does not wait for its permit, and a permit granted under
// an earlier limit is not used.
func TestWaitForPermit(t *testing.T) {
	tests := []struct {
		name       string
		callerLeft bool
		after      time.Duration
		// rate is the limit when the permit is due.
		rate   float64
		usable bool
	}{
		{"it is due", false, time.Millisecond, 2, true},
		{"it was not granted ahead", false, 0, 1, true},
		{"the limit changed", false, time.Millisecond, 1, false},
		{"the caller left", true, time.Hour, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if tt.callerLeft {
				leave()
			}
			limits := serverlimit.New(time.Now)
			limits.ObserveLimit("s", tt.rate)
			c := &call{gate: New(Options{Limits: limits})}
			if usable := c.waitForPermit(ctx, "s", 2, tt.after); usable != tt.usable {
				t.Errorf("permit usable: %v, want %v", usable, tt.usable)
			}
		})
	}
}
