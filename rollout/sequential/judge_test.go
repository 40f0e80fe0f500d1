package sequential

import (
	"strings"
	"testing"
	"time"

	"wheelgauge"
)

// phase is what comes each 100 ms for a while.
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

// What a rollout could have shown follows from how many answers it has seen.
func TestDetects(t *testing.T) {
	tests := []struct {
		answers uint64
		want    float64
	}{
		{0, 1}, {4, 1}, {36, 0.18}, {100, 0.11}, {225, 0.08}, {2000, 0.065},
	}
	for _, tt := range tests {
		j := New()
		j.Add(time.Unix(1000, 0), []wheelgauge.VersionCount{{Route: "r", Answers: 10_000}, {Route: "r", Target: true, Answers: tt.answers, Timed: tt.answers}})
		if got := j.Verdict(3).Detects; got < tt.want-0.01 || got > tt.want+0.01 {
			t.Errorf("after %d answers: %.3f, want %.3f", tt.answers, got, tt.want)
		}
	}
}

// A version is judged beside the others, and not by what a single server of several does.
func TestVerdict(t *testing.T) {
	sound := wheelgauge.VersionCount{Answers: 100, Failed: 1, Timed: 100, Slow: 1}
	shaken := wheelgauge.VersionCount{Answers: 100, Failed: 40, Timed: 60, Slow: 30}
	good := wheelgauge.VersionCount{Answers: 5, Timed: 5}
	failing := wheelgauge.VersionCount{Answers: 5, Failed: 2, Timed: 3}
	slow := wheelgauge.VersionCount{Answers: 5, Timed: 5, Slow: 4}
	thin := wheelgauge.VersionCount{Answers: 25, Failed: 1, Timed: 24}
	eighth := wheelgauge.VersionCount{Answers: 8, Failed: 1, Timed: 7}
	two, nine := []string{"a", "b"}, strings.Split("abcdefghi", "")
	tests := []struct {
		name    string
		phases  []phase
		servers int
		bad     bool
		cause   string
	}{
		{"nothing seen", nil, 2, false, ""},
		{"good", []phase{{300, good, sound, two}}, 2, false, ""},
		{"fails", []phase{{20, failing, sound, two}}, 2, true, "failed"},
		{"slow", []phase{{20, slow, sound, two}}, 2, true, "slow"},
		{"fails after a long good time", []phase{{600, good, sound, two}, {20, failing, sound, two}}, 2, true, "failed"},
		{"one server of two fails", []phase{{20, failing, sound, two[:1]}}, 2, false, ""},
		{"the only server fails", []phase{{20, failing, sound, two[:1]}}, 1, true, "failed"},
		{"the others fail as well", []phase{{20, failing, shaken, two}}, 2, false, ""},
		{"one in eight fails, spread over nine servers", []phase{{9, eighth, sound, nine}}, 9, true, "failed"},
		{"one in eight fails, at servers of which one has most requests", []phase{{12, eighth, sound, []string{"a", "a", "a", "b"}}}, 2, true, "failed"},
		{"one in eight fails, all at one of nine", []phase{{60, eighth, sound, nine[:1]}}, 9, false, ""},
		{"a little worse for long", []phase{{600, thin, sound, two}}, 2, true, "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j, at := New(), time.Unix(1000, 0)
			for _, p := range tt.phases {
				for tick := range p.ticks {
					at = at.Add(100 * time.Millisecond)
					j.Add(at, p.counts(tick))
				}
			}
			v := j.Verdict(tt.servers)
			if v.Bad != tt.bad || !strings.Contains(v.Cause, tt.cause) || v.Bad != (v.Score >= 1) {
				t.Errorf("%+v, want bad %t for %q", v, tt.bad, tt.cause)
			}
		})
	}
}
