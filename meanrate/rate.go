// Package meanrate averages what is asked a second.
package meanrate

import (
	"math"
	"time"
)

// Rate is the mean of what was asked a second, newer askings counting more. It is not
// safe for concurrent use.
type Rate struct {
	span  time.Duration
	value float64
	updated    time.Time
}

// New returns the mean of nothing. After a span an asking counts 1/e of what it did.
func New(span time.Duration) Rate { return Rate{span: span} }

// Add takes units that are asked at a moment.
func (r *Rate) Add(units float64, now time.Time) {
	r.value = r.At(now) + units/r.span.Seconds()
}

// At returns the mean at a moment, in units a second.
func (r *Rate) At(now time.Time) float64 {
	if d := now.Sub(r.updated); d > 0 {
		r.value *= math.Exp(-d.Seconds() / r.span.Seconds())
		r.updated = now
	}
	return r.value
}

// Last returns the mean when it was last changed or looked at, in units a second.
func (r *Rate) Last() float64 { return r.value }
