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
func (b *Bank) Refusing() []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Now()
	var out []Usage
	for _, a := range b.accounts {
		if a.used.Refusals > 0 {
			out = append(out, a.usage(now))
		}
		a.used = Usage{}
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(b.Refused, a.Refused) })
	return out
}

func (a *account) usage(now time.Time) Usage {
	a.settle(now)
	u := a.used
	u.Workspace, u.Share, u.Rate, u.Level, u.Demand = a.name, a.share, a.cap.Rate, a.level, a.demand.At(now)
	return u
}
