package wake

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"wheelgauge/fake/fakeclock"
)

// moved is a clock that stands where a test puts it.
type moved struct{ at time.Time }

func (m *moved) Now() time.Time { return m.at }

func TestStandingStill(t *testing.T) {
	const interval = 100 * time.Millisecond
	tests := []struct {
		name             string
		steady, lost     time.Duration
		stood, suspended time.Duration
	}{
		{"as it should be", interval, 0, 0, 0},
		{"a busy second", interval + least/2, 0, 0, 0},
		{"frozen", interval + 4*time.Second, 0, 4 * time.Second, 0},
		{"suspended", interval, 4 * time.Second, 4 * time.Second, 4 * time.Second},
		{"both", interval + 2*time.Second, 3 * time.Second, 5 * time.Second, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lines := 0
			log := funcr.New(func(_, line string) {
				if strings.Contains(line, "stood still") {
					lines++
				}
			}, funcr.Options{})
			clock, steady := &moved{at: time.Unix(1000, 0)}, &moved{at: time.Unix(500, 0)}
			w := New(clock, log)
			w.steady, w.seenSteady = steady, steady.at
			steady.at = steady.at.Add(tt.steady)
			clock.at = clock.at.Add(tt.steady + tt.lost)
			stood, suspended := w.Look(interval)
			if stood != tt.stood || suspended != tt.suspended || lines != min(1, int(tt.stood)) {
				t.Errorf("stood %s, suspended %s, %d lines; want %s, %s", stood, suspended, lines, tt.stood, tt.suspended)
			}
			clock.at, steady.at = clock.at.Add(interval), steady.at.Add(interval)
			if stood, _ := w.Look(interval); stood != 0 {
				t.Errorf("still stands: %s", stood)
			}
		})
	}
}

func TestFakeClock(t *testing.T) {
	c := &fakeclock.Clock{}
	w := New(c, logr.Discard())
	c.Suspend(time.Minute)
	if _, suspended := w.Look(0); suspended < time.Minute-time.Second || suspended > time.Minute+time.Second {
		t.Errorf("suspended for %s", suspended)
	}
}
