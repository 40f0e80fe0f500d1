package routegate

import (
	"testing"
	"time"
)

func TestWaitsCorrectPredictions(t *testing.T) {
	var w waitStats
	if got := w.correct("r", time.Second); got != time.Second {
		t.Errorf("nothing seen: %s", got)
	}
	for range 200 {
		w.observe("r", 100*time.Millisecond, 800*time.Millisecond)
		w.observe("exact", 800*time.Millisecond, 100*time.Millisecond)
	}
	if got := w.correct("r", 100*time.Millisecond); got < 500*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("seen eight times as long: %s", got)
	}
	if got := w.correct("exact", time.Second); got != time.Second {
		t.Errorf("predictions are lowered to %s", got)
	}
	if got := w.mean("r"); got < 790*time.Millisecond || got > 810*time.Millisecond {
		t.Errorf("mean %s", got)
	}
}

// What requests take longer than predicted everywhere is no reason to send them
// away; only what goes beyond it is a queue of this region's.
func TestWaitExcess(t *testing.T) {
	tests := []struct {
		name      string
		predicted time.Duration
		observed  time.Duration
		want      time.Duration
	}{
		{"as at an idle server", 100 * time.Millisecond, 150 * time.Millisecond, 0},
		{"sooner than predicted", 400 * time.Millisecond, 150 * time.Millisecond, 0},
		{"a queue", 100 * time.Millisecond, 460 * time.Millisecond, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w waitStats
			if got := w.excess("r"); got != 0 {
				t.Errorf("nothing seen: %s", got)
			}
			for range 200 {
				w.observe("r", tt.predicted, tt.observed)
			}
			if got := w.excess("r"); got.Round(5*time.Millisecond) != tt.want {
				t.Errorf("excess %s, want %s", got, tt.want)
			}
		})
	}
}
