package routegate

import (
	"wheelgauge"
	"wheelgauge/peerset"
	"wheelgauge/serverset"
)

// peer chooses a gateway of another region; nil when none accepts requests.
func (c *call) peer(region string) *peerset.Peer {
	return c.gate.options.Peers.Choose(region, c.service, c.rank, c.prompt.Tokens(), c.triedPeers)
}

// bestRemote returns the other region with the lowest predicted cost. A request that cannot
// run in this region falls back to regions with rate-limited servers only, then to regions
// whose gateways are leaving.
func (c *call) bestRemote(localOK bool) (string, serverset.Estimate) {
	peers := c.gate.options.Peers
	region, remote := c.bestRegion(peers.Regions, c.mayForwardTo)
	for _, candidates := range []func(service string) []string{peers.LimitedRegions, peers.LeavingRegions} {
		if region == "" && !localOK {
			region, remote = c.bestRegion(candidates, c.mayForwardTo)
		}
	}
	if region == "" && !localOK && len(c.failedRegions) > 0 {
		c.failedRegions = nil // a region that has failed the request is the last resort
		return c.bestRemote(localOK)
	}
	return region, remote
}

// bestRegion returns the region with the lowest predicted cost of those that may get the request;
// empty when it may not be forwarded.
func (c *call) bestRegion(regions func(service string) []string, may func(region string) bool) (string, serverset.Estimate) {
	best, lowest := "", serverset.Estimate{}
	if c.forwarded || len(c.triedPeers) >= maxSends {
		return best, lowest
	}
	o := c.gate.options
	for _, region := range regions(c.service) {
		if !c.allowedIn(region) || !may(region) || !c.mayContinueIn(region) {
			continue
		}
		e := c.predictRemote(o.Peers.Load(region, c.service)).AddLatency(o.Peers.RoundTrip(region)).AddCost(o.Peers.FailureCost(region, c.service))
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
	return c.gate.options.Servers.PredictAt(*s, u, c.job())
}
