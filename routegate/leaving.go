package routegate

import (
	"sync"
	"time"
)

const (
	// leaveLongestFactor is how much longer than the longest of late a request may
	// take: in a burst they took more than twice as long.
	leaveLongestFactor = 3
	// leaveMeanFactor is how much longer than usual most requests do not take.
	leaveMeanFactor = 1.5
	// leavePropagation is how long after the first notice callers may not know yet that
	// the host leaves: an entry answer is kept for up to 2 s by most, and lags behind.
	// Requests of that time that are likely to be done are better taken than refused.
	leavePropagation = 2900 * time.Millisecond
	// longestDecay lets a long request be forgotten over some hundreds of others.
	longestDecay = 0.995
	// meanWeight is the weight of a new duration in the running mean.
	meanWeight = 0.1
)

// routeDurations remembers about how long the requests of each route take.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]durationStats
}

type durationStats struct {
	mean    time.Duration
	longest time.Duration
}

// observe takes the duration of a request that was served.
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

// get returns the durations of a route; those of one that was never served
// are otherwise.
func (d *routeDurations) get(route string, fallback time.Duration) durationStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.routes[route]; ok {
		return s
	}
	return durationStats{mean: fallback, longest: fallback}
}

// departure is when a process was told to leave and when it ends, by the gate's clock.
type departure struct {
	announcedAt time.Time
	endsAt      time.Time
}

// LeaveBy tells that the process ends at a moment of the gate's clock: requests that may
// take longer are refused from now on.
func (g *Gate) LeaveBy(end time.Time) {
	g.leaving.Store(&departure{announcedAt: g.options.Clock.Now(), endsAt: end})
}

// mayOutlastProcess tells whether a request of the route may not be done before the
// process ends, if the way to where it runs takes so long.
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
