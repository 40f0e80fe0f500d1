package routegate

import (
	"testing"
	"time"
)

// Callers that are refused come back as fast as permits come, and none later than it can
// wait.
func TestRetrySchedule(t *testing.T) {
	const latest = 2500 * time.Millisecond
	tests := []struct {
		name string
		// permits come a second, refused callers are told at once when to come back.
		permits int
		refused int
		// within counts those who come back within a second.
		wantWithin int
	}{
		{"few callers", 8, 4, 4},
		{"many callers", 8, 100, 8},
		{"few permits", 2, 100, 2},
		{"no permits", 0, 10, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var ts retrySchedules
			for range 10 * tt.permits {
				now = now.Add(time.Second / time.Duration(tt.permits))
				ts.served("s", now)
			}
			within := 0
			for range tt.refused {
				after := ts.next("s", now, 100*time.Millisecond, latest)
				if after > latest {
					t.Errorf("told to come back after %v", after)
				}
				if after < time.Second {
					within++
				}
			}
			if within < tt.wantWithin || within > tt.wantWithin+1 {
				t.Errorf("%d come back within a second, want %d", within, tt.wantWithin)
			}
		})
	}
}
