package routegate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
	"wheelgauge/pushback"
	"wheelgauge/serverset"
)

const leavingHeader = "Wheelgauge-Leaving: 1"

func anyJob() serverset.Job { return serverset.NewJob("s", prompt.Prompt{}, 0, nil) }

// withHeaders adds header lines to an answer.
func withHeaders(answer string, lines ...string) string {
	status, rest, _ := strings.Cut(answer, "\r\n")
	return status + "\r\n" + strings.Join(append(lines, rest), "\r\n")
}

func backoffAnswer(seconds float64) string {
	return withHeaders(notRunAnswer, fmt.Sprintf("Retry-After: %g", seconds))
}

// Pushback counts in answers of the server itself only, and only a 503 asks to back off.
func TestObservePushback(t *testing.T) {
	const backoff = 30 * time.Second
	tests := []struct {
		name        string
		answer      string
		wantBackoff bool
		wantLeaving bool
	}{
		{"nothing", okAnswer, false, false},
		{"a backoff", backoffAnswer(30), true, false},
		{"a backoff, in lower case", withHeaders(notRunAnswer, "retry-after: 30"), true, false},
		{"a backoff as a date", withHeaders(notRunAnswer, "Date: Thu, 16 Apr 2026 09:28:13 GMT", "Retry-After: Thu, 16 Apr 2026 09:28:43 GMT"), true, false},
		{"a backoff in an answer that may have run", withHeaders(unsigned503Answer, "Retry-After: 30"), true, false},
		{"a backoff of no time", backoffAnswer(0), false, false},
		{"a malformed backoff", withHeaders(notRunAnswer, "Retry-After: soon"), false, false},
		{"Retry-After in a success", withHeaders(okAnswer, "Retry-After: 30"), false, false},
		{"Retry-After in a failure", withHeaders(failureAnswer, "Retry-After: 30"), false, false},
		{"a backoff of another server at the address", withHeaders(misdirectedAnswer, "Retry-After: 30", leavingHeader), false, false},
		{"leaving, in a success", withHeaders(okAnswer, leavingHeader), false, true},
		{"leaving, in a failure", withHeaders(failureAnswer, leavingHeader), false, true},
		{"leaving, in a refusal", withHeaders(notRunAnswer, leavingHeader), false, true},
		{"leaving and a backoff", withHeaders(backoffAnswer(30), leavingHeader), true, true},
		{"not leaving", withHeaders(okAnswer, "Wheelgauge-Leaving: 0"), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t, tt.answer))
			k := g.options.Servers.Choose(anyJob())
			defer k.Done(serverset.Abandoned)
			if _, _, err := get(t, c, "/once/", ""); err != nil {
				t.Fatal(err)
			}
			state := k.Pushback()
			if state.BackingOff(time.Now().Add(backoff-time.Second)) != tt.wantBackoff || state.Leaving() != tt.wantLeaving {
				t.Errorf("pushback is %+v, want a backoff %t, leaving %t", state, tt.wantBackoff, tt.wantLeaving)
			}
		})
	}
}

// brokenStream is a stream that breaks off after its first event.
const brokenStream = streamHead + "f\r\nid: 1\ndata: a\n\n\r\n"

// A server that asked to back off, or announced that it leaves, gets no request on any path
// through the gate.
func TestPushedBackServerGetsNoRequest(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		forwarded bool
		// script holds the answers of the other server.
		script []string
		// permits is set if the server pushes back while a permit is awaited.
		permits bool
		status  int
	}{
		{"the first send", "/once/", false, nil, false, 200},
		{"a retry after a failure", "/safe/", false, []string{failureAnswer}, false, 502},
		{"a retry after a broken answer", "/safe/", false, []string{truncatedAnswer}, false, 502},
		{"a retry of a request that did not run", "/once/", false, []string{notRunAnswer}, false, 503},
		{"a resumed stream", "/resume/", false, []string{brokenStream}, false, 200},
		{"a forwarded request", "/once/", true, nil, false, 200},
		{"a forwarded one that did not run", "/once/", true, []string{notRunAnswer}, false, 503},
		{"after waiting for a permit", "/once/", false, nil, true, 200},
	}
	for _, tt := range tests {
		for _, kind := range []string{"rest", "leaving"} {
			t.Run(tt.name+", "+kind, func(t *testing.T) {
				pushedBack, other := newBackend(t), newBackend(t, tt.script...)
				g, c := newGate(t, routes(), pushedBack, other)
				if tt.forwarded {
					c = peerConn(t, g)
				}
				pushBack := func() {
					k := pickInstance(t, g, "i0")
					defer k.Done(serverset.Abandoned)
					if kind == "rest" {
						k.BackOff(testLimit)
						return
					}
					k.MarkLeaving()
				}
				if tt.permits {
					g.options.Limits.ObserveLimit("i0", 1)
					g.options.Permits = permitHook{call: pushBack}
				} else {
					pushBack()
				}
				resp, _, _ := tryGet(t, c, tt.path)
				if resp == nil || resp.StatusCode != tt.status {
					t.Errorf("got %v, want %d", resp, tt.status)
				}
				if got := len(pushedBack.received()); got > 0 {
					t.Errorf("the server that pushed back got %d requests, want none", got)
				}
				if len(other.received()) == 0 {
					t.Error("the other server got no request")
				}
			})
		}
	}
}

// pickInstance chooses the server with the given instance name.
func pickInstance(t *testing.T, g *Gate, instance string) *serverset.Pick {
	t.Helper()
	var tried []string
	for {
		k := g.options.Servers.Choose(serverset.NewJob("s", prompt.Prompt{}, 0, tried))
		if k == nil {
			t.Fatalf("server %s cannot be chosen", instance)
		}
		if k.Server().Instance() == instance {
			return k
		}
		k.Done(serverset.Abandoned)
		tried = append(tried, k.Server().Instance())
	}
}

// permitHook grants every permit at once, after a callback.
type permitHook struct {
	openPlaces
	call func()
}

func (h permitHook) Acquire(context.Context, string, time.Duration) (time.Duration, bool) {
	h.call()
	return 0, true
}

// tryGet is like get, for answers that may break off.
func tryGet(t *testing.T, c net.Conn, path string) (*http.Response, string, error) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// A request is refused at once while all servers back off; Retry-After is the end of the
// shortest backoff.
func TestRefusedWhileAllBackOff(t *testing.T) {
	tests := []struct {
		name string
		// backoffs are those of the servers; negative for a server without one.
		backoffs []time.Duration
		status   int
		want     time.Duration
	}{
		{"one", []time.Duration{8 * time.Second}, 503, 8 * time.Second},
		{"the shortest of three", []time.Duration{9 * time.Second, 5 * time.Second, 7 * time.Second}, 503, 5 * time.Second},
		{"longer than the deadline", []time.Duration{time.Minute}, 503, time.Minute},
		{"one does not back off", []time.Duration{9 * time.Second, -1}, 200, 0},
		{"none backs off", []time.Duration{-1}, 200, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var backends []*backend
			for range tt.backoffs {
				backends = append(backends, newBackend(t))
			}
			g, c := newGate(t, routes(), backends...)
			began := time.Now()
			for i, backoff := range tt.backoffs {
				if backoff > 0 {
					k := pickInstance(t, g, fmt.Sprint("i", i))
					k.BackOff(backoff)
					k.Done(serverset.BackedOff)
				}
			}
			for range 3 {
				resp, body, err := get(t, c, "/safe/", "")
				if err != nil || resp.StatusCode != tt.status {
					t.Fatalf("got %v, %v, want %d", resp, err, tt.status)
				}
				if tt.status == http.StatusOK {
					continue
				}
				if resp.Header.Get(wheelgauge.HeaderOutcome) != string(wheelgauge.OutcomeNotRun) || !strings.Contains(body, string(wheelgauge.ReasonBackoff)) {
					t.Errorf("refused with headers %v and body %s, want not run and reason backoff", resp.Header, body)
				}
				after, ok := pushback.ParseSeconds(resp.Header.Get("Retry-After"))
				if left := tt.want - time.Since(began); !ok || after < left || after > tt.want+backoffRetrySpread+time.Millisecond {
					t.Errorf("Retry-After is %s, %s are left of the backoff", after, left)
				}
			}
			for i, b := range backends {
				if tt.backoffs[i] > 0 && len(b.received()) > 0 {
					t.Errorf("server %d got %d requests during its backoff", i, len(b.received()))
				}
			}
		})
	}
}

// A gateway whose servers all back off gets no request until the first of them accepts work
// again.
func TestForwardToAGatewayWhoseServersBackOff(t *testing.T) {
	const backoff = 7 * time.Second
	tests := []struct {
		name string
		// localBackoff is the backoff of the server in this region; if negative, the route may
		// not run in this region.
		localBackoff time.Duration
		path         string
		want         time.Duration
	}{
		{"not allowed to run here", -1, "/away/", backoff},
		{"servers here back off longer", 9 * time.Second, "/safe/", backoff},
		{"servers here back off shorter", 4 * time.Second, "/safe/", 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			far := newBackend(t, backoffAnswer(backoff.Seconds()))
			remote, _ := newGate(t, routes(), far)
			remote.options.Region = "there"
			g, c := newGate(t, routes(), newBackend(t))
			at := peerConn(t, remote).RemoteAddr().String()
			g.options.Peers.UpdateHosts([]wheelgauge.FleetHost{{Name: "far", Region: "there", PeerAddress: at, Ready: true}}, nil)
			g.options.Peers.SetLoads([]wheelgauge.RegionUsage{{Region: "there", Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: 1, Slots: 4}}}})
			if tt.localBackoff > 0 {
				k := pickInstance(t, g, "i0")
				k.BackOff(tt.localBackoff)
				k.Done(serverset.BackedOff)
			}
			began := time.Now()
			for range 3 {
				resp, _, err := get(t, c, tt.path, "")
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("got %v, %v, want 503", resp, err)
				}
				after, ok := pushback.ParseSeconds(resp.Header.Get("Retry-After"))
				if left := tt.want - time.Since(began); !ok || after < left || after > tt.want+2*backoffRetrySpread {
					t.Errorf("Retry-After is %s, %s are left", after, left)
				}
			}
			if got := len(far.received()); got != 1 {
				t.Errorf("the remote server got %d requests, want 1", got)
			}
		})
	}
}
