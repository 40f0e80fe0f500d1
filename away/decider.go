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
	// forwardStartMargin and stayMargin make the hysteresis: work starts to leave when
	// it gains leaveMargin and goes on to leave until it gains less than stayMargin.
	forwardStartMargin = 80 * time.Millisecond
	forwardStopMargin  = 20 * time.Millisecond
)

// unitSize is the unit of prices in tokens and of cold prefill in bytes.
const unitSize = 1000

// Weights turn time, price and distance into one cost.
type Weights struct {
	// Second is the value of one second of waiting, in the currency of prices.
	Second float64
	// Share is what sending one request away costs by itself, in that currency.
	Share float64
	// ColdPrefill is the time lost on a cold cache for 1,000 bytes of prompt.
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
	forwarding map[string]bool
}

// New returns a decider of a policy.
func New(policy string, weights Weights) *Decider {
	return &Decider{policy: policy, weights: weights, forwarding: map[string]bool{}}
}

// Work is the size of a request: bytes of prompt, tokens to generate.
type Work struct {
	Bytes  int
	Tokens int
}

// Decide returns the index of the best of others for a request, or -1 to stay.
// fits is false when the own region cannot serve at all.
func (d *Decider) Decide(here Place, fits bool, work Work, others []Place) int {
	if d.policy == PolicyLocal {
		return -1
	}
	best, bestGain := -1, 0.0
	for i := range others {
		gain := d.gain(here, others[i], work)
		if !fits {
			gain = -d.cost(others[i], work)
		}
		if d.rejects(others[i], fits, gain) {
			continue
		}
		if best < 0 || gain > bestGain {
			best, bestGain = i, gain
		}
	}
	d.recordChoice(others, best)
	return best
}

func (d *Decider) rejects(p Place, fits bool, gain float64) bool {
	if d.policy == PolicyCheapest {
		return fits && gain <= 0
	}
	if !fits {
		return false // without a grant too: the receiver knows what it can take
	}
	return p.InFlight >= p.Granted || gain < d.margin(p.Region)
}

func (d *Decider) margin(region string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forwarding[region] {
		return forwardStopMargin.Seconds() * d.weights.Second
	}
	return forwardStartMargin.Seconds() * d.weights.Second
}

func (d *Decider) recordChoice(others []Place, best int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range others {
		d.forwarding[others[i].Region] = i == best
	}
}

func (d *Decider) gain(here, other Place, work Work) float64 {
	if d.policy == PolicyCheapest {
		return here.price(work) - other.price(work)
	}
	return here.Wait.Seconds()*d.weights.Second + here.price(work) - d.cost(other, work)
}

func (d *Decider) cost(p Place, work Work) float64 {
	cold := d.weights.ColdPrefill.Seconds() * float64(work.Bytes) / unitSize
	delay := p.Wait.Seconds() + 2*p.Link.Seconds() + cold
	return delay*d.weights.Second + p.price(work) + d.weights.Share
}

func (p *Place) price(work Work) float64 { return p.Price * float64(work.Tokens) / unitSize }
