// Package away decides whether a request leaves its region.
package away

import (
	"sync"
	"time"
)

// Policies.
const (
	PolicyCost     = "cost"
	PolicyLocal    = "always-local"
	PolicyCheapest = "always-cheapest"
)

const (
	// leaveMargin and stayMargin make the hysteresis: work starts to leave when
	// it gains leaveMargin and goes on to leave until it gains less than stayMargin.
	leaveMargin = 300 * time.Millisecond
	stayMargin  = 100 * time.Millisecond
)

// Weights turn time, price and distance into one cost.
type Weights struct {
	// Second is the value of one second of waiting, in the currency of prices.
	Second float64
	// Share is what sending one request away costs by itself, in that currency.
	Share float64
	// ColdPrefill is the time lost on a cold cache.
	ColdPrefill time.Duration
}

// Place is a region as seen from here.
type Place struct {
	Region string
	// Wait is the expected time in queues there.
	Wait time.Duration
	// Link is the one-way delay.
	Link time.Duration
	// Price is the cost of 1,000 tokens.
	Price float64
	// Granted is the number of requests that this host may have there at once;
	// InFlight is how many it has.
	Granted  int
	InFlight int
}

// Decider chooses regions. It is safe for concurrent use.
type Decider struct {
	policy  string
	weights Weights
	mu      sync.Mutex
	leaving map[string]bool
}

// New returns a decider of a policy.
func New(policy string, weights Weights) *Decider {
	return &Decider{policy: policy, weights: weights, leaving: map[string]bool{}}
}

// Decide returns the index of the best of others for a request of about tokens
// tokens, or -1 to stay. fits is false when the own region cannot serve at all.
func (d *Decider) Decide(here Place, fits bool, tokens int, others []Place) int {
	if d.policy == PolicyLocal {
		return -1
	}
	best, bestGain := -1, 0.0
	for i := range others {
		gain := d.gain(here, others[i], tokens)
		if !fits {
			gain = -d.cost(others[i], tokens)
		}
		if d.refuses(others[i], fits, gain) {
			continue
		}
		if best < 0 || gain > bestGain {
			best, bestGain = i, gain
		}
	}
	d.note(others, best)
	return best
}

func (d *Decider) refuses(p Place, fits bool, gain float64) bool {
	if d.policy == PolicyCheapest {
		return fits && gain <= 0
	}
	if p.InFlight >= p.Granted {
		return true
	}
	return fits && gain < d.margin(p.Region)
}

func (d *Decider) margin(region string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving[region] {
		return stayMargin.Seconds() * d.weights.Second
	}
	return leaveMargin.Seconds() * d.weights.Second
}

func (d *Decider) note(others []Place, best int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range others {
		d.leaving[others[i].Region] = i == best
	}
}

func (d *Decider) gain(here, there Place, tokens int) float64 {
	price := here.Price * float64(tokens) / 1000
	if d.policy == PolicyCheapest {
		return price - there.Price*float64(tokens)/1000
	}
	return here.Wait.Seconds()*d.weights.Second + price - d.cost(there, tokens)
}

func (d *Decider) cost(p Place, tokens int) float64 {
	late := p.Wait + 2*p.Link + d.weights.ColdPrefill
	return late.Seconds()*d.weights.Second + p.Price*float64(tokens)/1000 + d.weights.Share
}
