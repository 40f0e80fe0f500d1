// Package fairshare divides the scarce room of a service among workspaces by weighted max-min:
// each gets what it asks for up to a common level in proportion to its weight.
package fairshare

import (
	"math"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge/meanrate"
	"wheelgauge/meter"
)

const (
	// span is the time over which rates are averaged: some requests of each workspace at a host
	// with ten a second, and less than a peak of load.
	span = 3 * time.Second
	// shortageFactor is how many times what is served must be asked for before there is a
	// shortage. Below it, the difference is of requests on their way.
	shortageFactor = 1.15
	// levelMargin is how many times its share a workspace may get before it is above it.
	levelMargin = 1.1
	// levelInterval is the interval at which the level is computed.
	levelInterval = 50 * time.Millisecond
	// forgetAfter is when a workspace that asks for nothing is forgotten.
	forgetAfter = 10 * span
	// logInterval is the least time between two lines of a service in the log.
	logInterval = 500 * time.Millisecond
)

// Options configure Shares.
type Options struct {
	Now   func() time.Time
	Meter *meter.Meter
	Log   logr.Logger
}

// Shares implements wheelgauge.WorkspaceShares. It is safe for concurrent use.
type Shares struct {
	options  Options
	mu       sync.Mutex
	services map[string]*serviceShares
}

// serviceShares are the shares of a service. What workspaces use is counted over all ranks, as a
// host sees few requests of each; whether there is a shortage is known for each rank.
type serviceShares struct {
	workspaces map[string]*usage
	ranks      map[int]*rates
	// requests is the mean rate of requests, asked that of their costs.
	requests, asked meanrate.Rate
	// level is the cost a second that a workspace of weight 1 may have; infinite if all get what
	// they ask for.
	level      float64
	computedAt time.Time
	loggedAt   time.Time
}

// rates are what was asked for and what was served, in cost a second.
type rates struct {
	asked, served meanrate.Rate
}

func newRates() rates { return rates{asked: meanrate.New(span), served: meanrate.New(span)} }

// usage is what a workspace asked for and got.
type usage struct {
	rates
	// initial is the common level at the time of the first request after a pause. It counts as
	// served as far as the workspace asks for it: idleness earns no credit.
	initial meanrate.Rate
	weight  float64
	askedAt time.Time
	// above is the last result of Above.
	above bool
}

// got is what the workspace got, in cost a second. allowance is the rate of what it may ask for
// after a pause without it counting as served.
func (u *usage) got(now time.Time, allowance float64) float64 {
	served := u.served.At(now)
	return served + min(u.initial.At(now), max(0, u.asked.At(now)-served-allowance))
}

// New returns shares without any workspace.
func New(o Options) *Shares {
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	return &Shares{options: o, services: map[string]*serviceShares{}}
}

// Asked implements wheelgauge.WorkspaceShares.
func (s *Shares) Asked(service string, rank int, workspace string, weight, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	v := s.services[service]
	if v == nil {
		v = &serviceShares{
			workspaces: map[string]*usage{}, ranks: map[int]*rates{}, requests: meanrate.New(span), asked: meanrate.New(span), level: math.Inf(1),
		}
		s.services[service] = v
	}
	u := v.workspaces[workspace]
	if u == nil {
		u = &usage{rates: newRates(), initial: meanrate.New(span)}
		v.workspaces[workspace] = u
	}
	idle := now.Sub(u.askedAt) > span
	u.weight, u.askedAt = weight, now
	if weight <= 0 {
		u.weight = 1
	}
	if share := v.level * u.weight; idle && !math.IsInf(share, 1) {
		u.initial.Add(max(0, share-u.served.At(now)-u.initial.At(now))*span.Seconds(), now)
	}
	u.asked.Add(cost, now)
	v.rank(rank).asked.Add(cost, now)
	v.asked.Add(cost, now)
	v.requests.Add(1, now)
}

// Served implements wheelgauge.WorkspaceShares.
func (s *Shares) Served(service string, rank int, workspace string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, u := s.usage(service, workspace)
	if u == nil {
		return
	}
	now := s.options.Now()
	u.served.Add(cost, now)
	v.rank(rank).served.Add(cost, now)
}

// usage returns nil for a workspace that is not known.
func (s *Shares) usage(service, workspace string) (*serviceShares, *usage) {
	v := s.services[service]
	if v == nil {
		return nil, nil
	}
	return v, v.workspaces[workspace]
}

func (v *serviceShares) rank(rank int) *rates {
	r := v.ranks[rank]
	if r == nil {
		fresh := newRates()
		r = &fresh
		v.ranks[rank] = r
	}
	return r
}

// Above implements wheelgauge.WorkspaceShares.
func (s *Shares) Above(service string, rank int, workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, u := s.usage(service, workspace)
	if u == nil {
		return false
	}
	now := s.options.Now()
	v.update(now)
	share := v.level * u.weight
	allowance := v.requestRate(now)
	above := v.rank(rank).short(now) && u.asked.At(now) > share && u.got(now, allowance) > levelMargin*share+allowance
	if above != u.above {
		u.above = above
		s.record(service, rank, workspace, now)
	}
	return above
}

// short reports whether clearly more is asked for than served.
func (r *rates) short(now time.Time) bool { return r.asked.At(now) > shortageFactor*r.served.At(now) }

// record counts and logs that a workspace has passed its share, in either direction.
func (s *Shares) record(service string, rank int, workspace string, now time.Time) {
	v, u := s.usage(service, workspace)
	s.options.Meter.ShareOfWorkspace(workspace, u.above, u.asked.At(now), u.served.At(now))
	if !math.IsInf(v.level, 1) {
		s.options.Meter.Gauge("shares.level."+service, int64(v.level))
	}
	if now.Sub(v.loggedAt) < logInterval {
		return
	}
	v.loggedAt = now
	// The level is text, as JSON has no infinite numbers.
	s.options.Log.Info("Share of a workspace.", "service", service, "rank", rank, "workspace", workspace, "above", u.above, "asked", u.asked.At(now), "served", u.served.At(now),
		"weight", u.weight, "level", strconv.FormatFloat(v.level, 'f', 1, 64), "workspaces", len(v.workspaces), "level_age_ms", now.Sub(v.computedAt).Milliseconds())
}

// requestRate is the rate of one mean request in the span: a single request is no excess.
func (v *serviceShares) requestRate(now time.Time) float64 {
	requests := v.requests.At(now)
	if requests <= 0 {
		return 0
	}
	return v.asked.At(now) / requests / span.Seconds()
}

// update computes the level if the last one is old.
func (v *serviceShares) update(now time.Time) {
	if now.Sub(v.computedAt) < levelInterval {
		return
	}
	v.computedAt = now
	demands := make([]demand, 0, len(v.workspaces))
	served := 0.0
	for name, u := range v.workspaces {
		if now.Sub(u.askedAt) > forgetAfter {
			delete(v.workspaces, name)
			continue
		}
		served += u.served.At(now)
		demands = append(demands, demand{weight: u.weight, asked: u.asked.At(now)})
	}
	v.level = maxMinLevel(demands, served)
}

// demand is what a workspace asks for, in cost a second.
type demand struct {
	weight, asked float64
}

// maxMinLevel returns the level at which the demands, each bounded by weight times level, add up
// to the room; infinite if all fit.
func maxMinLevel(demands []demand, room float64) float64 {
	sort.Slice(demands, func(i, j int) bool {
		return demands[i].asked/demands[i].weight < demands[j].asked/demands[j].weight
	})
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if d.asked/d.weight*weights >= room {
			return room / weights
		}
		room -= d.asked
		weights -= d.weight
	}
	return math.Inf(1)
}
