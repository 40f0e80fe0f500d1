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
	"wheelgauge/fake/fakeclock"
	"wheelgauge/native"
	"wheelgauge/retrybudget"
	"wheelgauge/routetable"
)

const testLimit = 20 * time.Second

// request sends one request on a connection of its own.
func request(t *testing.T, address string) (status int, err error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testLimit))
	if _, err := fmt.Fprint(c, "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// slowServer answers when it is let.
func slowServer(t *testing.T, answer chan struct{}) (address string, asked chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	asked = make(chan struct{}, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		asked <- struct{}{}
		<-answer
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nWheelgauge-Signature: s\r\nContent-Length: 2\r\n\r\nok")
	}()
	return l.Addr().String(), asked
}

// A leaving host answers what it took, though that lasts longer than expected,
// while it refuses what comes now as not run.
func TestCloseAnswersWhatItTook(t *testing.T) {
	answer := make(chan struct{})
	server, asked := slowServer(t, answer)
	n := openAlone(t, server, testLimit, nil)
	got := make(chan int, 1)
	go func() {
		status, err := request(t, "127.0.82.1:7801")
		if err != nil {
			t.Error(err)
		}
		got <- status
	}()
	<-asked
	closed := make(chan error, 1)
	go func() { closed <- n.Close(context.Background()) }()
	until(t, "it leaves", n.leaving.Load)
	limit := time.Now().Add(testLimit)
	for {
		status, err := request(t, "127.0.82.1:7801")
		if err != nil {
			break // it takes no more connections
		}
		if status != http.StatusServiceUnavailable || time.Now().After(limit) {
			t.Fatalf("a host that leaves answered %d", status)
		}
	}
	select {
	case <-closed:
		t.Fatal("the host ended before it answered")
	case <-time.After(4 * drainCheck):
	}
	close(answer)
	if status := <-got; status != http.StatusOK {
		t.Errorf("got %d, want 200", status)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// A host that was suspended while it left ends when its grace is over: by the steady clock
// it went on for as long as it was suspended, and was killed with requests in flight.
func TestSuspendedWhileLeaving(t *testing.T) {
	answer := make(chan struct{})
	defer close(answer)
	server, asked := slowServer(t, answer)
	const grace = 10 * time.Minute
	clock := &fakeclock.Clock{}
	n := openAlone(t, server, grace, clock)
	c, err := net.Dial("tcp", "127.0.82.1:7801")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprint(c, "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-asked
	closed := make(chan error, 1)
	go func() { closed <- n.Close(context.Background()) }()
	until(t, "it leaves", n.leaving.Load)
	select {
	case <-closed:
		t.Fatal("the host ended before its grace")
	case <-time.After(4 * drainCheck):
	}
	clock.Suspend(grace)
	select {
	case <-closed:
	case <-time.After(testLimit):
		t.Fatal("the host goes on after its grace")
	}
}

// openAlone starts a host without stores that has a configuration and one server.
func openAlone(t *testing.T, server string, grace time.Duration, clock wheelgauge.Clock) *Node {
	t.Helper()
	n, err := Open(context.Background(), Options{
		Name: "g", Region: "r", Hall: "h", Caller: "127.0.82.1:7801", Peer: "127.0.82.1:7802", Seeds: []string{"127.0.82.1:7803"},
		Interval: time.Second, FarInterval: time.Second, Grace: grace, Last: grace - 50*time.Millisecond, Clock: clock,
		Budget: retrybudget.Options{Ratio: 0.2, Slack: 50, Window: testLimit}, Names: native.Headers(), Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	service := wheelgauge.Service{Name: "s", Conns: 10}
	n.gate.SetTable(routetable.New(&wheelgauge.RouteSet{
		Version: 1, Services: []wheelgauge.Service{service},
		Routes: []wheelgauge.PathRoute{{
			Name: "a", Host: "h", Prefix: "/a/", Kind: wheelgauge.RouteOnce, Timeout: 2 * grace, Attempts: 1,
			Shares: []wheelgauge.Share{{Service: "s", Weight: 1}},
		}},
	}))
	n.servers.Update([]wheelgauge.Server{{Instance: "i", Service: "s", Address: server, Hall: "h", Slots: 4}}, time.Now())
	n.gate.SetListed()
	return n
}
