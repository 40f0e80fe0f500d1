package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/connpeek"
)

const (
	// bodyTimeout bounds how long the read of a body may take. It also stands in for a
	// header or idle timeout of 0.
	bodyTimeout = 30 * time.Second
	// bodyRetryAfter is told to callers whose bodies find no memory: about what an upload takes.
	bodyRetryAfter = time.Second
	// minReadBufferBytes holds ordinary headers before the limits are known.
	minReadBufferBytes = 16 << 10
)

// conn is a caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	in     *bufio.Reader
	// body is what in reads from.
	body       bodyReader
	callerLeft atomic.Bool
	// dropping is set while the connection counts as idle and a body that was not read is dropped.
	dropping atomic.Bool

	mu     sync.Mutex
	cancel context.CancelCauseFunc
	// busy is set from the first byte of a request until its response is sent, closed once the
	// server has closed the connection while it was not.
	busy, closed bool
	// writeUntil returns until when the write in progress may take; nil if there is none.
	writeUntil func() time.Time
}

func newConn(s *Server, c net.Conn) *conn {
	k := &conn{server: s, net: c}
	k.in = bufio.NewReaderSize(&k.body, max(minReadBufferBytes, s.options.Limits().MaxHeaderBytes))
	k.body = bodyReader{net: c, budget: s.options.Bodies}
	return k
}

// currentCancel returns the function that cancels the request in progress, nil if there is none.
func (k *conn) currentCancel() context.CancelCauseFunc {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cancel
}

func (k *conn) setCancel(cancel context.CancelCauseFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancel = cancel
}

// startRequest records that a request arrives. It returns false if the connection is closed.
func (k *conn) startRequest() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = !k.closed
	return k.busy
}

// endRequest records that the response of a request is sent.
func (k *conn) endRequest() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = false
}

// isBusy reports whether a request arrives or is in progress.
func (k *conn) isBusy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.busy
}

// closeIdle closes the connection unless a request arrives or is in progress.
func (k *conn) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy || k.arriving() {
		return
	}
	k.closed = true
	_ = k.net.Close() // an error changes nothing for the caller
}

// write writes to the caller until a time that may change meanwhile. A caller that left gets what it
// takes at once.
func (k *conn) write(p []byte, until func() time.Time) error {
	k.startWrite(until)
	_, err := k.net.Write(p)
	k.endWrite()
	if err != nil && k.callerLeft.Load() {
		err = ErrCallerLeft
	}
	if err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (k *conn) startWrite(until func() time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	end := until()
	if k.callerLeft.Load() {
		end = time.Now().Add(disconnectScanInterval)
	} else {
		k.writeUntil = until
	}
	_ = k.net.SetWriteDeadline(end) // on a closed connection the write fails
}

func (k *conn) endWrite() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writeUntil = nil
}

// endOverdueWrite ends a write whose caller left or whose time is over, though its deadline may
// have been set for later.
func (k *conn) endOverdueWrite() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writeUntil != nil && (k.callerLeft.Load() || !time.Now().Before(k.writeUntil())) {
		_ = k.net.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

func (k *conn) run(ctx context.Context) {
	defer func() { _ = k.net.Close() }() // an error changes nothing for the caller
	defer k.body.release()
	for ctx.Err() == nil {
		r := &Request{conn: k, arrived: time.Now()}
		if !k.readHead(r) {
			return
		}
		if serve := k.admit(ctx, r); serve != nil {
			if !k.readBody(r) {
				return
			}
			if !r.started { // else refused for want of memory
				k.withCancel(ctx, serve)
			}
			k.body.release()
		}
		k.dropping.Store(r.unread != 0)
		if r.closeAfter || k.in.Buffered() <= max(0, r.unread) { // else a byte of the next request was read
			k.server.shares.end(k)
		}
		if !r.finished || !k.dropBody(r) || r.closeAfter {
			if r.finished && r.endsWithConn && k.arriving() {
				k.linger() // a close with bytes unread would reset, and the answer look broken
			}
			return
		}
		k.dropping.Store(false)
		if k.in.Buffered() == 0 { // else a byte of the next request was read
			k.endRequest()
		}
	}
}

// withCancel calls f with a context that Request.Cancel cancels.
func (k *conn) withCancel(ctx context.Context, f func(ctx context.Context)) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k.setCancel(cancel)
	defer k.setCancel(nil)
	f(ctx)
}

// admit returns the function that serves a request whose body is not read yet; nil if the
// request was refused from its header.
func (k *conn) admit(ctx context.Context, r *Request) (serve func(ctx context.Context)) {
	o := &k.server.options
	if o.Admit == nil {
		return func(ctx context.Context) { o.Serve(ctx, r) }
	}
	r.unread = bodyRest(&r.request.Header)
	k.withCancel(ctx, func(ctx context.Context) { serve = o.Admit(ctx, r) })
	if serve == nil {
		k.server.refusedEarly.Add(1)
	}
	return serve
}

// read reads one request. It returns false if the connection must be closed.
func (k *conn) read(r *Request) bool { return k.readHead(r) && k.readBody(r) }

// readHead reads the header of a request. It returns false if the connection must be closed.
func (k *conn) readHead(r *Request) bool {
	limits := k.server.options.Limits()
	k.setReadTimeout(limits.IdleTimeout)
	// Not a byte is read before the connection counts as busy.
	if k.in.Buffered() == 0 && connpeek.Await(k.net) != nil {
		return false // closed or timed out between requests
	}
	if !k.startRequest() || !k.server.shares.begin(k) {
		return false // the server closes, or it was evicted for another connection
	}
	if _, err := k.in.Peek(1); err != nil {
		return false
	}
	r.arrived = time.Now()
	k.setReadTimeout(limits.HeaderTimeout)
	if err := k.readHeader(r); err != nil {
		k.reject(r, headerErrorStatus(err), err)
		return false
	}
	if n := r.request.Header.ContentLength(); limits.MaxBodyBytes > 0 && n > limits.MaxBodyBytes {
		k.reject(r, http.StatusRequestEntityTooLarge, fasthttp.ErrBodyTooLarge)
		return false
	}
	return true
}

// arriving reports whether the caller of an idle connection has sent bytes of a request, none of
// which is read yet.
func (k *conn) arriving() bool {
	return !k.dropping.Load() && connpeek.Readable(k.net) && !connpeek.PeerClosed(k.net)
}

// readBody reads the body of a request, or refuses the request if there is no memory for it. It
// returns false if the connection must be closed.
func (k *conn) readBody(r *Request) bool {
	length := bodyRest(&r.request.Header)
	if !k.body.reserve(length) {
		return k.refuseBody(r, length)
	}
	r.unread = 0
	if r.request.MayContinue() {
		if k.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), r.writeBound()) != nil {
			return false
		}
	}
	k.setReadTimeout(bodyTimeout)
	if err := r.request.ContinueReadBody(k.in, k.server.options.Limits().MaxBodyBytes, false); err != nil {
		if k.body.exhausted {
			return k.refuseBody(r, unknownRest)
		}
		k.reject(r, bodyErrorStatus(err), err)
		return false
	}
	if !k.body.reserveRead(len(r.request.Body())) {
		return k.refuseBody(r, 0)
	}
	k.server.bodyBytes.Add(int64(len(r.request.Body())))
	_ = k.net.SetReadDeadline(time.Time{}) // fails only on a closed connection
	return true
}

// refuseBody refuses a request whose body finds no memory. It returns true, as the connection may
// be kept.
func (k *conn) refuseBody(r *Request, unread int) bool {
	k.body.release()
	r.unread = unread
	r.RespondError(wheelgauge.NewError(wheelgauge.ReasonOverloaded, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"this host has no memory left for the body").WithRetryAfter(bodyRetryAfter))
	return true
}

func (k *conn) readHeader(r *Request) error {
	h := &r.request.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	if err := h.Read(k.in); err != nil {
		return err
	}
	r.closeAfter = h.ConnectionClose()
	if err := checkFraming(h.RawHeaders()); err != nil {
		return err
	}
	return setOriginForm(h)
}

func (k *conn) setReadTimeout(d time.Duration) {
	if d <= 0 {
		d = bodyTimeout
	}
	_ = k.net.SetReadDeadline(time.Now().Add(d)) // fails only on a closed connection
}

// reject responds to a request that could not be read; its connection closes afterwards.
func (k *conn) reject(r *Request, status int, cause error) {
	if status == 0 {
		return
	}
	r.closeAfter = true
	reason := wheelgauge.ReasonBadRequest
	if status == http.StatusRequestEntityTooLarge {
		reason = wheelgauge.ReasonTooLarge
	}
	r.RespondError(wheelgauge.NewError(reason, wheelgauge.OutcomeNotRun, status, cause.Error()))
}

// headerErrorStatus returns the status for a header that could not be read, 0 for no response.
func headerErrorStatus(err error) int {
	if _, ok := errors.AsType[*fasthttp.ErrSmallBuffer](err); ok {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
		return http.StatusRequestTimeout
	}
	if errors.Is(err, net.ErrClosed) || isDisconnect(err) {
		return 0
	}
	return http.StatusBadRequest
}

func bodyErrorStatus(err error) int {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return headerErrorStatus(err)
}
