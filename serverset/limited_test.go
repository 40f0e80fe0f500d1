package serverset

import (
	"testing"
	"time"

	"wheelgauge/prompt"
)

// A server whose limit allows nothing gets no work until it does, or until the limit changes
// or ends: found by reading, a server that took a tenth of a request a second was left out
// for ten seconds after it had no limit any more.
func TestDeferred(t *testing.T) {
	const wait = 10 * time.Second
	tests := []struct {
		name string
		pass time.Duration
		// rate is the limit by then; none below 0.
		rate  float64
		takes bool
		soon  bool
	}{
		{"at once", 0, 0.1, false, false},
		{"shortly before", wait - 100*time.Millisecond, 0.1, false, true},
		{"after the wait", wait, 0.1, true, false},
		{"the limit rose", time.Second, 5, true, false},
		{"the limit ended", time.Second, -1, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, c, _ := table(plain, 1)
			rate := 0.1
			tb.SetLimits(func(string) (float64, bool) { return max(0, rate), rate >= 0 })
			job := NewJob(plain, prompt.Prompt{}, 0, nil)
			tb.Choose(job).Defer(wait)
			c.pass(tt.pass)
			rate = tt.rate
			if k := tb.ChooseLimited(job, time.Second); (k != nil) != tt.soon {
				t.Errorf("takes something soon: %v, want %v", k != nil, tt.soon)
			} else if k != nil {
				k.Done(Left)
			}
			k := tb.Choose(job)
			if (k != nil) != tt.takes {
				t.Errorf("takes something now: %v, want %v", k != nil, tt.takes)
			}
			if k != nil && k.Before().Running() != 0 {
				t.Errorf("%d requests are still counted as in flight", k.Before().Running())
			}
		})
	}
}
