// Package upstream sends calls to backend servers and to gateways of other
// regions over HTTP and streams their answers.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

const (
	maxConnsPerAddress = 4096
	// idleTimeout is shorter than the idle timeout of servers, so that a connection is
	// rarely reused at the moment its server closes it.
	idleTimeout        = 5 * time.Second
	defaultCallTimeout = 10 * time.Minute
	// exitGrace is how long a process that exits may still accept connections.
	exitGrace = 10 * time.Millisecond
	// identityLength is fasthttp's length of a body that ends with its connection.
	identityLength = -2
)

var longAgo = time.Unix(1, 0)

// Pool keeps connections by address. It never retries a call.
type Pool struct {
	dialer  *peerhttp.Dialer
	mu      sync.RWMutex
	clients map[endpoint]*fasthttp.HostClient
	conns   sync.Map // net.Conn by local address
}

// trackedConn is a connection that its pool can find by local address.
type trackedConn struct {
	net.Conn
	pool *Pool
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.pool.conns.Delete(t.LocalAddr().String())
	return t.Conn.Close()
}

func (p *Pool) dial(address string) (net.Conn, error) {
	c, err := p.dialer.Dial(address)
	if err != nil {
		return nil, err
	}
	p.conns.Store(c.LocalAddr().String(), c)
	return &trackedConn{newGuardedConn(c), p}, nil
}

// abort makes reads fail on the connection with that local address.
func (p *Pool) abort(local net.Addr) {
	if local == nil {
		return
	}
	if c, ok := p.conns.Load(local.String()); ok {
		_ = c.(net.Conn).SetReadDeadline(longAgo) // an error means that the connection is closed already
	}
}

// New returns a Pool that connects through dialer.
func New(dialer *peerhttp.Dialer) *Pool {
	return &Pool{dialer: dialer, clients: map[endpoint]*fasthttp.HostClient{}}
}

// endpoint is an address, with kept-alive or with fresh connections.
type endpoint struct {
	address string
	fresh   bool
}

// Reachable reports whether an address accepts a new connection in time.
func (p *Pool) Reachable(ctx context.Context, address string) bool {
	if probe(ctx, address) != nil {
		return false
	}
	// A process that is exiting closes its connections before its port refuses new ones, so
	// that a single probe right away would still succeed.
	timer := time.NewTimer(exitGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !errors.Is(probe(ctx, address), syscall.ECONNREFUSED)
	case <-ctx.Done():
		return true
	}
}

// probe opens a connection and closes it.
func probe(ctx context.Context, address string) error {
	d := net.Dialer{}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", address, err)
	}
	_ = c.Close() // nothing was sent on it
	return nil
}

// client returns the client of an endpoint. Fresh connections are never reused, so that
// a call on one cannot meet a connection that its server has just closed.
func (p *Pool) client(address string, fresh bool) *fasthttp.HostClient {
	e := endpoint{address, fresh}
	p.mu.RLock()
	h := p.clients[e]
	p.mu.RUnlock()
	if h != nil {
		return h
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.clients[e]; h != nil {
		return h
	}
	h = &fasthttp.HostClient{
		Addr: address, Dial: p.dial,
		MaxConns: maxConnsPerAddress, MaxIdleConnDuration: idleTimeout, MaxIdemponentCallAttempts: 1,
		RetryIfErr: peerhttp.NeverRetry, StreamResponseBody: true,
		NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
	}
	p.clients[e] = h
	return h
}

// Send dispatches a call once and returns the answer with its body unread. A call
// that is not repeatable must be sent on a fresh connection.
func (p *Pool) Send(ctx context.Context, address string, call *wheelgauge.Call, fresh bool) (*wheelgauge.Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	p.fillRequest(req, address, call, fresh)
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	err := p.client(address, fresh).DoDeadline(req, resp, deadline)
	fasthttp.ReleaseRequest(req)
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, classify(address, err)
	}
	if call.OnResponse != nil {
		call.OnResponse(resp.StatusCode(), resp.Header.PeekAll)
	}
	b := &answerBody{resp: resp}
	local := resp.LocalAddr()
	return &wheelgauge.Response{
		Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()),
		Header: func(name string) string { return string(resp.Header.Peek(name)) }, Body: b,
		EndUnknown: resp.Header.ContentLength() == identityLength && call.Method != fasthttp.MethodHead,
		Abort:      func() { p.abort(local) },
	}, nil
}

func (p *Pool) fillRequest(req *fasthttp.Request, address string, call *wheelgauge.Call, fresh bool) {
	req.SetRequestURI("http://" + address + call.Path) // TLS is done by the dialer
	req.Header.SetMethod(call.Method)
	req.Header.Set(wheelgauge.HeaderRequestID, call.ID)
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(wheelgauge.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	req.Header.Set("X-Priority", strconv.Itoa(call.Priority))
	if call.SkipTokens > 0 {
		req.Header.Set("X-Resume-From", strconv.Itoa(call.SkipTokens))
	}
	for _, h := range call.ExtraHeaders {
		req.Header.Set(h[0], h[1])
	}
	req.SetBodyRaw(call.Body)
	if fresh {
		req.SetConnectionClose()
	}
}

// classify sets the outcome not-run only if no connection was made. A connection that
// broke proves nothing.
func classify(address string, err error) error {
	outcome := wheelgauge.OutcomeUnknown
	if peerhttp.NotSent(err) {
		outcome = wheelgauge.OutcomeNotRun
	}
	reason, status := wheelgauge.ReasonServerFailed, fasthttp.StatusBadGateway
	if errors.Is(err, fasthttp.ErrTimeout) {
		reason, status = wheelgauge.ReasonDeadline, fasthttp.StatusGatewayTimeout
	}
	return wheelgauge.NewError(reason, outcome, status, fmt.Sprintf("backend %s: %v", address, err))
}

// answerBody is the unread body of an answer.
type answerBody struct {
	mu     sync.Mutex
	resp   *fasthttp.Response
	stream io.Reader
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.resp == nil {
		return 0, io.ErrClosedPipe
	}
	if b.stream == nil {
		b.stream = b.resp.BodyStream()
	}
	if b.stream == nil {
		return 0, io.EOF
	}
	return b.stream.Read(p)
}

// Close returns the connection to the pool, or closes it if the body was not read to
// its end. It must not be called concurrently with Read.
func (b *answerBody) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.resp == nil {
		return nil
	}
	err := b.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(b.resp)
	b.resp = nil
	return err
}

// CloseIdle closes idle connections.
func (p *Pool) CloseIdle() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, h := range p.clients {
		h.CloseIdleConnections()
	}
}
