// Package serverconn keeps connections to backend servers and to gateways of
// other regions, and carries one request at a time on each. A connection owns
// its reader for its whole life, so that bytes after an answer are noticed and
// the connection is not used again.
package serverconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge/answerhead"
	"wheelgauge/callerconn"
	"wheelgauge/httpfield"
)

const (
	// readBuffer holds the largest head of an answer.
	readBuffer = 8 << 10
	// bodyInline is the largest request that is written before the answer is
	// read: it fits the socket's buffer, so a server that answers early without
	// reading it cannot block us.
	bodyInline = 16 << 10
	// keepAliveIdle, keepAliveEvery and keepAliveCount find a server that is
	// silent because its host is gone, within about two seconds.
	keepAliveIdle  = time.Second
	keepAliveEvery = 500 * time.Millisecond
	keepAliveCount = 3
	// strayAnswers is how many answers to other requests are passed over.
	strayAnswers = 2
)

var errStray = errors.New("the answer belongs to another request")

// Conn is one connection.
type Conn struct {
	net     net.Conn
	in      *bufio.Reader
	idle    time.Time
	life    time.Duration
	written chan error
	// reusable is cleared by whatever makes the next answer doubtful.
	reusable bool
	aborted  atomic.Bool
}

func dial(ctx context.Context, address string, l Link) (*Conn, error) {
	d := net.Dialer{
		Timeout:         l.Connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount},
		Control:         boundUnacknowledged(l.Unacknowledged),
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return &Conn{net: c, in: bufio.NewReaderSize(c, readBuffer), reusable: true}, nil
}

// boundUnacknowledged sets TCP_USER_TIMEOUT.
func boundUnacknowledged(limit time.Duration) func(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18 // linux/tcp.h; the syscall package does not name it
	return func(_, _ string, raw syscall.RawConn) error {
		var inner error
		err := raw.Control(func(fd uintptr) {
			inner = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		return errors.Join(err, inner)
	}
}

// rested tells whether an idle connection has rested no longer than it may.
func (c *Conn) rested(now time.Time) bool { return now.Sub(c.idle) < c.life }

// clean tells whether nothing has come since the last answer.
func (c *Conn) clean() bool {
	return c.in.Buffered() == 0 && !callerconn.Readable(c.net)
}

// Abort makes what is under way fail at once; safe from any goroutine.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	_ = c.net.Close() // its reader sees the error
}

// Aborted tells whether Abort was called.
func (c *Conn) Aborted() bool { return c.aborted.Load() }

// Send writes a request. A large one is written while the answer is read.
func (c *Conn) Send(head, body []byte, deadline time.Time) error {
	if err := c.net.SetDeadline(deadline); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	all := append(head, body...)
	if len(all) <= bodyInline {
		if _, err := c.net.Write(all); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		return nil
	}
	c.written = make(chan error, 1)
	go func() {
		_, err := c.net.Write(all)
		c.written <- err
	}()
	return nil
}

// ReadHead reads the head of the answer to the request named id. requestID is
// the header that carries it; answers to other requests are passed over.
func (c *Conn) ReadHead(requestID, id string, isHead bool) (*fasthttp.ResponseHeader, *Body, error) {
	for range strayAnswers {
		h, err := c.readFinal()
		if err != nil {
			c.reusable = false
			return nil, nil, err
		}
		b := newBody(c, h, isHead)
		echoed := string(httpfield.Value(h, requestID))
		if echoed == "" || echoed == id {
			return h, b, nil
		}
		c.reusable = false
		if err := b.Discard(); err != nil {
			return nil, nil, fmt.Errorf("pass over an answer to %s: %w", echoed, err)
		}
	}
	return nil, nil, errStray
}

// readFinal reads a head, passing over informational ones.
func (c *Conn) readFinal() (*fasthttp.ResponseHeader, error) {
	for {
		head, err := answerhead.Peek(c.in)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if err := answerhead.Check(head); err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		h := &fasthttp.ResponseHeader{}
		h.DisableNormalizing()
		h.SetNoDefaultContentType(true)
		if err := h.Read(c.in); err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if status := h.StatusCode(); status >= http.StatusOK {
			return h, nil
		}
	}
}

// sent tells whether the whole request has left.
func (c *Conn) sent() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	default:
		return false
	}
}
