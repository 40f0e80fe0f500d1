// Package httpserve runs an HTTP listener with limits and a graceful shutdown.
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
	defaultReadTimeout    = 30 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 64 << 20
	defaultMaxConns       = 16 << 10
)

// WriteTimeout bounds the longest response to a caller that reads slowly, unless
// Options.HeaderReceived gives its request longer.
const WriteTimeout = 15 * time.Minute

// Options of a Server. Zero values select the defaults.
type Options struct {
	TLS *tls.Config
	// MaxHeaderBytes, MaxBodyBytes and MaxConns are upper limits.
	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConns       int
	ReadTimeout    time.Duration
	// StreamBodies calls the handler before the body is read.
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

// Listen starts a server with handler on address.
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
		ReadBufferSize:               orDefault(o.MaxHeaderBytes, defaultMaxHeaderBytes),
		MaxRequestBodySize:           orDefault(o.MaxBodyBytes, defaultMaxBodyBytes),
		Concurrency:                  orDefault(o.MaxConns, defaultMaxConns),
		ReadTimeout:                  orDefault(o.ReadTimeout, defaultReadTimeout),
		IdleTimeout:                  defaultIdleTimeout,
		WriteTimeout:                 WriteTimeout,
		StreamRequestBody:            o.StreamBodies,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}}
	go s.serve()
	return s, nil
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (s *Server) serve() { s.done <- s.http.Serve(s.listener) }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return int(s.http.GetOpenConnectionsCount()) }

// Close stops accepting connections, waits for the requests in flight until ctx
// ends, and returns when the listener is closed.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if err != nil {
		err = fmt.Errorf("stop listener: %w", err)
	}
	// Shutdown does not close a listener on which Serve has not yet started.
	if closeErr := s.listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	return errors.Join(err, <-s.done)
}

// CloseAll closes the listeners of one program concurrently, so that they share the time
// until ctx ends. It returns the addresses of those whose connections were still open
// then: their callers retry the requests that were cut.
func CloseAll(ctx context.Context, listeners []*Server) (cut []string, err error) {
	errs := make([]error, len(listeners))
	var wg sync.WaitGroup
	for i, l := range listeners {
		wg.Go(func() { errs[i] = l.Close(ctx) })
	}
	wg.Wait()
	for i, closeErr := range errs {
		if errors.Is(closeErr, context.DeadlineExceeded) {
			cut = append(cut, listeners[i].Address())
			continue
		}
		err = errors.Join(err, closeErr)
	}
	return cut, err
}

// discardLogger drops fasthttp's own log lines; the handlers do the logging.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
