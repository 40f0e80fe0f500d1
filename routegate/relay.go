package routegate

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	errInsideEvent  = fmt.Errorf("the stream ends inside an event: %w", io.ErrUnexpectedEOF)
	errUnvouchedEnd = fmt.Errorf("the connection ends without an end of the stream: %w", io.ErrUnexpectedEOF)
	errServerGone   = fmt.Errorf("the connection ends and the server refuses a new one: %w", io.ErrUnexpectedEOF)
)

// relay passes an answer on to the caller. It claims no more about the end of the answer than the
// server did: one that ends with its connection ends so for the caller too.
func (c *call) relay(ctx context.Context, x *exchange) result {
	c.recordFraming(x)
	c.failedBy = x.ender()
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
		return c.relayStream(ctx, x)
	}
	if c.request.Started() {
		// The server did not resume the stream: its answer is no success.
		c.cause = fmt.Sprintf("resume answered %d", status)
		return failed
	}
	return c.relayBuffered(ctx, x)
}

// relayBuffered relays an answer that is not a stream, and reads it completely first if it is
// small.
func (c *call) relayBuffered(ctx context.Context, x *exchange) result {
	status := x.head.StatusCode()
	if x.body.Length() > maxBufferedBytes {
		return c.relayUnbuffered(ctx, x, nil)
	}
	body, err := io.ReadAll(io.LimitReader(x.body, maxBufferedBytes))
	if err != nil {
		x.err = err
		c.cause = err.Error()
		return failed
	}
	x.noteFirstByte()
	if len(body) == maxBufferedBytes {
		return c.relayUnbuffered(ctx, x, body)
	}
	if x.endedByCrash(ctx) {
		x.err = errServerGone
		c.cause = x.err.Error()
		return failed
	}
	c.status = status
	c.request.StartResponse(status, responseFields(x.head), x.bufferedLength(len(body)))
	if err := x.write(body); err != nil {
		return c.endWriteFailed(ctx, err)
	}
	if err := c.request.End(); err != nil {
		return c.endWriteFailed(ctx, err)
	}
	return answered
}

// relayUnbuffered relays a large answer as it arrives; buffered holds what was already read.
func (c *call) relayUnbuffered(ctx context.Context, x *exchange, buffered []byte) result {
	c.status = x.head.StatusCode()
	c.request.StartResponse(c.status, responseFields(x.head), x.lengthOrOpen(x.body.Length()))
	buf := make([]byte, relayBufferBytes)
	for {
		if err := x.write(buffered); err != nil {
			return c.endWriteFailed(ctx, err)
		}
		n, err := x.body.Read(buf)
		buffered = buf[:n]
		if errors.Is(err, io.EOF) && !x.endedByCrash(ctx) {
			break
		}
		if errors.Is(err, io.EOF) {
			err = errServerGone
		}
		if err != nil {
			x.err = err
			c.fail(err.Error(), "")
			return answered
		}
	}
	if err := x.write(buffered); err != nil {
		return c.endWriteFailed(ctx, err)
	}
	if err := c.request.End(); err != nil {
		return c.endWriteFailed(ctx, err)
	}
	return answered
}

// relayStream relays complete events. A broken stream is resumed if its route allows that, and
// closed otherwise.
func (c *call) relayStream(ctx context.Context, x *exchange) result {
	buf := make([]byte, relayBufferBytes)
	for {
		x.send.Await()
		n, err := x.body.Read(buf)
		if n > 0 && x.send.Received() {
			c.logReached()
		}
		if err != nil {
			x.send.End()
		}
		complete, ok := c.splitter.Feed(buf[:n])
		if len(complete) > 0 {
			x.noteFirstByte()
			if sendErr := c.writeEvents(x, complete); sendErr != nil {
				return c.endWriteFailed(ctx, sendErr)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(ctx, x)
		case err != nil:
			return c.endBrokenStream(x, err)
		case !ok:
			return c.endBrokenStream(x, errors.New("an event is too long"))
		}
	}
}

func (c *call) writeEvents(x *exchange, complete []byte) error {
	now := time.Now()
	c.recordOrigin(x)
	if !c.request.Started() {
		c.status = x.head.StatusCode()
		c.request.StartResponse(c.status, c.streamFields(x), c.streamLength(x))
		c.lastEventAt = now
	}
	c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	c.lastEventAt = now
	x.pace.arrived(now)
	x.recordOutput(now)
	return x.write(complete)
}

// write passes a part of the answer on to the caller.
func (x *exchange) write(p []byte) error {
	began := time.Now()
	_, err := x.call.request.Write(p)
	x.pace.written(began, time.Now())
	return err
}

// endStream completes a stream, unless its end shows that it was broken off.
func (c *call) endStream(ctx context.Context, x *exchange) result {
	if err := c.checkStreamEnd(ctx, x); err != nil {
		return c.endBrokenStream(x, err)
	}
	if rest := c.splitter.TakePending(); len(rest) > 0 || !c.request.Started() {
		if err := c.writeEvents(x, rest); err != nil {
			return c.endWriteFailed(ctx, err)
		}
	}
	x.noteFirstByte()
	x.recordEnd()
	if err := c.request.End(); err != nil {
		return c.endWriteFailed(ctx, err)
	}
	return answered
}

// checkStreamEnd returns why a stream whose answer ended must not be passed on as it is.
func (c *call) checkStreamEnd(ctx context.Context, x *exchange) error {
	if c.splitter.InsideEvent() && isEventStream(x.head) {
		return errInsideEvent
	}
	if x.body.Framing() != serverconn.Unframed {
		return nil
	}
	// The head already promises a last chunk that this answer does not vouch for, or not even the
	// first event came.
	promised := c.request.Started() && !c.request.EndsWithConn()
	empty := !c.request.Started() && c.lastEventID == "" && c.splitter.Events() == 0
	if promised || empty {
		return errUnvouchedEnd
	}
	if x.endedByCrash(ctx) {
		return errServerGone
	}
	return nil
}

// endBrokenStream discards an incomplete event and records the event ID to resume from.
func (c *call) endBrokenStream(x *exchange, err error) result {
	x.err = err
	c.cause = err.Error()
	c.recordPartial(c.splitter.TakePending())
	if id := c.splitter.LastID(); id != "" {
		c.lastEventID = id
	}
	return failed
}
