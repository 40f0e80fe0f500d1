package delivery

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

const (
	// bulk does not fit in the buffers of a connection whose peer reads nothing, some does.
	bulk = 16 << 20
	some = 64 << 10
)

// pair returns both ends of a connection.
func pair(t *testing.T) (c, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// untold is a connection whose state the kernel does not tell.
type untold struct{ net.Conn }

func TestAwait(t *testing.T) {
	readAll := func(peer *net.TCPConn, size int64) { _, _ = io.CopyN(io.Discard, peer, size) }
	tests := []struct {
		name string
		size int
		// end is what the peer does until it has ended its side, after what it does then.
		end, after func(peer *net.TCPConn)
		untold     bool
		want       error
	}{
		{"reads all and closes", some, func(peer *net.TCPConn) { readAll(peer, some); _ = peer.Close() }, nil, false, nil},
		{"reads all of a large request and closes", bulk, func(peer *net.TCPConn) { readAll(peer, bulk); _ = peer.Close() }, nil, false, nil},
		{"reads all and half-closes", bulk, func(peer *net.TCPConn) { readAll(peer, bulk); _ = peer.CloseWrite() }, nil, false, nil},
		{"half-closes and reads on", bulk, func(peer *net.TCPConn) { _ = peer.CloseWrite() }, func(peer *net.TCPConn) { readAll(peer, bulk) }, false, nil},
		{"half-closes and reads on, not told", bulk, func(peer *net.TCPConn) { _ = peer.CloseWrite() }, func(peer *net.TCPConn) { readAll(peer, bulk) }, true, nil},
		{"half-closes and rests while it reads on", bulk, func(peer *net.TCPConn) { _ = peer.CloseWrite() }, func(peer *net.TCPConn) {
			for range 8 {
				readAll(peer, bulk/8)
				time.Sleep(lastPause / 2)
			}
		}, false, nil},
		{"half-closes and reads no further", bulk, func(peer *net.TCPConn) { _ = peer.CloseWrite() }, nil, false, io.ErrUnexpectedEOF},
		{"half-closes and reads no further, not told", bulk, func(peer *net.TCPConn) { _ = peer.CloseWrite() }, nil, true, io.ErrUnexpectedEOF},
		{"half-closes and resets", bulk, func(peer *net.TCPConn) { _ = peer.CloseWrite() }, func(peer *net.TCPConn) { _ = peer.SetLinger(0); _ = peer.Close() }, false, syscall.ECONNRESET},
		{"half-closes and closes with unread bytes", bulk, func(peer *net.TCPConn) { _ = peer.CloseWrite() }, func(peer *net.TCPConn) { readAll(peer, some); _ = peer.Close() }, false, syscall.ECONNRESET},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, peer := pair(t)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = c.Write(make([]byte, tt.size))
			}()
			tt.end(peer)
			if n, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Fatalf("read %d bytes, %v, want the end", n, err)
			}
			if tt.after != nil {
				go tt.after(peer)
			}
			var conn net.Conn = c
			if tt.untold {
				conn = untold{c}
			}
			if err := Await(conn, written); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			_ = c.Close()
			<-written
		})
	}
}

// The write has ended, as the buffers hold the request, and the peer closes before any of it arrives.
func TestBytesUnderWayAtTheEndAreNotDelivered(t *testing.T) {
	c, peer := pair(t)
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("got %v, want the end", err)
	}
	if _, err := c.Write(make([]byte, some)); err != nil {
		t.Fatal(err)
	}
	if err := Await(c, nil); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want the reset", err)
	}
}

// Who waits for a peer that reads on slowly is bounded by the deadline, and by a close.
func TestAwaitEndsWithTheConnection(t *testing.T) {
	tests := []struct {
		name string
		end  func(c *net.TCPConn)
		want error
	}{
		{"closed", func(c *net.TCPConn) { _ = c.Close() }, net.ErrClosed},
		{"the deadline is over", func(c *net.TCPConn) { _ = c.SetDeadline(time.Unix(1, 0)) }, os.ErrDeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, peer := pair(t)
			_ = peer.CloseWrite()
			_, _ = c.Read(make([]byte, 1))
			ended := make(chan error, 1)
			go func() { ended <- Await(c, make(chan struct{})) }()
			time.Sleep(2 * firstPause)
			tt.end(c)
			if err := <-ended; !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
