// Package peerhttp carries HTTP with JSON between the system's own processes.
package peerhttp

import (
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

// Dialer connects by TCP. Its errors satisfy NotSent.
type Dialer struct {
	net net.Dialer
}

// NewDialer returns a dialer that connects from the IP address source; the
// system chooses when it is empty or not an address.
func NewDialer(source string) *Dialer {
	d := &Dialer{net: net.Dialer{Timeout: dialTimeout}}
	if ip := net.ParseIP(source); ip != nil {
		d.net.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// Dial connects to an address.
func (d *Dialer) Dial(address string) (net.Conn, error) {
	c, err := d.net.Dial("tcp", address)
	if err != nil {
		return nil, &dialError{err}
	}
	return c, nil
}

// Client calls other processes. It never repeats a call by itself.
type Client struct {
	scheme string
	http   *fasthttp.Client
	token  string
}

// NewClient returns a client; with tls it speaks HTTPS, with a token it sends
// it. dialer may be nil.
func NewClient(config *tls.Config, token string, dialer *Dialer) *Client {
	if dialer == nil {
		dialer = NewDialer("")
	}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Client{scheme: scheme, token: token, http: &fasthttp.Client{
		TLSConfig:                 config,
		Dial:                      dialer.Dial,
		RetryIfErr:                NeverRetry,
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       idleLimit,
		MaxResponseBodySize:       maxAnswerBytes,
		NoDefaultUserAgentHeader:  true,
	}}
}

// NeverRetry switches off the retries of fasthttp's clients.
func NeverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// Call sends in as JSON, unless it is nil, and decodes the answer into out,
// unless that is nil. An error answer is returned as *wheelgauge.Error.
// The deadline of ctx bounds the call.
func (c *Client) Call(ctx context.Context, method, address, path string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.scheme + "://" + address + path)
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
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
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
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// CloseIdle closes connections that carry nothing.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }
