package routegate

import (
	"time"

	"wheelgauge"
	"wheelgauge/peerset"
	"wheelgauge/serverset"
)

const (
	// awayCost is what sending a request to another region costs it: two links
	// and a gateway more.
	awayCost = 120 * time.Millisecond
	// awayGain is how much sooner an answer must be expected from another region.
	awayGain = 100 * time.Millisecond
)

// place is where a request goes next; both fields are nil if nowhere.
type place struct {
	pick *serverset.Pick
	peer *peerset.Peer
}

// place weighs the region's own servers against other regions.
func (c *call) place() place {
	o := c.gate.options
	var here serverset.Estimate
	ok := false
	if c.route.AllowedIn(o.Region) {
		here, ok = o.Servers.Predict(c.service, c.prompt, c.tried)
	}
	if !c.forwarded && len(c.away) < mostSends {
		region, there := c.bestRegion()
		if region != "" && (!ok || there+awayGain < c.gate.seen.correct(c.route.Name, here.Wait())+here.Cost()-here.Wait()) {
			if peer := o.Peers.Choose(region, c.service, c.prompt.Tokens(), c.away); peer != nil {
				c.wait = there
				return place{peer: peer}
			}
		}
	}
	if !ok {
		return place{}
	}
	return place{pick: o.Servers.Choose(c.service, c.prompt, c.tried)}
}

// bestRegion returns the other region with the least predicted wait.
func (c *call) bestRegion() (string, time.Duration) {
	o := c.gate.options
	best, least := "", time.Duration(0)
	for _, region := range o.Peers.Regions(c.service) {
		if !c.route.AllowedIn(region) {
			continue
		}
		wait := awayCost + c.waitAt(o.Peers.Load(region, c.service))
		if best == "" || wait < least {
			best, least = region, wait
		}
	}
	return best, least
}

// waitAt predicts the wait in a region by its sums.
func (c *call) waitAt(u wheelgauge.ServiceUse) time.Duration {
	s := c.gate.Table().Service(c.service)
	if s == nil {
		return 0
	}
	return c.gate.options.Servers.WaitAt(*s, u, c.prompt)
}
