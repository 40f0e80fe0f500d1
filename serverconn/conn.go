// Package serverconn pools connections to backend servers and to gateways of
// other regions, with one request at a time on each. A connection keeps one
// buffered reader until it is closed, so that bytes after a response are detected
// and the connection is not reused.
package serverconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge/connpeek"
	"wheelgauge/httpfield"
	"wheelgauge/responsehead"
)

const (
	// readBufferBytes bounds the head of a response.
	readBufferBytes = 8 << 10
	// maxInlineBytes is the largest request that is written before the response is
	// read. It fits in the socket's send buffer, so the write does not block when a
	// server responds early without reading the request.
	maxInlineBytes = 16 << 10
	// keepAliveIdle and keepAliveInterval, the shortest that there are, show whether the machine of
	// a silent server is reachable. During an exchange the watch decides by them, else
	// Link.UserTimeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxProbeInterval is the shortest that the kernel allows.
	maxProbeInterval = time.Second
	// writeErrorWait is how long after its connection has ended a write reports why.
	writeErrorWait = 20 * time.Millisecond
	// maxForeignResponses is how many responses to other requests are skipped.
	maxForeignResponses = 2
	// maxInformational is how many informational responses may precede a final one.
	maxInformational = 8
)

var (
	errForeignResponse = errors.New("received only responses to other requests")
	errInformational   = fmt.Errorf("received more than %d informational responses", maxInformational)
)

// Conn is a connection that carries one request at a time.
type Conn struct {
	net         net.Conn
	in          *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration
	// upload is the last request if it was too large to be written before the response is read.
	upload *upload
	watch  exchangeWatch
	// reusable is cleared when the next response might not match its request.
	reusable bool
	aborted  atomic.Bool
}

func dial(ctx context.Context, address string, l Link) (*Conn, error) {
	d := net.Dialer{
		Timeout:         l.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         prepare(l.UserTimeout),
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return &Conn{net: c, in: bufio.NewReaderSize(c, readBufferBytes), reusable: true, watch: newExchangeWatch(c, l.UserTimeout)}, nil
}

// isFresh reports whether an idle connection is within its idle timeout.
func (c *Conn) isFresh(now time.Time) bool { return now.Sub(c.idleSince) < c.idleTimeout }

// isQuiet reports whether no byte, end or error has arrived since the last response.
func (c *Conn) isQuiet() bool {
	return c.in.Buffered() == 0 && !connpeek.Readable(c.net)
}

// Abort makes reads and writes in progress fail at once. It is safe for concurrent use.
func (c *Conn) Abort() {
	c.aborted.Store(true)
	c.watch.stop()
	_ = c.net.Close() // the reader gets the error
}

// Aborted reports whether Abort was called.
func (c *Conn) Aborted() bool { return c.aborted.Load() }

// Send writes a request, and watches the connection until it is put back. A request above
// maxInlineBytes is written while the response is read.
func (c *Conn) Send(head, body []byte, deadline time.Time) error {
	if err := c.net.SetDeadline(deadline); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	c.watch.start()
	c.upload = nil
	request := append(head, body...)
	if len(request) <= maxInlineBytes {
		if _, err := c.net.Write(request); err != nil {
			return fmt.Errorf("send: %w", c.explain(err))
		}
		return nil
	}
	c.startUpload(request)
	return nil
}

// ReadHead reads the head of the response to the request id. requestID is the
// name of the header with the ID; responses to other requests are skipped.
func (c *Conn) ReadHead(requestID, id string, isHead bool) (*fasthttp.ResponseHeader, *Body, error) {
	for range maxForeignResponses {
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
			return nil, nil, fmt.Errorf("skip response to request %s: %w", echoed, err)
		}
	}
	return nil, nil, errForeignResponse
}

// readFinal reads the head of a final response and skips informational ones.
func (c *Conn) readFinal() (*fasthttp.ResponseHeader, error) {
	for range maxInformational + 1 {
		head, err := responsehead.Peek(c.in)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", c.explain(err))
		}
		if err := responsehead.Check(head); err != nil {
			return nil, fmt.Errorf("read response: %w", c.explain(err))
		}
		h := &fasthttp.ResponseHeader{}
		h.DisableNormalizing()
		h.SetNoDefaultContentType(true)
		if err := h.Read(c.in); err != nil {
			return nil, fmt.Errorf("read response: %w", c.explain(err))
		}
		if status := h.StatusCode(); status >= http.StatusOK {
			return h, nil
		}
	}
	return nil, fmt.Errorf("read response: %w", errInformational)
}

// explain returns what ended an exchange in place of an error that follows from it.
func (c *Conn) explain(err error) error {
	if c.watch.isLost() {
		return errUnanswered
	}
	if c.upload == nil || !errors.Is(err, io.EOF) {
		return err
	}
	// The kernel tells an end of its own once: to the reader or to the writer.
	select {
	case <-c.upload.done:
		if c.upload.err != nil {
			return c.upload.err
		}
	case <-time.After(writeErrorWait):
	}
	return err
}

// sent reports whether the whole request was written.
func (c *Conn) sent() bool {
	if c.upload == nil {
		return true
	}
	ended, err := c.upload.ended()
	return ended && err == nil
}
