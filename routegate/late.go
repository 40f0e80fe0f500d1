package routegate

import "time"

const (
	// maxWaitFactor is the predicted wait, as a multiple of the objective, above which a
	// request is refused.
	maxWaitFactor = 1.5
	// congestedWaitFactor applies instead while the mean wait of the route exceeds
	// congestedShare of its objective: a queue that stays at the objective makes every request
	// late.
	congestedWaitFactor = 0.75
	congestedShare      = 0.5
	// returningWaitFactor applies to returning callers meanwhile: their answers still begin
	// within an objective. Any longer they would make those behind them late.
	returningWaitFactor = 1.0
	// forwardWaitShare is the share of the objective that the mean wait must exceed before
	// long prompts are forwarded earlier than short ones. Without a queue, forwarding them
	// only loses their cache hits.
	forwardWaitShare = 0.35
)

// excess returns how much longer than predicted a request would wait here than elsewhere;
// correction is what the correction of its predicted wait adds.
func (c *call) excess(correction time.Duration) time.Duration {
	if c.congested(forwardWaitShare) {
		return correction
	}
	return c.gate.waits.excess(c.route.Name)
}

// tooLate reports whether a request that was not sent anywhere yet should be refused now:
// served late, it would delay the requests behind it as well.
func (c *call) tooLate(wait time.Duration) bool {
	if c.forwarded || c.sends > 0 || c.route.LatencyObjective <= 0 {
		return false
	}
	factor := maxWaitFactor
	if c.congested(congestedShare) {
		factor = congestedWaitFactor
		if c.returning {
			factor = returningWaitFactor
		}
	}
	factor *= 1 - c.promisedShare()
	return wait > time.Duration(factor*float64(c.route.LatencyObjective))
}

// congested reports whether the mean wait of the route here exceeds a share of its objective.
func (c *call) congested(share float64) bool {
	return c.gate.waits.mean(c.route.Name) > time.Duration(share*float64(c.route.LatencyObjective))
}
