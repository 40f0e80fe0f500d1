package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

const (
	// unreadBytes is an answer that does not fit in the buffers of a connection that is not read.
	unreadBytes = 16 << 20
	// shortWrite is a WriteTimeout, and shortTime the time of a request, that slow callers exceed.
	shortWrite = 100 * time.Millisecond
	shortTime  = 300 * time.Millisecond
)

// answerLarge answers each request with unreadBytes; expires tells when its time is over, nil for
// never. How each answer ended is reported.
func answerLarge(expires func() func() time.Time) (o Options, ended chan error) {
	ended = make(chan error, 1)
	return Options{Limits: largeLimits, MaxConns: 8, WriteTimeout: shortWrite, Serve: func(_ context.Context, r *Request) {
		if expires != nil {
			r.SetExpiry(expires())
		}
		err := r.Respond(http.StatusOK, nil, make([]byte, unreadBytes))
		if err != nil {
			r.Abort()
		}
		ended <- err
	}}, ended
}

func after(d time.Duration) func() func() time.Time {
	return func() func() time.Time {
		at := time.Now().Add(d)
		return func() time.Time { return at }
	}
}

func ask(t *testing.T, s *Server) *net.TCPConn {
	t.Helper()
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// A caller whose request has time left gets its whole answer, however slowly it reads.
func TestCallerThatRestsGetsItsAnswer(t *testing.T) {
	o, ended := answerLarge(after(testTimeout))
	c := ask(t, listenWith(t, o))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	rest := 10 * shortWrite
	time.Sleep(rest)
	half, err := io.CopyN(io.Discard, resp.Body, unreadBytes/2)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(rest)
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || half+n != unreadBytes {
		t.Errorf("got %d bytes, %v, want all %d", half+n, err, unreadBytes)
	}
	if err := <-ended; err != nil {
		t.Errorf("the answer ended with %v", err)
	}
}

// A caller that does not read is disconnected once its time is over, and not before.
func TestUnreadAnswerEndsWithItsTime(t *testing.T) {
	suspended := make(chan struct{})
	tests := []struct {
		name    string
		expires func() func() time.Time
		least   time.Duration
	}{
		{"its own time", after(shortTime), shortTime},
		{"its time is over when the answer begins", after(-time.Minute), 0},
		{"no time of its own", nil, shortWrite},
		{"the host was suspended meanwhile", func() func() time.Time {
			return func() time.Time {
				select {
				case <-suspended:
					return time.Now().Add(-time.Minute)
				default:
					return time.Now().Add(time.Hour)
				}
			}
		}, shortTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, ended := answerLarge(tt.expires)
			begun := time.Now()
			ask(t, listenWith(t, o))
			time.AfterFunc(shortTime, func() {
				if tt.name == "the host was suspended meanwhile" {
					close(suspended)
				}
			})
			select {
			case err := <-ended:
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the answer ended with %v, want %v", err, os.ErrDeadlineExceeded)
				}
			case <-time.After(testTimeout):
				t.Fatal("the answer is still being written")
			}
			if took := time.Since(begun); took < tt.least {
				t.Errorf("ended after %s, want %s at least", took, tt.least)
			}
		})
	}
}

// A caller that leaves while its answer waits to be written is noticed, also if it only ends its side.
func TestCallerLeavesWhileItsAnswerIsWritten(t *testing.T) {
	tests := []struct {
		name  string
		leave func(c *net.TCPConn) error
	}{
		{"closes", (*net.TCPConn).Close},
		{"ends its side", (*net.TCPConn).CloseWrite},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, ended := answerLarge(after(time.Hour))
			c := ask(t, listenWith(t, o))
			time.Sleep(shortTime) // the buffers fill
			if err := tt.leave(c); err != nil {
				t.Fatal(err)
			}
			select {
			case err := <-ended:
				if errors.Is(err, os.ErrDeadlineExceeded) || err == nil {
					t.Errorf("the answer ended with %v, want that the caller left", err)
				}
			case <-time.After(testTimeout):
				t.Fatal("the answer is still being written")
			}
		})
	}
}

// The stop does not wait for a caller that does not read.
func TestStopEndsUnreadAnswer(t *testing.T) {
	o, ended := answerLarge(after(time.Hour))
	s, err := Listen("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	ask(t, s)
	time.Sleep(shortTime) // the buffers fill
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	closed := make(chan error, 1)
	go func() { closed <- s.Close(ctx) }()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the server is still closing")
	}
	if err := <-ended; err == nil {
		t.Error("the answer counts as written")
	}
}
