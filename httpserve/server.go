// Package httpserve runs one HTTP listener with limits and a clean stop.
package httpserve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultReadTimeout = 30 * time.Second
	defaultIdleTimeout = 60 * time.Second
	// writeTimeout bounds the longest answer to a caller that reads slowly.
	writeTimeout       = 15 * time.Minute
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 64 << 20
	defaultConns       = 16 << 10
)

// Options of a Server; zero values take defaults.
type Options struct {
	TLS *tls.Config
	// HeaderBytes, BodyBytes and Conns are upper limits.
	HeaderBytes int
	BodyBytes   int
	Conns       int
	ReadTimeout time.Duration
	// StreamBodies hands requests over before their body is read.
	StreamBodies   bool
	HeaderReceived func(header *fasthttp.RequestHeader) fasthttp.RequestConfig
	OnError        func(ctx *fasthttp.RequestCtx, err error)
}

// Server is a running listener.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
	done     chan error
}

// Listen starts serving handler on address.
func Listen(address string, handler fasthttp.RequestHandler, o Options) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if o.TLS != nil {
		listener = tls.NewListener(listener, o.TLS)
	}
	s := &Server{listener: listener, done: make(chan error, 1), http: &fasthttp.Server{
		Handler:                      handler,
		ErrorHandler:                 o.OnError,
		HeaderReceived:               o.HeaderReceived,
		ReadBufferSize:               or(o.HeaderBytes, defaultHeaderBytes),
		MaxRequestBodySize:           or(o.BodyBytes, defaultBodyBytes),
		Concurrency:                  or(o.Conns, defaultConns),
		ReadTimeout:                  or(o.ReadTimeout, defaultReadTimeout),
		IdleTimeout:                  defaultIdleTimeout,
		WriteTimeout:                 writeTimeout,
		StreamRequestBody:            o.StreamBodies,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		Logger:                       silent{},
	}}
	go s.serve()
	return s, nil
}

func or[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

func (s *Server) serve() { s.done <- s.http.Serve(s.listener) }

// Address returns the address it listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.http.GetOpenConnectionsCount()) }

// Close takes no new connections, waits for the requests in flight until ctx
// ends, and returns when serving has ended.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if err != nil {
		err = fmt.Errorf("stop listener: %w", err)
	}
	// Shutdown does not know a listener whose serving has not begun.
	if again := s.listener.Close(); !errors.Is(again, net.ErrClosed) {
		err = errors.Join(err, again)
	}
	return errors.Join(err, <-s.done)
}

// CloseAll closes the listeners of one program at the same time, so that none takes the
// time of another. It returns the addresses of those whose connections were still open
// when ctx ended: their callers repeat what is cut.
func CloseAll(ctx context.Context, listeners []*Server) (cut []string, err error) {
	endings := make([]error, len(listeners))
	var all sync.WaitGroup
	for i, l := range listeners {
		all.Go(func() { endings[i] = l.Close(ctx) })
	}
	all.Wait()
	for i, ended := range endings {
		if errors.Is(ended, context.DeadlineExceeded) {
			cut = append(cut, listeners[i].Address())
			continue
		}
		err = errors.Join(err, ended)
	}
	return cut, err
}

// silent drops fasthttp's own log lines: parts log for themselves.
type silent struct{}

func (silent) Printf(string, ...any) {}
