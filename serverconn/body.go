package serverconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxDiscardBytes and discardTimeout bound what is read only to keep a connection: about what
	// a new one costs.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 200 * time.Millisecond
)

var errTooLong = fmt.Errorf("a body to discard exceeds %d bytes", maxDiscardBytes)

// Body is the body of a response. Read returns io.EOF only when the response
// is complete.
type Body struct {
	conn *Conn
	// length is the Content-Length, -1 for chunks, -2 for neither.
	length    int
	hasBody   bool
	remaining int
	chunks    io.Reader
	done      bool
	// unused is set if nobody uses the body, so that it does not matter whether it is complete.
	unused bool
}

func newBody(c *Conn, h *fasthttp.ResponseHeader, isHead bool) *Body {
	b := &Body{conn: c, length: h.ContentLength(), hasBody: true}
	status := h.StatusCode()
	if isHead || status == http.StatusNoContent || status == http.StatusNotModified {
		b.length, b.hasBody = 0, false
	}
	if h.ConnectionClose() {
		c.reusable = false
	}
	switch b.length {
	case -1:
		b.chunks = httputil.NewChunkedReader(c.in)
	case -2:
		c.reusable = false // the body ends when the connection closes
	default:
		b.remaining = b.length
		b.done = b.remaining == 0
	}
	return b
}

// Length returns the Content-Length, less than 0 if there is none.
func (b *Body) Length() int { return b.length }

// HasBody reports whether responses of this kind have a body, even if it is empty.
func (b *Body) HasBody() bool { return b.hasBody }

// Framing returns how the end of the response is marked.
func (b *Body) Framing() Framing {
	switch b.length {
	case -1:
		return FramedByChunks
	case -2:
		return Unframed
	}
	return FramedByLength
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	switch b.length {
	case -1:
		return b.readChunk(p)
	case -2:
		return b.readUntilClose(p)
	}
	n, err := b.conn.in.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.done = b.remaining == 0
	if err != nil && !b.done {
		return n, b.readError(err)
	}
	return n, nil
}

func (b *Body) readChunk(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, b.readError(err)
	}
	// The empty line after the last chunk. With trailers the connection is not reused.
	var end [2]byte
	if _, err := io.ReadFull(b.conn.in, end[:]); err != nil || string(end[:]) != "\r\n" {
		b.conn.reusable = false
	}
	b.done = true
	return n, io.EOF
}

// readUntilClose reads a body that ends when the connection closes. It is complete if the server got
// the whole request by then: a reset that the write of the request has met, or that comes for bytes
// that are still under way, is not told to the reader.
func (b *Body) readUntilClose(p []byte) (int, error) {
	n, err := b.conn.in.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, b.readError(err)
	}
	if !b.unused {
		if err := b.conn.awaitDelivery(); err != nil {
			return n, b.readError(err)
		}
	}
	b.done = true
	return n, io.EOF
}

func (b *Body) readError(err error) error {
	b.conn.reusable = false
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("read body: %w", b.conn.explain(err))
}

// Discard reads the rest of the body, so that the connection can be reused. One that is longer than
// maxDiscardBytes or takes longer than discardTimeout may have no end: the connection is then not
// reused.
func (b *Body) Discard() error {
	if b.done {
		return nil
	}
	b.unused = true
	timer := time.AfterFunc(discardTimeout, func() {
		_ = b.conn.net.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	})
	_, err := io.CopyN(io.Discard, b, maxDiscardBytes)
	if !timer.Stop() || !b.done {
		b.conn.reusable = false
	}
	switch {
	case b.done:
		return nil
	case err != nil:
		return err
	}
	return errTooLong
}
