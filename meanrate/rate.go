// Package meanrate computes a moving average of a rate.
package meanrate

import (
	"math"
	"time"
)

// Rate is an exponential moving average of units a second. It is not safe for concurrent use.
type Rate struct {
	timeConstant time.Duration
	value        float64
	updated      time.Time
}

// New returns an average of zero. After timeConstant a unit counts 1/e of what it did.
func New(timeConstant time.Duration) Rate { return Rate{timeConstant: timeConstant} }

// Add adds units at the given time.
func (r *Rate) Add(units float64, now time.Time) {
	r.value = r.At(now) + units/r.timeConstant.Seconds()
}

// At returns the average at the given time, in units a second.
func (r *Rate) At(now time.Time) float64 {
	if d := now.Sub(r.updated); d > 0 {
		r.value *= math.Exp(-d.Seconds() / r.timeConstant.Seconds())
		r.updated = now
	}
	return r.value
}

// Last returns the average as of the last call of Add or At, in units a second.
func (r *Rate) Last() float64 { return r.value }
