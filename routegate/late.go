package routegate

import (
	"time"

	"wheelgauge"
	"wheelgauge/serverset"
)

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
	if c.modelled() {
		return 0 // the model has learned it
	}
	if c.congested(forwardWaitShare) {
		return correction
	}
	return c.gate.waits.excess(c.route.Name)
}

// tooLate reports whether a request that was not sent anywhere yet should be refused now:
// served late, it would delay the requests behind it as well. Without credits a forwarded one
// is taken in any case.
func (c *call) tooLate(wait time.Duration) bool {
	if c.forwarded && c.gate.options.Credits == nil || c.sends > 0 || c.runs > 0 || c.route.LatencyObjective <= 0 {
		return false
	}
	return c.callerGivesUp(wait) || c.waitedTooLong(wait) || wait > time.Duration(c.lateFactor()*float64(c.route.LatencyObjective))
}

// callerGivesUp reports whether the caller would have given up after a wait. Without an engine model
// and a waiting room the silence of callers decides nothing.
func (c *call) callerGivesUp(wait time.Duration) bool {
	limit := c.route.SilenceLimit
	if limit <= 0 || c.gate.options.Room == nil && !c.modelled() {
		return false
	}
	return c.gate.options.Clock.Now().Add(wait).After(c.started.Add(c.suspendedBefore + limit))
}

// heldBack reports whether a less urgent request would wait for a slot at an engine, where more
// urgent ones displace it and its prompt is prefilled again, although it can wait at a host.
func (c *call) heldBack(e serverset.Estimate) bool {
	if c.gate.options.Room == nil || c.rank == 0 || !e.Queued() {
		return false
	}
	if c.forwarded {
		return c.gate.options.Credits != nil && c.sends == 0 && c.runs == 0
	}
	return c.mayWait()
}

// lateFactor is the predicted wait, as a multiple of the objective, above which the request is
// refused. A learned forecast includes what congestion adds.
func (c *call) lateFactor() float64 {
	factor := maxWaitFactor
	if !c.modelled() && c.congested(congestedShare) {
		factor = congestedWaitFactor
		if c.returning {
			factor = returningWaitFactor
		}
	}
	if c.aboveShare() {
		factor *= aboveShareWaitFactor
	}
	return factor * (1 - c.promisedShare())
}

// modelled reports whether an engine model predicts how the request runs.
func (c *call) modelled() bool {
	servers := c.gate.options.Servers
	return servers != nil && servers.HasModel(c.service)
}

// correctedWait returns the wait to be expected at the servers of the region.
func (c *call) correctedWait(local serverset.Estimate) time.Duration {
	if c.modelled() {
		if c.route.Kind != wheelgauge.RouteStream {
			return local.End()
		}
		return local.Wait()
	}
	return c.gate.waits.correct(c.route.Name, local.Wait())
}

// endsTooLate reports whether the answer cannot end in the time left where the request would be
// sent: its caller would get part of it, for the work of all.
func (c *call) endsTooLate(e serverset.Estimate) bool {
	if c.forwarded || c.sends > 0 || c.runs > 0 {
		return false
	}
	return !e.EndsWithin(time.Until(c.connDeadline()))
}

// pauseObjective is the target for the longest pause of a stream; 0 without one.
func (c *call) pauseObjective() time.Duration {
	if c.route.Kind != wheelgauge.RouteStream {
		return 0
	}
	return c.route.GapObjective
}

// congested reports whether the mean wait of the route here exceeds a share of its objective.
func (c *call) congested(share float64) bool {
	return c.gate.waits.mean(c.route.Name) > time.Duration(share*float64(c.route.LatencyObjective))
}
