package peerhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// listenFullBacklog returns the address of a listener with a full accept queue: further
// connections are neither accepted nor refused, as with an unreachable host.
func listenFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	a, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatal("not an IPv4 address")
	}
	address := (&net.TCPAddr{IP: net.IP(a.Addr[:]), Port: a.Port}).String()
	for range 4 {
		if c, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

// A call's deadline also bounds its connect. fasthttp passes deadlines only to
// DialTimeout; with Dial the connect would take the dialer's own two seconds.
func TestDialObservesDeadline(t *testing.T) {
	address := listenFullBacklog(t)
	d := NewDialer("", nil)
	var got time.Duration
	c := newHTTP(d)
	dial := c.DialTimeout
	if dial == nil {
		t.Fatal("DialTimeout is not set: the client dials without the deadline")
	}
	c.DialTimeout = func(addr string, timeout time.Duration) (net.Conn, error) {
		got = timeout
		return dial(addr, timeout)
	}
	client := &Client{http: c, uncached: c}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	err := client.Call(ctx, http.MethodGet, address, "/", nil, nil)
	if err == nil {
		t.Fatal("a call to an unreachable host succeeded")
	}
	if got <= 0 || got > 200*time.Millisecond {
		t.Errorf("dial timeout %s, want at most the 200 ms of the call", got)
	}
	if timeout, ok := errors.AsType[net.Error](err); !ok || !timeout.Timeout() {
		t.Errorf("got %v, want a timeout", err)
	}
}

func TestAbortEndsCallsInProgress(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	go func() {
		if c, err := silent.Accept(); err == nil {
			accepted <- c
		}
	}()
	tests := []struct {
		name, address string
		started       func()
		want          error
	}{
		{"a store that does not answer", silent.Addr().String(), func() { <-accepted }, nil},
		{"a store that does not accept", listenFullBacklog(t), func() { time.Sleep(20 * time.Millisecond) }, context.Canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewClient(nil, "")
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- c.Call(ctx, http.MethodGet, tt.address, "/", nil, nil) }()
			tt.started()
			c.Abort()
			select {
			case err := <-done:
				if err == nil || tt.want != nil && !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
			case <-time.After(time.Minute):
				t.Fatal("the call goes on")
			}
			if err := c.Call(ctx, http.MethodGet, tt.address, "/", nil, nil); !NotSent(err) {
				t.Errorf("a later call got %v, want an error that proves that nothing was sent", err)
			}
		})
	}
}
