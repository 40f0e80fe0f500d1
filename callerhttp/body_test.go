package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/bodybudget"
)

// bodyCaller sends requests with bodies on one connection.
type bodyCaller struct {
	t  *testing.T
	c  net.Conn
	in *bufio.Reader
}

func newBodyCaller(t *testing.T, s *Server) *bodyCaller {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &bodyCaller{t: t, c: c, in: bufio.NewReader(c)}
}

func (b *bodyCaller) send(chunked bool, length int) {
	b.t.Helper()
	body := strings.Repeat("x", length)
	text := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
	if chunked {
		text = fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, body)
	}
	if _, err := io.WriteString(b.c, text); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bodyCaller) receive() *http.Response {
	b.t.Helper()
	resp, err := http.ReadResponse(b.in, nil)
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.t.Fatal(err)
	}
	return resp
}

// awaitReleased waits until no body is held: a response may arrive before its request has ended.
func awaitReleased(t *testing.T, budget *bodybudget.Budget) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		held, _ := budget.Held()
		if held == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held though all requests have ended", held)
		}
	}
}

// Bodies that exceed the memory of the host together are refused as not run, with a time to return.
func TestBodiesBeyondMemoryAreRefused(t *testing.T) {
	tests := []struct {
		name    string
		chunked bool
		length  int
		closes  bool
	}{
		{"of known length", false, 60, false},
		{"of unknown length, all of it with the header", true, 60, false},
		{"of unknown length", true, 40 << 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			chunked, length := tt.chunked, tt.length
			budget := bodybudget.New(int64(length + length/2))
			limits := func() wheelgauge.CallerLimits {
				l := limits()
				l.MaxBodyBytes = length
				return l
			}
			entered, leave := make(chan struct{}, 4), make(chan struct{})
			s, err := Listen("127.0.0.1:0", Options{Limits: limits, MaxConns: 8, Bodies: budget, Serve: func(_ context.Context, r *Request) {
				entered <- struct{}{}
				<-leave
				_ = r.Respond(http.StatusOK, nil, r.Body())
			}})
			if err != nil {
				t.Fatal(err)
			}
			first, second := newBodyCaller(t, s), newBodyCaller(t, s)
			first.send(false, length)
			<-entered
			second.send(chunked, length)
			resp := second.receive()
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
				t.Errorf("got status %d, headers %v, want 503 with Retry-After", resp.StatusCode, resp.Header)
			}
			if resp.Close != tt.closes {
				t.Errorf("the connection closes: %v, want %v", resp.Close, tt.closes)
			}
			close(leave)
			if resp := first.receive(); resp.StatusCode != http.StatusOK {
				t.Errorf("the first body got status %d, want 200", resp.StatusCode)
			}
			if tt.closes {
				second = newBodyCaller(t, s)
			}
			for range 3 {
				awaitReleased(t, budget)
				second.send(chunked, length)
				if resp := second.receive(); resp.StatusCode != http.StatusOK {
					t.Errorf("once there is memory: got status %d, want 200", resp.StatusCode)
				}
			}
			_ = first.c.Close()
			_ = second.c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if err := s.Close(ctx); err != nil {
				t.Error(err)
			}
			awaitReleased(t, budget)
		})
	}
}
