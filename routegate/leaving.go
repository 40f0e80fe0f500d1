package routegate

import (
	"sync"
	"time"
)

const (
	// leaveLongestFactor allows a request this multiple of the longest recent duration: in
	// bursts, requests take more than twice as long.
	leaveLongestFactor = 3
	// leaveMeanFactor is the multiple of the mean duration within which most requests end.
	leaveMeanFactor = 1.5
	// leavePropagation is how long callers may not know yet that the host leaves: most of them
	// cache the entry list for up to 2 s, and the list itself lags. Within that time, requests
	// that are likely to complete are accepted rather than refused.
	leavePropagation = 2900 * time.Millisecond
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

// mayOutlastProcess reports whether a request of the route may not complete before the process
// exits, given the round-trip latency to where it runs.
func (g *Gate) mayOutlastProcess(route string, timeout, latency time.Duration) bool {
	leaving := g.leaving.Load()
	if leaving == nil {
		return false
	}
	d := g.durations.get(route, timeout)
	expected := leaveLongestFactor * d.longest
	now := g.options.Clock.Now()
	if now.Sub(leaving.announcedAt) < leavePropagation {
		expected = time.Duration(leaveMeanFactor * float64(d.mean))
	}
	return now.Add(min(timeout, expected+latency)).After(leaving.endsAt)
}
