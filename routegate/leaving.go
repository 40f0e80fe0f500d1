package routegate

import (
	"sync"
	"time"
)

const (
	// leaveFactor is how much longer than the longest of late a request may
	// take: in a burst they took more than twice as long.
	leaveFactor = 3
	// usualFactor is how much longer than usual most requests do not take.
	usualFactor = 1.5
	// knownTime is how long after the first notice callers may not know yet that
	// the host leaves: an entry answer is kept for up to 2 s by most, and lags behind.
	// Requests of that time that are likely to be done are better taken than refused.
	knownTime = 2900 * time.Millisecond
	// longestDecay lets a long request be forgotten over some hundreds of others.
	longestDecay = 0.995
	// usualWeight is the weight of a new duration in the running mean.
	usualWeight = 0.1
)

// durations remembers about how long the requests of each route take.
type durations struct {
	mu     sync.Mutex
	routes map[string]duration
}

type duration struct {
	usual   time.Duration
	longest time.Duration
}

// note takes the duration of a request that was served.
func (d *durations) note(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[string]duration{}
	}
	was, ok := d.routes[route]
	if !ok {
		was.usual = took
	}
	was.usual += time.Duration(usualWeight * float64(took-was.usual))
	was.longest = max(took, time.Duration(float64(was.longest)*longestDecay))
	d.routes[route] = was
}

// get returns the durations of a route; those of one that was never served
// are otherwise.
func (d *durations) get(route string, otherwise time.Duration) duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.routes[route]; ok {
		return known
	}
	return duration{usual: otherwise, longest: otherwise}
}

// departure is when a process was told to leave and when it ends, by the gate's clock.
type departure struct {
	told time.Time
	end  time.Time
}

// LeaveBy tells that the process ends at a moment of the gate's clock: requests that may
// take longer are refused from now on.
func (g *Gate) LeaveBy(end time.Time) {
	g.leaving.Store(&departure{told: g.options.Clock.Now(), end: end})
}

// tooLong tells whether a request of the route may not be done before the
// process ends, if the way to where it runs takes so long.
func (g *Gate) tooLong(route string, timeout, way time.Duration) bool {
	leaving := g.leaving.Load()
	if leaving == nil {
		return false
	}
	d := g.durations.get(route, timeout)
	took := leaveFactor * d.longest
	now := g.options.Clock.Now()
	if now.Sub(leaving.told) < knownTime {
		took = time.Duration(usualFactor * float64(d.usual))
	}
	return now.Add(min(timeout, took+way)).After(leaving.end)
}
