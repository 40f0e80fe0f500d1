package callerhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/connclose"
)

const (
	// maxWriteBytes bounds one write.
	maxWriteBytes = 8 << 10
	// lateWriteTime is for answers that come at the last moment of their request: what the longest
	// one that is read whole before it is passed on takes on a narrow link.
	lateWriteTime = 500 * time.Millisecond
)

// Lengths of a response's body that is not known when it starts.
const (
	// UnknownLength is that of a response whose end the handler vouches for with End.
	UnknownLength = -1
	// UnknownEnd is that of a response for whose end nobody vouches: it has neither a length nor
	// chunks and ends with its connection, for HTTP/1.1 callers too.
	UnknownEnd = -2
)

// Request is a request with the methods to respond to it. A handler calls exactly
// one of Respond, StartResponse, RespondError and Abort first.
type Request struct {
	conn       *conn
	request    fasthttp.Request
	arrived    time.Time
	closeAfter bool
	// unread is the length of a body that was not read, unknownRest if it is not known.
	unread   int
	started  bool
	finished bool
	chunked  bool
	// endsWithConn is set for a response that ends with its connection.
	endsWithConn bool
	pendingHead  []byte // sent with the first part of the body
	length       int
	written      int
	// expires returns when the time of the request is over; nil if it is not bounded.
	expires func() time.Time
}

// Field is a header field.
type Field struct {
	name  []byte
	value []byte
}

// NewField returns a header field.
func NewField(name, value string) Field { return Field{name: []byte(name), value: []byte(value)} }

// Header returns the request's header.
func (r *Request) Header() *fasthttp.RequestHeader { return &r.request.Header }

// Body returns the whole body of the request; nothing before it has been read.
func (r *Request) Body() []byte { return r.request.Body() }

// BodyRead reports whether the whole body has been read.
func (r *Request) BodyRead() bool { return r.unread == 0 }

// Arrived returns when the request's first byte was received.
func (r *Request) Arrived() time.Time { return r.arrived }

// Disconnected reports whether the caller was found to have disconnected.
func (r *Request) Disconnected() bool { return r.conn.callerLeft.Load() }

// Cancel cancels the context of the request's handler with a cause. It is safe for concurrent use.
func (r *Request) Cancel(cause error) {
	if cancel := r.conn.currentCancel(); cancel != nil {
		cancel(cause)
	}
}

// SetExpiry sets what tells when the time of the request is over. Until then its caller may read the
// answer as slowly as it likes; without it, Options.WriteTimeout bounds each write. expires is
// called from other goroutines, also while a write is in progress, as the time may change.
func (r *Request) SetExpiry(expires func() time.Time) { r.expires = expires }

// SetOwner sets the owner of the connection, until the next request sets another. It returns
// false if the owner has more than its part of the requests in progress while places are short
// (Options.ShareConns); the request should be refused then. Requests without an owner ("") are
// not counted.
func (r *Request) SetOwner(owner string) bool { return r.conn.server.shares.setOwner(r.conn, owner) }

// Started reports whether a response was started.
func (r *Request) Started() bool { return r.started }

// EndsWithConn reports whether the response that was started ends with its connection, so that
// End claims nothing about whether it is complete.
func (r *Request) EndsWithConn() bool { return r.endsWithConn }

// StartResponse sets the head of a response whose body follows by Write and ends with
// End; the head is sent with the first part of the body. length is that of the
// body, UnknownLength or UnknownEnd. To an HTTP/1.0 caller, a body of unknown length ends when
// the connection closes.
func (r *Request) StartResponse(status int, fields []Field, length int) {
	if r.conn.server.draining.Load() || !r.canDropBody() {
		r.closeAfter = true
	}
	noBody := r.request.Header.IsHead() || status == http.StatusNoContent || status == http.StatusNotModified
	head := appendHead(nil, status, fields)
	switch {
	case length >= 0:
		if status != http.StatusNoContent { // RFC 9110, 8.6
			head = appendField(head, "Content-Length", strconv.Itoa(length))
		}
		r.length = length
	case noBody:
	case length == UnknownLength && r.request.Header.IsHTTP11():
		head = appendField(head, "Transfer-Encoding", "chunked")
		r.length, r.chunked = UnknownLength, true
	default:
		r.length, r.closeAfter, r.endsWithConn = UnknownEnd, true, true
		connclose.ResetOnClose(r.conn.net, true)
	}
	if noBody {
		r.length = 0
	}
	if r.closeAfter {
		head = appendField(head, "Connection", "close")
	}
	head = append(head, '\r', '\n')
	r.started = true
	r.pendingHead = head
}

func (r *Request) send(p []byte) error {
	if len(r.pendingHead) > 0 {
		first := min(len(p), maxWriteBytes)
		head := append(r.pendingHead, p[:first]...)
		r.pendingHead, p = nil, p[first:]
		if err := r.conn.write(head, r.writeBound()); err != nil {
			return err
		}
	}
	for part := range slices.Chunk(p, maxWriteBytes) {
		if err := r.conn.write(part, r.writeBound()); err != nil {
			return err
		}
	}
	return nil
}

// writeBound returns until when a write that begins now may take.
func (r *Request) writeBound() func() time.Time {
	if until := r.expires; until != nil {
		return func() time.Time { return until().Add(lateWriteTime) }
	}
	until := time.Now().Add(r.conn.server.options.WriteTimeout)
	return func() time.Time { return until }
}

// Write sends a part of the body immediately.
func (r *Request) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.length >= 0 && r.written+len(p) > r.length {
		return 0, errors.New("write to caller: body longer than its Content-Length")
	}
	r.written += len(p)
	if !r.chunked {
		return len(p), r.send(p)
	}
	chunk := strconv.AppendInt(make([]byte, 0, len(p)+16), int64(len(p)), 16)
	chunk = append(chunk, crlf...)
	chunk = append(chunk, p...)
	return len(p), r.send(append(chunk, crlf...))
}

// End completes the response. If the body is shorter than its Content-Length, the
// connection is cut instead.
func (r *Request) End() error {
	if r.length >= 0 && r.written != r.length {
		r.Abort()
		return errors.New("end response: body shorter than its Content-Length")
	}
	var tail []byte
	if r.chunked {
		tail = []byte("0\r\n\r\n")
	}
	if len(tail)+len(r.pendingHead) > 0 {
		if err := r.send(tail); err != nil {
			return err
		}
	}
	r.finished = true
	if r.endsWithConn {
		connclose.ResetOnClose(r.conn.net, false)
	}
	return nil
}

// Respond sends a complete response.
func (r *Request) Respond(status int, fields []Field, body []byte) error {
	r.StartResponse(status, fields, len(body))
	if r.length > 0 {
		if _, err := r.Write(body); err != nil {
			return err
		}
	}
	return r.End()
}

// Abort closes the connection without completing the response, so that the caller
// detects the truncation. A response that ends with its connection is reset.
func (r *Request) Abort() {
	r.closeAfter = true
	r.finished = false
}

// RespondError responds with the gateway's own error. While places are short, a refusal ends
// the connection.
func (r *Request) RespondError(e *wheelgauge.Error) {
	r.expires = nil // it also tells that the time is over
	body, err := json.Marshal(e)
	if err != nil {
		body = []byte(`{"reason":"internal","outcome":"unknown","status":500}`)
	}
	fields := []Field{NewField("Content-Type", "application/json"), NewField(wheelgauge.HeaderOutcome, string(e.Outcome())), NewField(wheelgauge.HeaderReason, string(e.Reason()))}
	if retryAfter := e.RetryAfter(); retryAfter > 0 {
		fields = append(fields, NewField("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)))
	}
	if sends := e.Sends(); sends > 0 {
		fields = append(fields, NewField(wheelgauge.HeaderSends, strconv.Itoa(sends)))
	}
	if version := e.Version(); version > 0 {
		fields = append(fields, NewField(wheelgauge.HeaderConfigVersion, strconv.FormatUint(version, 10)))
	}
	if refuses(e) && r.conn.server.shares.short() {
		r.closeAfter = true
	}
	// Fails only if the caller has disconnected.
	_ = r.Respond(e.Status(), fields, body)
}

// refuses reports whether a caller that gets e tries again elsewhere or later, on a new
// connection, or not at all.
func refuses(e *wheelgauge.Error) bool {
	if e.Outcome() != wheelgauge.OutcomeNotRun {
		return false
	}
	switch e.Status() {
	case http.StatusUnauthorized, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func appendHead(dst []byte, status int, fields []Field) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(status)...)
	dst = append(dst, crlf...)
	for _, f := range fields {
		dst = appendField(dst, f.name, f.value)
	}
	return dst
}

func appendField[T string | []byte](dst []byte, name, value T) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, crlf...)
}

// isDisconnect reports whether err means that the peer closed the connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
