package routegate

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/callerhttp"
	"wheelgauge/meter"
	"wheelgauge/native"
	"wheelgauge/peerset"
	"wheelgauge/retrybudget"
	"wheelgauge/routetable"
	"wheelgauge/serverset"
)

const (
	testLimit         = 10 * time.Second
	signatureHeader   = "Wheelgauge-Signature: s\r\n"
	okAnswer          = "HTTP/1.1 200 OK\r\n" + signatureHeader + "Content-Length: 2\r\n\r\nok"
	failureAnswer     = "HTTP/1.1 500 Internal Server Error\r\n" + signatureHeader + "Content-Length: 3\r\n\r\nbad"
	notRunAnswer      = "HTTP/1.1 503 Service Unavailable\r\nWheelgauge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	unsigned503Answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	misdirectedAnswer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	truncatedAnswer   = "HTTP/1.1 200 OK\r\n" + signatureHeader + "Content-Length: 9\r\n\r\nok"
	unsignedAnswer    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	oddStatusAnswer   = "HTTP/1.1 600 Odd\r\n" + signatureHeader + "Content-Length: 3\r\n\r\nodd"
	malformedAnswer   = "no answer at all\r\n\r\n"
	streamHead        = "HTTP/1.1 200 OK\r\n" + signatureHeader + "Transfer-Encoding: chunked\r\n\r\n"
)

// chunk renders one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// backend answers requests, over all connections, from a script.
type backend struct {
	mu     sync.Mutex
	script []string
	// fallback is the answer after the end of the script; success when empty.
	fallback string
	// beforeAnswer is called before each answer if it is set.
	beforeAnswer func()
	headers      []http.Header
	conn         net.Listener
}

func newBackend(t testing.TB, script ...string) *backend {
	t.Helper()
	b := &backend{script: script}
	b.conn = listen(t, b.serve)
	return b
}

// listen accepts connections and serves each.
func listen(t testing.TB, serve func(c net.Conn)) net.Listener {
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
			go serve(c)
		}
	}()
	return l
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer := b.nextAnswer(req.Header)
		if b.beforeAnswer != nil {
			b.beforeAnswer()
		}
		_, _ = c.Write([]byte(answer))
		if b.closesAfter(answer) {
			return
		}
	}
}

// closesAfter reports whether the connection ends after an answer that is malformed or
// incomplete.
func (b *backend) closesAfter(answer string) bool {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
	if err != nil {
		return true
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err != nil || resp.ContentLength < 0
}

func (b *backend) nextAnswer(h http.Header) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.headers = append(b.headers, h)
	if len(b.script) == 0 {
		return cmp.Or(b.fallback, okAnswer)
	}
	s := b.script[0]
	b.script = b.script[1:]
	return s
}

func (b *backend) received() []http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.headers
}

// newGate returns a gate in front of the backends, which are all of one service, and the
// connection of a caller.
func newGate(t testing.TB, routes []wheelgauge.PathRoute, backends ...*backend) (*Gate, net.Conn) {
	t.Helper()
	return newGateOf(t, &wheelgauge.Service{Name: "s", MaxConns: 100}, routes, backends...)
}

// newGateOf is newGate for a service s.
func newGateOf(t testing.TB, service *wheelgauge.Service, routes []wheelgauge.PathRoute, backends ...*backend) (*Gate, net.Conn) {
	t.Helper()
	return newGateFor(t, service, routes, make([]string, len(backends)), backends...)
}

// newGateOfVersions is newGate for backends of the given software versions.
func newGateOfVersions(t testing.TB, versions []string, backends ...*backend) (*Gate, net.Conn) {
	t.Helper()
	return newGateFor(t, &wheelgauge.Service{Name: "s", MaxConns: 100}, routes(), versions, backends...)
}

func newGateFor(t testing.TB, service *wheelgauge.Service, routes []wheelgauge.PathRoute, versions []string, backends ...*backend) (*Gate, net.Conn) {
	t.Helper()
	servers := serverset.New(serverset.Place{Host: "g", Hall: "h", Peers: []string{"g"}}, func(string) *wheelgauge.Service { return service }, time.Now)
	var list []wheelgauge.Server
	for i, b := range backends {
		list = append(list, wheelgauge.Server{Instance: fmt.Sprint("i", i), Service: "s", Version: versions[i], Address: b.conn.Addr().String(), Hall: "h", Slots: 4})
	}
	servers.Update(list, nil, time.Now())
	g := New(Options{
		Region: "here", Names: native.Headers(), Servers: servers, Peers: peerset.New("here", time.Second, time.Now),
		Budget: retrybudget.New(retrybudget.Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, time.Now),
		Meter:  meter.New(), Log: logr.Discard(),
	})
	g.SetServersKnown()
	g.SetTable(routetable.New(&wheelgauge.RouteSet{Version: 1, Routes: routes, Services: []wheelgauge.Service{*service}}))
	t.Cleanup(servers.Close)
	return g, serveGate(t, g)
}

// serveGate serves a gate's callers and returns the connection of one.
func serveGate(t testing.TB, g *Gate) net.Conn {
	t.Helper()
	s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: g.Serve, MaxConns: 8})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testLimit))
	t.Cleanup(func() {
		_ = c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		_ = s.Close(ctx)
	})
	return c
}

func routes() []wheelgauge.PathRoute {
	shares := []wheelgauge.TrafficShare{{Service: "s", Weight: 1}}
	return []wheelgauge.PathRoute{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, MaxAttempts: 2, Shares: shares, Priority: 3},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: wheelgauge.RouteOnce, Timeout: testLimit, MaxAttempts: 1, Shares: shares},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: wheelgauge.RouteStream, Timeout: testLimit, MaxAttempts: 1, Shares: shares},
		{Name: "resume", Host: "h", Prefix: "/resume/", Kind: wheelgauge.RouteStream, Timeout: testLimit, MaxAttempts: 2, Shares: shares, Resumable: true},
		{Name: "away", Host: "h", Prefix: "/away/", Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, MaxAttempts: 2, Shares: shares, HomeRegions: []string{"there"}},
	}
}

func get(t *testing.T, c net.Conn, path, headers string) (*http.Response, string, error) {
	t.Helper()
	return getFrom(t, c, "h", path, headers)
}

// getFrom is get for a host name.
func getFrom(t *testing.T, c net.Conn, host, path, headers string) (*http.Response, string, error) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r1\r\n%s\r\n", path, host, headers); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		script  []string
		status  int
		outcome wheelgauge.Outcome // of an answer by the gate itself
		sends   int
	}{
		{"served", "/once/", nil, 200, "", 1},
		{"no route", "/none/", nil, 404, wheelgauge.OutcomeNotRun, 0},
		{"no server where it may run", "/away/", nil, 503, wheelgauge.OutcomeNotRun, 0},
		{"a failure is retried", "/safe/", []string{failureAnswer}, 200, "", 2},
		{"the last failure is relayed", "/safe/", []string{failureAnswer, failureAnswer}, 500, "", 2},
		{"a failure of a route without retries", "/once/", []string{failureAnswer}, 500, "", 1},
		{"a broken answer is retried", "/safe/", []string{truncatedAnswer}, 200, "", 2},
		{"a broken answer may have run", "/once/", []string{truncatedAnswer}, 502, wheelgauge.OutcomeUnknown, 1},
		{"a malformed answer is retried", "/safe/", []string{malformedAnswer}, 200, "", 2},
		{"a malformed answer may have run", "/once/", []string{malformedAnswer}, 502, wheelgauge.OutcomeUnknown, 1},
		{"a status of no class is retried", "/safe/", []string{oddStatusAnswer}, 200, "", 2},
		{"a status of no class may have run", "/once/", []string{oddStatusAnswer}, 502, wheelgauge.OutcomeUnknown, 1},
		{"a success without a signature", "/once/", []string{unsignedAnswer}, 502, wheelgauge.OutcomeUnknown, 1},
		{"a request that did not run is sent again", "/once/", []string{notRunAnswer}, 200, "", 2},
		{"another server has the address", "/once/", []string{misdirectedAnswer}, 200, "", 2},
		{"no server ran it", "/once/", []string{notRunAnswer, notRunAnswer, notRunAnswer}, 503, wheelgauge.OutcomeNotRun, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, tt.script...)
			_, c := newGate(t, routes(), b, b)
			resp, _, err := get(t, c, tt.path, "")
			if err != nil {
				t.Fatal(err)
			}
			outcome := wheelgauge.Outcome(resp.Header.Get(wheelgauge.HeaderOutcome))
			if resp.StatusCode != tt.status || outcome != tt.outcome || len(b.received()) != tt.sends {
				t.Errorf("got %d %q after %d sends, want %d %q after %d", resp.StatusCode, outcome, len(b.received()), tt.status, tt.outcome, tt.sends)
			}
			if tt.outcome == wheelgauge.OutcomeNotRun && tt.status == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After")
			}
			if tt.outcome != "" && resp.Header.Get("Wheelgauge-Signature") != "" {
				t.Error("an answer by the gate itself is signed")
			}
		})
	}
}

func TestReservedHeaders(t *testing.T) {
	b := newBackend(t)
	_, c := newGate(t, routes(), b)
	_, _, err := get(t, c, "/safe/", "Wheelgauge-Target: forged\r\nWheelgauge-Priority: 0\r\nWheelgauge-Deadline-Ms: 700\r\nWheelgauge-Forwarded-From: there\r\n"+
		"Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n")
	if err != nil {
		t.Fatal(err)
	}
	h := b.received()[0]
	if h.Get("Wheelgauge-Target") != "i0" || h.Get("Wheelgauge-Priority") != "3" || h.Get(wheelgauge.HeaderForwardedFrom) != "" || h.Get("X-Hop") != "" || h.Get("X-End") != "2" {
		t.Errorf("the server got %v", h)
	}
	if left := h.Get("Wheelgauge-Deadline-Ms"); len(left) != 3 {
		t.Errorf("deadline %q, want the rest of 700 ms", left)
	}
}

func TestStreams(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	end := "0\r\n\r\n"
	tests := []struct {
		name        string
		path        string
		script      []string
		body        string
		complete    bool
		lastEventID string // Last-Event-Id that the second server receives
	}{
		{"whole", "/stream/", []string{streamHead + chunk(one) + chunk(two) + end}, one + two, true, ""},
		{"cut", "/stream/", []string{streamHead + chunk(one) + chunk("id: 2\nda")}, one, false, ""},
		{"resumed after the last complete event", "/resume/", []string{streamHead + chunk(one) + chunk("id: 2\nda"), streamHead + chunk(two) + end}, one + two, true, "1"},
		{"broken before the first event", "/resume/", []string{streamHead + chunk("id: 1"), streamHead + chunk(one+two) + end}, one + two, true, ""},
		{"resumed once only", "/resume/", []string{streamHead + chunk(one), streamHead + chunk("id:")}, one, false, "1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, tt.script...)
			_, c := newGate(t, routes(), b, b)
			_, body, err := get(t, c, tt.path, "")
			if body != tt.body || (err == nil) != tt.complete {
				t.Errorf("got %q, %v, want %q, complete: %v", body, err, tt.body, tt.complete)
			}
			if headers := b.received(); len(headers) > 1 && headers[1].Get("Last-Event-Id") != tt.lastEventID {
				t.Errorf("resumed after %q, want %q", headers[1].Get("Last-Event-Id"), tt.lastEventID)
			}
		})
	}
}

func TestDeadlineIsAnsweredAtOnce(t *testing.T) {
	hold := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	defer close(hold)
	go func() {
		c, err := l.Accept()
		if err == nil {
			<-hold
			_ = c.Close()
		}
	}()
	_, c := newGate(t, routes(), &backend{conn: l})
	resp, _, err := get(t, c, "/once/", "Wheelgauge-Deadline-Ms: 50\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeUnknown) {
		t.Errorf("got %d %s, want 504 unknown", resp.StatusCode, resp.Header.Get(wheelgauge.HeaderOutcome))
	}
}

func TestNoConfigurationIsNotRun(t *testing.T) {
	g, c := newGate(t, routes())
	g.table.Store(nil)
	resp, body, err := get(t, c, "/safe/", "")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(wheelgauge.ReasonNoConfiguration)) {
		t.Errorf("got %d %s, want 503 with reason no-configuration", resp.StatusCode, body)
	}
}

// A host without a list of servers is not ready, and refuses requests with Retry-After.
func TestNoServersKnownIsNotRun(t *testing.T) {
	g, c := newGate(t, routes())
	g.serversKnown.Store(false)
	resp, body, err := get(t, c, "/safe/", "")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(wheelgauge.ReasonNoServer)) || resp.Header.Get("Retry-After") == "" || g.Ready() {
		t.Errorf("got %d %s, ready %v, want 503 with reason no-server, not ready", resp.StatusCode, body, g.Ready())
	}
}

// A request at a host that has just started waits until the host can place it; a refusal would
// cost the caller an attempt.
func TestRequestsWaitForAStartingHost(t *testing.T) {
	b := newBackend(t)
	g, c := newGate(t, routes(), b)
	table := g.table.Swap(nil)
	g.ready, g.readyOnce = make(chan struct{}), sync.Once{}
	g.startupWait, g.startupDeadline = testLimit, time.Now().Add(testLimit)
	go func() {
		for g.startupWaiters.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		g.SetTable(table)
	}()
	if resp, body, err := get(t, c, "/safe/", ""); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v %s, %v", resp, body, err)
	}
	g.table.Store(nil)
	g.ready, g.startupDeadline = make(chan struct{}), time.Now()
	if resp, _, err := get(t, c, "/safe/", ""); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("after the startup deadline: got %v, %v, want 503", resp, err)
	}
}

func TestLeavingHostRefusesLongRequests(t *testing.T) {
	b := newBackend(t)
	g, c := newGate(t, routes(), b)
	g.durations.observe("stream", 3*time.Second)
	g.durations.observe("safe", time.Millisecond)
	g.ShutDownBy(time.Now().Add(5 * time.Second))
	leaving := g.leaving.Load()
	if g.mayOutlastProcess("stream", testLimit, 0, true) {
		t.Error("a request that usually completes in time is refused while callers cannot know of the shutdown")
	}
	leaving.announcedAt = leaving.announcedAt.Add(-leavePropagation)
	if resp, _, err := get(t, c, "/safe/", "Wheelgauge-Deadline-Ms: 4000\r\n"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a request of a short limit got %v, %v, want 200", resp, err)
	}
	for _, path := range []string{"/safe/", "/stream/"} {
		if resp, _, err := get(t, c, path, ""); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a request to %s of a long limit got %v, %v, want 503", path, resp, err)
		}
	}
	if len(b.received()) != 1 {
		t.Error("a request of a long limit reached a server")
	}
}

func TestLeavingHostTakesNoLongForwardedRequest(t *testing.T) {
	b := newBackend(t)
	g, _ := newGate(t, routes(), b)
	g.durations.observe("stream", time.Millisecond)
	g.ShutDownBy(time.Now().Add(5 * time.Second))
	c := peerConn(t, g)
	if resp, body, err := get(t, c, "/stream/", ""); err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) {
		t.Errorf("got %v %s, %v, want 503 not-run", resp, body, err)
	}
	g.durations.observe("once", time.Millisecond)
	g.durations.observe("safe", time.Millisecond)
	for path, headers := range map[string]string{"/once/": "Wheelgauge-Deadline-Ms: 4000\r\n", "/safe/": ""} {
		if resp, _, err := get(t, c, path, headers); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("a request to %s of a short limit, or that may be repeated, got %v, %v, want 200", path, resp, err)
		}
	}
	if n := len(b.received()); n != 2 {
		t.Errorf("%d requests reached a server, want 2", n)
	}
}

// peerConn returns a connection as another gateway opens it.
func peerConn(t *testing.T, g *Gate) net.Conn {
	t.Helper()
	s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: g.ServePeer, MaxConns: 8})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testLimit))
	t.Cleanup(func() {
		_ = c.Close()
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		_ = s.Close(ctx)
	})
	return c
}

// A forwarded request is retried only by the host that the caller connected to: retries by
// both could run it on more servers than its route allows.
func TestForwardedRequestIsNotRetried(t *testing.T) {
	b := newBackend(t, failureAnswer)
	g, _ := newGate(t, routes(), b, b)
	resp, _, err := get(t, peerConn(t, g), "/safe/", "")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusInternalServerError || len(b.received()) != 1 {
		t.Errorf("got %d after %d sends, want 500 of the server after one", resp.StatusCode, len(b.received()))
	}
}

// A leaving host refuses a request that would complete in time only if it ran in this region.
func TestLeavingHostCountsLinkLatency(t *testing.T) {
	g, c := newGate(t, routes())
	g.options.Peers.UpdateHosts([]wheelgauge.FleetHost{{Name: "far", Region: "there", PeerAddress: "127.0.0.1:1", Ready: true}}, nil)
	g.options.Peers.SetLoads([]wheelgauge.RegionUsage{{Region: "there", Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: 1, Slots: 4}}}})
	g.options.Peers.ObserveRoundTrip("there", testLimit)
	g.durations.observe("away", time.Millisecond)
	g.ShutDownBy(time.Now().Add(testLimit / 2))
	resp, body, err := get(t, c, "/away/", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(wheelgauge.ReasonDraining)) {
		t.Errorf("got %v, %s, %v, want 503 with reason draining", resp, body, err)
	}
}

// A refusal reports the number of sends to a gateway, but not to a caller.
func TestRefusalReportsSends(t *testing.T) {
	tests := []struct {
		name      string
		forwarded bool
		script    []string
		want      string
	}{
		{"servers refused", true, []string{notRunAnswer, notRunAnswer, notRunAnswer}, "2"},
		{"a server closed the connection", true, []string{truncatedAnswer}, "1"},
		{"to a caller", false, []string{notRunAnswer, notRunAnswer, notRunAnswer}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, tt.script...)
			g, c := newGate(t, routes(), b, b)
			if tt.forwarded {
				c = peerConn(t, g)
			}
			resp, _, err := get(t, c, "/once/", "")
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.Header.Get(wheelgauge.HeaderSends); resp.StatusCode < 500 || got != tt.want {
				t.Errorf("got %d, %q sends, want %q", resp.StatusCode, got, tt.want)
			}
		})
	}
}
