// Package failurerate computes a moving average of how often tries fail, and what the next one costs
// its caller by that.
package failurerate

import (
	"math"
	"time"
)

const (
	// weight is that of a new outcome: it takes a few answers to detect a server that fails two
	// requests in five.
	weight = 0.15
	// HalfLife is how long a rate takes to halve without new outcomes, so that what has
	// recovered is tried again.
	HalfLife = 3 * time.Second
	// failureCost is the cost of a failure to a user, in time spent waiting.
	failureCost = 1500 * time.Millisecond
	// tolerated is the rate without a cost: some requests fail anywhere.
	tolerated = 0.15
)

// Rate is a moving average of failures by outcome; the zero value is a rate of zero. It is not safe for
// concurrent use.
type Rate struct {
	value float64
	at    time.Time
}

// At returns the rate at the given time, 0 to 1.
func (r *Rate) At(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp2(-now.Sub(r.at).Seconds()/HalfLife.Seconds())
}

// Add adds an outcome.
func (r *Rate) Add(failed bool, now time.Time) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	r.value = r.At(now)*(1-weight) + outcome*weight
	r.at = now
}

// Cost returns what a try costs its caller by the rate.
func (r *Rate) Cost(now time.Time) time.Duration {
	return time.Duration(max(0, r.At(now)-tolerated) * float64(failureCost))
}
