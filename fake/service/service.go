// Package service is a fake of a service that is no model engine. It counts the executions
// of each reference.
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
	// CallTime is the duration of a call.
	CallTime time.Duration
	// BeforeResponse is called between the execution of a POST and its response, for
	// tests that drop responses.
	BeforeResponse func(ref string)
}

// Service is a running fake service.
type Service struct {
	o          Options
	mu         sync.Mutex
	executions map[string]int
	calls      int
	running    int
	leaving    bool
	server     *httpserve.Server
}

// Receipt is the response to a GET or a POST; Execution is 0 for a GET.
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

// Start starts a service at the address of the options.
func Start(_ context.Context, o Options) (*Service, error) {
	s := &Service{o: o, executions: map[string]int{}}
	server, err := httpserve.Listen(o.Address, s.handle, httpserve.Options{})
	if err != nil {
		return nil, fmt.Errorf("start service: %w", err)
	}
	s.server = server
	return s, nil
}

// Address returns the address that the service listens at.
func (s *Service) Address() string { return s.server.Address() }

// Close stops the service.
func (s *Service) Close(ctx context.Context) error { return s.server.Close(ctx) }

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/load":
		peerhttp.Answer(ctx, s.report())
	case path == "/counts":
		peerhttp.Answer(ctx, s.Executions())
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
	defer s.countRunning()()
	time.Sleep(s.o.CallTime)
	parts := strings.Split(path, "/")
	peerhttp.Answer(ctx, Receipt{Ref: parts[len(parts)-1], Server: s.o.Name, Echo: string(ctx.RequestURI())})
}

func (s *Service) execute(ctx *fasthttp.RequestCtx) {
	defer s.countRunning()()
	b, err := peerhttp.Decode[booking](ctx)
	if err != nil || b.Ref == "" {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "expected a booking with a ref"))
		return
	}
	s.mu.Lock()
	s.executions[b.Ref]++
	n := s.executions[b.Ref]
	s.mu.Unlock()
	time.Sleep(s.o.CallTime)
	if s.o.BeforeResponse != nil {
		s.o.BeforeResponse(b.Ref)
	}
	peerhttp.Answer(ctx, Receipt{Ref: b.Ref, Execution: n, Server: s.o.Name, Echo: string(ctx.PostBody())})
}

func (s *Service) countRunning() func() {
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

// Executions returns the number of executions of each reference.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executions))
	for ref, n := range s.executions {
		out[ref] = n
	}
	return out
}

// Calls returns the number of calls received.
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
