package routegate

import (
	"context"
	"time"

	"wheelgauge"
	"wheelgauge/routetable"
)

// aboveShareWaitFactor lowers the predicted wait above which requests of a workspace above its
// share are refused: it may use room that nobody else waits for, not the room of a queue.
const aboveShareWaitFactor = 0.25

// troughWaitFactor is the predicted wait, as a multiple of the objective, from which a request
// that has waited and is late in any case is not let go: it may use room that is free, and must
// not make those late that are still in time.
const troughWaitFactor = 0.25

// placeInTurn places the request, or holds it until there is room. It goes behind those that
// wait and are as urgent. Cap units stay taken meanwhile: taken again after a wait, they could be
// denied to a request that has a server.
func (c *call) placeInTurn(ctx context.Context) placement {
	c.recordAsked()
	c.withheld, c.creditFor = nil, ""
	if c.gate.options.Room == nil || !c.mayWait() {
		return c.placeForVersion(ctx)
	}
	if c.mustQueue() && !c.hasRoom() && !c.waitForRoom(ctx, false) {
		if c.aboveShare() {
			return c.refusedByRoom()
		}
		if p, ok := c.placeAsNew(ctx); ok {
			return p
		}
		return c.placeInServerQueue(ctx)
	}
	for again := false; ; again = true {
		if p, ok := c.tryPlace(ctx); ok {
			return p
		}
		if !c.waitForRoom(ctx, again) {
			return c.placeInServerQueue(ctx)
		}
	}
}

// tryPlace places the request; ok is false if it would be late.
func (c *call) tryPlace(ctx context.Context) (p placement, ok bool) {
	c.withheld = nil
	p = c.placeForVersion(ctx)
	if !p.tooLate || ctx.Err() != nil || c.expired() {
		return p, true
	}
	c.releaseVersions()
	return placement{}, false
}

// placeAsNew places a request that the room did not hold as one that has not waited.
func (c *call) placeAsNew(ctx context.Context) (p placement, ok bool) {
	startBy := c.startBy
	c.startBy = time.Time{}
	if p, ok = c.tryPlace(ctx); !ok {
		c.startBy = startBy
	}
	return p, ok
}

// placeInServerQueue places a request that the room does not hold where it may be in time behind
// others that wait for a slot.
func (c *call) placeInServerQueue(ctx context.Context) placement {
	if ctx.Err() != nil || c.cannotStart() {
		return c.refusedByRoom()
	}
	c.roomRefused = true
	if p, ok := c.tryPlace(ctx); ok {
		return p
	}
	return c.refusedByRoom()
}

// mayWait reports whether the request may wait for room. One that was forwarded waits at the host
// that its caller connected to, and one that was sent before is not held up again.
func (c *call) mayWait() bool {
	return !c.forwarded && !c.roomRefused && c.sends == 0 && c.runs == 0 && c.route.LatencyObjective > 0 && !c.request.Started()
}

// mustQueue reports whether others that wait go before the request.
func (c *call) mustQueue() bool { return c.gate.options.Room.Holds(c.service, c.rank) }

// waitForRoom waits in the room, and reports whether the request was let go.
func (c *call) waitForRoom(ctx context.Context, again bool) bool {
	g := c.gate
	usual := g.durations.get(c.route.Name, c.route.Timeout).mean
	arrived := c.started.Add(c.suspendedBefore)
	c.startBy = c.deadline.Add(c.suspendedBefore - time.Duration(leaveMeanFactor*float64(usual)))
	if limit := c.route.SilenceLimit; limit > 0 && arrived.Add(limit).Before(c.startBy) {
		c.startBy = arrived.Add(limit)
	}
	began := time.Now()
	defer func() { c.roomWait += time.Since(began) }()
	return g.options.Room.Wait(ctx, wheelgauge.QueuedRequest{
		Service: c.service, Route: c.route.Name, Workspace: c.workspaceName(), Rank: c.rank,
		ArrivedAt: arrived, ObjectiveAt: arrived.Add(c.route.LatencyObjective),
		StartBy: c.startBy, Run: usual,
		Bytes: len(c.request.Body()), Returning: c.returning, Again: again, HasRoom: c.hasRoom, AboveShare: c.aboveShare, Ended: c.cannotStart,
	})
}

// waitedTooLong reports whether a request that has waited for room should not go where a wait is
// predicted.
func (c *call) waitedTooLong(wait time.Duration) bool {
	if c.startBy.IsZero() {
		return false
	}
	now, objective := c.gate.options.Clock.Now(), c.route.LatencyObjective
	if now.Add(wait).After(c.startBy) {
		return true
	}
	left := c.started.Add(c.suspendedBefore + objective).Sub(now)
	return wait > max(left, time.Duration(troughWaitFactor*float64(objective)))
}

// refusedByRoom is the placement of a request that the room did not let go.
func (c *call) refusedByRoom() placement {
	if !c.expired() && c.cannotStart() {
		return placement{leaving: true}
	}
	return placement{tooLate: true}
}

// cannotStart reports whether the request has expired or may outlast this host.
func (c *call) cannotStart() bool {
	return c.expired() || c.mayOutlastProcess(0)
}

// hasRoom reports whether a placement now would not be too late. It chooses nothing.
func (c *call) hasRoom() bool {
	local, ok := c.predictLocal()
	if ok && !c.tooLate(c.correctedWait(local)) && !c.heldBack(local) {
		return true
	}
	region, remote := c.bestRemote(ok)
	if region == "" || c.tooLate(remote.Wait()) || c.heldBack(remote) || ok && !c.hasCredit(region) {
		return false
	}
	return !c.mayOutlastProcess(c.gate.options.Peers.RoundTrip(region))
}

// aboveShare reports whether the workspace of the request is above its share.
func (c *call) aboveShare() bool {
	shares := c.gate.options.Shares
	return shares != nil && c.workspace != nil && !c.forwarded && shares.Above(c.service, c.rank, c.workspace.Name)
}

// recordAsked records the request in the shares of workspaces, once. A forwarded request is
// recorded by the host that the caller connected to.
func (c *call) recordAsked() {
	if c.gate.options.Shares == nil || c.workspace == nil || c.forwarded || c.asked {
		return
	}
	c.asked = true
	c.gate.options.Shares.Asked(c.service, c.rank, c.workspace.Name, c.gate.shareWeight(c.workspace), c.shareCost())
}

// recordTaken records in the shares of workspaces that the request is sent, once.
func (c *call) recordTaken() {
	if !c.asked || c.taken {
		return
	}
	c.taken = true
	c.gate.options.Shares.Served(c.service, c.rank, c.workspace.Name, c.shareCost())
}

func (c *call) shareCost() float64 { return float64(max(1, c.prompt.Tokens())) }

// shareWeights are the weights of workspaces under one configuration.
type shareWeights struct {
	table *routetable.Table
	// meanRates are the mean rates of the workspaces' caps, by unit.
	meanRates map[wheelgauge.CapUnit]float64
}

// shareWeight is the rate of the workspace's cap relative to the mean of caps with the same
// unit, and 1 without a cap: rates in tokens and in requests cannot be compared.
func (g *Gate) shareWeight(w *wheelgauge.Workspace) float64 {
	if !w.Cap.HasLimit() {
		return 1
	}
	t, weights := g.table.Load(), g.weights.Load()
	if weights == nil || weights.table != t {
		weights = newShareWeights(t)
		g.weights.Store(weights)
	}
	if mean := weights.meanRates[w.Cap.Unit]; mean > 0 {
		return w.Cap.Rate / mean
	}
	return 1
}

func newShareWeights(t *routetable.Table) *shareWeights {
	s := &shareWeights{table: t, meanRates: map[wheelgauge.CapUnit]float64{}}
	if t == nil {
		return s
	}
	counts := map[wheelgauge.CapUnit]float64{}
	for _, w := range t.Workspaces() {
		if w.Cap.HasLimit() {
			s.meanRates[w.Cap.Unit] += w.Cap.Rate
			counts[w.Cap.Unit]++
		}
	}
	for unit, n := range counts {
		s.meanRates[unit] /= n
	}
	return s
}
