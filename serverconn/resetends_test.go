package serverconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	openHead   = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	openHead10 = "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n"
	lengthHead = "HTTP/1.1 413 Content Too Large\r\nId: 1\r\nContent-Length: 6\r\n\r\n"
	chunksHead = "HTTP/1.1 413 Content Too Large\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	// earlyUpload does not fit in the buffers of a connection whose peer reads little.
	earlyUpload = 8 << 20
)

// earlyPeer serves one connection: it reads the head of a request, then as much of its body as read
// says, answers, and ends the connection.
func earlyPeer(t *testing.T, read int64, answer string, end func(c *net.TCPConn, rest io.Reader)) *Pool {
	t.Helper()
	return startPeer(t, SameRegion(time.Now), func(c *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, read)
		_, _ = io.WriteString(c, answer)
		end(c, req.Body)
	})
}

func resetConn(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }

func closeConn(*net.TCPConn, io.Reader) {}

// The write of a request meets the reset first, so that the read after it sees an end without an
// error.
func TestEndAfterAResetThatTheWriteMetCompletesTheAnswer(t *testing.T) {
	tests := []struct {
		name   string
		read   int64
		answer string
		end    func(c *net.TCPConn, rest io.Reader)
	}{
		{"reset, nothing read", 0, openHead + "a part", resetConn},
		{"reset, a part read", 64 << 10, openHead + "a part", resetConn},
		{"reset, HTTP/1.0", 0, openHead10 + "a part", resetConn},
		{"reset before the body", 0, openHead, resetConn},
		{"closed with unread bytes", 0, openHead + "a part", closeConn},
		{"closed with unread bytes after an informational response", 0, "HTTP/1.1 103 Early Hints\r\n\r\n" + openHead + "a part", closeConn},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := earlyPeer(t, tt.read, tt.answer, tt.end)
			c, err := p.Get(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: %d\r\n\r\n", earlyUpload)
			if err := c.Send([]byte(head), make([]byte, earlyUpload), time.Now().Add(exchangeLimit)); err != nil {
				t.Fatal(err)
			}
			<-c.upload.done
			h, b, err := c.ReadHead("Id", "1", false)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(b)
			if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
				t.Errorf("after %q got %v, want the reset", body, err)
			}
			p.Put(c, h, b)
			if n := p.OpenCount(); n != 0 {
				t.Errorf("%d connections are kept, want 0", n)
			}
		})
	}
}
