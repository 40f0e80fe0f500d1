// Package callerhttp serves HTTP/1.1 to callers and to other gateways. It
// reads requests whole with fasthttp's parsers, notices callers that leave
// while their request is served, and lets a handler stream an answer or cut
// the connection, so that a broken answer never looks complete.
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
	"wheelgauge/callerconn"
	"wheelgauge/every"
)

const (
	// leaveScan is how often served requests are checked for callers that
	// left: a server may work on for half a second at most.
	leaveScan = 200 * time.Millisecond
	// keepAliveIdle and keepAliveEvery find a caller whose host is gone.
	keepAliveIdle  = 10 * time.Second
	keepAliveEvery = 5 * time.Second
	// unread is the default of Options.Unread.
	unread = 5 * time.Second
)

// Options of a Server.
type Options struct {
	// Limits gives the present limits of callers.
	Limits func() wheelgauge.Limits
	// Serve answers a request and returns when the answer is done.
	Serve func(ctx context.Context, r *Request)
	// Conns is the most connections; further ones are closed at once.
	Conns int
	// Unread is after how long a caller is cut off that takes nothing of its answer; unread
	// when 0.
	Unread time.Duration
}

// Server is a running listener.
type Server struct {
	options  Options
	listener net.Listener
	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	ended    chan error

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen starts serving on address.
func Listen(address string, o Options) (*Server, error) {
	o.Unread = cmp.Or(o.Unread, unread)
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: 3}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{options: o, listener: listener, ctx: ctx, cancel: cancel, ended: make(chan error, 2), conns: map[*conn]struct{}{}}
	go func() { s.ended <- s.accept() }()
	go func() { s.ended <- every.Interval(ctx, leaveScan, s.scan) }()
	return s, nil
}

// Address returns the address it listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors or a connection reset before its turn: others follow.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.start(c)
	}
}

func (s *Server) start(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.options.Conns || s.ctx.Err() != nil {
		_ = c.Close() // nothing was read: the caller may go elsewhere
		return
	}
	k := newConn(s, c)
	s.conns[k] = struct{}{}
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		k.run(s.ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, k)
	}()
}

// scan cancels the requests of callers that left.
func (s *Server) scan(context.Context) {
	for _, k := range s.snapshot() {
		if cancel := k.serving(); cancel != nil && callerconn.Gone(k.net) {
			k.left.Store(true)
			cancel()
		}
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

// Serving returns the number of requests that are being served.
func (s *Server) Serving() int {
	n := 0
	for _, k := range s.snapshot() {
		if k.serving() != nil {
			n++
		}
	}
	return n
}

// Drain makes every answer from now on the last of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Close takes no more connections, waits for requests in flight until ctx
// ends, closes what is left and returns when all has ended.
func (s *Server) Close(ctx context.Context) error {
	s.Drain()
	err := s.listener.Close()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for s.Serving() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
	s.cancel()
	for _, k := range s.snapshot() {
		_ = k.net.Close() // idle, or out of time
	}
	s.group.Wait()
	return errors.Join(err, <-s.ended, <-s.ended)
}
