package stallwatch

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"wheelgauge/fake/suspendclock"
)

// manualClock is a clock that a test sets.
type manualClock struct{ at time.Time }

func (m *manualClock) Now() time.Time { return m.at }

func TestStall(t *testing.T) {
	const interval = 100 * time.Millisecond
	tests := []struct {
		name                  string
		monotonic, suspension time.Duration
		stalled, suspended    time.Duration
	}{
		{"as it should be", interval, 0, 0, 0},
		{"a busy second", interval + minStall/2, 0, 0, 0},
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
			clock, monotonic := &manualClock{at: time.Unix(1000, 0)}, &manualClock{at: time.Unix(500, 0)}
			w := New(clock, log)
			w.monotonic, w.lastMonotonic = monotonic, monotonic.at
			monotonic.at = monotonic.at.Add(tt.monotonic)
			clock.at = clock.at.Add(tt.monotonic + tt.suspension)
			stalled, suspended := w.Check(interval)
			if stalled != tt.stalled || suspended != tt.suspended || lines != min(1, int(tt.stalled)) {
				t.Errorf("stalled %s, suspended %s, %d log lines; want %s, %s", stalled, suspended, lines, tt.stalled, tt.suspended)
			}
			clock.at, monotonic.at = clock.at.Add(interval), monotonic.at.Add(interval)
			if stalled, _ := w.Check(interval); stalled != 0 {
				t.Errorf("stalled %s at the next look, want 0", stalled)
			}
		})
	}
}

func TestSuspendClock(t *testing.T) {
	c := &suspendclock.Clock{}
	w := New(c, logr.Discard())
	c.Suspend(time.Minute)
	if _, suspended := w.Check(0); suspended < time.Minute-time.Second || suspended > time.Minute+time.Second {
		t.Errorf("suspended for %s, want about 1m", suspended)
	}
}
