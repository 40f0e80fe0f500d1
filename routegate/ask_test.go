package routegate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wheelgauge/prompt"
	"wheelgauge/serverset"
)

const leavingWord = "Wheelgauge-Leaving: 1"

func anyJob() serverset.Job { return serverset.NewJob("s", prompt.Prompt{}, 0, nil) }

// saying is an answer with more header lines.
func saying(answer string, lines ...string) string {
	status, rest, _ := strings.Cut(answer, "\r\n")
	return status + "\r\n" + strings.Join(append(lines, rest), "\r\n")
}

func resting(seconds float64) string { return saying(shed, fmt.Sprintf("Retry-After: %g", seconds)) }

// What an answer asks of this host is heard in any answer of the server itself, a rest in
// its 503 only.
func TestAskIsHeard(t *testing.T) {
	const rest = 30 * time.Second
	tests := []struct {
		name    string
		answer  string
		resting bool
		leaving bool
	}{
		{"nothing", okAnswer, false, false},
		{"a rest", resting(30), true, false},
		{"a rest, in lower case", saying(shed, "retry-after: 30"), true, false},
		{"a rest as a date", saying(shed, "Date: Thu, 16 Apr 2026 09:28:13 GMT", "Retry-After: Thu, 16 Apr 2026 09:28:43 GMT"), true, false},
		{"a rest by an answer that may have run", saying(unsigned503, "Retry-After: 30"), true, false},
		{"a rest of no time", resting(0), false, false},
		{"a rest that cannot be read", saying(shed, "Retry-After: soon"), false, false},
		{"a time to come back in a success", saying(okAnswer, "Retry-After: 30"), false, false},
		{"a time to come back in a failure", saying(failure, "Retry-After: 30"), false, false},
		{"a rest of another server at the address", saying(other, "Retry-After: 30", leavingWord), false, false},
		{"leaving, in a success", saying(okAnswer, leavingWord), false, true},
		{"leaving, in a failure", saying(failure, leavingWord), false, true},
		{"leaving, in a refusal", saying(shed, leavingWord), false, true},
		{"leaving and a rest", saying(resting(30), leavingWord), true, true},
		{"not leaving", saying(okAnswer, "Wheelgauge-Leaving: 0"), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t, tt.answer))
			k := g.options.Servers.Choose(anyJob())
			defer k.Done(serverset.Left)
			if _, _, err := ask(t, c, "/once/", ""); err != nil {
				t.Fatal(err)
			}
			asked := k.Asked()
			if asked.Resting(time.Now().Add(rest-time.Second)) != tt.resting || asked.Leaving() != tt.leaving {
				t.Errorf("it asks %+v, want a rest %t, leaving %t", asked, tt.resting, tt.leaving)
			}
		})
	}
}
