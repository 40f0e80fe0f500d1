package serverconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge/fake/suspendclock"
)

const testTimeout = 10 * time.Second

// startServer responds to the requests of each connection with the scripted bytes, one
// script per request, and closes the connection after the last.
func startServer(t *testing.T, scripts ...string) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveScript(c, scripts)
		}
	}()
	p := New(l.Addr().String(), 4, SameRegion(time.Now))
	t.Cleanup(p.Close)
	return p
}

const reset = "RESET"

func serveScript(c net.Conn, scripts []string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for _, s := range scripts {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text, doReset := strings.CutSuffix(s, reset)
		_, _ = c.Write([]byte(text))
		if tcp, ok := c.(*net.TCPConn); ok && doReset {
			_ = tcp.SetLinger(0)
			return
		}
	}
}

func roundTrip(t *testing.T, p *Pool, id string) (string, error) {
	t.Helper()
	c, err := p.Get(context.Background())
	if err != nil {
		return "", err
	}
	if err := c.Send([]byte("GET / HTTP/1.1\r\nHost: h\r\nId: "+id+"\r\n\r\n"), nil, time.Now().Add(testTimeout)); err != nil {
		p.Put(c, nil, nil)
		return "", err
	}
	h, b, err := c.ReadHead("Id", id, false)
	if err != nil {
		p.Put(c, nil, nil)
		return "", err
	}
	body, err := io.ReadAll(b)
	p.Put(c, h, b)
	return string(body), err
}

func TestResponses(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		name    string
		script  string
		body    string
		bad     bool
		dialled int // connections opened after two requests
	}{
		{"length", good, "hi", false, 1},
		{"chunked", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", false, 1},
		{"informational first", "HTTP/1.1 103 Early Hints\r\n\r\n" + good, "hi", false, 1},
		{"bytes after the answer", good + "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2\r\n\r\nno", "hi", false, 2},
		{"an answer to another request first", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2\r\n\r\nno" + good, "hi", false, 2},
		{"only answers to others", strings.Repeat("HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2\r\n\r\nno", 3), "", true, 2},
		{"close announced", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", "hi", false, 2},
		{"cut", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 20\r\n\r\nhi" + reset, "", true, 2},
		{"chunks cut", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n" + reset, "", true, 2},
		{"no length, reset", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhi" + reset, "", true, 2},
		{"no answer", "what?\r\n\r\n", "", true, 2},
		{"no idle time", "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nhi", "hi", false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startServer(t, tt.script, good)
			body, err := roundTrip(t, p, "1")
			if (err != nil) != tt.bad || !tt.bad && body != tt.body {
				t.Errorf("got body %q, error %v, want %q, an error: %v", body, err, tt.body, tt.bad)
			}
			// The second request must get its own response even if bytes of the first are left.
			if body, err := roundTrip(t, p, "1"); err == nil && tt.dialled == 1 && body != "hi" {
				t.Errorf("second request: got body %q, want its own response", body)
			}
			if p.Dialed() != tt.dialled {
				t.Errorf("dialled %d connections, want %d", p.Dialed(), tt.dialled)
			}
		})
	}
}

func TestOpenBodyEndsWithConnection(t *testing.T) {
	p := startServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhi")
	if body, err := roundTrip(t, p, "1"); err != nil || body != "hi" {
		t.Errorf("got body %q, error %v, want the whole body", body, err)
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	p := startServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi")
	for range 3 {
		if body, err := roundTrip(t, p, "1"); err != nil || body != "hi" {
			t.Fatalf("got body %q, error %v, want a response", body, err)
		}
		waitFor(t, func() bool { return idleConnClosed(p) })
	}
	if p.Dialed() != 3 {
		t.Errorf("dialled %d connections, want a new one for each request", p.Dialed())
	}
}

// A connection that was idle while the machine was suspended is not reused: the server may
// have closed it, and a request that must not be repeated would be lost. The monotonic clock
// stops during suspension, so that by it the connection still looks fresh.
func TestIdleWhileSuspended(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		name      string
		suspended time.Duration
		dialled   int
	}{{"not suspended", 0, 1}, {"for less than it may rest", nearIdleTimeout / 4, 1}, {"for longer", nearIdleTimeout, 2}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &suspendclock.Clock{}
			p := startServer(t, answer, answer)
			p.link.Now = clock.Now
			for n := range 2 {
				if body, err := roundTrip(t, p, "1"); err != nil || body != "hi" {
					t.Fatalf("got body %q, error %v, want a response", body, err)
				}
				if n == 0 {
					clock.Suspend(tt.suspended)
				}
			}
			if p.Dialed() != tt.dialled {
				t.Errorf("dialled %d connections, want %d", p.Dialed(), tt.dialled)
			}
		})
	}
}

// idleConnClosed reports whether the close of the idle connection has arrived.
func idleConnClosed(p *Pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 1 && !p.idle[0].isQuiet()
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within the test timeout")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestMaxConnections(t *testing.T) {
	p := startServer(t)
	for range 4 {
		if _, err := p.Get(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := p.Get(context.Background()); !errors.Is(err, ErrNoConns) {
		t.Errorf("got %v, want ErrNoConns", err)
	}
}

func TestParseIdleTimeout(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", nearIdleTimeout},
		{"timeout=5, max=100", 3 * time.Second},
		{"10", 6 * time.Second},
		{"max=3", nearIdleTimeout},
		{"timeout=9223372036854775807", 36 * time.Minute},
		{"timeout=-1", 0},
	}
	for _, tt := range tests {
		if got := parseIdleTimeout(tt.header, nearIdleTimeout); got != tt.want {
			t.Errorf("%q: got %s, want %s", tt.header, got, tt.want)
		}
	}
}
