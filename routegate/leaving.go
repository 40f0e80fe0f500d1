package routegate

import (
	"sync"
	"time"
)

// leaveFactor is how much longer than the longest of late a request may take:
// in a burst they took more than twice as long.
const leaveFactor = 3

// longestDecay lets a long request be forgotten over some hundreds of others.
const longestDecay = 0.995

// durations remembers about how long the longest requests of each route take.
type durations struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// note takes the duration of a request that was served.
func (d *durations) note(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil {
		d.longest = map[string]time.Duration{}
	}
	d.longest[route] = max(took, time.Duration(float64(d.longest[route])*longestDecay))
}

// expect returns how long a request of the route may take, otherwise when
// none was served yet.
func (d *durations) expect(route string, otherwise time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if took, ok := d.longest[route]; ok {
		return took
	}
	return otherwise
}

// LeaveBy tells that the process ends at a moment: requests that may take
// longer are refused from now on.
func (g *Gate) LeaveBy(end time.Time) { g.end.Store(&end) }

// tooLong tells whether a request of the route may not be done before the
// process ends.
func (g *Gate) tooLong(route string, timeout time.Duration) bool {
	end := g.end.Load()
	if end == nil {
		return false
	}
	took := min(timeout, leaveFactor*g.durations.expect(route, timeout))
	return time.Now().Add(took).After(*end)
}
