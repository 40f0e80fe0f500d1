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

// full is a listener whose queue of new connections is full: another
// connection is neither taken nor refused, as of a host that is dark.
func full(t *testing.T) string {
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

// A call's deadline bounds its connect as well. fasthttp hands deadlines to
// DialTimeout only; with Dial the call took the dialer's own two seconds.
func TestDialKeepsDeadline(t *testing.T) {
	address := full(t)
	d := NewDialer("", nil)
	var asked time.Duration
	c := newHTTP(d)
	dial := c.DialTimeout
	if dial == nil {
		t.Fatal("the client dials without a timeout")
	}
	c.DialTimeout = func(addr string, timeout time.Duration) (net.Conn, error) {
		asked = timeout
		return dial(addr, timeout)
	}
	client := &Client{http: c, fresh: c}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	err := client.Call(ctx, http.MethodGet, address, "/", nil, nil)
	if err == nil {
		t.Fatal("a call to a dark host was answered")
	}
	if asked <= 0 || asked > 200*time.Millisecond {
		t.Errorf("the connect was given %s of 200 ms", asked)
	}
	if timeout, ok := errors.AsType[net.Error](err); !ok || !timeout.Timeout() {
		t.Errorf("got %v, want a timeout", err)
	}
}
