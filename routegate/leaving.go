package routegate

import (
	"sync"
	"time"
)

const (
	// leaveMeanFactor is the multiple of the mean duration within which most requests end.
	leaveMeanFactor = 1.5
	// leavePropagation is how long callers may not know yet that the host leaves: most of them
	// cache the entry list for up to 2 s, and the list itself lags. Within that time, requests
	// that are likely to complete are accepted rather than refused.
	leavePropagation = 2500 * time.Millisecond
	// longestDecay makes the effect of one long request fade over some hundreds of others.
	longestDecay = 0.995
	// meanWeight is the weight of a new duration in the running mean.
	meanWeight = 0.1
)

// routeDurations tracks how long the requests of each route take.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]durationStats
}

type durationStats struct {
	mean    time.Duration
	longest time.Duration
}

// observe records the duration of a served request.
func (d *routeDurations) observe(route string, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[string]durationStats{}
	}
	s, ok := d.routes[route]
	if !ok {
		s.mean = elapsed
	}
	s.mean += time.Duration(meanWeight * float64(elapsed-s.mean))
	s.longest = max(elapsed, time.Duration(float64(s.longest)*longestDecay))
	d.routes[route] = s
}

// get returns the durations of a route, or fallback for one that was never served.
func (d *routeDurations) get(route string, fallback time.Duration) durationStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.routes[route]; ok {
		return s
	}
	return durationStats{mean: fallback, longest: fallback}
}

// departure is when the process announced its shutdown and when it exits, by the clock of the
// gate.
type departure struct {
	announcedAt time.Time
	endsAt      time.Time
}

// ShutDownBy announces that the process exits at a time of the gate's clock. Requests that may
// take longer are refused from now on.
func (g *Gate) ShutDownBy(end time.Time) {
	g.leaving.Store(&departure{announcedAt: g.options.Clock.Now(), endsAt: end})
}

// leavingFor returns for how long the process has been shutting down; 0 if it is not.
func (g *Gate) leavingFor() time.Duration {
	if leaving := g.leaving.Load(); leaving != nil {
		return g.options.Clock.Now().Sub(leaving.announcedAt)
	}
	return 0
}

// exitsWithin reports whether the process exits before a time from now.
func (g *Gate) exitsWithin(after time.Duration) bool {
	leaving := g.leaving.Load()
	return leaving != nil && g.options.Clock.Now().Add(after).After(leaving.endsAt)
}

// mayOutlastProcess reports whether a request may not complete before the process exits; limit is
// the time that it has left, latency the round trip to where it runs, likely is set if it is enough
// that it usually completes. All others have to end by their own limit: however long requests took
// before, servers may fall silent.
func (g *Gate) mayOutlastProcess(route string, limit, latency time.Duration, likely bool) bool {
	leaving := g.leaving.Load()
	if leaving == nil {
		return false
	}
	if likely {
		usual := time.Duration(leaveMeanFactor * float64(g.durations.get(route, limit).mean))
		limit = min(limit, usual+latency)
	}
	return g.exitsWithin(limit)
}

// mayOutlastProcess reports whether the request may not complete before the process exits if it
// runs where a message takes some time for the round trip. One of a caller that cannot know yet that
// the host leaves is likely to complete at least, as is one that the gateway which forwarded it can
// repeat elsewhere.
func (c *call) mayOutlastProcess(latency time.Duration) bool {
	likely := c.gate.leavingFor() < leavePropagation
	if c.forwarded {
		likely = c.route.Repeatable()
	}
	return c.gate.mayOutlastProcess(c.route.Name, time.Until(c.connDeadline()), latency, likely)
}
