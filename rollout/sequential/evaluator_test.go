package sequential

import (
	"strings"
	"testing"
	"time"

	"wheelgauge"
)

// phase is a time in which the same counts arrive each tick of 100 ms.
type phase struct {
	ticks   int
	target  wheelgauge.VersionCount
	others  wheelgauge.VersionCount
	servers []string
}

func (p phase) counts(tick int) []wheelgauge.VersionCount {
	target, others := p.target, p.others
	target.Route, others.Route, target.Target = "r", "r", true
	if bad := target.Failed + target.Slow; bad > 0 {
		target.Faults = []wheelgauge.ServerFaults{{Server: p.servers[tick%len(p.servers)], Count: bad, Answers: target.Answers}}
	}
	return []wheelgauge.VersionCount{target, others}
}

// The smallest rate of bad answers that a rollout can detect follows from how many answers it
// has seen.
func TestMinDetectableRate(t *testing.T) {
	tests := []struct {
		answers uint64
		want    float64
	}{
		{0, 1}, {4, 1}, {36, 0.18}, {100, 0.11}, {225, 0.08}, {2000, 0.065},
	}
	for _, tt := range tests {
		e := New()
		e.Add(time.Unix(1000, 0), []wheelgauge.VersionCount{{Route: "r", Answers: 10_000}, {Route: "r", Target: true, Answers: tt.answers, Timed: tt.answers}})
		if got := e.Verdict(3).Detects; got < tt.want-0.01 || got > tt.want+0.01 {
			t.Errorf("after %d answers: got %.3f, want %.3f", tt.answers, got, tt.want)
		}
	}
}

// A version is compared with the others, and a single faulty server of several does not make
// it bad.
func TestVerdict(t *testing.T) {
	healthy := wheelgauge.VersionCount{Answers: 100, Failed: 1, Timed: 100, Slow: 1}
	failingOthers := wheelgauge.VersionCount{Answers: 100, Failed: 40, Timed: 60, Slow: 30}
	good := wheelgauge.VersionCount{Answers: 5, Timed: 5}
	failing := wheelgauge.VersionCount{Answers: 5, Failed: 2, Timed: 3}
	slow := wheelgauge.VersionCount{Answers: 5, Timed: 5, Slow: 4}
	slightlyWorse := wheelgauge.VersionCount{Answers: 25, Failed: 1, Timed: 24}
	oneInEight := wheelgauge.VersionCount{Answers: 8, Failed: 1, Timed: 7}
	two, nine := []string{"a", "b"}, strings.Split("abcdefghi", "")
	tests := []struct {
		name    string
		phases  []phase
		servers int
		bad     bool
		cause   string
	}{
		{"no answers", nil, 2, false, ""},
		{"good", []phase{{300, good, healthy, two}}, 2, false, ""},
		{"fails", []phase{{20, failing, healthy, two}}, 2, true, "failed"},
		{"slow", []phase{{20, slow, healthy, two}}, 2, true, "slow"},
		{"fails after a long time without faults", []phase{{600, good, healthy, two}, {20, failing, healthy, two}}, 2, true, "failed"},
		{"one server of two fails", []phase{{20, failing, healthy, two[:1]}}, 2, false, ""},
		{"the only server fails", []phase{{20, failing, healthy, two[:1]}}, 1, true, "failed"},
		{"the others fail as well", []phase{{20, failing, failingOthers, two}}, 2, false, ""},
		{"one in eight fails, spread over nine servers", []phase{{9, oneInEight, healthy, nine}}, 9, true, "failed"},
		{"one in eight fails, at two servers with uneven load", []phase{{12, oneInEight, healthy, []string{"a", "a", "a", "b"}}}, 2, true, "failed"},
		{"one in eight fails, all at one of nine", []phase{{60, oneInEight, healthy, nine[:1]}}, 9, false, ""},
		{"slightly worse for long", []phase{{600, slightlyWorse, healthy, two}}, 2, true, "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, now := New(), time.Unix(1000, 0)
			for _, p := range tt.phases {
				for tick := range p.ticks {
					now = now.Add(100 * time.Millisecond)
					e.Add(now, p.counts(tick))
				}
			}
			v := e.Verdict(tt.servers)
			if v.Bad != tt.bad || !strings.Contains(v.Cause, tt.cause) || v.Bad != (v.Score >= 1) {
				t.Errorf("got %+v, want bad %t for %q", v, tt.bad, tt.cause)
			}
		})
	}
}
