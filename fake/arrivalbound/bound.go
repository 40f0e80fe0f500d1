// Package arrivalbound checks the requests that backend servers received against what they may
// receive from all hosts together. It is independent of how hosts decide.
package arrivalbound

import (
	"fmt"
	"slices"
	"time"
)

// Bound limits the requests that a server may receive within any window of a given length: a
// multiple of what its rate allows, plus slack.
type Bound struct {
	window     time.Duration
	rateFactor float64
	slack      float64
}

// ServerLimit returns the bound for a server that announces a limit.
func ServerLimit() Bound { return Bound{window: 4 * time.Second, rateFactor: 1.5, slack: 5} }

// ColdRate returns the bound for a cold server.
func ColdRate() Bound { return Bound{window: time.Second, rateFactor: 1.5, slack: 3} }

// Rejections returns the bound for the rejections of a server that announces how many it bears.
func Rejections() Bound { return Bound{window: time.Second, rateFactor: 1} }

// Window returns the length of a window.
func (b Bound) Window() time.Duration { return b.window }

// Allowed returns the number of requests that a server may receive within a window, by its
// rate in requests per second.
func (b Bound) Allowed(rate float64) float64 { return b.rateFactor*rate*b.window.Seconds() + b.slack }

// EachWindow calls f for each arrival, in order of time, with the window that ends at it: the
// times of the first and the last arrival in the window, and their number.
func (b Bound) EachWindow(arrivals []time.Time, f func(from, to time.Time, got int)) {
	at := slices.SortedFunc(slices.Values(arrivals), time.Time.Compare)
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= b.window {
			first++
		}
		f(at[first], at[i], i-first+1)
	}
}

// MaxInWindow returns the largest number of arrivals within one window, and the start of the first
// such window.
func (b Bound) MaxInWindow(arrivals []time.Time) (count int, start time.Time) {
	b.EachWindow(arrivals, func(from, _ time.Time, got int) {
		if got > count {
			count, start = got, from
		}
	})
	return count, start
}

// Check returns an error if a window has more arrivals than a server with the given rate may
// receive.
func (b Bound) Check(rate float64, arrivals []time.Time) error {
	got, start := b.MaxInWindow(arrivals)
	if allowed := b.Allowed(rate); float64(got) > allowed {
		return fmt.Errorf("%d requests within %s from %s, allowed %.0f at %g a second", got, b.window, start.Format("15:04:05.000"), allowed, rate)
	}
	return nil
}
