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
	// shortageFactor is how many times what is served workspaces must ask for to be short of
	// room. Below it, the difference is of requests on their way.
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
	options Options
	mu      sync.Mutex
	// services are the shares by service.
	services map[string]*serviceShares
}

type serviceShares struct {
	workspaces map[string]*usage
	// requests is the mean rate of requests, asked that of their costs.
	requests, asked meanrate.Rate
	// level is the cost a second that a workspace of weight 1 may have; infinite without
	// shortage.
	level      float64
	computedAt time.Time
	loggedAt   time.Time
}

// usage is what a workspace asked for and got.
type usage struct {
	weight        float64
	asked, served meanrate.Rate
	askedAt       time.Time
	// above is the last result of Above.
	above bool
}

// New returns shares without any workspace.
func New(o Options) *Shares {
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	return &Shares{options: o, services: map[string]*serviceShares{}}
}

// Asked implements wheelgauge.WorkspaceShares.
func (s *Shares) Asked(service, workspace string, weight, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	v := s.services[service]
	if v == nil {
		v = &serviceShares{workspaces: map[string]*usage{}, requests: meanrate.New(span), asked: meanrate.New(span), level: math.Inf(1)}
		s.services[service] = v
	}
	u := v.workspaces[workspace]
	if u == nil {
		u = &usage{asked: meanrate.New(span), served: meanrate.New(span)}
		v.workspaces[workspace] = u
	}
	u.weight, u.askedAt = weight, now
	if weight <= 0 {
		u.weight = 1
	}
	u.asked.Add(cost, now)
	v.asked.Add(cost, now)
	v.requests.Add(1, now)
}

// Served implements wheelgauge.WorkspaceShares.
func (s *Shares) Served(service, workspace string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.usage(service, workspace); u != nil {
		u.served.Add(cost, s.options.Now())
	}
}

func (s *Shares) usage(service, workspace string) *usage {
	if v := s.services[service]; v != nil {
		return v.workspaces[workspace]
	}
	return nil
}

// Above implements wheelgauge.WorkspaceShares.
func (s *Shares) Above(service, workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(service, workspace)
	if u == nil {
		return false
	}
	now := s.options.Now()
	v := s.services[service]
	v.update(now)
	share := v.level * u.weight
	// A single request is no excess.
	above := u.asked.At(now) > share && u.served.At(now) > levelMargin*share+v.requestRate(now)
	if above != u.above {
		u.above = above
		s.record(service, workspace, u, v, now)
	}
	return above
}

// record counts and logs that a workspace has passed its share, in either direction.
func (s *Shares) record(service, workspace string, u *usage, v *serviceShares, now time.Time) {
	s.options.Meter.ShareOfWorkspace(workspace, u.above, u.asked.At(now), u.served.At(now))
	if !math.IsInf(v.level, 1) {
		s.options.Meter.Gauge("shares.level."+service, int64(v.level))
	}
	if now.Sub(v.loggedAt) < logInterval {
		return
	}
	v.loggedAt = now
	s.options.Log.Info("Share of a workspace.", "service", service, "workspace", workspace, "above", u.above, "asked", u.asked.At(now), "served", u.served.At(now),
		"weight", u.weight, "level", levelText(v.level), "workspaces", len(v.workspaces), "level_age_ms", now.Sub(v.computedAt).Milliseconds())
}

// levelText renders a level; JSON has no infinite numbers.
func levelText(level float64) string { return strconv.FormatFloat(level, 'f', 1, 64) }

// requestRate is the rate of one mean request in the span.
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
	asked, served := 0.0, 0.0
	for name, u := range v.workspaces {
		if now.Sub(u.askedAt) > forgetAfter {
			delete(v.workspaces, name)
			continue
		}
		d := demand{weight: u.weight, asked: u.asked.At(now)}
		asked += d.asked
		served += u.served.At(now)
		demands = append(demands, d)
	}
	v.level = math.Inf(1)
	if asked > shortageFactor*served {
		v.level = maxMinLevel(demands, served)
	}
}

// demand is what a workspace asks for, as a rate of costs.
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
