package routegate

import (
	"time"

	"wheelgauge"
	"wheelgauge/peerset"
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
	// forwardWaitShare is the share of the objective that the mean wait must exceed before
	// long prompts are forwarded earlier than short ones. Without a queue, forwarding them
	// only loses their cache hits.
	forwardWaitShare = 0.35
)

// placement is where a request goes next; both pick and peer are nil if nowhere.
type placement struct {
	pick *serverset.Pick
	peer *peerset.Peer
	// tooLate is set when the request would miss its objective anywhere.
	tooLate bool
	// leaving is set when this host exits before the answer would be back.
	leaving bool
}

// choosePlacement compares the servers of the region with other regions.
func (c *call) choosePlacement() placement {
	local, ok := c.predictLocal()
	wait := c.gate.waits.correct(c.route.Name, local.Wait())
	region, remote := c.bestRemote(ok)
	forward := region != "" && (!ok || remote.Cost() < local.Cost()+c.excess(wait-local.Wait()) || c.tooLate(wait))
	if forward && c.gate.mayOutlastProcess(c.route.Name, c.route.Timeout, c.gate.options.Peers.RoundTrip(region)) {
		if !ok {
			return placement{leaving: true}
		}
		forward = false
	}
	if forward {
		wait = remote.Wait()
	}
	switch {
	case !ok && !forward:
		return placement{}
	case c.tooLate(wait):
		c.predictedWait = wait
		return placement{tooLate: true}
	}
	if forward {
		if p := c.peer(region); p != nil {
			c.predictedWait = wait
			return placement{peer: p}
		}
	}
	if !ok {
		return placement{}
	}
	return placement{pick: c.gate.options.Servers.Choose(c.job())}
}

// peer chooses a gateway of another region; nil when none accepts requests.
func (c *call) peer(region string) *peerset.Peer {
	return c.gate.options.Peers.Choose(region, c.service, c.rank, c.prompt.Tokens(), c.triedPeers)
}

// bestRemote returns the other region with the lowest predicted cost. A request that cannot
// run in this region falls back to regions with rate-limited servers only, then to regions
// whose gateways are leaving.
func (c *call) bestRemote(localOK bool) (string, serverset.Estimate) {
	peers := c.gate.options.Peers
	region, remote := c.bestRegion(peers.Regions)
	for _, candidates := range []func(service string) []string{peers.LimitedRegions, peers.LeavingRegions} {
		if region == "" && !localOK {
			region, remote = c.bestRegion(candidates)
		}
	}
	return region, remote
}

// predictLocal estimates the wait and cost at the servers of the region; ok is false when none
// may get the request.
func (c *call) predictLocal() (e serverset.Estimate, ok bool) {
	o := c.gate.options
	if !c.allowedIn(o.Region) {
		return e, false
	}
	return o.Servers.Predict(c.job())
}

func (c *call) job() serverset.Job {
	return serverset.NewJob(c.service, c.prompt, c.rank, c.triedServers).WithRegions(c.allowedIn).WithVersions(c.versionFilter)
}

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
	}
	return wait > time.Duration(factor*float64(c.route.LatencyObjective))
}

// congested reports whether the mean wait of the route here exceeds a share of its objective.
func (c *call) congested(share float64) bool {
	return c.gate.waits.mean(c.route.Name) > time.Duration(share*float64(c.route.LatencyObjective))
}

// bestRegion returns the region with the lowest predicted cost; empty when the request may not
// be forwarded.
func (c *call) bestRegion(regions func(service string) []string) (string, serverset.Estimate) {
	best, lowest := "", serverset.Estimate{}
	if c.forwarded || len(c.triedPeers) >= maxSends {
		return best, lowest
	}
	o := c.gate.options
	for _, region := range regions(c.service) {
		if !c.allowedIn(region) {
			continue
		}
		e := c.predictRemote(o.Peers.Load(region, c.service)).AddLatency(o.Peers.RoundTrip(region))
		if best == "" || e.Cost() < lowest.Cost() {
			best, lowest = region, e
		}
	}
	return best, lowest
}

// predictRemote estimates the wait and cost in a region from its aggregate load.
func (c *call) predictRemote(u wheelgauge.ServiceUsage) serverset.Estimate {
	s := c.gate.RouteTable().Service(c.service)
	if s == nil {
		return serverset.Estimate{}
	}
	return c.gate.options.Servers.PredictAt(*s, u, c.prompt, c.rank)
}

// release gives back a chosen server that the request is not sent to.
func (p placement) release() {
	if p.pick != nil {
		p.pick.Done(serverset.Abandoned)
	}
}
