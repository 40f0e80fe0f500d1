package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/admission"
	"wheelgauge/catalog"
	"wheelgauge/clienthosts"
	"wheelgauge/pushback"
	"wheelgauge/rendezvous"
	"wheelgauge/spillover"
)

// usualFirstByte is a time to the first byte that does not indicate a queue.
const usualFirstByte = 150 * time.Millisecond

// minService is the shortest time that a request is expected to run.
const minService = 10 * time.Millisecond

// applyRateLimit counts the request against this host's share of its client's rate limit.
func (g *Gateway) applyRateLimit(rq *request) error {
	if rq.class.Rate == 0 {
		return nil
	}
	share := clienthosts.LimitShare(rq.catalog, rq.identity, g.options.Region, g.options.Host, g.usable)
	wait := g.limiter.Take(rq.identity.Client, rendezvous.Hash(rq.identity.Client), rq.class, share, rq.started)
	if wait == 0 {
		return nil
	}
	return wheelgauge.NewError(wheelgauge.ReasonRateLimited, wheelgauge.OutcomeNotRun, http.StatusTooManyRequests,
		fmt.Sprintf("client %s is over its limit of %g requests a second", rq.identity.Client, rq.class.Rate)).
		WithRetryAfter(admission.RetryAfter(wait))
}

// candidateSet holds the servers that may take a request, and their total load and slots.
type candidateSet struct {
	candidates []wheelgauge.Candidate
	load       int
	slots      int
	// backoff is the time until the first server that asked to back off takes work again; 0 if
	// none did.
	backoff time.Duration
	// excluded is set if a server was left out for another temporary reason.
	excluded bool
}

var candidateSets = sync.Pool{New: func() any { return &candidateSet{} }}

// collectCandidates fills cs with the servers in this region that may take the request now.
func (g *Gateway) collectCandidates(cs *candidateSet, rq *request, tried []string) {
	cs.candidates, cs.load, cs.slots, cs.backoff, cs.excluded = cs.candidates[:0], 0, 0, 0, false
	now := g.clock.Now()
	for _, s := range rq.catalog.Servers(rq.route.Pool, g.options.Region, "") {
		if s.Leaving || contains(tried, s.Name) || !rq.mayContinueAt(s) {
			continue
		}
		if !g.breakers.Allowed(s.Name, now) || g.deferrals.blocks(s.Name, now) {
			cs.excluded = true
			continue
		}
		state := g.node.Server(s.Name)
		if state.Leaving || state.Known && !state.Alive {
			continue
		}
		if pushed := g.pushbacks.lookup(s.Name, state, now); !pushed.Allows(now) {
			cs.noteBackoff(pushed, now)
			continue
		}
		// A model with placements is served where it is ready, which differs from
		// where it is placed while it moves.
		if placed, version, _ := rq.catalog.Placement(rq.model, s.Name); placed && !state.Ready(rq.model, version) {
			continue
		}
		counted := g.inflight.Snapshot(s.Name, state.Running+state.Waiting, state.Reports)
		candidate := wheelgauge.Candidate{Name: s.Name, Address: s.Address, Hash: s.Hash, InFlight: counted.Count, Pending: counted.Pending, Running: counted.Load}
		candidate.Slots = max(1, int(float64(s.Slots)*state.SlotFraction(now)))
		cs.candidates = append(cs.candidates, candidate)
		cs.load += max(candidate.InFlight, candidate.Running)
		cs.slots += candidate.Slots
	}
}

// noteBackoff records the backoff of a server that takes no work now.
func (cs *candidateSet) noteBackoff(state pushback.State, now time.Time) {
	if left := state.Remaining(now); !state.Leaving() && (cs.backoff == 0 || left < cs.backoff) {
		cs.backoff = left
	}
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}

// queueWait estimates how long new work waits for a slot.
func queueWait(load, slots int, service time.Duration) time.Duration {
	if slots == 0 || load < slots {
		return 0
	}
	return time.Duration(float64(load-slots+1) / float64(slots) * float64(service))
}

// plan is the region that a request goes to.
type plan struct {
	region      string // empty: this region
	mustForward bool   // this region cannot serve the request
}

// decide chooses between this region and others, or refuses at once a request that would
// miss its deadline or must be shed.
func (g *Gateway) decide(rq *request) (plan, error) {
	cs := candidateSets.Get().(*candidateSet)
	defer candidateSets.Put(cs)
	g.collectCandidates(cs, rq, nil)
	service := g.inflight.MeanDuration(rq.route.Pool)
	here := spillover.RegionState{Region: g.options.Region, Wait: g.localWait(rq, cs, service), Price: rq.catalog.Region(g.options.Region).Price}
	fits := cs.slots > 0 && !admission.ShouldShed(rq.call.Priority, here.Wait, g.options.MaxWait) &&
		!admission.MissesDeadline(here.Wait, minService, time.Until(g.localDeadline(rq)))
	if !rq.forwarded {
		if region, ok := g.chooseRegion(rq, here, fits, service); ok {
			return plan{region: region, mustForward: !fits}, nil
		}
	}
	if rq.forwarded && !rq.mustAccept && cs.load >= cs.slots {
		return plan{}, g.overloadError(rq, here, cs.slots)
	}
	if fits {
		return plan{}, nil
	}
	return plan{}, g.overloadError(rq, here, cs.slots)
}

// localWait estimates how long new work waits in this region: from the known load or
// from recent times to the first byte, whichever is more. A first byte within
// usualFirstByte counts as no wait.
func (g *Gateway) localWait(rq *request, cs *candidateSet, service time.Duration) time.Duration {
	observed := g.inflight.RecentFirstByte(rq.route.Pool) - usualFirstByte
	return max(queueWait(cs.load, cs.slots, service), observed)
}

func (g *Gateway) overloadError(rq *request, here spillover.RegionState, slots int) error {
	if slots == 0 {
		if after, ok := g.backoffLeft(rq); ok {
			return backoffError(rq, g.options.Region, after)
		}
		return wheelgauge.NewError(wheelgauge.ReasonNoServer, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
			"no backend server of "+rq.route.Name+" takes work in "+g.options.Region).WithRetryAfter(admission.RetryAfter(time.Second))
	}
	reason, status := wheelgauge.ReasonOverloaded, http.StatusServiceUnavailable
	shed := admission.ShouldShed(rq.call.Priority, here.Wait, g.options.MaxWait)
	if !shed && admission.MissesDeadline(here.Wait, minService, time.Until(g.localDeadline(rq))) {
		reason = wheelgauge.ReasonDeadline
	}
	return wheelgauge.NewError(reason, wheelgauge.OutcomeNotRun, status,
		fmt.Sprintf("the expected wait for a server is %s", here.Wait.Round(time.Millisecond))).WithRetryAfter(admission.RetryAfter(here.Wait))
}

// chooseRegion returns the region to forward a request to, by the forwarding policy.
func (g *Gateway) chooseRegion(rq *request, here spillover.RegionState, fits bool, service time.Duration) (string, bool) {
	var places [maxRegions]spillover.RegionState
	n := 0
	for _, region := range rq.catalog.Regions() {
		if region == g.options.Region || n == maxRegions || !rq.catalog.Allows(rq.identity, region) {
			continue
		}
		summary := g.node.Region(region)
		pool := summary.Pools[rq.route.Pool]
		if summary.Hosts == 0 || pool.Slots == 0 || !slices.ContainsFunc(rq.catalog.Servers(rq.route.Pool, region, rq.model), rq.mayContinueAt) {
			continue
		}
		link := time.Duration(rq.catalog.Region(g.options.Region).LinkDelaysMS[region] * float64(time.Millisecond))
		observed := g.inflight.RecentFirstByte(regionCounter(region)) - usualFirstByte - 2*link
		places[n] = spillover.RegionState{
			Region: region, Wait: max(queueWait(pool.Running+pool.Waiting, pool.Slots, service), observed), Price: rq.catalog.Region(region).Price, Latency: link,
			Granted: g.hostGrant(rq.catalog, pool), InFlight: g.inflight.Count(regionCounter(region)),
		}
		n++
	}
	best := g.options.Decider.Decide(here, fits, spillover.RequestSize{Bytes: len(rq.call.Body), Tokens: rq.tokens}, places[:n])
	if best < 0 {
		return "", false
	}
	return places[best].Region, true
}

// hostSkewFactor is how many times its equal share of a grant one host may use, because
// clients are not spread evenly over hosts.
const hostSkewFactor = 2

// maxRegions bounds the regions that are considered for a request.
const maxRegions = 16

func regionCounter(region string) string { return "region " + region }

// hostGrant returns this host's share of the capacity that another region granted to this one.
func (g *Gateway) hostGrant(c *catalog.Catalog, pool wheelgauge.PoolSummary) int {
	hosts := 0
	for _, h := range c.Hosts(g.options.Region) {
		if g.usable(h) {
			hosts++
		}
	}
	grant := pool.Grants[g.options.Region]
	if grant == 0 {
		return 0
	}
	return max(1, grant*hostSkewFactor/max(1, hosts))
}
