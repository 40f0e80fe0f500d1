package hosttable

import (
	"time"

	"wheelgauge"
)

// peakWindow is the length of a window of which the peak is kept, also during the next
// window: the number of hosts announced to callers must not follow each wave of requests.
const peakWindow = 30 * time.Second

// peak is the highest number of requests that a region had in flight, in this window and
// the one before.
type peak struct {
	current, previous int
	windowStart       time.Time
}

// update returns the peak with what is in flight now.
func (p peak) update(services map[string]wheelgauge.ServiceUse, at time.Time) peak {
	if at.Sub(p.windowStart) >= peakWindow {
		p = peak{previous: p.current, windowStart: at}
	}
	running := 0
	for _, u := range services {
		running += u.Running
	}
	p.current = max(p.current, running)
	return p
}

func (p peak) highest() int { return max(p.current, p.previous) }
