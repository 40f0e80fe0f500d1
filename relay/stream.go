// Package relay passes an event stream on with bounded memory. It hands on
// whole events only, so that a stream that breaks can be resumed after the last
// one, and ends a stream that cannot be resumed as broken, never as complete.
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
	waitingEvents  = 16
	readBytes      = 4 << 10
	maxEvent       = 1 << 20
	keepAliveEvery = time.Second
	mostResumes    = 2
)

var (
	keepAlive  = []byte(": keep-alive\n\n")
	separator  = []byte("\n\n")
	dataPrefix = []byte("data: ")
	doneEvent  = []byte("data: [DONE]")

	errEventTooLong = errors.New("relay: event too long")
	errNotComplete  = errors.New("relay: stream ended before its last event")
)

// Resume asks for the rest of a stream after skip tokens.
type Resume func(ctx context.Context, skip int) (*wheelgauge.Answer, error)

// Ending is how a stream ended.
type Ending struct {
	Tokens   int
	Complete bool
	// Left is true when the caller went away.
	Left    bool
	Resumes int
	// FirstAfter is the time from the start of the request to the first token.
	FirstAfter time.Duration
}

// Stream is the body of an answer to a caller. Read and Close follow io.
type Stream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	resume  Resume
	dead    func() bool
	onEnd   func(Ending)
	started time.Time

	events chan []byte
	done   chan error
	rest   []byte
	failed bool

	mu      sync.Mutex
	answer  *wheelgauge.Answer
	closed  bool
	ending  Ending
	closing sync.Once
	timer   *time.Timer
}

// Options of a Stream.
type Options struct {
	// Started is the start of the request, for the time to the first token.
	Started time.Time
	// Resume may be nil: the stream is then never resumed.
	Resume Resume
	// Dead tells, while the backend server is silent, that it is known to be
	// gone; may be nil.
	Dead func() bool
	// OnEnd is called once, from Close.
	OnEnd func(Ending)
}

// New relays answer.
func New(ctx context.Context, answer *wheelgauge.Answer, o Options) *Stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{
		ctx: ctx, cancel: cancel, resume: o.Resume, dead: o.Dead, onEnd: o.OnEnd, started: o.Started, answer: answer,
		events: make(chan []byte, waitingEvents), done: make(chan error, 1), timer: time.NewTimer(keepAliveEvery),
	}
	go func() { s.done <- s.pump() }()
	return s
}

// Read implements io.Reader. It returns a comment now and then while the
// backend server is silent, so that a caller who left is noticed.
func (s *Stream) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		if err := s.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

func (s *Stream) next() error {
	s.timer.Reset(keepAliveEvery)
	select {
	case event, ok := <-s.events:
		if ok {
			s.rest = event
			return nil
		}
		return s.last()
	case <-s.timer.C:
		s.rest = keepAlive
		if s.resume != nil && s.dead != nil && s.dead() {
			s.abort()
		}
		return nil
	}
}

// last ends a complete stream, or tells once that it is broken and then fails,
// which cuts the caller's connection.
func (s *Stream) last() error {
	if s.Ending().Complete {
		return io.EOF
	}
	if s.failed {
		return io.ErrUnexpectedEOF
	}
	s.failed = true
	fault := wheelgauge.NewError(wheelgauge.ReasonBrokenStream, wheelgauge.OutcomeRan, 502, "the stream broke and could not be resumed")
	body, err := json.Marshal(fault)
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	s.rest = append(append([]byte("event: error\ndata: "), body...), separator...)
	return nil
}

// Ending returns how far the stream has come.
func (s *Stream) Ending() Ending {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// Close ends the relay and waits for it.
func (s *Stream) Close() error {
	s.closing.Do(func() {
		s.cancel()
		s.abort()
		for range s.events {
			continue
		}
		err := <-s.done
		s.timer.Stop()
		e := s.Ending()
		e.Left = !e.Complete && errors.Is(err, context.Canceled)
		s.onEnd(e)
	})
	return nil
}

// pump reads the backend server's stream until it is complete or lost.
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
		if !s.again() {
			return err
		}
	}
}

// abort ends a read of the answer that is under way.
func (s *Stream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.answer.Abort()
	}
}

// closeBody gives the connection back, from which time it must not be aborted.
func (s *Stream) closeBody() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.answer.Body.Close() // its reads have told all there is to tell
	s.closed = true
}

// again replaces a broken answer by one that goes on after the last token.
func (s *Stream) again() bool {
	e := s.Ending()
	if s.resume == nil || e.Resumes >= mostResumes {
		return false
	}
	answer, err := s.resume(s.ctx, e.Tokens)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.closed = answer, false
	s.ending.Resumes++
	return true
}

// copyEvents hands on whole events. It returns nil after the last one.
func (s *Stream) copyEvents(body io.Reader) error {
	var pending []byte
	buf := make([]byte, readBytes)
	for {
		n, err := body.Read(buf)
		pending = append(pending, buf[:n]...)
		rest, complete, sendErr := s.sendWhole(pending)
		if complete {
			// Reading to the end lets the connection be used again.
			_, _ = io.CopyN(io.Discard, body, readBytes)
		}
		if complete || sendErr != nil {
			return sendErr
		}
		pending = append(pending[:0], rest...)
		if len(pending) > maxEvent {
			return errEventTooLong
		}
		if err == io.EOF {
			return errNotComplete
		}
		if err != nil {
			return err
		}
	}
}

func (s *Stream) sendWhole(pending []byte) (rest []byte, complete bool, err error) {
	end := bytes.LastIndex(pending, separator)
	if end < 0 {
		return pending, false, nil
	}
	end += len(separator)
	whole := bytes.Clone(pending[:end])
	complete = s.count(whole)
	select {
	case s.events <- whole:
		return pending[end:], complete, nil
	case <-s.ctx.Done():
		return nil, false, s.ctx.Err()
	}
}

// count counts the tokens among whole events and tells whether the last came.
func (s *Stream) count(whole []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for event := range bytes.SplitSeq(whole, separator) {
		switch {
		case bytes.HasPrefix(event, doneEvent):
			s.ending.Complete = true
			return true
		case bytes.HasPrefix(event, dataPrefix):
			if s.ending.Tokens == 0 {
				s.ending.FirstAfter = time.Since(s.started)
			}
			s.ending.Tokens++
		}
	}
	return false
}
