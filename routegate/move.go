package routegate

import (
	"time"

	"wheelgauge/peerset"
	"wheelgauge/reachability"
)

// move ends the exchange if the request can go on elsewhere without its caller seeing it, and
// reports whether it does. The retry is taken before anything is ended.
// region is where it is now.
func (c *call) move(x *exchange, region string) bool {
	to := c.moveTarget(region)
	if to == "" || !c.gate.options.Budget.TryRetry(c.service) {
		return false
	}
	c.retryTaken = true
	c.moved = c.moved || x.pick != nil
	x.moved.Store(true)
	x.conn.Abort()
	return true
}

// recordForwarded records that the request is sent to another gateway. It moves if that gateway says
// that it reaches no server of the service, but not because it is silent.
func (c *call) recordForwarded(x *exchange, p *peerset.Peer) *reachability.Send {
	return c.gate.options.Reach.Forwarded(func() bool {
		return !c.gate.options.Peers.Reaches(p, c.service) && c.move(x, p.Region())
	})
}

// moveTarget returns the region in which a request whose server or gateway is silent can go on
// without its caller seeing it; empty if it has to wait on: it must be allowed to run again, with
// time enough for its answer, in another region than the one where it is, whose other gateways wait
// for the same servers, and one that takes it.
func (c *call) moveTarget(from string) string {
	if !c.mayRunAgain() || c.expired() || c.splitter.Events() > 0 && c.splitter.LastID() == "" {
		return ""
	}
	o := c.gate.options
	if from != o.Region && !o.Reach.IsOutOfReach(c.service) {
		if local, ok := c.predictLocal(); ok && c.fits(c.correctedWait(local), 0) && local.EndsWithin(c.timeLeft()) {
			return o.Region
		}
	}
	region, remote := c.bestRegion(o.Peers.Regions, func(region string) bool { return region != from && c.mayMoveTo(region) })
	latency := o.Peers.RoundTrip(region)
	if region == "" || !c.fits(remote.Wait(), latency) || !remote.EndsWithin(c.timeLeft()) || !o.Peers.CanTake(region, c.service, c.triedPeers) {
		return ""
	}
	if c.gate.exitsWithin(max(remote.End(), latency+c.gate.durations.get(c.route.Name, c.route.Timeout).mean)) {
		return ""
	}
	return region
}

// fits reports whether the answer is expected in time where its wait is predicted: within the time
// left, of which a whole answer takes as long as usual, and not so late that it is turned back there.
func (c *call) fits(wait, latency time.Duration) bool {
	if c.route.LatencyObjective > 0 && wait > time.Duration(maxWaitFactor*float64(c.route.LatencyObjective)) {
		return false
	}
	if !c.continues() {
		wait = max(wait, latency+c.gate.durations.get(c.route.Name, 0).mean)
	}
	return wait < c.timeLeft()
}

// timeLeft is how long the caller still waits.
func (c *call) timeLeft() time.Duration { return time.Until(c.connDeadline()) }
