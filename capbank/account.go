package capbank

import (
	"math/rand/v2"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
)

const (
	// demandSpan is over how long what hosts ask is averaged: a region's busy hour
	// comes within some seconds.
	demandSpan = time.Second
	// depthPart of a burst may be sent at once, or as much as depthRequests requests
	// count if that is more: small caps must save up for large ones.
	depthPart     = 0.4
	depthRequests = 8
	// sizeWeight is the weight of a new request in their mean size; those below smallPart
	// of it go on when large ones must wait: they use little of what these lack.
	sizeWeight = 0.02
	smallPart  = 0.25
	// soonest and latest bound when a refused caller is told to come back, spread
	// bounds the part of it that differs between callers.
	soonest = 100 * time.Millisecond
	latest  = 3 * time.Second
	spread  = 0.5
)

// account is this store's part of one workspace's cap: a bucket that fills by the
// store's share of the rate, and holds as much of the burst.
type account struct {
	name string
	cap  wheelgauge.Cap
	// room is what may be sent in a window beyond rate and burst.
	room   float64
	window time.Duration
	// share is this store's part of the cap, even its part of what is not lent.
	share float64
	even  float64
	level float64
	at    time.Time
	// opened is set once the bucket has had its first units.
	opened bool
	// demand is what hosts ask, ahead what they were given for requests to come, which they
	// hold for a second.
	demand meanrate.Rate
	ahead  meanrate.Rate
	// used is what was granted and refused since it was last told.
	used Usage
	// size is the mean of what requests count, newer ones counting more.
	size float64
	// promised is until when what refused callers wanted uses up the rate.
	promised time.Time
}

// open gives a new bucket what it begins with. A store that has just started does not
// know what was drawn before.
func (a *account) open(b *Bank, now time.Time) {
	a.opened = true
	if now.Sub(b.started) > leaseTime {
		a.level = a.full() // the workspace is new
		return
	}
	a.level = restartRoom * a.room * b.part(a, b.o.Self, now)
}

// settle lets the bucket fill until now.
func (a *account) settle(now time.Time) {
	if d := now.Sub(a.at).Seconds(); d > 0 && a.opened {
		a.level = min(max(a.level, a.full()), a.level+d*a.share*a.fill())
		a.at = now
	}
}

// fill is what the bucket of the whole cap takes up a second. A window may hold the
// rate and the burst: what of the burst may not be sent at once comes evenly.
func (a *account) fill() float64 {
	return a.cap.Rate + (a.cap.Burst-a.depth())/a.window.Seconds()
}

// depth is what of the whole cap's burst may be sent at once.
func (a *account) depth() float64 {
	return min(a.cap.Burst, max(depthPart*a.cap.Burst, depthRequests*a.size))
}

// full is what the bucket holds at most.
func (a *account) full() float64 {
	return a.share*a.depth() + burstRoom*a.part()*a.room
}

// debt is how far requests may take the bucket below nothing.
func (a *account) debt() float64 { return debtRoom * a.part() * a.room }

// spare is the largest request that would be let in now.
func (a *account) spare() float64 {
	if a.level <= 0 {
		return 0
	}
	return a.level + a.debt()
}

// part is this store's part of the room: half of it goes with the share.
func (a *account) part() float64 { return (a.share + a.even) / 2 }

func (a *account) setShare(share, even float64) {
	less := share < a.share || even < a.even
	a.share, a.even = share, even
	if less {
		a.level = min(a.level, a.full())
	}
}

// sized takes what a request counts into the mean.
func (a *account) sized(units float64) {
	if a.size == 0 {
		a.size = units
	}
	a.size += sizeWeight * (units - a.size)
}

// draw takes units if the bucket holds any: what is missing is paid back before the
// next ones are drawn, but no more than debt. A bucket that large requests had to fill
// first would let small ones by for ever.
func (a *account) draw(units float64, now time.Time) (after time.Duration, ok bool) {
	a.settle(now)
	least := 0.0
	if units < smallPart*a.size {
		least = -a.debt() / 2
	}
	if a.level > least && a.level-units >= -a.debt() {
		a.level -= units
		a.used.Granted += units
		return 0, true
	}
	a.used.Refused += units
	a.used.Refusals++
	return a.comeBack(units, now), false
}

// give gives units for requests to come, of what is there beyond half of the bucket.
func (a *account) give(units float64, now time.Time) float64 {
	left := aheadRoom*a.part()*a.room - a.ahead.At(now)*demandSpan.Seconds()
	units = min(units, left, a.level-a.full()/2)
	if units <= 0 {
		return 0
	}
	a.ahead.Add(units, now)
	a.level -= units
	a.used.Granted += units
	return units
}

// comeBack is when a refused caller may be let in: after those refused before it, as
// the rate serves them.
func (a *account) comeBack(units float64, now time.Time) time.Duration {
	rate := a.share * a.fill()
	if rate <= 0 {
		return spreadOut(latest)
	}
	missing := max(0, -a.level) / rate
	if from := now.Add(time.Duration(missing * float64(time.Second))); a.promised.Before(from) {
		a.promised = from
	}
	a.promised = a.promised.Add(time.Duration(min(units/rate, latest.Seconds()) * float64(time.Second)))
	if a.promised.After(now.Add(latest)) {
		a.promised = now.Add(latest)
		return spreadOut(latest)
	}
	return max(soonest, a.promised.Sub(now))
}

// spreadOut keeps callers from coming back together.
func spreadOut(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - spread*rand.Float64()))
}
