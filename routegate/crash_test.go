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
	"wheelgauge/callerhttp"
	"wheelgauge/fingerprint"
	"wheelgauge/prompt"
	"wheelgauge/serverset"
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
func requestsInFlight(g *Gate) int {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	return len(g.active.calls)
}

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
			if _, _, err := get(t, c, "/once/x", ""); err != nil {
				t.Fatal(err)
			}
			for end := time.Now().Add(testLimit); requestsInFlight(g) > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the request does not end")
				}
			}
			if crashes := q.RecordCrash(wheelgauge.Crash{Fingerprint: request, Server: "2"}); crashes != tt.crashes {
				t.Errorf("%d crashes count, want %d", crashes, tt.crashes)
			}
		})
	}
}

// partFingerprint is the fingerprint of a part of prompts of the tests' service.
func partFingerprint(name string) wheelgauge.Fingerprint {
	return fingerprint.OfPart("s", prompt.Parse(name+":1,own:1", "", "").Shared()[0].ID())
}

func TestRequestsWithAQuarantinedPartAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		parts  string
		status int
	}{
		{"the part in the middle", "first:9,bad:9,own:9", 503},
		{"the part at the beginning", "bad:9,own:9", 503},
		{"the part before others", "first:9,bad:9,more:9,own:9", 503},
		{"the same first part", "first:9,other:9,own:9", 200},
		{"its own last part of that name", "first:9,bad:9", 200},
		{"no parts", "", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t)
			g, c := newGate(t, routes(), b)
			var crashes []wheelgauge.Crash
			for n := range 3 {
				crashes = append(crashes, wheelgauge.Crash{Fingerprint: partFingerprint("bad"), Depth: 2, Server: strconv.Itoa(n)})
			}
			g.options.Quarantine.SetPersisted(crashes)
			resp, body, err := get(t, c, "/safe/", g.options.Names.PromptParts+": "+tt.parts+"\r\n")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || (len(b.received()) == 1) != (tt.status == 200) {
				t.Errorf("got %d %s after %d sends, want %d", resp.StatusCode, body, len(b.received()), tt.status)
			}
			if tt.status == 503 && (resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) || resp.Header.Get("Retry-After") == "") {
				t.Errorf("the refusal says %v, want that it did not run and when to return", resp.Header)
			}
		})
	}
}

func TestWhatStoodAtTwoCrashesIsNotTriedAgain(t *testing.T) {
	tests := []struct {
		name    string
		crashes int
		sends   int
	}{
		{"one crash before", 1, 2},
		{"two crashes before", 2, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, truncatedAnswer)
			g, c := newGate(t, routes(), b, b)
			for n := range tt.crashes {
				g.options.Quarantine.RecordCrash(wheelgauge.Crash{Fingerprint: wheelgauge.Fingerprint(fmt.Sprint("r", n)), Server: strconv.Itoa(n)}, partFingerprint("bad"))
			}
			if _, _, err := get(t, c, "/safe/", g.options.Names.PromptParts+": bad:9,own:9\r\n"); err != nil {
				t.Fatal(err)
			}
			if sends := len(b.received()); sends != tt.sends {
				t.Errorf("sent %d times, want %d", sends, tt.sends)
			}
		})
	}
}

func TestOutputOfAServerClearsParts(t *testing.T) {
	event := "id: 1\ndata: a\n\n"
	b := newBackend(t, streamHead+chunk(event)+endOfChunks)
	g, c := newGate(t, routes(), b)
	for n := range 2 {
		g.options.Quarantine.RecordCrash(wheelgauge.Crash{Fingerprint: wheelgauge.Fingerprint(fmt.Sprint("r", n)), Server: strconv.Itoa(n)}, partFingerprint("p"))
	}
	if _, _, err := get(t, c, "/stream/", g.options.Names.PromptParts+": p:9,own:9\r\n"); err != nil {
		t.Fatal(err)
	}
	parts := func() []wheelgauge.Fingerprint { return []wheelgauge.Fingerprint{partFingerprint("p")} }
	deadline := time.Now().Add(testLimit)
	for g.options.Quarantine.IsSuspected(func() wheelgauge.Fingerprint { return "" }, parts) {
		if time.Now().After(deadline) {
			t.Fatal("a part is suspected after a server ran a prompt that holds it")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestServerWithAllConnectionsInUseIsNotTakenForCrashed(t *testing.T) {
	g, _ := newGate(t, routes(), newBackend(t))
	k := g.options.Servers.Choose(serverset.NewJob("s", prompt.Prompt{}, 0, nil))
	if k == nil {
		t.Fatal("no server")
	}
	defer k.Done(serverset.Abandoned)
	k.Server().Pool().SetMaxConns(1)
	conn, err := k.Server().Pool().Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Abort()
	c := &call{gate: g, request: &callerhttp.Request{}, service: "s", cachedFingerprint: "r"}
	c.attributeCrash(t.Context(), &exchange{call: c, err: io.ErrUnexpectedEOF}, k.Server())
	if crashes, _ := g.options.Quarantine.Since(0); len(crashes) > 0 {
		t.Errorf("%v recorded, want no crash", crashes)
	}
}
