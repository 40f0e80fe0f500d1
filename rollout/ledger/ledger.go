// Package ledger decides at an entry host which version of a service gets a request while
// versions are rolled out. All hosts together keep to a share of a service's requests, as
// each keeps to that share of its own: nobody has to be asked, and a host that is cut off,
// suspended or started again keeps to it as well.
package ledger

import (
	"math"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
	"wheelgauge/rendezvous"
)

const (
	// countedPart of the share is used: some requests that a host counts do not reach a
	// server.
	countedPart = 0.95
	// slackPart of the slack is shared by the hosts that are there when a rollout begins, or
	// slackWithin of it; the rest covers those that are not known of. A host that starts
	// later does not know whether it had its part already.
	slackPart   = 0.5
	slackWithin = 500 * time.Millisecond
	// canaryPart of the share goes to the target version until it has proved good: what is not
	// used is no evidence. provenPart goes there from then on, as requests that would end too
	// late move over besides.
	canaryPart = 0.9
	provenPart = 0.5
	// mostCredit bounds what is made up for when the target version had no server.
	mostCredit = 2.0
	// lease is how long a host goes by a state that it cannot confirm: it may have been rolled
	// back since.
	lease = 1500 * time.Millisecond
	// lostLease is after how long without a confirmation a host takes it that a rollout, past
	// its limit and found good, was completed without it.
	lostLease = 4 * time.Second
	// settleBefore is how long before the time limit the last requests are sent to other
	// versions: stores hear of it and agree in that time.
	settleBefore = 700 * time.Millisecond
	// spareDeviations is by how many standard deviations more than expected must be left of
	// the host's share when it settles before the limit.
	spareDeviations = 3.0
	// rateSpan is the time after which a request counts 1/e in the host's rate.
	rateSpan = time.Second
)

// Options of a Ledger.
type Options struct {
	// Host names the entry host.
	Host string
	// Share of a service's requests, and Slack requests besides, may go to the target version
	// before the time limit, from all hosts together.
	Share float64
	Slack float64
	Now   func() time.Time
}

// Ledger is safe for concurrent use.
type Ledger struct {
	options  Options
	mu       sync.Mutex
	hosts    int
	services map[string]*service
	// confirmed is when the state was last known to be the newest.
	confirmed time.Time
	changes   uint64
}

// service is what is known of one service.
type service struct {
	// open counts the choices whose requests are on their way, by the only version that
	// they allow; empty for those that allow others.
	open map[string]int
	// known is set once there was a rollout.
	known   bool
	rollout wheelgauge.Rollout
	// limit is when its time is over.
	limit time.Time
	// early is set if this host knew of the rollout from its beginning.
	early bool
	// rate is that of requests sent.
	rate       meanrate.Rate
	sent       uint64
	sentTarget uint64
	// credit is what each route may send to the target version, canaries what it has sent there.
	credit   map[string]float64
	canaries map[string]int
	// slackUsed are canaries that were sent beyond that, of the slack.
	slackUsed float64
	// closed is set once nothing is sent to other versions any more.
	closed bool
	// told is what the last report said of being settled.
	told bool
}

// New returns a ledger that knows of no rollout.
func New(o Options) *Ledger {
	return &Ledger{options: o, hosts: 1, services: map[string]*service{}}
}

// SetHosts tells how many hosts keep the common share.
func (l *Ledger) SetHosts(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(1, count)
}

// Set takes the rollouts of the state in force, with the time that has passed of each.
func (l *Ledger) Set(rollouts []wheelgauge.Rollout) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, r := range rollouts {
		s := l.service(r.Service)
		if !s.known || s.rollout.Number != r.Number {
			s.begin(r)
		}
		s.known, s.rollout = true, r
		s.limit = now.Add(r.Left())
	}
	l.confirmed = now
}

// begin forgets an earlier rollout.
func (s *service) begin(r wheelgauge.Rollout) {
	s.early = time.Duration(r.ElapsedMS)*time.Millisecond < slackWithin
	s.sent, s.sentTarget, s.closed, s.told = 0, 0, false, false
	s.rate = meanrate.New(rateSpan)
	s.credit, s.canaries, s.slackUsed = map[string]float64{}, map[string]int{}, 0
}

// Confirm tells that no newer state is known now.
func (l *Ledger) Confirm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = l.options.Now()
}

// service returns what is known of a service; the lock is held.
func (l *Ledger) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{open: map[string]int{}}
		l.services[name] = s
	}
	return s
}

// creditOf returns the credit of a route. It begins anywhere from 0 to 1, so that hosts
// that send little do not all begin late, nor all at once.
func (l *Ledger) creditOf(s *service, route string) float64 {
	credit, ok := s.credit[route]
	if !ok {
		drawn := rendezvous.Score(rendezvous.Hash(l.options.Host)+s.rollout.Number, rendezvous.Hash(route))
		credit = float64(drawn) / math.MaxUint64
		s.credit[route] = credit
	}
	return credit
}

// Sent notes that a request of a route is sent to a server of a version.
func (l *Ledger) Sent(name, route, version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.service(name); s.known && s.rollout.Running() {
		l.count(s, route, version)
	}
}

func (l *Ledger) count(s *service, route, version string) {
	s.sent++
	s.rate.Add(1, l.options.Now())
	canary := canaryPart
	if s.rollout.Shifting {
		canary = provenPart
	}
	credit := min(mostCredit, l.creditOf(s, route)+canary*l.options.Share)
	s.canaries[route] += 0 // it is a route of the service
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
