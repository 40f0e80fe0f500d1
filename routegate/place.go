package routegate

import (
	"time"

	"wheelgauge/peerset"
	"wheelgauge/serverset"
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
	local, listed := c.predictLocal()
	ok := listed && !c.moved && c.gate.options.Reach.MayTry(c.service)
	wait := c.correctedWait(local)
	region, remote := c.bestRemote(ok)
	if !ok && region == "" {
		ok = listed && c.mayHang()
	}
	late := c.tooLate(wait) || c.heldBack(local)
	forward := region != "" && (!ok || remote.Cost() < local.Cost()+c.excess(wait-local.Wait()) || late)
	if forward && c.runs == 0 && c.mayOutlastProcess(c.gate.options.Peers.RoundTrip(region)) {
		if !ok {
			return placement{leaving: true}
		}
		forward = false
	}
	chosen := local
	if forward {
		chosen, wait = remote, remote.Wait()
		late = c.tooLate(wait) || c.heldBack(remote)
	}
	c.idleProbe = ok && late && c.mayProbeIdle(local)
	if c.idleProbe {
		chosen, forward, late = local, false, false
	}
	switch {
	case !ok && !forward:
		return placement{}
	case c.runs == 0 && c.gate.exitsWithin(chosen.End()):
		return placement{leaving: true}
	case late || c.endsTooLate(chosen):
		c.predictedWait = wait
		return placement{tooLate: true}
	}
	if forward {
		c.predictedWait = wait
		if !c.takeCredit(region, ok) {
			return c.choosePlacement() // without that region
		}
		if p := c.peer(region); p != nil {
			return placement{peer: p}
		}
	}
	if !ok && !(listed && c.mayHang()) {
		return placement{}
	}
	k := c.gate.options.Servers.Choose(c.job())
	if c.idleProbe && k != nil {
		k.MarkProbe()
	}
	return placement{pick: k}
}

// mayProbeIdle reports whether a request that is expected to be late is sent all the same: nothing is in
// progress at its server, so only earlier answers say that it is late, and refusing all would leave
// them the last word. Its time must suffice if the server is as slow as before. An engine model looks at
// what runs instead.
func (c *call) mayProbeIdle(local serverset.Estimate) bool {
	return local.Idle() && !c.forwarded && c.sends == 0 && c.runs == 0 && !c.modelled() && !c.waitedTooLong(0) && local.Wait() < c.timeLeft()
}

// mayHang reports whether a request that can go nowhere else is sent to servers of the region that are
// silent, as they may be slow. One that was moved and that no other region takes goes back.
func (c *call) mayHang() bool {
	return c.moved || c.gate.options.Reach.MayHang(c.service, c.timeLeft())
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
	return serverset.NewJob(c.service, c.prompt, c.rank, c.triedServers).WithRegions(c.allowedIn).WithVersions(c.versionFilter).WithTargets(c.route.LatencyObjective, c.pauseObjective(), time.Until(c.connDeadline()))
}

// release gives back a chosen server that the request is not sent to.
func (p placement) release() {
	if p.pick != nil {
		p.pick.Done(serverset.Abandoned)
	}
}
