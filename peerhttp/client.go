// Package peerhttp makes and serves JSON calls over HTTP between the system's own processes.
package peerhttp

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

const (
	defaultTimeout   = 5 * time.Second
	dialTimeout      = 2 * time.Second
	maxIdleTime      = 20 * time.Second
	maxConns         = 512
	maxResponseBytes = 256 << 20
)

// dialError marks a failed connect: no byte of a request was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connect: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// NotSent reports whether err proves that no byte of the request was sent.
func NotSent(err error) bool {
	if _, ok := errors.AsType[*dialError](err); ok {
		return true
	}
	return errors.Is(err, fasthttp.ErrNoFreeConns)
}

// TLSConfigFunc returns the TLS configuration of a connection to host. It is called for
// each connection, so that rotated keys take effect.
type TLSConfigFunc func(host string) *tls.Config

// Dialer connects by TCP, with TLS if it has a TLSConfigFunc. Its errors satisfy
// NotSent: no byte of a request is sent before the handshake is done.
type Dialer struct {
	net    net.Dialer
	secure TLSConfigFunc
	wrap   func(net.Conn) net.Conn
}

// NewDialer returns a dialer that connects from the IP address source. If source is
// empty or not an IP address, the operating system chooses. secure may be nil.
func NewDialer(source string, secure TLSConfigFunc) *Dialer {
	d := &Dialer{net: net.Dialer{Timeout: dialTimeout}, secure: secure}
	if ip := net.ParseIP(source); ip != nil {
		d.net.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// WrapConns sets a function that wraps each new connection, for example to count its bytes.
func (d *Dialer) WrapConns(f func(net.Conn) net.Conn) *Dialer {
	d.wrap = f
	return d
}

// Dial connects to an address within dialTimeout.
func (d *Dialer) Dial(address string) (net.Conn, error) {
	return d.DialTimeout(address, dialTimeout)
}

// DialTimeout connects to an address within timeout, at most dialTimeout. A call
// with a shorter deadline must not wait longer for an unreachable host.
func (d *Dialer) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return d.dial(context.Background(), address, timeout)
}

func (d *Dialer) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	n := d.net
	if timeout > 0 {
		n.Timeout = min(timeout, dialTimeout)
	}
	c, err := n.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &dialError{err}
	}
	if d.wrap != nil {
		c = d.wrap(c)
	}
	if d.secure == nil {
		return c, nil
	}
	return d.handshake(c, address)
}

func (d *Dialer) handshake(c net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &dialError{errors.Join(err, c.Close())}
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	t := tls.Client(c, d.secure(host))
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, &dialError{errors.Join(fmt.Errorf("handshake: %w", err), c.Close())}
	}
	return t, nil
}

// Client calls other processes. It never retries a call by itself.
type Client struct {
	http     *fasthttp.Client
	uncached *fasthttp.Client
	token    string
	conns    *openConns
	// onCall is called after each call; may be nil.
	onCall func(path string, sent, received int)
}

// OnCall sets a function that gets the path and the body sizes in bytes of each call,
// including failed ones. It must be set before the first call.
func (c *Client) OnCall(f func(path string, sent, received int)) { c.onCall = f }

// NewClient returns a client that connects by dialer, or without TLS if dialer is
// nil, and sends token as a bearer token unless it is empty.
func NewClient(dialer *Dialer, token string) *Client {
	if dialer == nil {
		dialer = NewDialer("", nil)
	}
	c := &Client{token: token, http: newHTTP(dialer), uncached: newHTTP(dialer), conns: newOpenConns()}
	dial := func(address string, timeout time.Duration) (net.Conn, error) {
		return c.conns.track(dialer.dial(c.conns.ctx, address, timeout))
	}
	c.http.DialTimeout, c.uncached.DialTimeout = dial, dial
	return c
}

func newHTTP(dialer *Dialer) *fasthttp.Client {
	return &fasthttp.Client{
		DialTimeout:               dialer.DialTimeout,
		RetryIfErr:                NeverRetry,
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       maxIdleTime,
		MaxResponseBodySize:       maxResponseBytes,
		NoDefaultUserAgentHeader:  true,
	}
}

// NeverRetry disables the retries of fasthttp's clients.
func NeverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Call sends in as JSON unless it is nil, and decodes the response into out unless that
// is nil; a *[]byte gets the raw body. An error response is returned as *wheelgauge.Error.
// The deadline of ctx bounds the call, or defaultTimeout if ctx has none.
func (c *Client) Call(ctx context.Context, method, address, path string, in, out any) error {
	return c.call(ctx, c.http, method, address, path, in, out)
}

// CallNewConn is Call on a new connection: it cannot fail because the server closed
// an idle connection.
func (c *Client) CallNewConn(ctx context.Context, method, address, path string, in, out any) error {
	return c.call(ctx, c.uncached, method, address, path, in, out)
}

func (c *Client) call(ctx context.Context, h *fasthttp.Client, method, address, path string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path) // the dialer adds TLS
	req.Header.SetMethod(method)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if h == c.uncached {
		req.SetConnectionClose()
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	err := h.DoDeadline(req, resp, deadline)
	if c.onCall != nil {
		c.onCall(path, len(req.Body()), len(resp.Body()))
	}
	if err != nil {
		return fmt.Errorf("call %s%s: %w", address, path, err)
	}
	return decode(path, resp, out)
}

func decode(path string, resp *fasthttp.Response, out any) error {
	status := resp.StatusCode()
	if status >= fasthttp.StatusBadRequest {
		apiErr := new(wheelgauge.Error)
		if err := json.Unmarshal(resp.Body(), apiErr); err != nil || apiErr.Status() == 0 {
			return wheelgauge.NewError(wheelgauge.ReasonInternal, wheelgauge.OutcomeUnknown, status, string(resp.Body()))
		}
		return apiErr
	}
	switch raw := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*raw = bytes.Clone(resp.Body())
		return nil
	}
	body := resp.Body()
	if len(resp.Header.ContentEncoding()) > 0 {
		var err error
		if body, err = resp.BodyUncompressed(); err != nil {
			return fmt.Errorf("decompress response of %s: %w", path, err)
		}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode response of %s: %w", path, err)
	}
	return nil
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Abort closes all connections, so that calls in progress fail at once, as do later ones. It is safe
// for concurrent use.
func (c *Client) Abort() { c.conns.close() }
