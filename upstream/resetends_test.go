package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// uploadBytes fit in the buffers of a client, and not in those of an earlyServer.
const uploadBytes = 60 << 10

// earlyServer answers one request when it has read its head, and calls end. Its receive buffer is small.
func earlyServer(t *testing.T, answer string, end func(c *net.TCPConn, body io.Reader)) string {
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
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		end(c.(*net.TCPConn), req.Body)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	return l.Addr().String()
}

// The reset comes after the end, for bytes of the request that the server has not got.
func TestAnswerThatEndsBeforeTheRequestIsDeliveredIsTakenForWhole(t *testing.T) {
	halfCloseThen := func(then func(c *net.TCPConn, body io.Reader)) func(c *net.TCPConn, body io.Reader) {
		return func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			then(c, body)
		}
	}
	readAll := func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }
	const open, framed = "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
	tests := []struct {
		name, answer string
		end          func(c *net.TCPConn, body io.Reader)
		whole        bool
	}{
		{"reset after a half-close", open, halfCloseThen(func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }), false},
		{"closed with unread bytes after a half-close", open, halfCloseThen(func(*net.TCPConn, io.Reader) {}), false},
		{"reads on after a half-close", open, halfCloseThen(readAll), true},
		{"reads all and closes", open, readAll, true},
		{"a length, then a reset", framed, func(c *net.TCPConn, _ io.Reader) { time.Sleep(20 * time.Millisecond); _ = c.SetLinger(0) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address := earlyServer(t, tt.answer, tt.end)
			p := New(peerhttp.NewDialer("", nil))
			defer p.CloseIdle()
			answer, err := p.Send(context.Background(), address, &wheelgauge.Call{ID: "r", Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes), Deadline: time.Now().Add(10 * time.Second)}, true)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Body)
			_ = answer.Body.Close() // read as far as possible
			if (err == nil) != tt.whole || string(body) != "part" {
				t.Errorf("got %q, %v, want it whole: %t", body, err, tt.whole)
			}
		})
	}
}
