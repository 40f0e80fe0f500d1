package capbank

import (
	"math/rand/v2"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
)

const (
	// demandTimeConstant is over how long what hosts ask is averaged: a region's busy hour
	// comes within some seconds.
	demandTimeConstant = time.Second
	// burstFraction of a burst may be sent at once, or as much as depthRequests requests
	// count if that is more: small caps must save up for large ones.
	burstFraction     = 0.4
	burstMinRequests = 8
	// meanSizeWeight is the weight of a new request in their mean size; those below smallPart
	// of it go on when large ones must wait: they use little of what these lack.
	meanSizeWeight = 0.02
	smallFraction  = 0.25
	// minRetryAfter and latest bound when a refused caller is told to come back, spread
	// bounds the part of it that differs between callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter  = 3 * time.Second
	retryJitter  = 0.5
)

// bucket is this store's part of one workspace's cap: a bucket that fills by the
// store's share of the rate, and holds as much of the burst.
type bucket struct {
	name string
	cap  wheelgauge.Cap
	// room is what may be sent in a window beyond rate and burst.
	margin   float64
	window time.Duration
	// share is this store's part of the cap, even its part of what is not lent.
	share float64
	baseShare  float64
	level float64
	refilled    time.Time
	// opened is set once the bucket has had its first units.
	initialized bool
	// demand is what hosts ask, ahead what they were given for requests to come, which they
	// hold for a second.
	demand meanrate.Rate
	prefetched  meanrate.Rate
	// used is what was granted and refused since it was last told.
	usage Usage
	// size is the mean of what requests count, newer ones counting more.
	meanSize float64
	// promised is until when what refused callers wanted uses up the rate.
	promisedUntil time.Time
}

// initialize gives a new bucket what it begins with. A store that has just started does not
// know what was drawn before.
func (b *bucket) initialize(a *Bank, now time.Time) {
	b.initialized = true
	if now.Sub(a.started) > leaseTime {
		b.level = b.capacity() // the workspace is new
		return
	}
	b.level = restartMarginFraction * b.margin * a.baseShare(b, a.options.Self, now)
}

// refill lets the bucket fill until now.
func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilled).Seconds(); d > 0 && b.initialized {
		b.level = min(max(b.level, b.capacity()), b.level+d*b.share*b.fillRate())
		b.refilled = now
	}
}

// fillRate is what the bucket of the whole cap takes up a second. A window may hold the
// rate and the burst: what of the burst may not be sent at once comes evenly.
func (b *bucket) fillRate() float64 {
	return b.cap.Rate + (b.cap.Burst-b.depth())/b.window.Seconds()
}

// depth is what of the whole cap's burst may be sent at once.
func (b *bucket) depth() float64 {
	return min(b.cap.Burst, max(burstFraction*b.cap.Burst, burstMinRequests*b.meanSize))
}

// capacity is what the bucket holds at most.
func (b *bucket) capacity() float64 {
	return b.share*b.depth() + burstMarginFraction*b.marginShare()*b.margin
}

// maxDebt is how far requests may take the bucket below nothing.
func (b *bucket) maxDebt() float64 { return debtMarginFraction * b.marginShare() * b.margin }

// available is the largest request that would be let in now.
func (b *bucket) available() float64 {
	if b.level <= 0 {
		return 0
	}
	return b.level + b.maxDebt()
}

// marginShare is this store's part of the room: half of it goes with the share.
func (b *bucket) marginShare() float64 { return (b.share + b.baseShare) / 2 }

func (b *bucket) setShare(share, even float64) {
	less := share < b.share || even < b.baseShare
	b.share, b.baseShare = share, even
	if less {
		b.level = min(b.level, b.capacity())
	}
}

// recordSize takes what a request counts into the mean.
func (b *bucket) recordSize(units float64) {
	if b.meanSize == 0 {
		b.meanSize = units
	}
	b.meanSize += meanSizeWeight * (units - b.meanSize)
}

// draw takes units if the bucket holds any: what is missing is paid back before the
// next ones are drawn, but no more than debt. A bucket that large requests had to fill
// first would let small ones by for ever.
func (b *bucket) draw(units float64, now time.Time) (after time.Duration, ok bool) {
	b.refill(now)
	least := 0.0
	if units < smallFraction*b.meanSize {
		least = -b.maxDebt() / 2
	}
	if b.level > least && b.level-units >= -b.maxDebt() {
		b.level -= units
		b.usage.Granted += units
		return 0, true
	}
	b.usage.Refused += units
	b.usage.Refusals++
	return b.retryAfter(units, now), false
}

// prefetch gives units for requests to come, of what is there beyond half of the bucket.
func (b *bucket) prefetch(units float64, now time.Time) float64 {
	left := prefetchMarginFraction*b.marginShare()*b.margin - b.prefetched.At(now)*demandTimeConstant.Seconds()
	units = min(units, left, b.level-b.capacity()/2)
	if units <= 0 {
		return 0
	}
	b.prefetched.Add(units, now)
	b.level -= units
	b.usage.Granted += units
	return units
}

// retryAfter is when a refused caller may be let in: after those refused before it, as
// the rate serves them.
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

// jitter keeps callers from coming back together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - retryJitter*rand.Float64()))
}
