// Package forwardcredits divides the room of regions among the hosts that forward to them.
package forwardcredits

import (
	"math/rand/v2"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/enginewait"
)

const (
	// lease is how old a report of a region's load may be to allow forwarding. Reports are 0.2
	// to 0.6 s old on arrival and come several times in it.
	lease = time.Second
	// period is the time for which a region's room is given out once: what was sent before that
	// shows in the reports.
	period = 600 * time.Millisecond
	// minHold is for how long a region gets nothing after it has turned a request back: about
	// until its next report. It is doubled up to maxHold while the next requests are turned back
	// too: what makes its answers late may not show in its load.
	minHold = 150 * time.Millisecond
	maxHold = 1200 * time.Millisecond
	// overcommitment is how many times the room is given out: not every host uses its share,
	// and the region turns back what is too much.
	overcommitment = 1.25
	// maxUtilisation is the share of its slots up to which a region gets forwarded requests.
	// The rest is for what its own callers send before its next report is known.
	maxUtilisation = 0.95
	// burstShare is the most of an allowance that can be used at once. The engines prefill for
	// 0.23 s at most then, which leaves time for the round trip within 500 ms.
	burstShare = 0.3
	// lessUrgentShare is the share of a credit that requests may use while more urgent ones get
	// none.
	lessUrgentShare = 0.5
	// plainDuration is the assumed time for which a request has a slot of a plain server.
	plainDuration = 30 * time.Millisecond
	// normalBacklog is the time for which engines have prompts pending without needing room.
	normalBacklog = 100 * time.Millisecond
	// baseNeed is the weight of a region without need, in servers. A peak shows in the reports
	// only after period; until then its region has an equal part.
	baseNeed = 0.5
	// maxAge bounds the ages of reports.
	maxAge = time.Hour
)

// Options configure a Ledger.
type Options struct {
	// Region is the region of the host.
	Region string
	// Service returns the configuration of a service; nil if it is not known.
	Service func(name string) *wheelgauge.Service
	Now     func() time.Time
	// Random returns a number from 0 to below 1; math/rand/v2 when nil.
	Random func() float64
}

// Ledger implements wheelgauge.ForwardCredits. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	options    Options
	regions    map[string]map[string]wheelgauge.ServiceUsage
	reportedAt map[string]time.Time
	hosts      int
	accounts   map[accountKey]*account
}

type accountKey struct{ region, service string }

// account is the credit for a service in a region.
type account struct {
	// left is the credit, as a part of the region's room.
	left     float64
	filledAt time.Time
	// refused is set while the region gets no requests of refusedRank or less urgent.
	refused     bool
	refusedRank int
	refusedAt   time.Time
	// hold is for how long at least.
	hold time.Duration
	// withheldRank is the most urgent rank that lately got no credit, withheldAt when.
	withheldRank int
	withheldAt   time.Time
}

// New returns a ledger that knows no loads: it allows everything.
func New(o Options) *Ledger {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Ledger{options: o, regions: map[string]map[string]wheelgauge.ServiceUsage{}, reportedAt: map[string]time.Time{}, hosts: 1, accounts: map[accountKey]*account{}}
}

// SetUsage implements wheelgauge.ForwardCredits.
func (l *Ledger) SetUsage(regions []wheelgauge.RegionUsage, hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	l.hosts = max(1, hosts)
	before := l.regions
	l.regions = make(map[string]map[string]wheelgauge.ServiceUsage, len(regions))
	for _, r := range regions {
		if r.AgeMS < 0 {
			// No host there reports its load: what is known before that goes on aging.
			if l.regions[r.Region] = before[r.Region]; l.reportedAt[r.Region].IsZero() {
				l.reportedAt[r.Region] = now.Add(-lease)
			}
			continue
		}
		services := make(map[string]wheelgauge.ServiceUsage, len(r.Services))
		for _, u := range r.Services {
			services[u.Service] = u
		}
		age := time.Duration(min(r.AgeMS, maxAge.Milliseconds())) * time.Millisecond
		l.regions[r.Region], l.reportedAt[r.Region] = services, now.Add(-age)
	}
	for k, a := range l.accounts {
		if _, reported := l.regions[k.region][k.service]; !reported && now.Sub(a.filledAt) > lease {
			delete(l.accounts, k)
		}
		if a.refused && now.Sub(a.refusedAt) >= a.hold && l.reportedAt[k.region].After(a.refusedAt) {
			a.refused = false
		}
	}
}

// Take implements wheelgauge.ForwardCredits. Without any report it allows everything, with an
// old one nothing.
func (l *Ledger) Take(region, service string, rank, tokens int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reportedAt[region].IsZero() {
		return true
	}
	now := l.options.Now()
	if now.Sub(l.reportedAt[region]) >= lease {
		return false
	}
	r := l.room(region, service, rank)
	cost := r.cost(tokens)
	if cost <= 0 {
		return false
	}
	a := l.account(region, service)
	if a.holds(rank) {
		return false
	}
	most := l.refill(a, r, region, service, now)
	if a.take(cost, most, a.usable(rank, now), l.options.Random) {
		return true
	}
	if rank <= a.withheldRank || now.Sub(a.withheldAt) >= period {
		a.withheldRank, a.withheldAt = rank, now
	}
	return false
}

// holds reports whether the region gets no requests of a rank, as it turned one back.
func (a *account) holds(rank int) bool { return a.refused && rank >= a.refusedRank }

// usable is how much of the credit a request of a rank may use: not all of it while more urgent
// ones are refused for want of credit.
func (a *account) usable(rank int, now time.Time) float64 {
	if rank > a.withheldRank && now.Sub(a.withheldAt) < period {
		return lessUrgentShare * a.left
	}
	return a.left
}

// take takes the credit for a request out of the usable part.
func (a *account) take(cost, most, usable float64, random func() float64) bool {
	if cost > most {
		// Hosts have less than one request each when they are many. If each saved up for one,
		// all could send theirs at once.
		a.left -= usable
		return random()*cost < usable
	}
	if cost > usable {
		return false
	}
	a.left -= cost
	return true
}

// TurnedBack implements wheelgauge.ForwardCredits.
func (l *Ledger) TurnedBack(region, service string, rank int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(region, service)
	now := l.options.Now()
	if !a.refused || rank < a.refusedRank {
		a.refusedRank = rank
	}
	if !a.refused {
		hold := minHold
		if now.Sub(a.refusedAt) < a.hold+period {
			hold = max(minHold, min(2*a.hold, maxHold))
		}
		a.hold = hold
	}
	a.refused, a.refusedAt = true, now
}

// Credit implements wheelgauge.ForwardCredits.
func (l *Ledger) Credit(region, service string, rank int) wheelgauge.ForwardCredit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reportedAt[region].IsZero() {
		return wheelgauge.ForwardCredit{}
	}
	r, a := l.room(region, service, rank), l.account(region, service)
	return wheelgauge.ForwardCredit{
		Known: true, Requests: r.requests, Tokens: r.tokens, Share: l.allowance(region, service), Left: a.left, Held: a.holds(rank), Age: l.options.Now().Sub(l.reportedAt[region]),
	}
}

// account returns the account for a service in a region; the lock is held.
func (l *Ledger) account(region, service string) *account {
	k := accountKey{region, service}
	if l.accounts[k] == nil {
		// The first refill is a complete one.
		l.accounts[k] = &account{filledAt: l.options.Now().Add(-lease)}
	}
	return l.accounts[k]
}

// refill adds what a credit has grown by since the last time, and returns the most that it may
// become; the lock is held. Both together never exceed the allowance in any period.
func (l *Ledger) refill(a *account, r room, region, service string, now time.Time) (most float64) {
	allowance := l.allowance(region, service)
	most = allowance * r.burst
	growth := (allowance - most) * now.Sub(a.filledAt).Seconds() / period.Seconds()
	a.left, a.filledAt = min(most, a.left+max(0, growth)), now
	return most
}

// allowance is the part of a region's room that the host may use in a period; the lock is held.
func (l *Ledger) allowance(region, service string) float64 {
	own, all := 0.0, 0.0
	for name, services := range l.regions {
		if name == region {
			continue
		}
		n := l.need(services[service])
		all += n
		if name == l.options.Region {
			own = n
		}
	}
	if own == 0 { // the totals of the own region are missing
		own = baseNeed
		all += own
	}
	return overcommitment * own / all / float64(l.hosts)
}

// need is how much work a region has beyond what it can begin, in servers; the lock is held.
func (l *Ledger) need(u wheelgauge.ServiceUsage) float64 {
	servers, slots := capacity(u)
	excess := 0.0
	if servers > 0 {
		excess = max(0, float64(u.Running)-slots) * servers / slots
	}
	if l.isEngine(u.Service) {
		perServer := enginewait.PrefillTokensPerMS * float64(time.Second.Milliseconds())
		backlog := float64(u.PrefillTokens) - servers*enginewait.PrefillTokensPerMS*float64(normalBacklog.Milliseconds())
		excess = max(excess, backlog/perServer)
	}
	return baseNeed + excess
}

// capacity returns the servers that handle more than their cold rate, and their slots.
func capacity(u wheelgauge.ServiceUsage) (servers, slots float64) {
	servers = max(0, float64(u.Servers-u.ColdServers))
	return servers, max(servers, float64(u.Slots-u.ColdSlots))
}

func (l *Ledger) isEngine(service string) bool {
	s := l.options.Service(service)
	return s != nil && s.KVCacheTokens > 0
}

// room is what a region can take from others in a period.
type room struct {
	requests float64
	// tokens is unlimited if negative.
	tokens float64
	// burst is the share of it that can be used at once.
	burst float64
}

// room returns the room that a region has for requests of a rank; the lock is held.
func (l *Ledger) room(region, service string, rank int) room {
	u := l.regions[region][service]
	servers, slots := capacity(u)
	if servers == 0 {
		return room{}
	}
	running, pending := ahead(u, rank)
	free := max(0, maxUtilisation*slots-running)
	if !l.isEngine(service) {
		turnover := float64(period) / float64(plainDuration)
		return room{requests: free * turnover, tokens: -1, burst: 1 / turnover}
	}
	prefill := servers * enginewait.PrefillTokensPerMS * float64(period.Milliseconds())
	return room{
		requests: free,
		tokens:   max(0, prefill-pending), burst: burstShare,
	}
}

// cost is the part of the room that a request takes; 0 if there is no room at all.
func (r room) cost(tokens int) float64 {
	if r.requests <= 0 || r.tokens == 0 {
		return 0
	}
	cost := 1 / r.requests
	if r.tokens > 0 {
		cost = max(cost, float64(tokens)/r.tokens)
	}
	return cost
}

// ahead is what a request of a rank finds in flight that delays it, in requests and prompt
// tokens.
func ahead(u wheelgauge.ServiceUsage, rank int) (running, tokens float64) {
	r, t := u.Work.Ahead(rank)
	running = float64(r) + enginewait.LowerPriorityShare*float64(max(0, u.Running-r))
	tokens = float64(t) + enginewait.LowerPriorityShare*float64(max(0, u.PrefillTokens-t))
	return max(0, running), max(0, tokens)
}
