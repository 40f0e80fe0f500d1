// Package enginewait predicts how long a request waits at an engine for its
// first event, from what the engine has in flight.
package enginewait

const (
	// PrefillTokensPerMS is the prompt tokens that an engine prefills in a millisecond.
	PrefillTokensPerMS = 80.0
	// delayPerRunningMS is the delay of a new request's first event by each running one.
	delayPerRunningMS = 1.0
	// slowdownCostMS is the cost of one more request to each of those that run, in
	// milliseconds of waiting. Much more sends short requests to engines with few long ones,
	// where they queue for prefill; 0 lets long ones pile up (TestPrefillIsSpread).
	slowdownCostMS = 3.0
	// lowerPriorityShare is the share of lower-priority prompts that a request waits for
	// anyway: those that an engine has begun to prefill.
	lowerPriorityShare = 0.2
	// overtakenFactor is how many times as long a request that others overtake waits for a
	// place in a full engine.
	overtakenFactor = 3.0
)

// Load is what an engine has in flight, as seen by one request.
type Load struct {
	// InFlight are all requests in flight, InFlightAhead those of the same or a higher
	// priority.
	InFlight, InFlightAhead float64
	// TokensAhead are the prompt tokens to be prefilled before the request's own,
	// TokensBehind those of lower priority, OwnTokens those that the request itself needs.
	TokensAhead, TokensBehind, OwnTokens float64
	// Slots is the most requests that run at once; 0 if unknown.
	Slots float64
	// DurationMS is the usual duration of a request there, in milliseconds.
	DurationMS float64
	// Overtaken is set if requests of a higher priority are in flight.
	Overtaken bool
}

// Wait predicts the time to the first event, in milliseconds.
func (l Load) Wait() float64 {
	prefill := (l.TokensAhead + lowerPriorityShare*l.TokensBehind + l.OwnTokens) / PrefillTokensPerMS
	return prefill + delayPerRunningMS*l.InFlight + l.queue()
}

// Cost is the wait plus the cost to others: all running requests get their tokens
// more slowly.
func (l Load) Cost() float64 { return l.Wait() + slowdownCostMS*l.InFlight }

// queue is the wait for a place in the batch, in milliseconds.
func (l Load) queue() float64 {
	if l.Slots <= 0 || l.InFlightAhead < l.Slots {
		return 0
	}
	wait := (l.InFlightAhead - l.Slots + 1) * l.DurationMS / l.Slots
	if l.Overtaken {
		wait *= overtakenFactor
	}
	return wait
}
