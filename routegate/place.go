package routegate

import (
	"time"

	"wheelgauge"
	"wheelgauge/peerset"
	"wheelgauge/serverset"
)

const (
	// lateFactor is the predicted wait, as a multiple of the objective, from
	// which on a request is refused.
	lateFactor = 1.5
	// busyFactor holds instead while requests of the route have waited for more
	// than busyPart of their objective: a queue that stands at the objective
	// makes all of them late.
	busyFactor = 0.75
	busyPart   = 0.5
	// awayPart is the part of their objective that requests must wait before long
	// prompts are sent away sooner than short ones: where nobody waits, sending them away
	// only costs their caches.
	awayPart = 0.35
)

// place is where a request goes next; both pick and peer are nil if nowhere.
type place struct {
	pick *serverset.Pick
	peer *peerset.Peer
	// late is set when the request would be late wherever it went.
	late bool
	// leaving is set when this host ends before the answer would be back.
	leaving bool
}

// place weighs the region's own servers against other regions.
func (c *call) place() place {
	here, ok := c.predict()
	wait := c.gate.seen.correct(c.route.Name, here.Wait())
	region, there := c.elsewhere(ok)
	away := region != "" && (!ok || there.Cost() < here.Cost()+c.excess(wait-here.Wait()) || c.tooLate(wait))
	if away && c.gate.tooLong(c.route.Name, c.route.Timeout, c.gate.options.Peers.Way(region)) {
		if !ok {
			return place{leaving: true}
		}
		away = false
	}
	if away {
		wait = there.Wait()
	}
	switch {
	case !ok && !away:
		return place{}
	case c.tooLate(wait):
		c.wait = wait
		return place{late: true}
	}
	if away {
		if p := c.peer(region); p != nil {
			c.wait = wait
			return place{peer: p}
		}
	}
	if !ok {
		return place{}
	}
	return place{pick: c.gate.options.Servers.Choose(c.job())}
}

// peer chooses a gateway of another region; nil when none takes work.
func (c *call) peer(region string) *peerset.Peer {
	return c.gate.options.Peers.Choose(region, c.service, c.rank, c.prompt.Tokens(), c.away)
}

// elsewhere returns the other region that offers the most, and what. For a request that
// cannot run here, one that has servers with a limit only, or whose gateways leave, is
// better than none.
func (c *call) elsewhere(here bool) (string, serverset.Estimate) {
	peers := c.gate.options.Peers
	region, there := c.bestRegion(peers.Regions)
	for _, resort := range []func(service string) []string{peers.LimitedRegions, peers.LeavingRegions} {
		if region == "" && !here {
			region, there = c.bestRegion(resort)
		}
	}
	return region, there
}

// predict estimates what the region's own servers offer; ok is false when none
// may take the request.
func (c *call) predict() (e serverset.Estimate, ok bool) {
	o := c.gate.options
	if !c.allowedIn(o.Region) {
		return e, false
	}
	return o.Servers.Predict(c.job())
}

func (c *call) job() serverset.Job {
	return serverset.NewJob(c.service, c.prompt, c.rank, c.tried).Within(c.allowedIn).Of(c.versions)
}

// excess is how much longer than predicted a request would wait here than
// elsewhere; corrected is what the correction of its wait adds.
func (c *call) excess(corrected time.Duration) time.Duration {
	if c.crowded(awayPart) {
		return corrected
	}
	return c.gate.seen.excess(c.route.Name)
}

// tooLate tells whether a request that was not sent anywhere yet is better
// refused now: served late, it would make those behind it late as well.
func (c *call) tooLate(wait time.Duration) bool {
	if c.forwarded || c.sends > 0 || c.route.Objective <= 0 {
		return false
	}
	factor := lateFactor
	if c.crowded(busyPart) {
		factor = busyFactor
	}
	return wait > time.Duration(factor*float64(c.route.Objective))
}

// crowded tells whether requests of the route wait for more than a part of their
// objective here.
func (c *call) crowded(part float64) bool {
	return c.gate.seen.mean(c.route.Name) > time.Duration(part*float64(c.route.Objective))
}

// bestRegion returns the one of regions with the least cost; empty when the
// request may not be forwarded.
func (c *call) bestRegion(regions func(service string) []string) (string, serverset.Estimate) {
	best, least := "", serverset.Estimate{}
	if c.forwarded || len(c.away) >= mostSends {
		return best, least
	}
	o := c.gate.options
	for _, region := range regions(c.service) {
		if !c.allowedIn(region) {
			continue
		}
		e := c.predictAt(o.Peers.Load(region, c.service)).Over(o.Peers.Way(region))
		if best == "" || e.Cost() < least.Cost() {
			best, least = region, e
		}
	}
	return best, least
}

// predictAt estimates what a region offers by its sums.
func (c *call) predictAt(u wheelgauge.ServiceUse) serverset.Estimate {
	s := c.gate.Table().Service(c.service)
	if s == nil {
		return serverset.Estimate{}
	}
	return c.gate.options.Servers.PredictAt(*s, u, c.prompt, c.rank)
}

// abandon gives up a server that was chosen.
func (p place) abandon() {
	if p.pick != nil {
		p.pick.Done(serverset.Left)
	}
}
