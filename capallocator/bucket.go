package capallocator

import (
	"math/rand/v2"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
)

const (
	// demandTimeConstant is the time constant of the average of the hosts' demand. Demand of a
	// region rises within seconds when its busy hour begins.
	demandTimeConstant = time.Second
	// burstFraction of the burst may be sent at once, or burstMinRequests requests of mean
	// size if that is more: with less, a small cap would have to save up for each large
	// request.
	burstFraction    = 0.4
	burstMinRequests = 8
	// meanSizeWeight is the weight of a new request in the mean size. Requests below
	// smallFraction of the mean pass while large ones wait: they take little of the units that
	// these lack.
	meanSizeWeight = 0.02
	smallFraction  = 0.25
	// minRetryAfter and maxRetryAfter bound the delay that a refused caller is given; up to
	// retryJitter of it is random.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	retryJitter   = 0.5
)

// bucket is the token bucket for this store's share of one workspace's cap. It fills at the
// store's share of the rate and holds at most that share of the burst.
type bucket struct {
	name string
	cap  wheelgauge.Cap
	// margin is what may be sent in a window beyond rate and burst.
	margin float64
	window time.Duration
	// share is the store's current share of the cap, baseShare its share before leases.
	share     float64
	baseShare float64
	level     float64
	refilled  time.Time
	// initialized is set once the bucket has its first units.
	initialized bool
	// demand is what hosts request, prefetched what they were given for future requests and
	// hold for up to a second.
	demand     meanrate.Rate
	prefetched meanrate.Rate
	// usage is what was granted and refused since the last report.
	usage Usage
	// meanSize is the moving average of the units of a request.
	meanSize float64
	// promisedUntil is the time up to which the rate is used up by callers that were refused
	// and told to retry.
	promisedUntil time.Time
}

// initialize sets the first level of a new bucket. A store that has just started does not know
// what was drawn before, so it begins with a small part of the margin.
func (b *bucket) initialize(a *Allocator, now time.Time) {
	b.initialized = true
	if now.Sub(a.started) > leaseTime {
		b.level = b.capacity() // the workspace itself is new
		return
	}
	b.level = restartMarginFraction * b.margin * a.baseShare(b, a.options.Self, now)
}

// refill adds the units of the time since the last refill.
func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilled).Seconds(); d > 0 && b.initialized {
		b.level = min(max(b.level, b.capacity()), b.level+d*b.share*b.fillRate())
		b.refilled = now
	}
}

// fillRate is the fill rate of the bucket of the whole cap, in units a second. A window may
// hold rate and burst, so the part of the burst that may not be sent at once is spread over
// the window.
func (b *bucket) fillRate() float64 {
	return b.cap.Rate + (b.cap.Burst-b.depth())/b.window.Seconds()
}

// depth is the part of the whole cap's burst that may be sent at once.
func (b *bucket) depth() float64 {
	return min(b.cap.Burst, max(burstFraction*b.cap.Burst, burstMinRequests*b.meanSize))
}

// capacity is the most that the bucket holds.
func (b *bucket) capacity() float64 {
	return b.share*b.depth() + burstMarginFraction*b.marginShare()*b.margin
}

// maxDebt is how far a request may take the level below zero.
func (b *bucket) maxDebt() float64 { return debtMarginFraction * b.marginShare() * b.margin }

// available is the size of the largest request that would pass now.
func (b *bucket) available() float64 {
	if b.level <= 0 {
		return 0
	}
	return b.level + b.maxDebt()
}

// marginShare is this store's share of the margin: the mean of its current and its base share.
func (b *bucket) marginShare() float64 { return (b.share + b.baseShare) / 2 }

func (b *bucket) setShare(share, base float64) {
	reduced := share < b.share || base < b.baseShare
	b.share, b.baseShare = share, base
	if reduced {
		b.level = min(b.level, b.capacity())
	}
}

// recordSize adds a request to the mean size.
func (b *bucket) recordSize(units float64) {
	if b.meanSize == 0 {
		b.meanSize = units
	}
	b.meanSize += meanSizeWeight * (units - b.meanSize)
}

// draw takes units if the level is positive. The level may fall to -maxDebt, and the debt is
// paid back before anything else is granted: if large requests had to wait for a full bucket,
// small ones would overtake them forever.
func (b *bucket) draw(units float64, now time.Time) (after time.Duration, ok bool) {
	b.refill(now)
	minLevel := 0.0
	if units < smallFraction*b.meanSize {
		minLevel = -b.maxDebt() / 2
	}
	if b.level > minLevel && b.level-units >= -b.maxDebt() {
		b.level -= units
		b.usage.Granted += units
		return 0, true
	}
	b.usage.Refused += units
	b.usage.Refusals++
	return b.retryAfter(units, now), false
}

// prefetch grants units for future requests out of what exceeds half of the bucket.
func (b *bucket) prefetch(units float64, now time.Time) float64 {
	limit := prefetchMarginFraction*b.marginShare()*b.margin - b.prefetched.At(now)*demandTimeConstant.Seconds()
	units = min(units, limit, b.level-b.capacity()/2)
	if units <= 0 {
		return 0
	}
	b.prefetched.Add(units, now)
	b.level -= units
	b.usage.Granted += units
	return units
}

// retryAfter returns when a refused caller is likely to pass: after those refused before it,
// at the rate of the bucket.
func (b *bucket) retryAfter(units float64, now time.Time) time.Duration {
	rate := b.share * b.fillRate()
	if rate <= 0 {
		return jitter(maxRetryAfter)
	}
	missing := max(0, -b.level) / rate
	if from := now.Add(time.Duration(missing * float64(time.Second))); b.promisedUntil.Before(from) {
		b.promisedUntil = from
	}
	b.promisedUntil = b.promisedUntil.Add(time.Duration(min(units/rate, maxRetryAfter.Seconds()) * float64(time.Second)))
	if b.promisedUntil.After(now.Add(maxRetryAfter)) {
		b.promisedUntil = now.Add(maxRetryAfter)
		return jitter(maxRetryAfter)
	}
	return max(minRetryAfter, b.promisedUntil.Sub(now))
}

// jitter keeps callers from retrying all at once.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryJitter*rand.Float64()))
}
