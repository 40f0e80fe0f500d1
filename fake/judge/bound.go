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

// Window is the arrivals within one window.
type Window struct {
	from, to time.Time
	got      int
}

// From returns when the first of the arrivals came, To when the last did.
func (w Window) From() time.Time { return w.from }

// To returns when the last of the arrivals came.
func (w Window) To() time.Time { return w.to }

// Got returns how many came.
func (w Window) Got() int { return w.got }

// Windows returns the longest window that ends with each arrival, in order of time.
func (b Bound) Windows(arrivals []time.Time) []Window {
	at := slices.SortedFunc(slices.Values(arrivals), time.Time.Compare)
	out := make([]Window, 0, len(at))
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= b.window {
			first++
		}
		out = append(out, Window{from: at[first], to: at[i], got: i - first + 1})
	}
	return out
}

// Worst returns the window with the most arrivals, the first of several.
func (b Bound) Worst(arrivals []time.Time) Window {
	var worst Window
	for _, w := range b.Windows(arrivals) {
		if w.got > worst.got {
			worst = w
		}
	}
	return worst
}

// Check returns an error if more came within a window than a server with a rate may get.
func (b Bound) Check(rate float64, arrivals []time.Time) error {
	w := b.Worst(arrivals)
	if allowed := b.Allowed(rate); float64(w.got) > allowed {
		return fmt.Errorf("%d requests within %s from %s, allowed %.0f at %g a second", w.got, b.window, w.from.Format("15:04:05.000"), allowed, rate)
	}
	return nil
}
