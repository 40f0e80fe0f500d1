// Package selector decides on an entry host which version of a service serves a request during
// a rollout. Each host limits the target version to a share of its own requests, so all hosts
// together keep to that share of the service's requests. This needs no coordination, and
// holds for a host that is cut off, suspended or restarted.
package selector

import (
	"math"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
	"wheelgauge/rendezvous"
)

const (
	// usedShareRatio is the fraction of the share that is used; some of the requests that a
	// host counts do not reach a server.
	usedShareRatio = 0.95
	// slackRatio is the fraction of the slack that is divided among the hosts present within
	// slackJoinWindow of a rollout's start; the rest covers hosts that are not known yet. A
	// host that starts later gets none, as it cannot know whether it used its part before a
	// restart.
	slackRatio      = 0.5
	slackJoinWindow = 500 * time.Millisecond
	// canaryRatio is the fraction of the share that goes to the target version until it has
	// proved good: unused share yields no evidence. shiftingCanaryRatio is that fraction
	// afterwards, when requests that would end too late go to the target version as well.
	canaryRatio         = 0.9
	shiftingCanaryRatio = 0.5
	// maxCredit bounds the canaries that a route catches up on after the target version had
	// no server.
	maxCredit = 2.0
	// stateLease is how long a host acts on a state that it cannot confirm, as the rollout
	// may have been rolled back since.
	stateLease = 1500 * time.Millisecond
	// presumedCompleteAfter is how long a host must be without confirmation to presume that a
	// rollout that shifted and is past its limit was completed.
	presumedCompleteAfter = 4 * time.Second
	// completionMargin is how long before the time limit the last requests are sent to other
	// versions; stores learn of it and agree within that time.
	completionMargin = 700 * time.Millisecond
	// spareDeviations is by how many standard deviations the remaining share must exceed the
	// expected requests for a host to close the other versions before the limit.
	spareDeviations = 3.0
	// rateTimeConstant is the time after which the weight of a request in the host's rate
	// falls to 1/e.
	rateTimeConstant = time.Second
)

// Options of a Selector.
type Options struct {
	// Host is the name of the entry host.
	Host string
	// Share of a service's requests, plus Slack requests, may go to the target version before
	// the time limit, over all hosts together.
	Share float64
	Slack float64
	Now   func() time.Time
}

// Selector tracks the rollouts of all services on one host. It is safe for concurrent use.
type Selector struct {
	options   Options
	mu        sync.Mutex
	hostCount int
	services  map[string]*service
	// confirmedAt is when the state was last known to be the newest.
	confirmedAt time.Time
	changes     uint64
}

// service is the state of one service.
type service struct {
	// open counts the choices of requests in flight by the only version that they allow; the
	// key is empty for choices that allow others.
	open map[string]int
	// hasRollout is set once the service has had a rollout.
	hasRollout bool
	rollout    wheelgauge.Rollout
	// deadline is the end of the rollout's time limit.
	deadline time.Time
	// sawStart is set if this host knew the rollout within slackJoinWindow of its start.
	sawStart bool
	// rate is the rate of requests sent.
	rate       meanrate.Rate
	sent       uint64
	sentTarget uint64
	// credit is the number of requests that each route may send to the target version,
	// canaries the number that it has sent there.
	credit   map[string]float64
	canaries map[string]int
	// slackUsed counts the canaries that were sent without credit, from the slack.
	slackUsed float64
	// othersClosed is set once nothing is sent to other versions any more.
	othersClosed bool
	// reportedComplete is whether the last report said that this host is complete.
	reportedComplete bool
}

// New returns a selector without rollouts.
func New(o Options) *Selector {
	return &Selector{options: o, hostCount: 1, services: map[string]*service{}}
}

// SetHosts sets how many hosts divide the slack; 0 while that is not known, and this host has no
// part of it.
func (sel *Selector) SetHosts(count int) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.hostCount = count
}

// SetRollouts applies the rollouts of the state in force, with the time elapsed of each.
func (sel *Selector) SetRollouts(rollouts []wheelgauge.Rollout) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.options.Now()
	for _, r := range rollouts {
		s := sel.service(r.Service)
		if !s.hasRollout || s.rollout.Number != r.Number {
			s.reset(r)
		}
		s.hasRollout, s.rollout = true, r
		s.deadline = now.Add(r.Left())
	}
	sel.confirmedAt = now
}

// reset clears the counts of an earlier rollout.
func (s *service) reset(r wheelgauge.Rollout) {
	s.sawStart = time.Duration(r.ElapsedMS)*time.Millisecond < slackJoinWindow
	s.sent, s.sentTarget, s.othersClosed, s.reportedComplete = 0, 0, false, false
	s.rate = meanrate.New(rateTimeConstant)
	s.credit, s.canaries, s.slackUsed = map[string]float64{}, map[string]int{}, 0
}

// ConfirmState records that no newer state is known now.
func (sel *Selector) ConfirmState() {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sel.confirmedAt = sel.options.Now()
}

// service returns the state of a service, creating it if needed. The caller holds the lock.
func (sel *Selector) service(name string) *service {
	s := sel.services[name]
	if s == nil {
		s = &service{open: map[string]int{}}
		sel.services[name] = s
	}
	return s
}

// routeCredit returns the credit of a route. The initial value is spread over 0 to 1 by a
// hash, so that hosts with few requests neither all start late nor all start at once.
func (sel *Selector) routeCredit(s *service, route string) float64 {
	credit, ok := s.credit[route]
	if !ok {
		hash := rendezvous.Score(rendezvous.Hash(sel.options.Host)+s.rollout.Number, rendezvous.Hash(route))
		credit = float64(hash) / math.MaxUint64
		s.credit[route] = credit
	}
	return credit
}

// RecordSent counts a request of a route that is sent to a server of a version.
func (sel *Selector) RecordSent(name, route, version string) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if s := sel.service(name); s.hasRollout && s.rollout.Running() {
		sel.countSent(s, route, version)
	}
}

func (sel *Selector) countSent(s *service, route, version string) {
	s.sent++
	s.rate.Add(1, sel.options.Now())
	ratio := canaryRatio
	if s.rollout.Shifting {
		ratio = shiftingCanaryRatio
	}
	credit := min(maxCredit, sel.routeCredit(s, route)+ratio*sel.options.Share)
	s.canaries[route] += 0 // makes the route known to allowsSlackCanary
	if version == s.rollout.Version {
		s.sentTarget++
		s.canaries[route]++
		if credit < 1 {
			s.slackUsed++
		}
		credit = max(0, credit-1)
	}
	s.credit[route] = credit
}
