// Package peerhttp carries HTTP with JSON between the system's own processes.
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
	defaultTimeout = 5 * time.Second
	dialTimeout    = 2 * time.Second
	idleLimit      = 20 * time.Second
	maxConns       = 512
	maxAnswerBytes = 256 << 20
)

// dialError marks a connection that never was: nothing can have been sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connect: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// NotSent tells whether err proves that no byte left for the other side.
func NotSent(err error) bool {
	if _, ok := errors.AsType[*dialError](err); ok {
		return true
	}
	return errors.Is(err, fasthttp.ErrNoFreeConns)
}

// Secure gives the TLS configuration of a connection to host. It is asked at
// each connection, so that rotated keys are taken in.
type Secure func(host string) *tls.Config

// Dialer connects by TCP, and by TLS where it has a Secure. Its errors satisfy
// NotSent: no byte of a request leaves before the handshake is done.
type Dialer struct {
	net    net.Dialer
	secure Secure
	wrap   func(net.Conn) net.Conn
}

// NewDialer returns a dialer that connects from the IP address source; the
// system chooses when it is empty or not an address. secure may be nil.
func NewDialer(source string, secure Secure) *Dialer {
	d := &Dialer{net: net.Dialer{Timeout: dialTimeout}, secure: secure}
	if ip := net.ParseIP(source); ip != nil {
		d.net.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// Wrap lets each new connection pass through f, such as to count its bytes.
func (d *Dialer) Wrap(f func(net.Conn) net.Conn) *Dialer {
	d.wrap = f
	return d
}

// Dial connects to an address.
func (d *Dialer) Dial(address string) (net.Conn, error) {
	return d.DialTimeout(address, dialTimeout)
}

// DialTimeout connects to an address within a time, which is bounded. A call
// with a shorter deadline must not wait for a host that is dark.
func (d *Dialer) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	n := d.net
	if timeout > 0 {
		n.Timeout = min(timeout, dialTimeout)
	}
	c, err := n.Dial("tcp", address)
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

// Client calls other processes. It never repeats a call by itself.
type Client struct {
	http  *fasthttp.Client
	fresh *fasthttp.Client
	token string
	// watch is told of each call; nil for nobody.
	watch func(path string, sent, received int)
}

// Watch tells f of the path and the bytes of both bodies of each call, those that
// failed included. It is set before the first call.
func (c *Client) Watch(f func(path string, sent, received int)) { c.watch = f }

// NewClient returns a client that connects by dialer, or in the clear when that
// is nil, and sends token unless it is empty.
func NewClient(dialer *Dialer, token string) *Client {
	if dialer == nil {
		dialer = NewDialer("", nil)
	}
	return &Client{token: token, http: newHTTP(dialer), fresh: newHTTP(dialer)}
}

func newHTTP(dialer *Dialer) *fasthttp.Client {
	return &fasthttp.Client{
		DialTimeout:               dialer.DialTimeout,
		RetryIfErr:                NeverRetry,
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       idleLimit,
		MaxResponseBodySize:       maxAnswerBytes,
		NoDefaultUserAgentHeader:  true,
	}
}

// NeverRetry switches off the retries of fasthttp's clients.
func NeverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Call sends in as JSON, unless it is nil, and decodes the answer into out,
// unless that is nil; a *[]byte takes it as it is. An error answer is returned as *wheelgauge.Error.
// The deadline of ctx bounds the call.
func (c *Client) Call(ctx context.Context, method, address, path string, in, out any) error {
	return c.call(ctx, c.http, method, address, path, in, out)
}

// CallFresh is Call on a connection of its own: it cannot fail because the
// other side closed a connection that was kept.
func (c *Client) CallFresh(ctx context.Context, method, address, path string, in, out any) error {
	return c.call(ctx, c.fresh, method, address, path, in, out)
}

func (c *Client) call(ctx context.Context, by *fasthttp.Client, method, address, path string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path) // TLS is the dialer's part
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
	if by == c.fresh {
		req.SetConnectionClose()
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	err := by.DoDeadline(req, resp, deadline)
	if c.watch != nil {
		c.watch(path, len(req.Body()), len(resp.Body()))
	}
	if err != nil {
		return fmt.Errorf("call %s%s: %w", address, path, err)
	}
	return decode(path, resp, out)
}

func decode(path string, resp *fasthttp.Response, out any) error {
	status := resp.StatusCode()
	if status >= fasthttp.StatusBadRequest {
		fault := new(wheelgauge.Error)
		if err := json.Unmarshal(resp.Body(), fault); err != nil || fault.Status() == 0 {
			return wheelgauge.NewError(wheelgauge.ReasonInternal, wheelgauge.OutcomeUnknown, status, string(resp.Body()))
		}
		return fault
	}
	switch raw := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*raw = bytes.Clone(resp.Body())
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// CloseIdle closes connections that carry nothing.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }
