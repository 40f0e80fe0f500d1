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
)

const (
	// wholeBytes is the largest answer that is read before any of it is sent
	// on, so that one that breaks can still be repeated or refused.
	wholeBytes = 256 << 10
	// pieceBytes is read at once of a longer answer or a stream.
	pieceBytes = 16 << 10
)

var errUnsigned = errors.New("a success without the server's signature")

// relay passes an answer on.
func (c *call) relay(x *exchange) result {
	status := x.head.StatusCode()
	success := isSuccess(status)
	if success && len(httpfield.Value(x.head, c.gate.options.Names.Signature)) == 0 {
		c.cause = errUnsigned.Error()
		return failed
	}
	if success && c.route.Kind == wheelgauge.RouteStream {
		return c.relayStream(x)
	}
	if c.request.Begun() {
		// A resumed stream was answered with a failure.
		c.cause = fmt.Sprintf("resume answered %d", status)
		return failed
	}
	return c.relayWhole(x)
}

// relayWhole passes on an answer that is not a stream.
func (c *call) relayWhole(x *exchange) result {
	status := x.head.StatusCode()
	if x.body.Length() > wholeBytes {
		return c.relayLong(x, nil)
	}
	body, err := io.ReadAll(io.LimitReader(x.body, wholeBytes))
	if err != nil {
		x.broken = err
		c.cause = err.Error()
		return failed
	}
	x.first()
	if len(body) == wholeBytes {
		return c.relayLong(x, body)
	}
	length := len(body)
	if c.request.Header().IsHead() && x.head.ContentLength() > 0 {
		length = x.head.ContentLength()
	}
	c.status = status
	c.request.Begin(status, answerFields(x.head), length)
	if _, err := c.request.Write(body); err != nil {
		return c.lost(err)
	}
	if err := c.request.End(); err != nil {
		return c.lost(err)
	}
	return answered
}

// lost ends a request whose caller does not take the answer.
func (c *call) lost(err error) result {
	c.leave()
	c.cause = err.Error()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.options.Meter.Count("answers.unread")
		c.cause = "caller does not read its answer: " + c.cause
	}
	return answered
}

// relayLong passes on a long answer piece by piece; begun holds what was read.
func (c *call) relayLong(x *exchange, begun []byte) result {
	c.status = x.head.StatusCode()
	c.request.Begin(c.status, answerFields(x.head), max(-1, x.body.Length()))
	piece := make([]byte, pieceBytes)
	for {
		if _, err := c.request.Write(begun); err != nil {
			return c.lost(err)
		}
		n, err := x.body.Read(piece)
		begun = piece[:n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			x.broken = err
			c.fail(err.Error(), "")
			return answered
		}
	}
	if _, err := c.request.Write(begun); err != nil {
		return c.lost(err)
	}
	if err := c.request.End(); err != nil {
		return c.lost(err)
	}
	return answered
}

// relayStream passes on whole events. A stream that breaks is resumed where
// its route allows, else cut.
func (c *call) relayStream(x *exchange) result {
	piece := make([]byte, pieceBytes)
	for {
		n, err := x.body.Read(piece)
		whole, ok := c.splitter.Feed(piece[:n])
		if len(whole) > 0 {
			x.first()
			if sendErr := c.sendEvents(x, whole); sendErr != nil {
				return c.lost(sendErr)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.endStream(x)
		case err != nil:
			x.broken = err
			return c.broken(err)
		case !ok:
			return c.broken(errors.New("an event is too long"))
		}
	}
}

func (c *call) sendEvents(x *exchange, whole []byte) error {
	now := time.Now()
	if !c.request.Begun() {
		c.status = x.head.StatusCode()
		c.request.Begin(http.StatusOK, answerFields(x.head), -1)
		c.lastAt = now
	}
	c.pause = max(c.pause, now.Sub(c.lastAt))
	c.lastAt = now
	_, err := c.request.Write(whole)
	return err
}

// endStream completes a stream; what follows the last whole event belongs to it.
func (c *call) endStream(x *exchange) result {
	if rest := c.splitter.Rest(); len(rest) > 0 || !c.request.Begun() {
		if err := c.sendEvents(x, rest); err != nil {
			return c.lost(err)
		}
	}
	x.first()
	if err := c.request.End(); err != nil {
		return c.lost(err)
	}
	return answered
}

// broken drops what came of an unfinished event and remembers where to resume.
func (c *call) broken(err error) result {
	c.cause = err.Error()
	c.splitter.Rest()
	if id := c.splitter.LastID(); id != "" {
		c.lastEvent = id
	}
	return failed
}
