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

// reached returns a gateway that reaches servers, with a clock of its own.
func reached(t *testing.T) (*Gateway, *fakeclock.Clock) {
	t.Helper()
	g, clock := idle(t), &fakeclock.Clock{}
	g.clock = clock
	g.budget, g.quarantine = admission.NewBudget(), quarantine.New(clock.Now)
	g.openPermits()
	g.servers = upstream.New(peerhttp.NewDialer("", nil))
	plain := peerhttp.NewClient(peerhttp.NewDialer("", nil), "")
	g.engine, g.service = engine.New(g.servers, plain), service.New(g.servers, plain)
	t.Cleanup(func() {
		g.strays.Wait()
		g.servers.CloseIdle()
	})
	return g, clock
}

// turner turns requests away for a backoff, and counts them.
type turner struct {
	rest atomic.Value
	got  atomic.Int64
}

func (r *turner) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.got.Add(1)
	if after, _ := r.rest.Load().(string); after != "" {
		w.Header().Set(wheelgauge.HeaderOutcome, string(wheelgauge.OutcomeNotRun))
		w.Header().Set("Retry-After", after)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprint(w, "ok")
}

func startTurner(t *testing.T) (*turner, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &turner{}
	s := &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return r, l.Addr().String()
}

// A server that asks to back off gets no request in it, by any way there, and some after it.
func TestBackoffIsKept(t *testing.T) {
	const rest = 5 * time.Second
	ways := []struct {
		name string
		send func(g *Gateway, rq *request, address string) error
	}{
		{"of a pool", func(g *Gateway, rq *request, _ string) error { return opened(g.open(context.Background(), rq)) }},
		{"forwarded here", func(g *Gateway, rq *request, _ string) error {
			rq.forwarded = true
			return opened(g.open(context.Background(), rq))
		}},
		{"a stream that is resumed", func(g *Gateway, rq *request, _ string) error {
			return opened(g.resumer(rq)(context.Background(), 3))
		}},
		{"an old path", func(g *Gateway, rq *request, address string) error {
			return opened(g.sendOld(context.Background(), rq, address))
		}},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			g, clock := reached(t)
			server, address := startTurner(t)
			c := oneServer(address)
			ask := func() error {
				rq := asked(c, 1)
				rq.asleep, rq.call.Method, rq.call.Path = g.asleep(), http.MethodGet, "/"
				rq.target.Store(&target{region: g.o.Region})
				return way.send(g, rq, address)
			}
			if err := ask(); err != nil {
				t.Fatal(err)
			}
			server.rest.Store("5")
			if err := ask(); err == nil {
				t.Fatal("a request that was turned away was served")
			}
			before := server.got.Load()
			for range 5 {
				clock.Suspend(rest / 6)
				err := ask()
				fault := wheelgauge.AsError(err)
				if err == nil || fault.Reason() != wheelgauge.ReasonBackoff || fault.Outcome() != wheelgauge.OutcomeNotRun || fault.RetryAfter() <= 0 || fault.RetryAfter() > rest {
					t.Errorf("got %v, told to come back after %s", err, fault.RetryAfter())
				}
			}
			if got := server.got.Load() - before; got != 0 {
				t.Errorf("the server got %d requests in its backoff", got)
			}
			server.rest.Store("")
			clock.Suspend(rest / 6)
			if err := ask(); err != nil {
				t.Errorf("after the backoff: %v", err)
			}
		})
	}
}

// opened gives the error of an answer and ends it.
func opened(answer *wheelgauge.Answer, err error) error {
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return errors.New(http.StatusText(answer.Status))
	}
	return nil
}

// oneServer is a configuration with one server.
func oneServer(address string) *catalog.Catalog { return regionsAt(1, address) }

// What a server said as it left is over when it is seen back: its starts have no names here.
func TestLeavingEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	state := func(leaving bool, since time.Time) membership.ServerState {
		return membership.ServerState{ServerEntry: wheelgauge.ServerEntry{Alive: true, Leaving: leaving}, Known: true, Since: since}
	}
	tests := []struct {
		name   string
		look   func(a *pushbacks)
		after  int
		state  membership.ServerState
		allows bool
	}{
		{"at once", nil, 0, state(false, time.Time{}), false},
		{"some seconds later", nil, 30, state(false, time.Time{}), false},
		{"reports have said otherwise for long", nil, 61, state(false, time.Time{}), true},
		{"it was down and is back", nil, 3, state(false, at(2)), true},
		{"it was down before", nil, 3, state(false, at(-2)), false},
		{"reports said so and do no more", func(a *pushbacks) { a.look("s", state(true, time.Time{}), at(1)) }, 2, state(false, time.Time{}), true},
		{"reports say so", func(a *pushbacks) { a.look("s", state(true, time.Time{}), at(1)) }, 500, state(true, time.Time{}), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a pushbacks
			a.leave("s", at(0))
			if tt.look != nil {
				tt.look(&a)
			}
			if got := a.look("s", tt.state, at(tt.after)).Allows(at(tt.after)); got != tt.allows {
				t.Errorf("it gets requests: %t, want %t", got, tt.allows)
			}
		})
	}
}
