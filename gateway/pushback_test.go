package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/adapter/engine"
	"wheelgauge/adapter/service"
	"wheelgauge/admission"
	"wheelgauge/catalog"
	"wheelgauge/fake/fakeclock"
	"wheelgauge/membership"
	"wheelgauge/peerhttp"
	"wheelgauge/quarantine"
	"wheelgauge/upstream"
)

// newSendingGateway returns a gateway that can send to servers, and its fake clock.
func newSendingGateway(t *testing.T) (*Gateway, *fakeclock.Clock) {
	t.Helper()
	g, clock := newTestGateway(t), &fakeclock.Clock{}
	g.clock = clock
	g.budget, g.quarantine = admission.NewRetryBudget(), quarantine.New(clock.Now)
	g.openPermits()
	g.servers = upstream.New(peerhttp.NewDialer("", nil))
	plain := peerhttp.NewClient(peerhttp.NewDialer("", nil), "")
	g.engine, g.service = engine.New(g.servers, plain), service.New(g.servers, plain)
	t.Cleanup(func() {
		g.background.Wait()
		g.servers.CloseIdle()
	})
	return g, clock
}

// pushbackServer counts requests, and rejects them with Retry-After while retryAfter is set.
type pushbackServer struct {
	retryAfter atomic.Value
	requests   atomic.Int64
}

func (s *pushbackServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.requests.Add(1)
	if after, _ := s.retryAfter.Load().(string); after != "" {
		w.Header().Set(wheelgauge.HeaderOutcome, string(wheelgauge.OutcomeNotRun))
		w.Header().Set("Retry-After", after)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprint(w, "ok")
}

func startPushbackServer(t *testing.T) (*pushbackServer, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &pushbackServer{}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return handler, l.Addr().String()
}

// A server that asks to back off gets no request until the backoff ends, on any path to it, and
// gets requests again afterwards.
func TestBackoffIsKept(t *testing.T) {
	const backoff = 5 * time.Second
	paths := []struct {
		name string
		send func(g *Gateway, rq *request, address string) error
	}{
		{"of a pool", func(g *Gateway, rq *request, _ string) error { return closeAnswer(g.open(context.Background(), rq)) }},
		{"forwarded here", func(g *Gateway, rq *request, _ string) error {
			rq.forwarded = true
			return closeAnswer(g.open(context.Background(), rq))
		}},
		{"a stream that is resumed", func(g *Gateway, rq *request, _ string) error {
			return closeAnswer(g.resumeFunc(rq)(context.Background(), 3))
		}},
		{"an old path", func(g *Gateway, rq *request, address string) error {
			return closeAnswer(g.sendOldPath(context.Background(), rq, address))
		}},
	}
	for _, path := range paths {
		t.Run(path.name, func(t *testing.T) {
			g, clock := newSendingGateway(t)
			server, address := startPushbackServer(t)
			c := oneServerCatalog(address)
			send := func() error {
				rq := newTestRequest(c, 1)
				rq.suspendedAtStart, rq.call.Method, rq.call.Path = g.suspended(), http.MethodGet, "/"
				rq.target.Store(&target{region: g.options.Region})
				return path.send(g, rq, address)
			}
			if err := send(); err != nil {
				t.Fatal(err)
			}
			server.retryAfter.Store("5")
			if err := send(); err == nil {
				t.Fatal("a rejected request succeeded")
			}
			before := server.requests.Load()
			for range 5 {
				clock.Suspend(backoff / 6)
				err := send()
				fault := wheelgauge.AsError(err)
				if err == nil || fault.Reason() != wheelgauge.ReasonBackoff || fault.Outcome() != wheelgauge.OutcomeNotRun || fault.RetryAfter() <= 0 || fault.RetryAfter() > backoff {
					t.Errorf("got error %v, Retry-After %s", err, fault.RetryAfter())
				}
			}
			if got := server.requests.Load() - before; got != 0 {
				t.Errorf("the server got %d requests during its backoff, want none", got)
			}
			server.retryAfter.Store("")
			clock.Suspend(backoff / 6)
			if err := send(); err != nil {
				t.Errorf("request after the backoff failed: %v", err)
			}
		})
	}
}

// closeAnswer closes an answer and returns an error unless its status is 200.
func closeAnswer(answer *wheelgauge.Answer, err error) error {
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return errors.New(http.StatusText(answer.Status))
	}
	return nil
}

// oneServerCatalog returns a configuration with one server.
func oneServerCatalog(address string) *catalog.Catalog { return testCatalogAt(1, address) }

// That a server is leaving no longer holds once it is back. Instances have no names of their own
// here, so its return is inferred from reports, membership state or time.
func TestLeavingStateEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	state := func(leaving bool, since time.Time) membership.ServerState {
		return membership.ServerState{ServerEntry: wheelgauge.ServerEntry{Alive: true, Leaving: leaving}, Known: true, Since: since}
	}
	tests := []struct {
		name    string
		observe func(table *pushbackTable)
		after   int
		state   membership.ServerState
		allowed bool
	}{
		{"at once", nil, 0, state(false, time.Time{}), false},
		{"some seconds later", nil, 30, state(false, time.Time{}), false},
		{"reports have said otherwise for long", nil, 61, state(false, time.Time{}), true},
		{"it was down and is back", nil, 3, state(false, at(2)), true},
		{"it was down before", nil, 3, state(false, at(-2)), false},
		{"reports said so and do no more", func(table *pushbackTable) { table.lookup("s", state(true, time.Time{}), at(1)) }, 2, state(false, time.Time{}), true},
		{"reports say so", func(table *pushbackTable) { table.lookup("s", state(true, time.Time{}), at(1)) }, 500, state(true, time.Time{}), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table pushbackTable
			table.leave("s", at(0))
			if tt.observe != nil {
				tt.observe(&table)
			}
			if got := table.lookup("s", tt.state, at(tt.after)).Allows(at(tt.after)); got != tt.allowed {
				t.Errorf("server gets requests: %t, want %t", got, tt.allowed)
			}
		})
	}
}
