package routegate

import (
	"net/http"
	"strings"
	"testing"
)

// Header names in the answers of servers match in any case.
func TestHeaderNamesInAnyCase(t *testing.T) {
	lower := func(answer string) string {
		head, body, _ := strings.Cut(answer, "\r\n\r\n")
		start, lines, _ := strings.Cut(head, "\r\n")
		return start + "\r\n" + strings.ToLower(lines) + "\r\n\r\n" + body
	}
	otherAnswer := withHeaders(okAnswer, "X-Request-Id: another")
	tests := []struct {
		name   string
		script []string
		status int
		sends  int
	}{
		{"a signature", []string{okAnswer}, 200, 1},
		{"not run", []string{notRunAnswer, okAnswer}, 200, 2},
		{"an answer to another request", []string{otherAnswer + okAnswer}, 200, 1},
		{"a limit", []string{withLimits(okAnswer, "2")}, 200, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var script []string
			for _, answer := range tt.script {
				for _, part := range strings.SplitAfter(answer, "\r\nok") {
					if part != "" {
						script = append(script, lower(part))
					}
				}
			}
			if tt.name == "an answer to another request" {
				script = []string{strings.Join(script, "")}
			}
			b := newBackend(t, script...)
			g, c := newGate(t, routes(), b, b)
			resp, _, err := get(t, c, "/once/", "")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || len(b.received()) != tt.sends {
				t.Errorf("got %d after %d sends, want %d after %d", resp.StatusCode, len(b.received()), tt.status, tt.sends)
			}
			if _, ok := g.options.Limits.Rate("i0"); tt.name == "a limit" && !ok && resp.StatusCode == http.StatusOK {
				t.Error("the limit was not recorded")
			}
		})
	}
}

// A Connection header does not remove what tells requests and answers apart.
func TestConnectionHeaderKeepsRequestID(t *testing.T) {
	b := newBackend(t)
	_, c := newGate(t, routes(), b, b)
	if _, _, err := get(t, c, "/once/", "X-Hop: 1\r\nConnection: x-request-id, X-Hop\r\n"); err != nil {
		t.Fatal(err)
	}
	received := b.received()
	if len(received) != 1 || received[0].Get("X-Request-Id") != "r1" || received[0].Get("X-Hop") != "" {
		t.Errorf("the server got %v, want the request's ID and no X-Hop", received)
	}
}

// Header names of callers take effect in any case, and are not just passed on.
func TestCallersHeaderNamesInAnyCase(t *testing.T) {
	for _, name := range []string{"Wheelgauge-Deadline-Ms", "wheelgauge-deadline-ms", "WHEELGAUGE-DEADLINE-MS"} {
		b := newBackend(t)
		_, c := newGate(t, routes(), b)
		if _, _, err := get(t, c, "/safe/", name+": 700\r\n"); err != nil {
			t.Fatal(err)
		}
		if left := b.received()[0].Get("Wheelgauge-Deadline-Ms"); len(left) != 3 {
			t.Errorf("%s: the server got %q ms, want the rest of 700", name, left)
		}
	}
}
