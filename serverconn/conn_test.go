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

	"wheelgauge/fake/fakeclock"
)

const testLimit = 10 * time.Second

// server answers the requests of each connection with the scripted bytes, one
// script a request, and closes after the last.
func server(t *testing.T, scripts ...string) *Pool {
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
			go play(c, scripts)
		}
	}()
	p := New(l.Addr().String(), 4, Near(time.Now))
	t.Cleanup(p.Close)
	return p
}

const reset = "RESET"

func play(c net.Conn, scripts []string) {
	defer c.Close()
	in := bufio.NewReader(c)
	for _, s := range scripts {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text, cut := strings.CutSuffix(s, reset)
		_, _ = c.Write([]byte(text))
		if tcp, ok := c.(*net.TCPConn); ok && cut {
			_ = tcp.SetLinger(0)
			return
		}
	}
}

func ask(t *testing.T, p *Pool, id string) (string, error) {
	t.Helper()
	c, err := p.Get(context.Background())
	if err != nil {
		return "", err
	}
	if err := c.Send([]byte("GET / HTTP/1.1\r\nHost: h\r\nId: "+id+"\r\n\r\n"), nil, time.Now().Add(testLimit)); err != nil {
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

func TestAnswers(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		name    string
		script  string
		body    string
		bad     bool
		dialled int // connections after a second request
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
			p := server(t, tt.script, good)
			body, err := ask(t, p, "1")
			if (err != nil) != tt.bad || !tt.bad && body != tt.body {
				t.Errorf("got %q, %v, want %q, an error: %v", body, err, tt.body, tt.bad)
			}
			// The second answer must be its own, whatever the first left behind.
			if body, err := ask(t, p, "1"); err == nil && tt.dialled == 1 && body != "hi" {
				t.Errorf("second answer %q", body)
			}
			if p.Dialed() != tt.dialled {
				t.Errorf("dialled %d connections, want %d", p.Dialed(), tt.dialled)
			}
		})
	}
}

func TestOpenBodyEndsWithConnection(t *testing.T) {
	p := server(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhi")
	if body, err := ask(t, p, "1"); err != nil || body != "hi" {
		t.Errorf("got %q, %v", body, err)
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	p := server(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi")
	for range 3 {
		if body, err := ask(t, p, "1"); err != nil || body != "hi" {
			t.Fatalf("got %q, %v", body, err)
		}
		waitFor(t, func() bool { return idleEnded(p) })
	}
	if p.Dialed() != 3 {
		t.Errorf("dialled %d, want a new connection each time", p.Dialed())
	}
}

// A connection that rested while the machine was suspended is not used: the server may have
// closed it, and what may not be repeated would be lost with it. By the steady clock it was.
func TestRestedWhileSuspended(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct {
		name      string
		suspended time.Duration
		dialled   int
	}{{"not suspended", 0, 1}, {"for less than it may rest", idleNear / 4, 1}, {"for longer", idleNear, 2}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := &fakeclock.Clock{}
			p := server(t, answer, answer)
			p.link.Now = clock.Now
			for n := range 2 {
				if body, err := ask(t, p, "1"); err != nil || body != "hi" {
					t.Fatalf("got %q, %v", body, err)
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

// idleEnded tells whether the end of the idle connection has come in.
func idleEnded(p *Pool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 1 && !p.idle[0].clean()
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	limit := time.Now().Add(testLimit)
	for !ok() {
		if time.Now().After(limit) {
			t.Fatal("condition did not come true")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestMostConnections(t *testing.T) {
	p := server(t)
	for range 4 {
		if _, err := p.Get(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := p.Get(context.Background()); !errors.Is(err, ErrNoConns) {
		t.Errorf("got %v, want ErrNoConns", err)
	}
}

func TestIdleLife(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", idleNear},
		{"timeout=5, max=100", 3 * time.Second},
		{"10", 6 * time.Second},
		{"max=3", idleNear},
		{"timeout=9223372036854775807", 36 * time.Minute},
		{"timeout=-1", 0},
	}
	for _, tt := range tests {
		if got := idleLife(tt.header, idleNear); got != tt.want {
			t.Errorf("%q: got %s, want %s", tt.header, got, tt.want)
		}
	}
}
