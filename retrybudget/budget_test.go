package retrybudget

import (
	"testing"
	"time"
)

// All hosts together stay within ratio and slack in every window, however the
// first sends are spread over them.
func TestSumOverHosts(t *testing.T) {
	o := Options{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	tests := []struct {
		name  string
		hosts int
		first []int // first sends of each host, ten times a second
	}{
		{"even", 8, []int{1, 1, 1, 1, 1, 1, 1, 1}},
		{"one host", 8, []int{8, 0, 0, 0, 0, 0, 0, 0}},
		{"nothing", 8, []int{0, 0, 0, 0, 0, 0, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := time.Unix(0, 0)
			budgets := make([]*Budget, tt.hosts)
			for i := range budgets {
				budgets[i] = New(o, func() time.Time { return at })
				budgets[i].SetHosts(tt.hosts)
			}
			repeats, firsts := 0, 0
			for range 100 { // one window
				at = at.Add(100 * time.Millisecond)
				for i, b := range budgets {
					for range tt.first[i] {
						b.First("s")
						firsts++
					}
					for b.Repeat("s") {
						repeats++
					}
				}
			}
			if most := o.Ratio*float64(firsts) + o.Slack; float64(repeats) > most {
				t.Errorf("%d repeats for %d first sends, want %.0f at most", repeats, firsts, most)
			}
		})
	}
}
