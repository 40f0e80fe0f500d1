// Package enginewait predicts how long a request waits at an engine for its
// first event, from what the engine has in flight.
package enginewait

import "wheelgauge"

const (
	// PrefillTokensPerMS is the prompt tokens that an engine prefills in a millisecond.
	PrefillTokensPerMS = 80.0
	// DelayPerRunningMS is the delay of a new request's first event by each running one.
	DelayPerRunningMS = 1.0
	// SlowdownCostMS is the cost of one more request to each of those that run, in
	// milliseconds of waiting. Much more sends short requests to engines with few long ones,
	// where they queue for prefill; 0 lets long ones pile up (TestPrefillIsSpread).
	SlowdownCostMS = 3.0
	// LowerPriorityShare is the share of lower-priority prompts that a request waits for
	// anyway: those that an engine has begun to prefill.
	LowerPriorityShare = 0.2
	// overtakenFactor is how many times as long a request that others overtake waits for a
	// place in a full engine.
	overtakenFactor = 3.0
)

// Load is what an engine has in flight, as seen by one request.
type Load wheelgauge.EngineLoad

// Wait predicts the time to the first event, in milliseconds.
func (l Load) Wait() float64 {
	prefill := (l.TokensAhead + LowerPriorityShare*l.TokensBehind + l.OwnTokens) / PrefillTokensPerMS
	return prefill + DelayPerRunningMS*l.InFlight + l.Queue()
}

// Cost is the wait plus the cost to others: all running requests get their tokens
// more slowly.
func (l Load) Cost() float64 { return l.Wait() + SlowdownCostMS*l.InFlight }

// Queue is the wait for a place in the batch, in milliseconds.
func (l Load) Queue() float64 {
	if l.Slots <= 0 || l.InFlightAhead < l.Slots {
		return 0
	}
	wait := (l.InFlightAhead - l.Slots + 1) * l.DurationMS / l.Slots
	if l.Overtaken {
		wait *= overtakenFactor
	}
	return wait
}
