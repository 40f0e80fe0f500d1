package routegate

import (
	"testing"
	"time"
)

// Refused callers return at the rate at which permits are granted, and none after the latest
// time.
func TestRetrySchedule(t *testing.T) {
	const latest = 2500 * time.Millisecond
	tests := []struct {
		name string
		// permits are granted per second; the refused callers get their retry times at once.
		permits int
		refused int
		// wantWithin is how many return within a second.
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
					t.Errorf("retry after %v, later than the latest time", after)
				}
				if after < time.Second {
					within++
				}
			}
			if within < tt.wantWithin || within > tt.wantWithin+1 {
				t.Errorf("%d return within a second, want %d", within, tt.wantWithin)
			}
		})
	}
}
