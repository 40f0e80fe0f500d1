package judge

import (
	"testing"
	"time"
)

// evenlySpaced returns count arrivals, gap apart, the first at Unix second 1.
func evenlySpaced(gap time.Duration, count int) []time.Time {
	var out []time.Time
	for i := range count {
		out = append(out, time.Unix(1, 0).Add(time.Duration(i)*gap))
	}
	return out
}

// The check fails at one request more than the bound allows, at any time and for arrivals in
// any order.
func TestCheck(t *testing.T) {
	late := append(evenlySpaced(10*time.Second, 3), time.Unix(31, 0), time.Unix(32, 0), time.Unix(33, 0))
	backwards := []time.Time{time.Unix(3, 0), time.Unix(2, 0), time.Unix(1, 0)}
	tests := []struct {
		name     string
		bound    Bound
		rate     float64
		arrivals []time.Time
		got      int
		broken   bool
	}{
		{"none", ServerLimit(), 1, nil, 0, false},
		{"as many as allowed", ServerLimit(), 0.5, evenlySpaced(time.Millisecond, 8), 8, false},
		{"one more", ServerLimit(), 0.5, evenlySpaced(time.Millisecond, 9), 9, true},
		{"a window has no end of its own", ServerLimit(), 1, evenlySpaced(ServerLimit().Window(), 20), 1, false},
		{"just within one", ServerLimit(), 1, evenlySpaced(ServerLimit().Window()/10-time.Millisecond, 20), 11, false},
		{"the same a little denser", ServerLimit(), 1, evenlySpaced(ServerLimit().Window()/11-time.Millisecond, 20), 12, true},
		{"late", ColdRate(), 0.1, late, 1, false},
		{"out of order", ServerLimit(), 1, backwards, 3, false},
		{"cold", ColdRate(), 2, evenlySpaced(100*time.Millisecond, 6), 6, false},
		{"cold and one more", ColdRate(), 2, evenlySpaced(100*time.Millisecond, 7), 7, true},
	}
	for _, tt := range tests {
		if got, _ := tt.bound.Worst(tt.arrivals); got != tt.got {
			t.Errorf("%s: got %d arrivals in the worst window, want %d", tt.name, got, tt.got)
		}
		if err := tt.bound.Check(tt.rate, tt.arrivals); (err != nil) != tt.broken {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}
