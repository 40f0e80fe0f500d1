package entrynode

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/fake/suspendclock"
	"wheelgauge/native"
	"wheelgauge/retrybudget"
	"wheelgauge/routetable"
)

const testTimeout = 20 * time.Second

// request sends one request on a new connection.
func request(t *testing.T, address string) (status int, err error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := fmt.Fprint(c, "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// slowServer starts a server that responds once proceed is closed.
func slowServer(t *testing.T, proceed chan struct{}) (address string, received chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	received = make(chan struct{}, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		received <- struct{}{}
		<-proceed
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nWheelgauge-Signature: s\r\nContent-Length: 2\r\n\r\nok")
	}()
	return l.Addr().String(), received
}

// A draining host finishes accepted requests, even if they take longer than expected, and
// rejects new ones as not run.
func TestCloseFinishesAcceptedRequests(t *testing.T) {
	proceed := make(chan struct{})
	server, received := slowServer(t, proceed)
	n := openStandalone(t, server, testTimeout, nil)
	got := make(chan int, 1)
	go func() {
		status, err := request(t, "127.0.82.1:7801")
		if err != nil {
			t.Error(err)
		}
		got <- status
	}()
	<-received
	closed := make(chan error, 1)
	go func() { closed <- n.Close(context.Background()) }()
	waitFor(t, "the host drains", n.leaving.Load)
	limit := time.Now().Add(testTimeout)
	for {
		status, err := request(t, "127.0.82.1:7801")
		if err != nil {
			break // the listener is closed
		}
		if status != http.StatusServiceUnavailable || time.Now().After(limit) {
			t.Fatalf("draining host: got status %d, want 503 until the listener is closed", status)
		}
	}
	select {
	case <-closed:
		t.Fatal("host stopped before it responded")
	case <-time.After(4 * drainCheckInterval):
	}
	close(proceed)
	if status := <-got; status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// A host that is suspended while it drains stops when its grace period ends. By the monotonic
// clock, which excludes suspended time, it would run on and be killed with requests in flight.
func TestSuspendedWhileDraining(t *testing.T) {
	proceed := make(chan struct{})
	defer close(proceed)
	server, received := slowServer(t, proceed)
	const grace = 10 * time.Minute
	clock := &suspendclock.Clock{}
	n := openStandalone(t, server, grace, clock)
	c, err := net.Dial("tcp", "127.0.82.1:7801")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprint(c, "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-received
	closed := make(chan error, 1)
	go func() { closed <- n.Close(context.Background()) }()
	waitFor(t, "the host drains", n.leaving.Load)
	select {
	case <-closed:
		t.Fatal("host stopped before the end of its grace period")
	case <-time.After(4 * drainCheckInterval):
	}
	clock.Suspend(grace)
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("host runs on after its grace period")
	}
}

// openStandalone starts a host without stores, with a configuration and one server.
func openStandalone(t *testing.T, server string, grace time.Duration, clock wheelgauge.Clock) *Node {
	t.Helper()
	n, err := Open(context.Background(), Options{
		Name: "g", Region: "r", Hall: "h", CallerAddress: "127.0.82.1:7801", PeerAddress: "127.0.82.1:7802", Seeds: []string{"127.0.82.1:7803"},
		HeartbeatInterval: time.Second, FarHeartbeatInterval: time.Second, GracePeriod: grace, LastRequestMargin: grace - 50*time.Millisecond, Clock: clock,
		Budget: retrybudget.Options{Ratio: 0.2, Slack: 50, Window: testTimeout}, Names: native.Headers(), Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	service := wheelgauge.Service{Name: "s", MaxConns: 10}
	n.gate.SetTable(routetable.New(&wheelgauge.RouteSet{
		Version: 1, Services: []wheelgauge.Service{service},
		Routes: []wheelgauge.PathRoute{{
			Name: "a", Host: "h", Prefix: "/a/", Kind: wheelgauge.RouteOnce, Timeout: 2 * grace, MaxAttempts: 1,
			Shares: []wheelgauge.TrafficShare{{Service: "s", Weight: 1}},
		}},
	}))
	n.servers.Update([]wheelgauge.Server{{Instance: "i", Service: "s", Address: server, Hall: "h", Slots: 4}}, nil, time.Now())
	n.gate.SetServersKnown()
	return n
}
