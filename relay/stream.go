// Package relay forwards an event stream with bounded memory. It forwards only
// complete events, so that a broken stream can be resumed after the last one.
// A stream that cannot be resumed ends as broken, never as complete.
package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"wheelgauge"
)

const (
	eventBufferSize   = 16
	readBufferBytes   = 4 << 10
	maxEventBytes     = 1 << 20
	keepAliveInterval = time.Second
	maxResumes        = 2
	// outputInterval is the time from the first token of an answer, and then between calls of
	// Options.OnOutput.
	outputInterval = 200 * time.Millisecond
)

var (
	keepAlive  = []byte(": keep-alive\n\n")
	separator  = []byte("\n\n")
	dataPrefix = []byte("data: ")
	doneEvent  = []byte("data: [DONE]")

	errEventTooLong = errors.New("relay: event too long")
	errIncomplete   = errors.New("relay: stream ended before its [DONE] event")
)

// Resume requests the rest of a stream after skip tokens.
type Resume func(ctx context.Context, skip int) (*wheelgauge.Response, error)

// Summary is the outcome of a stream.
type Summary struct {
	Tokens   int
	Complete bool
	// CallerLeft is true if the caller disconnected.
	CallerLeft bool
	Resumes    int
	// TimeToFirstToken is the time from the start of the request to the first token.
	TimeToFirstToken time.Duration
}

// Stream is the body of a response to a caller. It implements io.ReadCloser.
type Stream struct {
	ctx        context.Context
	cancel     context.CancelFunc
	resume     Resume
	serverDead func() bool
	onEnd      func(Summary)
	onOutput   func()
	// outputAt is when OnOutput was last called, the first token of the answer before that.
	outputAt time.Time
	started  time.Time

	events    chan []byte
	done      chan error
	unread    []byte
	errorSent bool

	mu         sync.Mutex
	answer     *wheelgauge.Response
	bodyClosed bool
	summary    Summary
	closing    sync.Once
	timer      *time.Timer
}

// Options of a Stream.
type Options struct {
	// Started is the start of the request, for the time to the first token.
	Started time.Time
	// Resume may be nil; the stream is then never resumed.
	Resume Resume
	// ServerDead reports whether the backend server is known to be dead. It is called
	// while the server is silent; may be nil.
	ServerDead func() bool
	// OnEnd is called once, from Close.
	OnEnd func(Summary)
	// OnOutput is called while tokens arrive some time after the first one; may be nil.
	OnOutput func()
}

// New starts to relay the body of answer.
func New(ctx context.Context, answer *wheelgauge.Response, o Options) *Stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{
		ctx: ctx, cancel: cancel, resume: o.Resume, serverDead: o.ServerDead, onEnd: o.OnEnd, onOutput: o.OnOutput, started: o.Started, answer: answer,
		events: make(chan []byte, eventBufferSize), done: make(chan error, 1), timer: time.NewTimer(keepAliveInterval),
	}
	go func() { s.done <- s.pump() }()
	return s
}

// Read implements io.Reader. While the backend server is silent, it returns a
// comment at intervals, so that a disconnected caller is detected.
func (s *Stream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		if err := s.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *Stream) next() error {
	s.timer.Reset(keepAliveInterval)
	select {
	case event, ok := <-s.events:
		if ok {
			s.unread = event
			return nil
		}
		return s.finish()
	case <-s.timer.C:
		s.unread = keepAlive
		if s.resume != nil && s.serverDead != nil && s.serverDead() {
			s.abort()
		}
		return nil
	}
}

// finish ends a complete stream. For a broken one it first returns an error event,
// and then fails, which cuts the caller's connection.
func (s *Stream) finish() error {
	if s.Summary().Complete {
		return io.EOF
	}
	if s.errorSent {
		return io.ErrUnexpectedEOF
	}
	s.errorSent = true
	streamErr := wheelgauge.NewError(wheelgauge.ReasonBrokenStream, wheelgauge.OutcomeRan, 502, "the stream broke and could not be resumed")
	body, err := json.Marshal(streamErr)
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	s.unread = append(append([]byte("event: error\ndata: "), body...), separator...)
	return nil
}

// Summary returns the progress so far, and the outcome once the stream has ended.
func (s *Stream) Summary() Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.summary
}

// Close stops the relay, waits for it and calls OnEnd.
func (s *Stream) Close() error {
	s.closing.Do(func() {
		s.cancel()
		s.abort()
		for range s.events {
			continue
		}
		err := <-s.done
		s.timer.Stop()
		e := s.Summary()
		e.CallerLeft = !e.Complete && errors.Is(err, context.Canceled)
		s.onEnd(e)
	})
	return nil
}

// pump reads the backend server's stream until it is complete or cannot be resumed.
func (s *Stream) pump() error {
	defer close(s.events)
	for {
		err := s.copyEvents(s.answer.Body)
		s.closeBody()
		if err == nil {
			return nil
		}
		if s.ctx.Err() != nil {
			return s.ctx.Err()
		}
		if !s.tryResume() {
			return err
		}
	}
}

// abort interrupts a read of the response.
func (s *Stream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bodyClosed {
		s.answer.Abort()
	}
}

// closeBody returns the connection to its pool, after which it must not be aborted.
func (s *Stream) closeBody() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.answer.Body.Close() // its reads have returned any error
	s.bodyClosed = true
}

// tryResume replaces a broken response by one that continues after the last token.
func (s *Stream) tryResume() bool {
	e := s.Summary()
	if s.resume == nil || e.Resumes >= maxResumes {
		return false
	}
	answer, err := s.resume(s.ctx, e.Tokens)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.bodyClosed = answer, false
	s.outputAt = time.Time{}
	s.summary.Resumes++
	return true
}

// copyEvents forwards complete events. It returns nil after the [DONE] event.
func (s *Stream) copyEvents(body io.Reader) error {
	var pending []byte
	buf := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buf)
		pending = append(pending, buf[:n]...)
		rest, done, sendErr := s.sendComplete(pending)
		if done {
			// Reading to the end lets the connection be reused.
			_, _ = io.CopyN(io.Discard, body, readBufferBytes)
		}
		if done || sendErr != nil {
			return sendErr
		}
		pending = append(pending[:0], rest...)
		if len(pending) > maxEventBytes {
			return errEventTooLong
		}
		if err == io.EOF {
			return errIncomplete
		}
		if err != nil {
			return err
		}
	}
}

func (s *Stream) sendComplete(pending []byte) (rest []byte, done bool, err error) {
	end := bytes.LastIndex(pending, separator)
	if end < 0 {
		return pending, false, nil
	}
	end += len(separator)
	complete := bytes.Clone(pending[:end])
	done = s.countTokens(complete)
	s.reportOutput(time.Now())
	select {
	case s.events <- complete:
		return pending[end:], done, nil
	case <-s.ctx.Done():
		return nil, false, s.ctx.Err()
	}
}

// reportOutput calls onOutput if an answer has gone on for some time.
func (s *Stream) reportOutput(now time.Time) {
	switch {
	case s.onOutput == nil:
	case s.outputAt.IsZero():
		s.outputAt = now
	case now.Sub(s.outputAt) >= outputInterval:
		s.outputAt = now
		s.onOutput()
	}
}

// IsComplete reports whether a whole stream ends as one that was not broken off.
func IsComplete(stream []byte) bool {
	for event := range bytes.SplitSeq(stream, separator) {
		if bytes.HasPrefix(event, doneEvent) {
			return true
		}
	}
	return false
}

// countTokens counts the tokens in complete events and reports whether [DONE] is among them.
func (s *Stream) countTokens(events []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for event := range bytes.SplitSeq(events, separator) {
		switch {
		case bytes.HasPrefix(event, doneEvent):
			s.summary.Complete = true
			return true
		case bytes.HasPrefix(event, dataPrefix):
			if s.summary.Tokens == 0 {
				s.summary.TimeToFirstToken = time.Since(s.started)
			}
			s.summary.Tokens++
		}
	}
	return false
}
