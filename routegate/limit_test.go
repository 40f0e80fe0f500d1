package routegate

import (
	"strings"
	"testing"
)

// limited is an answer that names limits.
func limited(answer string, limits ...string) string {
	status, rest, _ := strings.Cut(answer, "\r\n")
	for _, l := range limits {
		rest = "Wheelgauge-Limit: " + l + "\r\n" + rest
	}
	return status + "\r\n" + rest
}

// What a server says of its limit is heard in any answer of its own; only a success without
// it says that there is none.
func TestLimitIsHeard(t *testing.T) {
	tests := []struct {
		name   string
		script []string
		rate   float64
		known  bool
	}{
		{"none", []string{okAnswer}, 0, false},
		{"in a success", []string{limited(okAnswer, "2.5")}, 2.5, true},
		{"in a failure", []string{limited(failure, "2.5")}, 2.5, true},
		{"in a refusal", []string{limited(shed, "0.2")}, 0.2, true},
		{"of another server at the address", []string{limited(other, "2.5")}, 0, false},
		{"it changes", []string{limited(okAnswer, "2.5"), limited(okAnswer, "1")}, 1, true},
		{"it ends", []string{limited(okAnswer, "2.5"), okAnswer}, 0, false},
		{"a failure without it", []string{limited(okAnswer, "2.5"), failure}, 2.5, true},
		{"not a number", []string{limited(okAnswer, "2.5"), limited(okAnswer, "many")}, 2.5, true},
		{"negative", []string{limited(okAnswer, "-1")}, 0, false},
		{"doubled", []string{limited(okAnswer, "5", "3", "x")}, 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, c := newGate(t, routes(), newBackend(t, tt.script...))
			for range tt.script {
				if _, _, err := ask(t, c, "/once/", ""); err != nil {
					t.Fatal(err)
				}
			}
			if rate, ok := g.options.Limits.Rate("i0"); rate != tt.rate || ok != tt.known {
				t.Errorf("the limit is %v, %v, want %v, %v", rate, ok, tt.rate, tt.known)
			}
		})
	}
}
