package routegate

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/peerset"
)

const (
	// turnBackShare is the share of the objective within which a request that was turned back
	// is sent to another region: it must still begin in time there.
	turnBackShare = 0.25
	// creditLogInterval is the interval of log lines about each kind of decision.
	creditLogInterval = time.Second
)

// The kinds of decisions on forwarding, as counted and logged.
const (
	forwardSent         = "forward.sent"
	forwardExempt       = "forward.exempt"
	forwardWithheld     = "forward.withheld"
	forwardTurnedBack   = "forward.turned_back"
	forwardReceivedBack = "forward.received.turned_back"
)

// creditLog limits the log lines of each kind of decision, service and region.
type creditLog struct {
	mu   sync.Mutex
	last map[[3]string]time.Time
	// skipped counts the decisions since the last line.
	skipped map[[3]string]int
}

// due reports whether a decision is logged, and how many were not since the last one.
func (l *creditLog) due(kind, service, region string, now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last, l.skipped = map[[3]string]time.Time{}, map[[3]string]int{}
	}
	k := [3]string{kind, service, region}
	if at, known := l.last[k]; known && now.Sub(at) < creditLogInterval {
		l.skipped[k]++
		return 0, false
	}
	skipped = l.skipped[k]
	l.last[k], l.skipped[k] = now, 0
	return skipped, true
}

// takeCredit reports whether the request may be forwarded to a region. One that has no server
// here needs no credit; a dispatch that chooses a region twice takes one.
func (c *call) takeCredit(region string, localOK bool) bool {
	credits := c.gate.options.Credits
	if credits == nil || !localOK || c.creditFor == region {
		return true
	}
	if credits.Take(region, c.service, c.rank, c.creditTokens()) {
		c.creditFor = region
		return true
	}
	c.withheld = append(c.withheld, region)
	c.recordCredit(forwardWithheld, region)
	return false
}

// recordForward records that the request is sent to a region.
func (c *call) recordForward(region string) {
	switch {
	case c.gate.options.Credits == nil:
	case c.creditFor == region:
		c.recordCredit(forwardSent, region)
	default:
		c.recordCredit(forwardExempt, region)
	}
}

// hasCredit reports whether a credit could be taken for a region now.
func (c *call) hasCredit(region string) bool {
	credits := c.gate.options.Credits
	if credits == nil {
		return true
	}
	known := credits.Credit(region, c.service, c.rank)
	return !known.Known || !known.Held && known.Left > 0
}

// creditTokens are the prompt tokens that a server of another region has to prefill.
func (c *call) creditTokens() int { return c.prompt.Tokens() - c.prompt.SharedTokens() }

// mayForwardTo reports whether a region is a candidate: it has not turned the request back, and
// its credit has not been refused.
func (c *call) mayForwardTo(region string) bool {
	return !slices.Contains(c.withheld, region) && c.mayMoveTo(region)
}

// mayMoveTo reports whether a region is a candidate for a request that needs no credit.
func (c *call) mayMoveTo(region string) bool {
	if slices.Contains(c.turnedBackBy, region) || slices.Contains(c.failedRegions, region) {
		return false
	}
	if len(c.turnedBackBy) == 0 || c.route.LatencyObjective <= 0 {
		return true
	}
	spent := time.Since(c.started) + c.gate.options.Peers.RoundTrip(region)
	return spent <= time.Duration(turnBackShare*float64(c.route.LatencyObjective))
}

// turnBack refuses a forwarded request that would be late here.
func (c *call) turnBack() {
	c.cause = "turned back"
	c.recordCredit(forwardReceivedBack, c.gate.options.Region)
	c.refuse(refusal(wheelgauge.ReasonNoRoom, http.StatusServiceUnavailable, "this region has no room for the request"))
}

// endTurnedBack handles a refusal of another region for lack of room. The gateway there is not
// at fault, and gets other requests.
func (c *call) endTurnedBack(p *peerset.Peer) result {
	c.turnedBackBy = append(c.turnedBackBy, p.Region())
	if credits := c.gate.options.Credits; credits != nil {
		credits.TurnedBack(p.Region(), c.service, c.rank)
	}
	c.recordCredit(forwardTurnedBack, p.Region())
	return turnedBack
}

// recordCredit counts and logs a decision.
func (c *call) recordCredit(kind, region string) {
	o := c.gate.options
	o.Meter.Count(kind)
	skipped, due := c.gate.creditLog.due(kind, c.service, region, o.Clock.Now())
	if !due {
		return
	}
	var known wheelgauge.ForwardCredit
	if o.Credits != nil && region != o.Region {
		known = o.Credits.Credit(region, c.service, c.rank)
	}
	o.Log.Info("Forwarding is decided.", "id", c.id, "decision", kind, "service", c.service, "region", region, "rank", c.rank, "tokens", c.creditTokens(), "predicted_ms", c.predictedWait.Milliseconds(),
		"known", known.Known, "room", int(known.Requests), "room_tokens", int(known.Tokens), "share", known.Share, "left", known.Left, "held", known.Held, "age_ms", known.Age.Milliseconds(), "more", skipped)
}
