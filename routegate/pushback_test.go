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

// withHeaders is an answer with more header lines.
func withHeaders(answer string, lines ...string) string {
	status, rest, _ := strings.Cut(answer, "\r\n")
	return status + "\r\n" + strings.Join(append(lines, rest), "\r\n")
}

func backoffAnswer(seconds float64) string {
	return withHeaders(notRunAnswer, fmt.Sprintf("Retry-After: %g", seconds))
}

// A server's own answers may push back; only its 503 asks to back off.
func TestObservePushback(t *testing.T) {
	const backoff = 30 * time.Second
	tests := []struct {
		name        string
		answer      string
		wantBackoff bool
		wantLeaving bool
	}{
		{"nothing", okAnswer, false, false},
		{"a rest", backoffAnswer(30), true, false},
		{"a rest, in lower case", withHeaders(notRunAnswer, "retry-after: 30"), true, false},
		{"a rest as a date", withHeaders(notRunAnswer, "Date: Thu, 16 Apr 2026 09:28:13 GMT", "Retry-After: Thu, 16 Apr 2026 09:28:43 GMT"), true, false},
		{"a rest by an answer that may have run", withHeaders(unsigned503Answer, "Retry-After: 30"), true, false},
		{"a rest of no time", backoffAnswer(0), false, false},
		{"a rest that cannot be read", withHeaders(notRunAnswer, "Retry-After: soon"), false, false},
		{"a time to come back in a success", withHeaders(okAnswer, "Retry-After: 30"), false, false},
		{"a time to come back in a failure", withHeaders(failureAnswer, "Retry-After: 30"), false, false},
		{"a rest of another server at the address", withHeaders(misdirectedAnswer, "Retry-After: 30", leavingHeader), false, false},
		{"leaving, in a success", withHeaders(okAnswer, leavingHeader), false, true},
		{"leaving, in a failure", withHeaders(failureAnswer, leavingHeader), false, true},
		{"leaving, in a refusal", withHeaders(notRunAnswer, leavingHeader), false, true},
		{"leaving and a rest", withHeaders(backoffAnswer(30), leavingHeader), true, true},
		{"not leaving", withHeaders(okAnswer, "Wheelgauge-Leaving: 0"), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t, tt.answer))
			k := g.options.Servers.Choose(anyJob())
			defer k.Done(serverset.Left)
			if _, _, err := get(t, c, "/once/", ""); err != nil {
				t.Fatal(err)
			}
			state := k.Pushback()
			if state.BackingOff(time.Now().Add(backoff-time.Second)) != tt.wantBackoff || state.Leaving() != tt.wantLeaving {
				t.Errorf("it asks %+v, want a rest %t, leaving %t", state, tt.wantBackoff, tt.wantLeaving)
			}
		})
	}
}

// brokenStream is a stream that breaks off after its first event.
const brokenStream = streamHead + "f\r\nid: 1\ndata: a\n\n\r\n"

// A server that rests, or leaves, gets no request by any way there.
func TestPushedBackServerGetsNoRequest(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		forwarded bool
		// script is that of the other server.
		script []string
		// permits are waited for while the server asks for none.
		permits bool
		status  int
	}{
		{"the first send", "/once/", false, nil, false, 200},
		{"a repeat after a failure", "/safe/", false, []string{failureAnswer}, false, 502},
		{"a repeat after a broken answer", "/safe/", false, []string{truncatedAnswer}, false, 502},
		{"a repeat of what did not run", "/once/", false, []string{notRunAnswer}, false, 503},
		{"a resumed stream", "/resume/", false, []string{brokenStream}, false, 200},
		{"a forwarded request", "/once/", true, nil, false, 200},
		{"a forwarded one that did not run", "/once/", true, []string{notRunAnswer}, false, 503},
		{"after a permit was waited for", "/once/", false, nil, true, 200},
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
					defer k.Done(serverset.Left)
					if kind == "rest" {
						k.BackOff(testLimit)
						return
					}
					k.Leave()
				}
				if tt.permits {
					g.options.Limits.Named("i0", 1)
					g.options.Permits = permitHook(pushBack)
				} else {
					pushBack()
				}
				resp, _, _ := tryGet(t, c, tt.path)
				if resp == nil || resp.StatusCode != tt.status {
					t.Errorf("got %v, want %d", resp, tt.status)
				}
				if got := len(pushedBack.received()); got > 0 {
					t.Errorf("the server got %d requests", got)
				}
				if len(other.received()) == 0 {
					t.Error("the other server got none")
				}
			})
		}
	}
}

// pickInstance chooses a server by its name.
func pickInstance(t *testing.T, g *Gate, instance string) *serverset.Pick {
	t.Helper()
	var tried []string
	for {
		k := g.options.Servers.Choose(serverset.NewJob("s", prompt.Prompt{}, 0, tried))
		if k == nil {
			t.Fatalf("%s cannot be chosen", instance)
		}
		if k.Server().Instance() == instance {
			return k
		}
		k.Done(serverset.Left)
		tried = append(tried, k.Server().Instance())
	}
}

// permitHook are given at once, after something has happened.
type permitHook func()

func (w permitHook) Take(context.Context, string, time.Duration) (time.Duration, bool) {
	w()
	return 0, true
}

// tryGet is as ask, for answers that may break off.
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

// A request that all servers push back is refused at once, with when the first takes work.
func TestRefusedWhileAllBackOff(t *testing.T) {
	tests := []struct {
		name string
		// rests are those of the servers, none below 0.
		backoffs []time.Duration
		status   int
		want     time.Duration
	}{
		{"one", []time.Duration{8 * time.Second}, 503, 8 * time.Second},
		{"the first of three", []time.Duration{9 * time.Second, 5 * time.Second, 7 * time.Second}, 503, 5 * time.Second},
		{"longer than the caller waits", []time.Duration{time.Minute}, 503, time.Minute},
		{"one does not rest", []time.Duration{9 * time.Second, -1}, 200, 0},
		{"none rests", []time.Duration{-1}, 200, 0},
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
					t.Errorf("refused with %v %s", resp.Header, body)
				}
				after, ok := pushback.ParseSeconds(resp.Header.Get("Retry-After"))
				if left := tt.want - time.Since(began); !ok || after < left || after > tt.want+backoffRetrySpread+time.Millisecond {
					t.Errorf("told to come back after %s, %s are left of the rest", after, left)
				}
			}
			for i, b := range backends {
				if tt.backoffs[i] > 0 && len(b.received()) > 0 {
					t.Errorf("server %d got %d requests in its backoff", i, len(b.received()))
				}
			}
		})
	}
}

// A gateway whose servers back off is not asked before they take work again.
func TestForwardToAGatewayWhoseServersBackOff(t *testing.T) {
	const backoff = 7 * time.Second
	tests := []struct {
		name string
		// here is the rest of the own region's server, which may not be used below 0.
		localBackoff time.Duration
		path         string
		want         time.Duration
	}{
		{"nothing may run here", -1, "/away/", backoff},
		{"servers here rest longer", 9 * time.Second, "/safe/", backoff},
		{"servers here rest shorter", 4 * time.Second, "/safe/", 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			far := newBackend(t, backoffAnswer(backoff.Seconds()))
			remote, _ := newGate(t, routes(), far)
			remote.options.Region = "there"
			g, c := newGate(t, routes(), newBackend(t))
			at := peerConn(t, remote).RemoteAddr().String()
			g.options.Peers.SetHosts([]wheelgauge.FleetHost{{Name: "far", Region: "there", Peer: at, Ready: true}})
			g.options.Peers.SetUses([]wheelgauge.RegionUse{{Region: "there", Uses: []wheelgauge.ServiceUse{{Service: "s", Servers: 1, Slots: 4}}}})
			if tt.localBackoff > 0 {
				k := pickInstance(t, g, "i0")
				k.BackOff(tt.localBackoff)
				k.Done(serverset.BackedOff)
			}
			began := time.Now()
			for range 3 {
				resp, _, err := get(t, c, tt.path, "")
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("got %v, %v", resp, err)
				}
				after, ok := pushback.ParseSeconds(resp.Header.Get("Retry-After"))
				if left := tt.want - time.Since(began); !ok || after < left || after > tt.want+2*backoffRetrySpread {
					t.Errorf("told to come back after %s, %s are left", after, left)
				}
			}
			if got := len(far.received()); got != 1 {
				t.Errorf("the server there got %d requests, want 1", got)
			}
		})
	}
}
