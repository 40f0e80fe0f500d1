package serverset

import (
	"testing"
	"time"

	"wheelgauge/prompt"
)

// A caller that reads slowly must not count as a slow server.
func TestCallerThatReadsSlowlyNotInServiceTime(t *testing.T) {
	const usual, heldUp = 20 * time.Millisecond, 6 * time.Second
	tests := []struct {
		name   string
		heldUp time.Duration
		most   time.Duration
	}{
		{"read at once", 0, 2 * usual},
		{"read slowly", heldUp, 2 * usual},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, c, _ := newTestTable(plain, 1)
			job := NewJob(plain, prompt.Prompt{}, 0, nil)
			for range 10 {
				k := tb.Choose(job)
				c.advance(usual + tt.heldUp)
				k.HeldUp(tt.heldUp)
				k.Done(Served)
			}
			e, ok := tb.Predict(job)
			if !ok || e.Wait() > tt.most {
				t.Errorf("a wait of %s is predicted, want %s at most", e.Wait(), tt.most)
			}
		})
	}
}
