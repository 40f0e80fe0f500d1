package serverconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"wheelgauge/fake/deafconn"
)

const (
	// rest is how long slow peers rest: longer than any limit for machines that are gone.
	rest = 5 * time.Second
	// exchangeLimit is the time of an exchange, longer than any peer rests.
	exchangeLimit = 30 * time.Second
	// largeBody does not fit in the buffers of a connection whose peer does not read.
	largeBody = 16 << 20
)

var links = []struct {
	name string
	link Link
}{{"same region", SameRegion(time.Now)}, {"between regions", CrossRegion(time.Now)}}

// startPeer serves one connection, with a small receive buffer.
func startPeer(t *testing.T, link Link, serve func(c *net.TCPConn)) *Pool {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var inner error
		err := raw.Control(func(fd uintptr) { inner = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		return errors.Join(err, inner)
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		serve(c.(*net.TCPConn))
	}()
	link.ConnectTimeout = testTimeout
	p := New(l.Addr().String(), 4, link)
	t.Cleanup(func() {
		p.Close()
		_ = l.Close()
		<-ended
	})
	return p
}

// exchange sends a request and reads its answer.
func exchange(p *Pool, body int) (string, error) {
	c, err := p.Get(context.Background())
	if err != nil {
		return "", err
	}
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n", body)
	if err := c.Send([]byte(head), make([]byte, body), time.Now().Add(exchangeLimit)); err != nil {
		p.Put(c, nil, nil)
		return "", err
	}
	h, b, err := c.ReadHead("Id", "1", false)
	if err != nil {
		p.Put(c, nil, nil)
		return "", err
	}
	answer, err := io.ReadAll(b)
	p.Put(c, h, b)
	return string(answer), err
}

const slowAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"

// answerOne reads a request and answers it, with a rest between two parts of the answer.
func answerOne(c net.Conn, between time.Duration) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(c, slowAnswer[:len(slowAnswer)-1])
	time.Sleep(between)
	_, _ = io.WriteString(c, slowAnswer[len(slowAnswer)-1:])
}

// A server that reads or answers slowly is waited for.
func TestSlowPeerIsWaitedFor(t *testing.T) {
	tests := []struct {
		name  string
		body  int
		serve func(c *net.TCPConn)
	}{
		{"rests before it reads a small request", 100, func(c *net.TCPConn) { time.Sleep(rest); answerOne(c, 0) }},
		{"rests before it reads a large request", largeBody, func(c *net.TCPConn) { time.Sleep(rest); answerOne(c, 0) }},
		{"rests while it reads", largeBody, func(c *net.TCPConn) {
			in := bufio.NewReaderSize(c, 64<<10)
			_, _ = in.Peek(64 << 10)
			time.Sleep(rest)
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, slowAnswer)
		}},
		{"silent before its answer", 100, func(c *net.TCPConn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			time.Sleep(rest)
			_, _ = io.WriteString(c, slowAnswer)
		}},
		{"silent in its answer", 100, func(c *net.TCPConn) { answerOne(c, rest) }},
	}
	for _, l := range links {
		for _, tt := range tests {
			t.Run(l.name+", "+tt.name, func(t *testing.T) {
				t.Parallel()
				p := startPeer(t, l.link, tt.serve)
				if answer, err := exchange(p, tt.body); err != nil || answer != "hi" {
					t.Errorf("got %q, %v, want the whole answer", answer, err)
				}
			})
		}
	}
}

// An exchange with a machine that is gone ends as a timeout of the network, long before its time is
// over, and leaves no connection.
func TestMachineThatIsGone(t *testing.T) {
	tests := []struct {
		name string
		body int
		// first is set if the machine is gone before the request is sent on an idle connection.
		first bool
		// begin is what the machine does before it is gone.
		begin func(c *net.TCPConn)
	}{
		{"before the request", 100, true, func(*net.TCPConn) {}},
		{"before a large request", largeBody, true, func(*net.TCPConn) {}},
		{"while it reads nothing", largeBody, false, func(*net.TCPConn) { time.Sleep(rest) }},
		{"after the request", 100, false, func(c *net.TCPConn) { _, _ = http.ReadRequest(bufio.NewReader(c)) }},
		{"in its answer", 100, false, func(c *net.TCPConn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, strings.TrimSuffix(slowAnswer, "i"))
		}},
	}
	for _, l := range links {
		for _, tt := range tests {
			t.Run(l.name+", "+tt.name, func(t *testing.T) {
				t.Parallel()
				deaf, over := make(chan struct{}), make(chan struct{})
				p := startPeer(t, l.link, func(c *net.TCPConn) {
					tt.begin(c)
					if err := deafconn.Deafen(c); err != nil {
						t.Error(err)
					}
					close(deaf)
					<-over
				})
				if tt.first {
					if err := p.OpenIdle(t.Context()); err != nil {
						t.Fatal(err)
					}
					<-deaf
				}
				begun := time.Now()
				_, err := exchange(p, tt.body)
				close(over)
				t.Logf("ended after %s: %v", time.Since(begun).Round(time.Millisecond), err)
				if !errors.Is(err, syscall.ETIMEDOUT) {
					t.Errorf("got %v, want %v", err, syscall.ETIMEDOUT)
				}
				if p.OpenCount() != 0 {
					t.Errorf("%d connections are open, want 0", p.OpenCount())
				}
			})
		}
	}
}

// The kernel may count the closed window of an earlier exchange towards its user timeout.
func TestSlowPeerOfAKeptConnectionIsWaitedFor(t *testing.T) {
	const body, exchanges = 70_000, 3
	for _, l := range links {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			p := startPeer(t, l.link, func(c *net.TCPConn) {
				in := bufio.NewReader(c)
				for range exchanges {
					time.Sleep(l.link.UserTimeout)
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, slowAnswer)
				}
			})
			for n := range exchanges {
				if answer, err := exchange(p, body); err != nil || answer != "hi" {
					t.Errorf("exchange %d got %q, %v, want the whole answer", n+1, answer, err)
				}
			}
			if p.Dialed() != 1 {
				t.Errorf("%d connections were opened, want 1", p.Dialed())
			}
		})
	}
}
