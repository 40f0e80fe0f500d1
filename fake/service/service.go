// Package service is a small stand-in for a plain service. It counts how often
// each reference was executed.
package service

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/httpserve"
	"wheelgauge/peerhttp"
)

// Options of a Service.
type Options struct {
	Name    string
	Address string
	Slots   int
	// Time is how long a call takes.
	Time time.Duration
	// After is run between the execution of a POST and its answer; for tests
	// that lose answers.
	After func(ref string)
}

// Service is a running stand-in.
type Service struct {
	o       Options
	mu      sync.Mutex
	counts  map[string]int
	calls   int
	running int
	leaving bool
	server  *httpserve.Server
}

// Receipt answers a POST.
type Receipt struct {
	Ref       string `json:"ref"`
	Execution int    `json:"execution"`
	Server    string `json:"server"`
	Echo      string `json:"echo"`
}

// booking is the body of a POST.
type booking struct {
	Ref string `json:"ref"`
}

// Start serves at the address of the options.
func Start(_ context.Context, o Options) (*Service, error) {
	s := &Service{o: o, counts: map[string]int{}}
	server, err := httpserve.Listen(o.Address, s.handle, httpserve.Options{})
	if err != nil {
		return nil, fmt.Errorf("start service: %w", err)
	}
	s.server = server
	return s, nil
}

// Address returns where the service serves.
func (s *Service) Address() string { return s.server.Address() }

// Close stops the service.
func (s *Service) Close(ctx context.Context) error { return s.server.Close(ctx) }

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/load":
		peerhttp.Answer(ctx, s.report())
	case path == "/counts":
		peerhttp.Answer(ctx, s.Counts())
	case path == "/leave":
		s.Leave()
	case ctx.IsGet():
		s.read(ctx, path)
	case ctx.IsPost():
		s.execute(ctx)
	default:
		peerhttp.NotFound(ctx)
	}
}

func (s *Service) report() wheelgauge.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wheelgauge.LoadReport{Running: s.running, Slots: s.o.Slots, Leaving: s.leaving}
}

func (s *Service) read(ctx *fasthttp.RequestCtx, path string) {
	defer s.enter()()
	time.Sleep(s.o.Time)
	parts := strings.Split(path, "/")
	peerhttp.Answer(ctx, Receipt{Ref: parts[len(parts)-1], Server: s.o.Name, Echo: string(ctx.RequestURI())})
}

func (s *Service) execute(ctx *fasthttp.RequestCtx) {
	defer s.enter()()
	b, err := peerhttp.Decode[booking](ctx)
	if err != nil || b.Ref == "" {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "a booking has a ref"))
		return
	}
	s.mu.Lock()
	s.counts[b.Ref]++
	n := s.counts[b.Ref]
	s.mu.Unlock()
	time.Sleep(s.o.Time)
	if s.o.After != nil {
		s.o.After(b.Ref)
	}
	peerhttp.Answer(ctx, Receipt{Ref: b.Ref, Execution: n, Server: s.o.Name, Echo: string(ctx.PostBody())})
}

func (s *Service) enter() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.calls++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}
}

// Counts returns how often each reference was executed.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.counts))
	for ref, n := range s.counts {
		out[ref] = n
	}
	return out
}

// Calls returns how many calls came.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Leave makes the service report that it is leaving.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}
