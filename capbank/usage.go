package capbank

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what became of what a store's hosts asked of one cap since it was last told.
type Usage struct {
	Workspace string
	// Share is the store's part of the cap, Rate the whole cap's units a second, Level
	// what the bucket holds, Demand what is asked a second.
	Share  float64
	Rate   float64
	Level  float64
	Demand float64
	// Granted and Refused are units, Refusals requests.
	Granted  float64
	Refused  float64
	Refusals int
}

// Refusing returns the caps of which something was refused since the last call, the
// most refused first.
func (a *Bank) Refusing() []Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	var out []Usage
	for _, b := range a.buckets {
		if b.usage.Refusals > 0 {
			out = append(out, b.currentUsage(now))
		}
		b.usage = Usage{}
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(b.Refused, a.Refused) })
	return out
}

func (b *bucket) currentUsage(now time.Time) Usage {
	b.refill(now)
	u := b.usage
	u.Workspace, u.Share, u.Rate, u.Level, u.Demand = b.name, b.share, b.cap.Rate, b.level, b.demand.At(now)
	return u
}
