package capallocator

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what the hosts of a store were granted and refused of one cap since the last
// report.
type Usage struct {
	Workspace string
	// Share is the store's share of the cap, Rate the rate of the whole cap, Level the level
	// of the bucket, Demand what hosts request. Rate and Demand are in units a second.
	Share  float64
	Rate   float64
	Level  float64
	Demand float64
	// Granted and Refused are units, Refusals counts requests.
	Granted  float64
	Refused  float64
	Refusals int
}

// TakeRefusals returns the usage of caps with refusals since the last call, the most refused
// first, and resets the counts.
func (a *Allocator) TakeRefusals() []Usage {
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
