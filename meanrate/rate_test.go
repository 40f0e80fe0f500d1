package meanrate

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func ExampleRate() {
	now := time.Unix(1000, 0)
	r := New(2 * time.Second)
	r.Add(100, now)
	fmt.Printf("%.0f a second\n", r.At(now))
	fmt.Printf("%.0f a second, one span later\n", r.At(now.Add(2*time.Second)))
	// Output:
	// 50 a second
	// 18 a second, one span later
}

// A constant rate has that average; without any units it is zero.
func TestRate(t *testing.T) {
	tests := []struct {
		name  string
		every time.Duration
		units float64
		least float64
		most  float64
	}{
		{"often", 10 * time.Millisecond, 30, 2985, 3030},
		{"at long intervals", 500 * time.Millisecond, 100, 150, 260},
		{"nothing", 100 * time.Millisecond, 0, 0, 0},
	}
	for _, tt := range tests {
		now := time.Unix(1000, 0)
		r := New(time.Second)
		for range int(20 * time.Second / tt.every) {
			now = now.Add(tt.every)
			r.Add(tt.units, now)
		}
		if got := r.At(now); got < tt.least || got > tt.most {
			t.Errorf("%s: %.0f a second, want %.0f to %.0f", tt.name, got, tt.least, tt.most)
		}
		if last, earlier := r.Last(), r.At(now.Add(-time.Second)); math.Abs(last-earlier) > 0 {
			t.Errorf("%s: an earlier time changed the average, %.0f to %.0f", tt.name, last, earlier)
		}
	}
}
