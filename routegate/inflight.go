package routegate

import (
	"errors"
	"sync"
)

// errTimeOver is the cause for which a request is cancelled that expired while the host was
// suspended.
var errTimeOver = errors.New("the time of the request is over")

// inFlightCalls are the requests in progress.
type inFlightCalls struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func (f *inFlightCalls) add(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = map[*call]struct{}{}
	}
	f.calls[c] = struct{}{}
}

func (f *inFlightCalls) remove(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, c)
}

// EndExpired ends the requests that have expired, and returns how many. Connection deadlines
// use the monotonic clock, which stops during suspension, so otherwise these requests would
// wait on for answers that no caller expects any more.
func (g *Gate) EndExpired() int {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	ended := 0
	for c := range g.active.calls {
		if !c.expired() {
			continue
		}
		c.request.Cancel(errTimeOver)
		ended++
	}
	return ended
}
