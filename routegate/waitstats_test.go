package routegate

import (
	"testing"
	"time"
)

func TestWaitsCorrectPredictions(t *testing.T) {
	var w waitStats
	if got := w.correct("r", time.Second); got != time.Second {
		t.Errorf("without observations: got %s, want 1s", got)
	}
	for range 200 {
		w.observe("r", 100*time.Millisecond, 800*time.Millisecond)
		w.observe("exact", 800*time.Millisecond, 100*time.Millisecond)
	}
	if got := w.correct("r", 100*time.Millisecond); got < 500*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("observed eight times as long: got %s, want 500ms to 600ms", got)
	}
	if got := w.correct("exact", time.Second); got != time.Second {
		t.Errorf("the prediction is lowered to %s, want 1s", got)
	}
	if got := w.mean("r"); got < 790*time.Millisecond || got > 810*time.Millisecond {
		t.Errorf("mean is %s, want 790ms to 810ms", got)
	}
}

// The excess at an idle server is no reason to forward requests; only what exceeds it is a
// queue in this region.
func TestWaitExcess(t *testing.T) {
	tests := []struct {
		name      string
		predicted time.Duration
		observed  time.Duration
		want      time.Duration
	}{
		{"as at an idle server", 100 * time.Millisecond, 150 * time.Millisecond, 0},
		{"shorter than predicted", 400 * time.Millisecond, 150 * time.Millisecond, 0},
		{"a queue", 100 * time.Millisecond, 460 * time.Millisecond, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w waitStats
			if got := w.excess("r"); got != 0 {
				t.Errorf("without observations: got %s, want 0", got)
			}
			for range 200 {
				w.observe("r", tt.predicted, tt.observed)
			}
			if got := w.excess("r"); got.Round(5*time.Millisecond) != tt.want {
				t.Errorf("excess is %s, want %s", got, tt.want)
			}
		})
	}
}

// Means that refuse every request of a route get no new wait. They fade, so that an idle service
// is tried again.
func TestStaleWaitsFade(t *testing.T) {
	at := time.Unix(1000, 0)
	w := waitStats{now: func() time.Time { return at }}
	for range 200 {
		w.observe("r", 30*time.Millisecond, 800*time.Millisecond)
	}
	at = at.Add(staleWaitAfter)
	if got := w.mean("r"); got < 790*time.Millisecond {
		t.Errorf("mean is %s while it is fresh, want 790ms at least", got)
	}
	at = at.Add(8 * staleWaitHalfLife)
	if got := w.mean("r"); got > 60*time.Millisecond {
		t.Errorf("mean is %s long after the last wait, want 60ms at most", got)
	}
	if got := w.correct("r", 30*time.Millisecond); got > 40*time.Millisecond {
		t.Errorf("a wait of 30 ms is corrected to %s long after the last one, want 40ms at most", got)
	}
}

// For seconds after a slow server was as fast as before, its requests were refused as late: refused
// ones bring no new wait.
func TestQuickTrialEndsTheMeansOfSlowSeconds(t *testing.T) {
	tests := []struct {
		name             string
		waited           time.Duration
		least, most      time.Duration // of the mean afterwards
		correctedAtLeast time.Duration // of a wait of 500 ms
	}{
		{"quick again", 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		{"still slow", 4 * time.Second, 3900 * time.Millisecond, 4 * time.Second, 3 * time.Second},
	}
	for _, tt := range tests {
		at := time.Unix(1000, 0)
		w := waitStats{now: func() time.Time { return at }}
		for range 200 {
			w.observe("r", 500*time.Millisecond, 4*time.Second)
		}
		w.observeProbe("r", 500*time.Millisecond, tt.waited)
		if got := w.mean("r"); got < tt.least || got > tt.most {
			t.Errorf("%s: the mean is %s, want %s to %s", tt.name, got, tt.least, tt.most)
		}
		if got := w.correct("r", 500*time.Millisecond).Round(time.Millisecond); got < tt.correctedAtLeast || tt.least == tt.most && got != tt.most {
			t.Errorf("%s: a wait of 500 ms is corrected to %s", tt.name, got)
		}
	}
}
