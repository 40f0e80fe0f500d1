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

// abortingServer is a server that breaks its connections off instead of an answer.
type abortingServer struct {
	// ends is set for one whose port is closed with them.
	exits bool
	// reset is set for one that resets connections, begun for one that answers in part.
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

// A server that ends takes no new connection. One that breaks a connection off and goes on
// says nothing against the request.
func TestCrashAttribution(t *testing.T) {
	tests := []struct {
		name    string
		server  abortingServer
		path    string
		crashes int
	}{
		{"it ends", abortingServer{exits: true}, "/once/", 1},
		{"it ends by a reset", abortingServer{exits: true, reset: true}, "/once/", 1},
		{"it ends in its answer", abortingServer{exits: true, partial: true}, "/once/", 1},
		{"it ends in a stream", abortingServer{exits: true, partial: true}, "/stream/", 1},
		{"it breaks off only", abortingServer{}, "/once/", 0},
		{"it resets only", abortingServer{reset: true}, "/once/", 0},
		{"it breaks off in its answer only", abortingServer{partial: true}, "/once/", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), tt.server.start(t))
			if resp, _, err := get(t, c, tt.path, ""); err == nil && resp.StatusCode == http.StatusOK {
				t.Fatal("served")
			}
			if tt.crashes == 0 {
				// A second one is answered after the server was looked after.
				if _, _, err := get(t, c, tt.path, ""); err != nil {
					t.Fatal(err)
				}
			}
			// The answer is there before the server is looked after.
			deadline := time.Now().Add(testLimit)
			recorded := func() int {
				crashes, _ := g.options.Quarantine.Since(0)
				return len(crashes)
			}
			for tt.crashes > 0 && recorded() == 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if recorded() != tt.crashes {
				t.Errorf("%d ends are noted, want %d", recorded(), tt.crashes)
			}
		})
	}
}

// requestFingerprint is the fingerprint of what ask sends.
func requestFingerprint(path string) wheelgauge.Fingerprint {
	return fingerprint.Of([]byte("GET"), []byte("h"), []byte(path), "", nil)
}

// quarantineRequest condemns a request by what other hosts saw.
func quarantineRequest(g *Gate, path string) {
	var crashes []wheelgauge.Crash
	for n := range 3 {
		crashes = append(crashes, wheelgauge.Crash{Request: requestFingerprint(path), Server: strconv.Itoa(n)})
	}
	g.options.Quarantine.Keep(crashes)
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
		t.Errorf("answered %d, %s (%s), sent to %d servers", resp.StatusCode, outcome, body, len(b.received()))
	}
	for _, path := range []string{"/safe/y", "/safe/x?q=1", "/once/x"} {
		resp, _, err := get(t, c, path, "")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %v, %v", path, resp, err)
		}
	}
}

// A request that is cut three times by servers which end is not sent to a fourth, and one
// that ran at a server to its end is cleared of what it stood beside.
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
		t.Errorf("answered %v, want %v", got, want)
	}
	if quarantined := g.options.Quarantine.Condemned(); len(quarantined) != 1 {
		t.Errorf("held back: %v", quarantined)
	}
}

// A good end clears a request of what it stood beside; a failure doesn't: servers that
// fail part of their requests may not have run it.
func TestSuccessClearsCrashes(t *testing.T) {
	tests := []struct {
		name    string
		script  []string
		crashes int
	}{
		{"well", nil, 1},
		{"its server fails", []string{failureAnswer, failureAnswer}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t, tt.script...))
			q := g.options.Quarantine
			request := requestFingerprint("/once/x")
			for n := range 2 {
				q.Ended(wheelgauge.Crash{Request: request, Server: fmt.Sprint(n)})
			}
			// The second answer comes after the gate has noted the first.
			for _, path := range []string{"/once/x", "/once/y"} {
				if _, _, err := get(t, c, path, ""); err != nil {
					t.Fatal(err)
				}
			}
			if crashes := q.Ended(wheelgauge.Crash{Request: request, Server: "2"}); crashes != tt.crashes {
				t.Errorf("%d ends count, want %d", crashes, tt.crashes)
			}
		})
	}
}
