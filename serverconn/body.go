package serverconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// Body is the body of an answer. Read returns io.EOF only when the answer is
// complete.
type Body struct {
	conn   *Conn
	length int
	left   int
	chunks io.Reader
	done   bool
}

func newBody(c *Conn, h *fasthttp.ResponseHeader, isHead bool) *Body {
	b := &Body{conn: c, length: h.ContentLength()}
	status := h.StatusCode()
	if isHead || status == http.StatusNoContent || status == http.StatusNotModified {
		b.length = 0
	}
	if h.ConnectionClose() {
		c.reusable = false
	}
	switch b.length {
	case -1:
		b.chunks = httputil.NewChunkedReader(c.in)
	case -2:
		c.reusable = false // it ends with the connection
	default:
		b.left = b.length
		b.done = b.left == 0
	}
	return b
}

// Length returns the announced length, less than 0 when there is none.
func (b *Body) Length() int { return b.length }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	switch b.length {
	case -1:
		return b.readChunk(p)
	case -2:
		return b.readOpen(p)
	}
	n, err := b.conn.in.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.done = b.left == 0
	if err != nil && !b.done {
		return n, b.broken(err)
	}
	return n, nil
}

func (b *Body) readChunk(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, b.broken(err)
	}
	// The empty line after the last chunk; trailers are not expected.
	var end [2]byte
	if _, err := io.ReadFull(b.conn.in, end[:]); err != nil || string(end[:]) != "\r\n" {
		b.conn.reusable = false
	}
	b.done = true
	return n, io.EOF
}

// readOpen reads a body that ends with the connection: a reset is no end.
func (b *Body) readOpen(p []byte) (int, error) {
	n, err := b.conn.in.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		return n, b.broken(err)
	}
	b.done = true
	return n, io.EOF
}

func (b *Body) broken(err error) error {
	b.conn.reusable = false
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("read body: %w", err)
}

// Discard reads the rest, so that the connection can be used again.
func (b *Body) Discard() error {
	_, err := io.Copy(io.Discard, b)
	return err
}
