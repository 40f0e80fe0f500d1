package serverconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endlessServer responds with a prefix and then repeats a part until the connection is closed. It
// reports the end of each connection.
func endlessServer(t *testing.T, prefix, part string) (p *Pool, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed = make(chan struct{}, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = c.Write([]byte(prefix))
		for data := []byte(strings.Repeat(part, 1+1024/len(part))); err == nil; {
			_, err = c.Write(data)
		}
		closed <- struct{}{}
	}()
	p = New(l.Addr().String(), 4, SameRegion(time.Now))
	t.Cleanup(func() {
		p.Close()
		_ = l.Close()
	})
	return p, closed
}

// A server whose bytes have no end is closed long before the request's deadline, wherever in a
// response they come.
func TestEndlessBytesAreClosed(t *testing.T) {
	tests := []struct {
		name, prefix, part string
		// discards is set if the body is of no use, as that of a refusal.
		discards bool
	}{
		{"no head", "", "x", false},
		{"no line end", "HTTP/1.1 200 OK", " ", false},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
		{"a response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
		{"a refusal until the close", "HTTP/1.1 503 No\r\n\r\n", "x", true},
		{"a refusal in chunks", "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
		{"a refusal of great length", "HTTP/1.1 503 No\r\nContent-Length: 999999999999\r\n\r\n", "x", true},
		{"a chunk size", "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", true},
		{"after a whole response", "HTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nx", "y", true},
		{"trailers", "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, closed := endlessServer(t, tt.prefix, tt.part)
			c, err := p.Get(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if err := c.Send([]byte("GET / HTTP/1.1\r\nHost: h\r\nId: r\r\n\r\n"), nil, time.Now().Add(time.Hour)); err != nil {
				t.Fatal(err)
			}
			h, b, err := c.ReadHead("Id", "r", false)
			if (err == nil) != tt.discards {
				t.Fatalf("head: got error %v", err)
			}
			if err == nil {
				_ = b.Discard()
			}
			p.Put(c, h, b)
			for ended := false; !ended; {
				p.Prune()
				select {
				case <-closed:
					ended = true
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
}

// A refusal whose body comes too slowly to wait for ends no later than a new connection would.
func TestSlowBodyIsNotWaitedFor(t *testing.T) {
	p := startServer(t, "HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\nx", "")
	c, err := p.Get(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Send([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil, time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	h, b, err := c.ReadHead("Id", "r", false)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Discard(); err == nil {
		t.Error("a body that is not complete was discarded without an error")
	}
	p.Put(c, h, b)
	if n := p.IdleCount(); n != 0 {
		t.Errorf("%d connections are kept, want 0", n)
	}
}
