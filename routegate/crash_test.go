package routegate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fingerprint"
)

// abortingServer is a server that closes its connections instead of answering.
type abortingServer struct {
	// exits is set for one that also closes its port, as a crashed process does.
	exits bool
	// reset is set for one that resets connections, partial for one that answers in part.
	reset   bool
	partial bool
}

func (b abortingServer) start(t *testing.T) *backend {
	t.Helper()
	out := &backend{}
	out.conn = listen(t, func(c net.Conn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if b.partial {
			_, _ = io.WriteString(c, truncatedAnswer)
		}
		if b.exits {
			_ = out.conn.Close()
		}
		if tcp, ok := c.(*net.TCPConn); ok && b.reset {
			_ = tcp.SetLinger(0)
		}
	})
	return out
}

// A server that crashed accepts no new connection. One that only closes a connection is no
// evidence against the request.
func TestCrashAttribution(t *testing.T) {
	tests := []struct {
		name    string
		server  abortingServer
		path    string
		crashes int
	}{
		{"it exits", abortingServer{exits: true}, "/once/", 1},
		{"it exits with a reset", abortingServer{exits: true, reset: true}, "/once/", 1},
		{"it exits during its answer", abortingServer{exits: true, partial: true}, "/once/", 1},
		{"it exits during a stream", abortingServer{exits: true, partial: true}, "/stream/", 1},
		{"it closes the connection only", abortingServer{}, "/once/", 0},
		{"it resets the connection only", abortingServer{reset: true}, "/once/", 0},
		{"it closes the connection during its answer only", abortingServer{partial: true}, "/once/", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), tt.server.start(t))
			if resp, _, err := get(t, c, tt.path, ""); err == nil && resp.StatusCode == http.StatusOK {
				t.Fatal("the request succeeded, want a failure")
			}
			if tt.crashes == 0 {
				// The second answer comes after the check that followed the first.
				if _, _, err := get(t, c, tt.path, ""); err != nil {
					t.Fatal(err)
				}
			}
			// The answer arrives before the server is checked.
			deadline := time.Now().Add(testLimit)
			recorded := func() int {
				crashes, _ := g.options.Quarantine.Since(0)
				return len(crashes)
			}
			for tt.crashes > 0 && recorded() == 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if recorded() != tt.crashes {
				t.Errorf("%d crashes are recorded, want %d", recorded(), tt.crashes)
			}
		})
	}
}

// requestFingerprint is the fingerprint of the request that get sends.
func requestFingerprint(path string) wheelgauge.Fingerprint {
	return fingerprint.Of([]byte("GET"), []byte("h"), []byte(path), "", nil)
}

// quarantineRequest quarantines a request by crashes reported by other hosts.
func quarantineRequest(g *Gate, path string) {
	var crashes []wheelgauge.Crash
	for n := range 3 {
		crashes = append(crashes, wheelgauge.Crash{Fingerprint: requestFingerprint(path), Server: strconv.Itoa(n)})
	}
	g.options.Quarantine.SetPersisted(crashes)
}

func TestQuarantinedRequestIsRefused(t *testing.T) {
	b := newBackend(t)
	g, c := newGate(t, routes(), b)
	quarantineRequest(g, "/safe/x")
	resp, body, err := get(t, c, "/safe/x", "")
	if err != nil {
		t.Fatal(err)
	}
	outcome := wheelgauge.Outcome(resp.Header.Get(wheelgauge.HeaderOutcome))
	if resp.StatusCode != http.StatusServiceUnavailable || outcome != wheelgauge.OutcomeNotRun || resp.Header.Get("Retry-After") == "" || len(b.received()) > 0 {
		t.Errorf("got %d, outcome %s (%s), sent to %d servers; want a 503 that was not run, with Retry-After", resp.StatusCode, outcome, body, len(b.received()))
	}
	for _, path := range []string{"/safe/y", "/safe/x?q=1", "/once/x"} {
		resp, _, err := get(t, c, path, "")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: got %v, %v, want 200", path, resp, err)
		}
	}
}

// A request that crashed three servers is not sent to a fourth.
func TestQuarantineWithinOneHost(t *testing.T) {
	var list []*backend
	for range 4 {
		list = append(list, abortingServer{exits: true}.start(t))
	}
	g, c := newGate(t, routes(), list...)
	var got []int
	for range 3 {
		resp, _, err := get(t, c, "/safe/x", "")
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, resp.StatusCode)
	}
	if want := []int{502, 502, 503}; !slices.Equal(got, want) {
		t.Errorf("got statuses %v, want %v", got, want)
	}
	if quarantined := g.options.Quarantine.Quarantined(); len(quarantined) != 1 {
		t.Errorf("quarantined requests: %v, want one", quarantined)
	}
}

// A success clears a request of the crashes that it was in flight at. A failure does not:
// servers that fail some requests may not have run it. Nor does an answer that may be broken off.
func TestSuccessClearsCrashes(t *testing.T) {
	tests := []struct {
		name    string
		script  []string
		crashes int
	}{
		{"well", nil, 1},
		{"its servers fail", []string{failureAnswer, failureAnswer}, 3},
		{"its server does not mark the end", []string{openHead + "ok"}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t, tt.script...))
			q := g.options.Quarantine
			request := requestFingerprint("/once/x")
			for n := range 2 {
				q.RecordCrash(wheelgauge.Crash{Fingerprint: request, Server: fmt.Sprint(n)})
			}
			// The second answer comes after the gate has recorded the first.
			for _, path := range []string{"/once/x", "/once/y"} {
				if _, _, err := get(t, c, path, ""); err != nil {
					t.Fatal(err)
				}
				c = serveGate(t, g)
			}
			if crashes := q.RecordCrash(wheelgauge.Crash{Fingerprint: request, Server: "2"}); crashes != tt.crashes {
				t.Errorf("%d crashes count, want %d", crashes, tt.crashes)
			}
		})
	}
}
