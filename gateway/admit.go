package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/admission"
	"wheelgauge/away"
	"wheelgauge/catalog"
	"wheelgauge/entrylist"
	"wheelgauge/pushback"
	"wheelgauge/rendezvous"
)

// usualFirst is the time to a first byte that says nothing of a queue.
const usualFirst = 150 * time.Millisecond

// leastService is the shortest time that any work is expected to take.
const leastService = 10 * time.Millisecond

// limit takes the request from its client's allowance on this host.
func (g *Gateway) limit(rq *request) error {
	if rq.class.Rate == 0 {
		return nil
	}
	share := entrylist.Share(rq.catalog, rq.identity, g.o.Region, g.o.Host, g.usable)
	wait := g.limiter.Take(rq.identity.Client, rendezvous.Hash(rq.identity.Client), rq.class, share, rq.started)
	if wait == 0 {
		return nil
	}
	return wheelgauge.NewError(wheelgauge.ReasonRateLimited, wheelgauge.OutcomeNotRun, http.StatusTooManyRequests,
		fmt.Sprintf("client %s is over its limit of %g requests a second", rq.identity.Client, rq.class.Rate)).
		WithRetryAfter(admission.RetryAfter(wait))
}

// field is the load of the servers that may take a request.
type field struct {
	candidates []wheelgauge.Candidate
	load       int
	slots      int
	// backoff is after what time the first of those that back off takes work again; 0 if none does.
	backoff time.Duration
	// barred is set if one is kept out for another reason that passes.
	barred bool
}

var fields = sync.Pool{New: func() any { return &field{} }}

// survey lists the servers of a route in this region that may take work now.
func (g *Gateway) survey(f *field, c *catalog.Catalog, route *catalog.Route, model string, tried []string) {
	f.candidates, f.load, f.slots, f.backoff, f.barred = f.candidates[:0], 0, 0, 0, false
	now := g.clock.Now()
	for _, s := range c.Servers(route.Pool, g.o.Region, "") {
		if s.Leaving || contains(tried, s.Name) {
			continue
		}
		if !g.aside.Allowed(s.Name, now) || g.deferred.holds(s.Name, now) {
			f.barred = true
			continue
		}
		state := g.node.Server(s.Name)
		if state.Leaving || state.Known && !state.Alive {
			continue
		}
		if asks := g.pushbacks.look(s.Name, state, now); !asks.Allows(now) {
			f.noteBackoff(asks, now)
			continue
		}
		// A model with placements is served where it is ready, also while it
		// moves: not by where it should be.
		if placed, version, _ := c.Placed(model, s.Name); placed && !state.Ready(model, version) {
			continue
		}
		look := g.inflight.Look(s.Name, state.Running+state.Waiting, state.Reported)
		one := wheelgauge.Candidate{Name: s.Name, Address: s.Address, Hash: s.Hash, InFlight: look.Count, Pending: look.Pending, Running: look.Load}
		one.Slots = max(1, int(float64(s.Slots)*state.Ramp(now)))
		f.candidates = append(f.candidates, one)
		f.load += max(one.InFlight, one.Running)
		f.slots += one.Slots
	}
}

// noteBackoff takes a server that asks for no work now.
func (f *field) noteBackoff(state pushback.State, now time.Time) {
	if left := state.Left(now); !state.Leaving() && (f.backoff == 0 || left < f.backoff) {
		f.backoff = left
	}
}

func contains(list []string, name string) bool {
	for _, one := range list {
		if one == name {
			return true
		}
	}
	return false
}

// wait estimates how long new work waits for a slot.
func wait(load, slots int, service time.Duration) time.Duration {
	if slots == 0 || load < slots {
		return 0
	}
	return time.Duration(float64(load-slots+1) / float64(slots) * float64(service))
}

// plan is where a request goes.
type plan struct {
	region string // empty: here
	must   bool   // nothing can be done here
}

// decide chooses between this region and others, or refuses at once what would
// be too late or must be shed.
func (g *Gateway) decide(rq *request) (plan, error) {
	f := fields.Get().(*field)
	defer fields.Put(f)
	g.survey(f, rq.catalog, rq.route, rq.model, nil)
	service := g.inflight.Mean(rq.route.Pool)
	here := away.Place{Region: g.o.Region, Wait: g.waitHere(rq, f, service), Price: rq.catalog.Region(g.o.Region).Price}
	fits := f.slots > 0 && !admission.Shed(rq.call.Priority, here.Wait, g.o.LongestWait) &&
		!admission.Late(here.Wait, leastService, time.Until(g.due(rq)))
	if !rq.forwarded {
		if region, ok := g.elsewhere(rq, here, fits, service); ok {
			return plan{region: region, must: !fits}, nil
		}
	}
	if rq.forwarded && !rq.must && f.load >= f.slots {
		return plan{}, g.overloaded(rq, here, f.slots)
	}
	if fits {
		return plan{}, nil
	}
	return plan{}, g.overloaded(rq, here, f.slots)
}

// waitHere estimates how long new work waits in this region: by the load that
// is known, or by the first bytes seen lately, whichever is more. A first byte
// within usualFirst is no wait.
func (g *Gateway) waitHere(rq *request, f *field, service time.Duration) time.Duration {
	seen := g.inflight.Recent(rq.route.Pool) - usualFirst
	return max(wait(f.load, f.slots, service), seen)
}

func (g *Gateway) overloaded(rq *request, here away.Place, slots int) error {
	if slots == 0 {
		if after, ok := g.backoffEnds(rq); ok {
			return backoffError(rq, g.o.Region, after)
		}
		return wheelgauge.NewError(wheelgauge.ReasonNoServer, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
			"no backend server of "+rq.route.Name+" takes work in "+g.o.Region).WithRetryAfter(admission.RetryAfter(time.Second))
	}
	reason, status := wheelgauge.ReasonOverloaded, http.StatusServiceUnavailable
	shed := admission.Shed(rq.call.Priority, here.Wait, g.o.LongestWait)
	if !shed && admission.Late(here.Wait, leastService, time.Until(g.due(rq))) {
		reason = wheelgauge.ReasonDeadline
	}
	return wheelgauge.NewError(reason, wheelgauge.OutcomeNotRun, status,
		fmt.Sprintf("work waits %s for a server", here.Wait.Round(time.Millisecond))).WithRetryAfter(admission.RetryAfter(here.Wait))
}

// elsewhere asks the away policy about the other regions.
func (g *Gateway) elsewhere(rq *request, here away.Place, fits bool, service time.Duration) (string, bool) {
	var places [maxRegions]away.Place
	n := 0
	for _, region := range rq.catalog.Regions() {
		if region == g.o.Region || n == maxRegions || !rq.catalog.Allows(rq.identity, region) {
			continue
		}
		s := g.node.Region(region)
		pool := s.Pools[rq.route.Pool]
		if s.Hosts == 0 || pool.Slots == 0 || len(rq.catalog.Servers(rq.route.Pool, region, rq.model)) == 0 {
			continue
		}
		link := time.Duration(rq.catalog.Region(g.o.Region).Links[region] * float64(time.Millisecond))
		seen := g.inflight.Recent(awayName(region)) - usualFirst - 2*link
		places[n] = away.Place{
			Region: region, Wait: max(wait(pool.Running+pool.Waiting, pool.Slots, service), seen), Price: rq.catalog.Region(region).Price, Link: link,
			Granted: g.granted(rq.catalog, pool), InFlight: g.inflight.Count(awayName(region)),
		}
		n++
	}
	best := g.o.Decider.Decide(here, fits, away.Work{Bytes: len(rq.call.Body), Tokens: rq.tokens}, places[:n])
	if best < 0 {
		return "", false
	}
	return places[best].Region, true
}

// unevenHosts is how many times its equal part of a grant one host may use:
// clients are not spread evenly over hosts.
const unevenHosts = 2

// maxRegions bounds the regions that are weighed for a request.
const maxRegions = 16

func awayName(region string) string { return "region " + region }

// granted returns this host's part of what a region granted to this one.
func (g *Gateway) granted(c *catalog.Catalog, pool wheelgauge.PoolSummary) int {
	hosts := 0
	for _, h := range c.Hosts(g.o.Region) {
		if g.usable(h) {
			hosts++
		}
	}
	grant := pool.Grants[g.o.Region]
	if grant == 0 {
		return 0
	}
	return max(1, grant*unevenHosts/max(1, hosts))
}
