// Package spillover decides whether a request is forwarded to another region.
package spillover

import (
	"sync"
	"time"
)

// Policies of a Decider.
const (
	PolicyCost     = "cost"
	PolicyLocal    = "always-local"
	PolicyCheapest = "always-cheapest"
)

const (
	// forwardStartMargin and forwardStopMargin form a hysteresis: forwarding to a region
	// starts at a gain of forwardStartMargin and stops below forwardStopMargin.
	forwardStartMargin = 80 * time.Millisecond
	forwardStopMargin  = 20 * time.Millisecond
)

// unitSize is the number of tokens that a price is for, and the number of prompt bytes
// that a cold prefill time is for.
const unitSize = 1000

// Weights convert waiting time, price and distance into one cost.
type Weights struct {
	// SecondValue is the value of one second of waiting, in the currency of prices.
	SecondValue float64
	// ForwardCost is the fixed cost of forwarding one request, in the same currency.
	ForwardCost float64
	// ColdPrefill is the time lost on a cold cache for 1,000 bytes of prompt.
	ColdPrefill time.Duration
}

// RegionState is the state of a region as known to this host.
type RegionState struct {
	Region string
	// Wait is the expected queueing time in the region.
	Wait time.Duration
	// Latency is the one-way link latency to the region.
	Latency time.Duration
	// Price is the cost of 1,000 tokens.
	Price float64
	// Granted is the number of requests that this host may have in flight in the region;
	// InFlight is how many it has.
	Granted  int
	InFlight int
}

// Decider chooses the region of each request. It is safe for concurrent use.
type Decider struct {
	policy     string
	weights    Weights
	mu         sync.Mutex
	forwarding map[string]bool
}

// New returns a Decider with a policy.
func New(policy string, weights Weights) *Decider {
	return &Decider{policy: policy, weights: weights, forwarding: map[string]bool{}}
}

// RequestSize is the size of a request: bytes of the prompt and tokens to generate.
type RequestSize struct {
	Bytes  int
	Tokens int
}

// Decide returns the index in others of the region to forward a request to, or -1 to
// serve it in this region. fits is false if this region cannot serve the request.
func (d *Decider) Decide(here RegionState, fits bool, work RequestSize, others []RegionState) int {
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

func (d *Decider) rejects(s RegionState, fits bool, gain float64) bool {
	if d.policy == PolicyCheapest {
		return fits && gain <= 0
	}
	if !fits {
		return false // even without a grant: the receiving region knows what it can take
	}
	return s.InFlight >= s.Granted || gain < d.margin(s.Region)
}

func (d *Decider) margin(region string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forwarding[region] {
		return forwardStopMargin.Seconds() * d.weights.SecondValue
	}
	return forwardStartMargin.Seconds() * d.weights.SecondValue
}

func (d *Decider) recordChoice(others []RegionState, best int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range others {
		d.forwarding[others[i].Region] = i == best
	}
}

func (d *Decider) gain(here, other RegionState, work RequestSize) float64 {
	if d.policy == PolicyCheapest {
		return here.price(work) - other.price(work)
	}
	return here.Wait.Seconds()*d.weights.SecondValue + here.price(work) - d.cost(other, work)
}

func (d *Decider) cost(s RegionState, work RequestSize) float64 {
	cold := d.weights.ColdPrefill.Seconds() * float64(work.Bytes) / unitSize
	delay := s.Wait.Seconds() + 2*s.Latency.Seconds() + cold
	return delay*d.weights.SecondValue + s.price(work) + d.weights.ForwardCost
}

func (s *RegionState) price(work RequestSize) float64 {
	return s.Price * float64(work.Tokens) / unitSize
}
