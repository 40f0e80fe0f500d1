// Package judge holds what backend servers got against what they may get from all hosts
// together. It knows nothing of how hosts decide.
package judge

import (
	"fmt"
	"slices"
	"time"
)

// Bound is how many requests may come to a server within any window of a length: so many
// times what its rate gives, and some more.
type Bound struct {
	window time.Duration
	over   float64
	slack  float64
}

// ServerLimit is the bound of a server that names a limit.
func ServerLimit() Bound { return Bound{window: 4 * time.Second, over: 1.5, slack: 5} }

// ColdRate is the bound of a server that is cold.
func ColdRate() Bound { return Bound{window: time.Second, over: 1.5, slack: 3} }

// Window returns the length of a window.
func (b Bound) Window() time.Duration { return b.window }

// Allowed returns the most that may come within a window to a server with a rate, in
// requests a second.
func (b Bound) Allowed(rate float64) float64 { return b.over*rate*b.window.Seconds() + b.slack }

// Each calls f for each arrival, in order of time, with the longest window that ends with
// it: when its first arrival came, when its last, and how many came.
func (b Bound) Each(arrivals []time.Time, f func(from, to time.Time, got int)) {
	at := slices.SortedFunc(slices.Values(arrivals), time.Time.Compare)
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= b.window {
			first++
		}
		f(at[first], at[i], i-first+1)
	}
}

// Worst returns how many came within one window at most, and when the first such began.
func (b Bound) Worst(arrivals []time.Time) (most int, began time.Time) {
	b.Each(arrivals, func(from, _ time.Time, got int) {
		if got > most {
			most, began = got, from
		}
	})
	return most, began
}

// Check returns an error if more came within a window than a server with a rate may get.
func (b Bound) Check(rate float64, arrivals []time.Time) error {
	got, began := b.Worst(arrivals)
	if allowed := b.Allowed(rate); float64(got) > allowed {
		return fmt.Errorf("%d requests within %s from %s, allowed %.0f at %g a second", got, b.window, began.Format("15:04:05.000"), allowed, rate)
	}
	return nil
}
