// Package callerhttp serves HTTP/1.1 to callers and to other gateways. It
// reads whole requests with fasthttp's parsers, detects callers that disconnect
// while their request is served, and lets a handler stream a response or cut
// the connection, so that a truncated response never looks complete.
package callerhttp

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wheelgauge"
	"wheelgauge/bodybudget"
	"wheelgauge/connpeek"
	"wheelgauge/periodic"
)

const (
	// disconnectScanInterval is how often requests in progress are checked for callers
	// that disconnected: a server may continue their work for half a second at most.
	disconnectScanInterval = 200 * time.Millisecond
	// keepAliveIdle and keepAliveInterval detect a caller whose machine is unreachable.
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 5 * time.Second
	// closeInterval is how often a server that closes checks its connections.
	closeInterval = 20 * time.Millisecond
	// defaultWriteTimeout is the default of Options.WriteTimeout.
	defaultWriteTimeout = 5 * time.Second
)

// Causes for which the context of a request's handler is cancelled; see context.Cause.
var (
	// ErrCallerLeft: the caller closed its connection.
	ErrCallerLeft = errors.New("the caller closed its connection")
	// ErrStopped: the server is closed before the request is done.
	ErrStopped = errors.New("the time to finish requests is over")
)

// Options of a Server.
type Options struct {
	// Limits returns the current limits for callers.
	Limits func() wheelgauge.CallerLimits
	// Serve handles a request and returns when the response is done.
	Serve func(ctx context.Context, r *Request)
	// Admit decides on a request from its header, before its body is read. It returns the
	// function that serves the request once the body has been read, or nil after it has
	// responded with a refusal. Serve handles all requests when Admit is nil.
	Admit func(ctx context.Context, r *Request) (serve func(ctx context.Context))
	// MaxConns is the maximum number of connections; further ones are closed at once.
	MaxConns int
	// ShareConns evicts idle connections for new ones, bounds the requests in progress of
	// one owner, and ends the connections of refused requests, while connections are near MaxConns.
	ShareConns bool
	// Bodies bounds the bodies of all requests in progress; nil means no bound.
	Bodies *bodybudget.Budget
	// WriteTimeout is the time after which a caller that does not read its response is
	// disconnected where Request.SetExpiry sets no other; defaultWriteTimeout when 0.
	WriteTimeout time.Duration
}

// Server is a running listener.
type Server struct {
	options  Options
	listener net.Listener
	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelCauseFunc
	handlers sync.WaitGroup
	done     chan error
	shares   shares
	// Totals since the start; see Counts.
	turnedAway, evicted, refusedEarly, bodyBytes, droppedBytes atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen starts a server on address.
func Listen(address string, o Options) (*Server, error) {
	o.WriteTimeout = cmp.Or(o.WriteTimeout, defaultWriteTimeout)
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 3}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Server{options: o, listener: listener, ctx: ctx, cancel: cancel, done: make(chan error, 2), conns: map[*conn]struct{}{}}
	s.shares.init(o)
	go func() { s.done <- s.accept() }()
	go func() { s.done <- periodic.Run(ctx, disconnectScanInterval, s.cancelDisconnected) }()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of file descriptors, or the connection was reset before it was accepted.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.start(c)
	}
}

func (s *Server) start(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		_ = c.Close() // nothing was read, so the caller can retry at another host
		return
	}
	s.makeRoom()
	if len(s.conns) >= s.options.MaxConns {
		s.turnedAway.Add(1)
		_ = c.Close() // nothing was read, so the caller can retry at another host
		return
	}
	k := newConn(s, c)
	s.conns[k] = struct{}{}
	s.shares.add(k)
	s.handlers.Add(1)
	go func() {
		defer s.handlers.Done()
		k.run(s.ctx)
		s.shares.remove(k)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, k)
	}()
}

// makeRoom closes an idle connection if places are short. Its place is free at once, though its
// handler may take a moment to end. The lock must be held.
func (s *Server) makeRoom() {
	k, ok := s.shares.evict()
	if !ok {
		return
	}
	s.evicted.Add(1)
	delete(s.conns, k)
	_ = k.net.Close() // an error changes nothing for the caller
}

// cancelDisconnected cancels the requests of callers that disconnected, and ends overdue writes.
func (s *Server) cancelDisconnected(context.Context) {
	for _, k := range s.snapshot() {
		if cancel := k.currentCancel(); cancel != nil && connpeek.PeerClosed(k.net) {
			k.callerLeft.Store(true)
			cancel(ErrCallerLeft)
		}
		k.endOverdueWrite()
	}
}

func (s *Server) snapshot() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for k := range s.conns {
		out = append(out, k)
	}
	return out
}

// InFlight returns the number of requests that arrive or are in progress.
func (s *Server) InFlight() int {
	n := 0
	for _, k := range s.snapshot() {
		if k.isBusy() {
			n++
		}
	}
	return n
}

// Drain makes every response that begins from now on the last on its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Close stops accepting connections, closes those without a request, and waits for the others
// until ctx ends; then it closes what is left and waits for the handlers. A request of which a
// byte was read is never dropped before.
func (s *Server) Close(ctx context.Context) error {
	s.Drain()
	err := s.listener.Close()
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for open := s.snapshot(); len(open) > 0 && ctx.Err() == nil; open = s.snapshot() {
		for _, k := range open {
			k.closeIdle()
		}
		<-ticker.C
	}
	s.cancel(ErrStopped)
	for _, k := range s.snapshot() {
		_ = k.net.Close() // not finished in time
	}
	s.handlers.Wait()
	return errors.Join(err, <-s.done, <-s.done)
}
