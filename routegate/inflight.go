package routegate

import "sync"

// inFlightCalls are the requests that the gate works on.
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

// Wake ends the requests whose time has gone by, and returns how many. Connections go by
// the steady clock: after the host was suspended they would wait for an answer that
// nobody waits for any more, as long as it was.
func (g *Gate) Wake() int {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	ended := 0
	for c := range g.active.calls {
		if !c.expired() {
			continue
		}
		c.request.Interrupt()
		ended++
	}
	return ended
}
