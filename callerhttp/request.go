package callerhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

// writePiece is what a caller must take within Options.Unread, in bytes.
const writePiece = 8 << 10

// Request is one request with the means to answer it. Exactly one of Answer,
// Begin, Refuse and Cut begins the answer.
type Request struct {
	conn     *conn
	request  fasthttp.Request
	arrived  time.Time
	last     bool
	begun    bool
	finished bool
	chunked  bool
	head     []byte // not sent yet: it leaves with the first part of the body
	length   int
	written  int
}

// Field is one header line.
type Field struct {
	name  []byte
	value []byte
}

// NewField returns a header line.
func NewField(name, value string) Field { return Field{name: []byte(name), value: []byte(value)} }

// Header returns the request's header.
func (r *Request) Header() *fasthttp.RequestHeader { return &r.request.Header }

// Body returns the whole body.
func (r *Request) Body() []byte { return r.request.Body() }

// Arrived returns when the request's first byte was there.
func (r *Request) Arrived() time.Time { return r.arrived }

// Left tells whether the caller was seen to have left.
func (r *Request) Left() bool { return r.conn.left.Load() }

// Interrupt ends the context that the request is served with; safe from any goroutine.
func (r *Request) Interrupt() {
	if cancel := r.conn.serving(); cancel != nil {
		cancel()
	}
}

// Begun tells whether bytes of an answer have left.
func (r *Request) Begun() bool { return r.begun }

// Begin sets the head of an answer whose body follows by Write and ends with
// End; the head leaves with the first part of the body. length is that of the
// body, -1 when it is not known. A body that cannot be announced to an HTTP/1.0
// caller ends with the connection.
func (r *Request) Begin(status int, fields []Field, length int) {
	if r.conn.server.draining.Load() {
		r.last = true
	}
	bodiless := r.request.Header.IsHead() || status == http.StatusNoContent || status == http.StatusNotModified
	head := appendHead(nil, status, fields)
	switch {
	case bodiless && length < 0:
		r.length = 0
	case length >= 0:
		head = appendLine(head, "Content-Length", strconv.Itoa(length))
		r.length = length
	case r.request.Header.IsHTTP11():
		head = appendLine(head, "Transfer-Encoding", "chunked")
		r.length = -1
	default:
		r.length, r.last = -1, true
	}
	if bodiless {
		r.length = 0
	}
	if r.last {
		head = appendLine(head, "Connection", "close")
	}
	head = append(head, '\r', '\n')
	r.begun = true
	r.chunked = r.length < 0 && r.request.Header.IsHTTP11()
	r.head = head
}

func (r *Request) send(p []byte) error {
	if len(r.head) > 0 {
		p = append(r.head, p...)
		r.head = nil
	}
	for piece := range slices.Chunk(p, writePiece) {
		_ = r.conn.net.SetWriteDeadline(time.Now().Add(r.conn.server.options.Unread)) // a closed connection fails below
		if _, err := r.conn.net.Write(piece); err != nil {
			return fmt.Errorf("write to caller: %w", err)
		}
	}
	return nil
}

// Write sends a part of the body at once.
func (r *Request) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.length >= 0 && r.written+len(p) > r.length {
		return 0, errors.New("write to caller: more than announced")
	}
	r.written += len(p)
	if !r.chunked {
		return len(p), r.send(p)
	}
	piece := strconv.AppendInt(make([]byte, 0, len(p)+16), int64(len(p)), 16)
	piece = append(piece, lineEnd...)
	piece = append(piece, p...)
	return len(p), r.send(append(piece, lineEnd...))
}

// End completes the answer. An answer shorter than announced is cut instead.
func (r *Request) End() error {
	if r.length >= 0 && r.written != r.length {
		r.Cut()
		return errors.New("end answer: shorter than announced")
	}
	var tail []byte
	if r.chunked {
		tail = []byte("0\r\n\r\n")
	}
	if len(tail)+len(r.head) > 0 {
		if err := r.send(tail); err != nil {
			return err
		}
	}
	r.finished = true
	return nil
}

// Answer sends a whole answer.
func (r *Request) Answer(status int, fields []Field, body []byte) error {
	r.Begin(status, fields, len(body))
	if r.length > 0 {
		if _, err := r.Write(body); err != nil {
			return err
		}
	}
	return r.End()
}

// Cut ends the connection so that the answer cannot look complete.
func (r *Request) Cut() {
	r.last = true
	r.finished = false
}

// Refuse answers with an error of the product's own.
func (r *Request) Refuse(e *wheelgauge.Error) {
	body, err := json.Marshal(e)
	if err != nil {
		body = []byte(`{"reason":"internal","outcome":"unknown","status":500}`)
	}
	fields := []Field{NewField("Content-Type", "application/json"), NewField(wheelgauge.HeaderOutcome, string(e.Outcome())), NewField(wheelgauge.HeaderReason, string(e.Reason()))}
	if wait := e.RetryAfter(); wait > 0 {
		fields = append(fields, NewField("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)))
	}
	if sends := e.Sends(); sends > 0 {
		fields = append(fields, NewField(wheelgauge.HeaderSends, strconv.Itoa(sends)))
	}
	// A caller that has left does not read it.
	_ = r.Answer(e.Status(), fields, body)
}

func appendHead(dst []byte, status int, fields []Field) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(status)...)
	dst = append(dst, lineEnd...)
	for _, f := range fields {
		dst = appendLine(dst, f.name, f.value)
	}
	return dst
}

func appendLine[T string | []byte](dst []byte, name, value T) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, lineEnd...)
}

// gone tells whether err says that the other side has left.
func gone(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
