package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelgauge"
)

func event(i int) string { return fmt.Sprintf("data: {\"t\":%d}\n\n", i) }

func events(from, to int) string {
	out := ""
	for i := from; i < to; i++ {
		out += event(i)
	}
	return out
}

const doneText = "data: [DONE]\n\n"

// scripted is a body that returns pieces and then err, or blocks until aborted if
// err is nil.
type scripted struct {
	mu     sync.Mutex
	pieces []string
	err    error
	abort  chan struct{}
	once   sync.Once
}

func (s *scripted) Read(p []byte) (int, error) {
	s.mu.Lock()
	if len(s.pieces) > 0 {
		n := copy(p, s.pieces[0])
		s.pieces[0] = s.pieces[0][n:]
		if s.pieces[0] == "" {
			s.pieces = s.pieces[1:]
		}
		s.mu.Unlock()
		return n, nil
	}
	s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	<-s.abort
	return 0, errors.New("aborted")
}

func (s *scripted) Close() error { return nil }

func answer(err error, pieces ...string) *wheelgauge.Response {
	s := &scripted{pieces: pieces, err: err, abort: make(chan struct{})}
	return &wheelgauge.Response{Status: 200, Body: s, Abort: func() { s.once.Do(func() { close(s.abort) }) }}
}

var errCut = errors.New("cut")

func TestStream(t *testing.T) {
	whole := events(0, 4) + doneText
	tests := []struct {
		name    string
		first   *wheelgauge.Response
		rest    []*wheelgauge.Response
		want    string
		err     error
		resumes int
	}{
		{"whole", answer(io.EOF, whole), nil, whole, nil, 0},
		{"in odd pieces", answer(io.EOF, whole[:7], whole[7:20], whole[20:21], whole[21:]), nil, whole, nil, 0},
		{"resumed after the last whole event", answer(errCut, events(0, 2)+"data: {\"t\""), []*wheelgauge.Response{answer(io.EOF, events(2, 4)+doneText)}, whole, nil, 1},
		{"ended early without its last event", answer(io.EOF, events(0, 2)), []*wheelgauge.Response{answer(io.EOF, events(2, 4)+doneText)}, whole, nil, 1},
		{"broken for good", answer(errCut, events(0, 2)), nil, events(0, 2) + "event: error\n", io.ErrUnexpectedEOF, 0},
		{"resumed twice, then broken", answer(errCut, event(0)), []*wheelgauge.Response{answer(errCut, event(1)), answer(errCut, event(2))}, events(0, 3) + "event: error\n", io.ErrUnexpectedEOF, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var summary Summary
			resume := func(_ context.Context, skip int) (*wheelgauge.Response, error) {
				if len(tt.rest) == 0 {
					return nil, errCut
				}
				next := tt.rest[0]
				tt.rest = tt.rest[1:]
				if want := strings.Count(events(0, skip), "data"); want != skip {
					t.Errorf("resumed after %d tokens, more than there are", skip)
				}
				return next, nil
			}
			s := New(context.Background(), tt.first, Options{Started: time.Now(), Resume: resume, OnEnd: func(e Summary) { summary = e }})
			got, err := io.ReadAll(s)
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			if !errors.Is(err, tt.err) || !strings.HasPrefix(string(got), tt.want) {
				t.Fatalf("unexpected stream or error: got %q, %v", got, err)
			}
			if tt.err != nil && strings.Contains(string(got), "[DONE]") {
				t.Fatal("a broken stream ended as complete")
			}
			if summary.Complete != (tt.err == nil) || summary.Resumes != tt.resumes {
				t.Fatalf("unexpected ending: got %+v", summary)
			}
		})
	}
}

// TestCallerLeaves closes a stream while its backend server is silent.
func TestCallerLeaves(t *testing.T) {
	var summary Summary
	s := New(context.Background(), answer(nil, event(0)), Options{OnEnd: func(e Summary) { summary = e }})
	buf := make([]byte, 100)
	if n, err := s.Read(buf); err != nil || string(buf[:n]) != event(0) {
		t.Fatalf("got %q, %v, want the first event", buf[:n], err)
	}
	if n, err := s.Read(buf); err != nil || !strings.HasPrefix(string(buf[:n]), ":") {
		t.Fatalf("got %q, %v, want a comment while the server is silent", buf[:n], err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if !summary.CallerLeft || summary.Complete {
		t.Fatalf("got ending %+v, want Left and not Complete", summary)
	}
}

// TestDeadServer resumes at another server when the first is known to be dead although
// its connection is still open.
func TestDeadServer(t *testing.T) {
	resume := func(context.Context, int) (*wheelgauge.Response, error) {
		return answer(io.EOF, event(1)+doneText), nil
	}
	s := New(context.Background(), answer(nil, event(0)), Options{Resume: resume, ServerDead: func() bool { return true }, OnEnd: func(Summary) {}})
	got, err := io.ReadAll(s)
	if err != nil || strings.ReplaceAll(string(got), string(keepAlive), "") != events(0, 2)+doneText {
		t.Fatalf("got %q, %v, want the complete stream", got, err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}
