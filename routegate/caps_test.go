package routegate

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/routetable"
)

// fakeLimiter allows a number of requests, and sums the units taken and refunded.
type fakeLimiter struct {
	mu        sync.Mutex
	remaining int
	blocks    bool // no store answers: Acquire waits until the context ends
	taken     float64
	returned  float64
}

func (l *fakeLimiter) Acquire(ctx context.Context, _ *wheelgauge.Workspace, units float64) *wheelgauge.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocks {
		<-ctx.Done()
		return refusal(wheelgauge.ReasonNoLeader, http.StatusServiceUnavailable, "").WithRetryAfter(time.Second)
	}
	if l.remaining == 0 {
		return refusal(wheelgauge.ReasonRateLimited, http.StatusTooManyRequests, "").WithRetryAfter(1500 * time.Millisecond)
	}
	l.remaining--
	l.taken += units
	return nil
}

// refundPause lets an answer that does not wait for Refund arrive before it.
const refundPause = 20 * time.Millisecond

func (l *fakeLimiter) Refund(_ *wheelgauge.Workspace, units float64) {
	time.Sleep(refundPause)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returned += units
}

// Checks which units a request takes from the cap of its workspace, and which are refunded by
// the time the caller reads the answer: a caller that retries at once must find them there.
func TestCapUnits(t *testing.T) {
	const headers = "Wheelgauge-Key: capped-key\r\nWheelgauge-Tokens: 900,100\r\n"
	tests := []struct {
		name      string
		path      string
		headers   string
		remaining int
		script    []string
		status    int
		taken     float64
		returned  float64
	}{
		{"served", "/safe/", headers, 9, nil, 200, 1000, 0},
		{"without a token count", "/safe/", "Wheelgauge-Key: capped-key\r\n", 9, nil, 200, 70, 0},
		{"no cap", "/safe/", "Wheelgauge-Key: free-key\r\n", 0, nil, 200, 0, 0},
		{"over the cap", "/safe/", headers, 0, nil, 429, 0, 0},
		{"a request that did not run keeps its units", "/safe/", headers, 1, []string{notRunAnswer}, 200, 1000, 0},
		{"no server ran it", "/once/", headers, 9, []string{notRunAnswer, notRunAnswer, notRunAnswer}, 503, 1000, 1000},
		{"a retry takes units again", "/safe/", headers, 9, []string{failureAnswer}, 200, 2000, 0},
		{"the cap allows no retry", "/safe/", headers, 1, []string{malformedAnswer}, 502, 1000, 0},
		{"no server may run it", "/away/", headers, 9, nil, 503, 1000, 1000},
		{"no route", "/none/", headers, 9, nil, 404, 0, 0},
		{"no key", "/safe/", "", 9, nil, 401, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, tt.script...)
			g, c := newGate(t, routes(), b, b)
			l := &fakeLimiter{remaining: tt.remaining}
			withCaps(g, l)
			resp, _, err := get(t, c, tt.path, tt.headers)
			if err != nil {
				t.Fatal(err)
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			if resp.StatusCode != tt.status || l.taken != tt.taken || l.returned != tt.returned {
				t.Errorf("got %d, took %.0f and returned %.0f, want %d, %.0f, %.0f", resp.StatusCode, l.taken, l.returned, tt.status, tt.taken, tt.returned)
			}
			if tt.status == http.StatusTooManyRequests && (resp.Header.Get("Retry-After") != "1.500" || len(b.received()) > 0) {
				t.Errorf("refused with Retry-After %q and sent to %d servers, want 1.500 and none", resp.Header.Get("Retry-After"), len(b.received()))
			}
		})
	}
}

// withCaps applies a configuration with workspaces, one of them with a cap enforced by l.
func withCaps(g *Gate, l wheelgauge.CapLimiter) {
	g.options.Caps = l
	g.SetTable(routetable.New(&wheelgauge.RouteSet{
		Version: 2, Routes: routes(), Services: []wheelgauge.Service{{Name: "s", MaxConns: 100}},
		Workspaces: []wheelgauge.Workspace{
			{Name: "capped", Keys: []string{"capped-key"}, Cap: wheelgauge.Cap{Rate: 1, Burst: 1, Unit: wheelgauge.CapTokens, DefaultTokens: 70}},
			{Name: "free", Keys: []string{"free-key"}},
		},
	}))
	g.ConfirmConfig()
}

// A request whose units no store grants in time is answered at its deadline.
func TestCapWaitEndsAtDeadline(t *testing.T) {
	b := newBackend(t)
	g, c := newGate(t, routes(), b)
	withCaps(g, &fakeLimiter{blocks: true})
	resp, _, err := get(t, c, "/safe/", "Wheelgauge-Key: capped-key\r\nWheelgauge-Deadline-Ms: 80\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || len(b.received()) > 0 {
		t.Errorf("got %d, sent to %d servers, want 503 and none", resp.StatusCode, len(b.received()))
	}
}
