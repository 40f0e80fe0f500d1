package routegate

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"wheelgauge"
	"wheelgauge/httpfield"
	"wheelgauge/serverconn"
)

const (
	// maxBufferedBytes is the size below which an answer is read completely before any of it
	// is relayed, so that a truncated one can still be retried or refused.
	maxBufferedBytes = 256 << 10
	// relayBufferBytes is the read size for larger answers and streams.
	relayBufferBytes = 16 << 10
)

var (
	errUnsigned     = errors.New("a success without the server's signature")
	errOtherVersion = errors.New("answered by another version than the one that began the stream")
)

// relay passes an answer on to the caller.
func (c *call) relay(x *exchange) result {
	c.recordFraming(x)
	status := x.head.StatusCode()
	success := isSuccess(status)
	if success && len(httpfield.Value(x.head, c.gate.options.Names.Signature)) == 0 {
		c.cause = errUnsigned.Error()
		return failed
	}
	if success && c.route.Kind == wheelgauge.RouteStream {
		if !c.mayDeliver(x) {
			x.err = errOtherVersion
			c.cause = x.err.Error()
			return failed
		}
		return c.relayStream(x)
	}
	if c.request.Started() {
		// The server did not resume the stream: its answer is no success.
		c.cause = fmt.Sprintf("resume answered %d", status)
		return failed
	}
	return c.relayBuffered(x)
}

// recordFraming records how the end of an answer is marked.
func (c *call) recordFraming(x *exchange) {
	c.framing, c.partialBytes = x.body.Framing(), 0
	if c.framing == serverconn.Unframed {
		c.gate.options.Meter.Count("answers.unframed")
	}
}

// recordPartial records that a stream ended after a part of an event.
func (c *call) recordPartial(rest []byte) {
	c.partialBytes = len(rest)
	if len(rest) > 0 {
		c.gate.options.Meter.Count("answers.ended_inside_event")
	}
}

// relayBuffered relays an answer that is not a stream, and reads it completely first if it is
// small.
func (c *call) relayBuffered(x *exchange) result {
	status := x.head.StatusCode()
	if x.body.Length() > maxBufferedBytes {
		return c.relayUnbuffered(x, nil)
	}
	body, err := io.ReadAll(io.LimitReader(x.body, maxBufferedBytes))
	if err != nil {
		x.err = err
		c.cause = err.Error()
		return failed
	}
	x.noteFirstByte()
	if len(body) == maxBufferedBytes {
		return c.relayUnbuffered(x, body)
	}
	length := len(body)
	if c.request.Header().IsHead() && x.head.ContentLength() > 0 {
		length = x.head.ContentLength()
	}
	c.status = status
	c.request.StartResponse(status, responseFields(x.head), length)
	if _, err := c.request.Write(body); err != nil {
		return c.endWriteFailed(err)
	}
	if err := c.request.End(); err != nil {
		return c.endWriteFailed(err)
	}
	return answered
}

// endWriteFailed ends a request whose caller does not accept the answer.
func (c *call) endWriteFailed(err error) result {
	c.endCallerLeft()
	c.cause = err.Error()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.options.Meter.Count("answers.unread")
		c.cause = "caller does not read its answer: " + c.cause
	}
	return answered
}

// relayUnbuffered relays a large answer as it arrives; buffered holds what was already read.
func (c *call) relayUnbuffered(x *exchange, buffered []byte) result {
	c.status = x.head.StatusCode()
	c.request.StartResponse(c.status, responseFields(x.head), max(-1, x.body.Length()))
	buf := make([]byte, relayBufferBytes)
	for {
		if _, err := c.request.Write(buffered); err != nil {
			return c.endWriteFailed(err)
		}
		n, err := x.body.Read(buf)
		buffered = buf[:n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			x.err = err
			c.fail(err.Error(), "")
			return answered
		}
	}
	if _, err := c.request.Write(buffered); err != nil {
		return c.endWriteFailed(err)
	}
	if err := c.request.End(); err != nil {
		return c.endWriteFailed(err)
	}
	return answered
}

// relayStream relays complete events. A broken stream is resumed if its route allows that, and
// closed otherwise.
func (c *call) relayStream(x *exchange) result {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := x.body.Read(buf)
		complete, ok := c.splitter.Feed(buf[:n])
		if len(complete) > 0 {
			x.noteFirstByte()
			if sendErr := c.writeEvents(x, complete); sendErr != nil {
				return c.endWriteFailed(sendErr)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(x)
		case err != nil:
			x.err = err
			return c.endBrokenStream(err)
		case !ok:
			return c.endBrokenStream(errors.New("an event is too long"))
		}
	}
}

func (c *call) writeEvents(x *exchange, complete []byte) error {
	now := time.Now()
	c.recordOrigin(x)
	if !c.request.Started() {
		c.status = x.head.StatusCode()
		c.request.StartResponse(http.StatusOK, c.streamFields(x), -1)
		c.lastEventAt = now
	}
	c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	c.lastEventAt = now
	x.pace.arrived(now)
	_, err := c.request.Write(complete)
	x.pace.written(now, time.Now())
	return err
}

// endStream completes a stream, including any bytes after the last complete event.
func (c *call) endStream(x *exchange) result {
	rest := c.splitter.TakePending()
	c.recordPartial(rest)
	if len(rest) > 0 || !c.request.Started() {
		if err := c.writeEvents(x, rest); err != nil {
			return c.endWriteFailed(err)
		}
	}
	x.noteFirstByte()
	x.recordEnd()
	if err := c.request.End(); err != nil {
		return c.endWriteFailed(err)
	}
	return answered
}

// endBrokenStream discards an incomplete event and records the event ID to resume from.
func (c *call) endBrokenStream(err error) result {
	c.cause = err.Error()
	c.recordPartial(c.splitter.TakePending())
	if id := c.splitter.LastID(); id != "" {
		c.lastEventID = id
	}
	return failed
}
