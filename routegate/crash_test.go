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

// breaker is a server that breaks its connections off instead of an answer.
type breaker struct {
	// ends is set for one whose port is closed with them.
	ends bool
	// reset is set for one that resets connections, begun for one that answers in part.
	reset bool
	begun bool
}

func (b breaker) start(t *testing.T) *backend {
	t.Helper()
	out := &backend{}
	out.conn = listen(t, func(c net.Conn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if b.begun {
			_, _ = io.WriteString(c, cut)
		}
		if b.ends {
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
func TestWhatCountsAsAnEnd(t *testing.T) {
	tests := []struct {
		name string
		b    breaker
		path string
		ends int
	}{
		{"it ends", breaker{ends: true}, "/once/", 1},
		{"it ends by a reset", breaker{ends: true, reset: true}, "/once/", 1},
		{"it ends in its answer", breaker{ends: true, begun: true}, "/once/", 1},
		{"it ends in a stream", breaker{ends: true, begun: true}, "/stream/", 1},
		{"it breaks off only", breaker{}, "/once/", 0},
		{"it resets only", breaker{reset: true}, "/once/", 0},
		{"it breaks off in its answer only", breaker{begun: true}, "/once/", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), tt.b.start(t))
			if resp, _, err := ask(t, c, tt.path, ""); err == nil && resp.StatusCode == http.StatusOK {
				t.Fatal("served")
			}
			if tt.ends == 0 {
				// A second one is answered after the server was looked after.
				if _, _, err := ask(t, c, tt.path, ""); err != nil {
					t.Fatal(err)
				}
			}
			// The answer is there before the server is looked after.
			limit := time.Now().Add(testLimit)
			noted := func() int {
				crashes, _ := g.options.Quarantine.Since(0)
				return len(crashes)
			}
			for tt.ends > 0 && noted() == 0 && time.Now().Before(limit) {
				time.Sleep(time.Millisecond)
			}
			if noted() != tt.ends {
				t.Errorf("%d ends are noted, want %d", noted(), tt.ends)
			}
		})
	}
}

// printOf is the fingerprint of what ask sends.
func printOf(path string) wheelgauge.Fingerprint {
	return fingerprint.Of([]byte("GET"), []byte("h"), []byte(path), "", nil)
}

// holdBack condemns a request by what other hosts saw.
func holdBack(g *Gate, path string) {
	var crashes []wheelgauge.Crash
	for n := range 3 {
		crashes = append(crashes, wheelgauge.Crash{Request: printOf(path), Server: strconv.Itoa(n)})
	}
	g.options.Quarantine.Keep(crashes)
}

func TestHeldRequestIsRefusedAtOnce(t *testing.T) {
	b := newBackend(t)
	g, c := newGate(t, routes(), b)
	holdBack(g, "/safe/x")
	resp, body, err := ask(t, c, "/safe/x", "")
	if err != nil {
		t.Fatal(err)
	}
	e := wheelgauge.Outcome(resp.Header.Get(wheelgauge.HeaderOutcome))
	if resp.StatusCode != http.StatusServiceUnavailable || e != wheelgauge.OutcomeNotRun || resp.Header.Get("Retry-After") == "" || len(b.seen()) > 0 {
		t.Errorf("answered %d, %s (%s), sent to %d servers", resp.StatusCode, e, body, len(b.seen()))
	}
	for _, path := range []string{"/safe/y", "/safe/x?q=1", "/once/x"} {
		resp, _, err := ask(t, c, path, "")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %v, %v", path, resp, err)
		}
	}
}

// A request that is cut three times by servers which end is not sent to a fourth, and one
// that ran at a server to its end is cleared of what it stood beside.
func TestEndsWithinOneHost(t *testing.T) {
	var list []*backend
	for range 4 {
		list = append(list, breaker{ends: true}.start(t))
	}
	g, c := newGate(t, routes(), list...)
	var got []int
	for range 3 {
		resp, _, err := ask(t, c, "/safe/x", "")
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, resp.StatusCode)
	}
	if want := []int{502, 502, 503}; !slices.Equal(got, want) {
		t.Errorf("answered %v, want %v", got, want)
	}
	if held := g.options.Quarantine.Condemned(); len(held) != 1 {
		t.Errorf("held back: %v", held)
	}
}

// A good end clears a request of what it stood beside; a failure doesn't: servers that
// fail part of their requests may not have run it.
func TestRunningWellClears(t *testing.T) {
	tests := []struct {
		name   string
		script []string
		ends   int
	}{
		{"well", nil, 1},
		{"its server fails", []string{failure, failure}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t, tt.script...))
			q := g.options.Quarantine
			request := printOf("/once/x")
			for n := range 2 {
				q.Ended(wheelgauge.Crash{Request: request, Server: fmt.Sprint(n)})
			}
			// The second answer comes after the gate has noted the first.
			for _, path := range []string{"/once/x", "/once/y"} {
				if _, _, err := ask(t, c, path, ""); err != nil {
					t.Fatal(err)
				}
			}
			if ends := q.Ended(wheelgauge.Crash{Request: request, Server: "2"}); ends != tt.ends {
				t.Errorf("%d ends count, want %d", ends, tt.ends)
			}
		})
	}
}
