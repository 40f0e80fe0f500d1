package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

const (
	// bodyTimeout bounds how long a body may take to come in.
	bodyTimeout = 30 * time.Second
	// leastHeaderBuffer holds ordinary headers before limits are known.
	leastHeaderBuffer = 16 << 10
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	net    net.Conn
	in     *bufio.Reader
	left   atomic.Bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

func newConn(s *Server, c net.Conn) *conn {
	return &conn{server: s, net: c, in: bufio.NewReaderSize(c, max(leastHeaderBuffer, s.options.Limits().HeaderBytes))}
}

// serving returns what cancels the request that is being served, nil if none is.
func (k *conn) serving() context.CancelFunc {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cancel
}

func (k *conn) setServing(cancel context.CancelFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancel = cancel
}

func (k *conn) run(ctx context.Context) {
	defer func() { _ = k.net.Close() }() // the caller sees the end either way
	for ctx.Err() == nil {
		r := &Request{conn: k, arrived: time.Now()}
		if !k.read(r) {
			return
		}
		k.serve(ctx, r)
		if !r.finished || r.last {
			return
		}
	}
}

func (k *conn) serve(ctx context.Context, r *Request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	k.setServing(cancel)
	defer k.setServing(nil)
	k.server.options.Serve(ctx, r)
}

// read takes one request in; false ends the connection.
func (k *conn) read(r *Request) bool {
	limits := k.server.options.Limits()
	k.deadline(limits.IdleTimeout)
	if _, err := k.in.Peek(1); err != nil {
		return false // closed or idle for too long, between requests
	}
	r.arrived = time.Now()
	k.deadline(limits.HeaderTimeout)
	if err := k.readHeader(r); err != nil {
		k.refuse(r, statusOf(err), err)
		return false
	}
	if n := r.request.Header.ContentLength(); limits.BodyBytes > 0 && n > limits.BodyBytes {
		k.refuse(r, http.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge)
		return false
	}
	if r.request.MayContinue() {
		if _, err := k.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return false
		}
	}
	k.deadline(bodyTimeout)
	if err := r.request.ContinueReadBody(k.in, limits.BodyBytes, false); err != nil {
		k.refuse(r, bodyStatus(err), err)
		return false
	}
	_ = k.net.SetReadDeadline(time.Time{}) // fails on a closed connection only
	return true
}

func (k *conn) readHeader(r *Request) error {
	h := &r.request.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	if err := h.Read(k.in); err != nil {
		return err
	}
	r.last = h.ConnectionClose()
	return checkFraming(h.RawHeaders())
}

func (k *conn) deadline(d time.Duration) {
	if d <= 0 {
		d = bodyTimeout
	}
	_ = k.net.SetReadDeadline(time.Now().Add(d)) // fails on a closed connection only
}

// refuse answers a request that could not be read and ends its connection.
func (k *conn) refuse(r *Request, status int, cause error) {
	if status == 0 {
		return
	}
	r.last = true
	reason := wheelgauge.ReasonBadRequest
	if status == http.StatusRequestEntityTooLarge {
		reason = wheelgauge.ReasonTooLarge
	}
	r.Refuse(wheelgauge.NewError(reason, wheelgauge.OutcomeNotRun, status, cause.Error()))
}

// statusOf says how a header that cannot be read is answered; 0 means not at all.
func statusOf(err error) int {
	if _, ok := errors.AsType[*fasthttp.ErrSmallBuffer](err); ok {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
		return http.StatusRequestTimeout
	}
	if errors.Is(err, net.ErrClosed) || gone(err) {
		return 0
	}
	return http.StatusBadRequest
}

func bodyStatus(err error) int {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return statusOf(err)
}
