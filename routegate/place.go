package routegate

import (
	"time"

	"wheelgauge"
	"wheelgauge/peerset"
	"wheelgauge/serverset"
)

const (
	// maxWaitFactor is the predicted wait, as a multiple of the objective, from
	// which on a request is refused.
	maxWaitFactor = 1.5
	// congestedWaitFactor holds instead while requests of the route have waited for more
	// than busyPart of their objective: a queue that stands at the objective
	// makes all of them late.
	congestedWaitFactor = 0.75
	congestedShare      = 0.5
	// forwardWaitShare is the part of their objective that requests must wait before long
	// prompts are sent away sooner than short ones: where nobody waits, sending them away
	// only costs their caches.
	forwardWaitShare = 0.35
)

// placement is where a request goes next; both pick and peer are nil if nowhere.
type placement struct {
	pick *serverset.Pick
	peer *peerset.Peer
	// late is set when the request would be late wherever it went.
	tooLate bool
	// leaving is set when this host ends before the answer would be back.
	leaving bool
}

// choosePlacement weighs the region's own servers against other regions.
func (c *call) choosePlacement() placement {
	local, ok := c.predictLocal()
	wait := c.gate.waits.correct(c.route.Name, local.Wait())
	region, remote := c.bestRemote(ok)
	away := region != "" && (!ok || remote.Cost() < local.Cost()+c.excess(wait-local.Wait()) || c.tooLate(wait))
	if away && c.gate.mayOutlastProcess(c.route.Name, c.route.Timeout, c.gate.options.Peers.Way(region)) {
		if !ok {
			return placement{leaving: true}
		}
		away = false
	}
	if away {
		wait = remote.Wait()
	}
	switch {
	case !ok && !away:
		return placement{}
	case c.tooLate(wait):
		c.predictedWait = wait
		return placement{tooLate: true}
	}
	if away {
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

// peer chooses a gateway of another region; nil when none takes work.
func (c *call) peer(region string) *peerset.Peer {
	return c.gate.options.Peers.Choose(region, c.service, c.rank, c.prompt.Tokens(), c.triedPeers)
}

// bestRemote returns the other region that offers the most, and what. For a request that
// cannot run here, one that has servers with a limit only, or whose gateways leave, is
// better than none.
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

// predictLocal estimates what the region's own servers offer; ok is false when none
// may take the request.
func (c *call) predictLocal() (e serverset.Estimate, ok bool) {
	o := c.gate.options
	if !c.allowedIn(o.Region) {
		return e, false
	}
	return o.Servers.Predict(c.job())
}

func (c *call) job() serverset.Job {
	return serverset.NewJob(c.service, c.prompt, c.rank, c.triedServers).Within(c.allowedIn).Of(c.versionChoice)
}

// excess is how much longer than predicted a request would wait here than
// elsewhere; corrected is what the correction of its wait adds.
func (c *call) excess(correction time.Duration) time.Duration {
	if c.congested(forwardWaitShare) {
		return correction
	}
	return c.gate.waits.excess(c.route.Name)
}

// tooLate tells whether a request that was not sent anywhere yet is better
// refused now: served late, it would make those behind it late as well.
func (c *call) tooLate(wait time.Duration) bool {
	if c.forwarded || c.sends > 0 || c.route.Objective <= 0 {
		return false
	}
	factor := maxWaitFactor
	if c.congested(congestedShare) {
		factor = congestedWaitFactor
	}
	return wait > time.Duration(factor*float64(c.route.Objective))
}

// congested tells whether requests of the route wait for more than a part of their
// objective here.
func (c *call) congested(share float64) bool {
	return c.gate.waits.mean(c.route.Name) > time.Duration(share*float64(c.route.Objective))
}

// bestRegion returns the one of regions with the least cost; empty when the
// request may not be forwarded.
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
		e := c.predictRemote(o.Peers.Load(region, c.service)).Over(o.Peers.Way(region))
		if best == "" || e.Cost() < lowest.Cost() {
			best, lowest = region, e
		}
	}
	return best, lowest
}

// predictRemote estimates what a region offers by its sums.
func (c *call) predictRemote(u wheelgauge.ServiceUse) serverset.Estimate {
	s := c.gate.Table().Service(c.service)
	if s == nil {
		return serverset.Estimate{}
	}
	return c.gate.options.Servers.PredictAt(*s, u, c.prompt, c.rank)
}

// release gives up a server that was chosen.
func (p placement) release() {
	if p.pick != nil {
		p.pick.Done(serverset.Left)
	}
}
