package peerset

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// spareConns is how many connections to each other region rest at least: a request
	// that has to open one waits for another whole way there and back.
	spareConns = 2
	// openAtOnce bounds the connections to a region that are opened in one round.
	openAtOnce = 4
	// openTimeout bounds one: as long as a dispatch would wait.
	openTimeout = 400 * time.Millisecond
)

// Warm opens connections to other regions ahead of their use, for as many requests
// as had to open their own since the last call, and the spare ones. It returns when
// all are open or failed; a region that is silent is left alone.
func (t *Table) Warm(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range t.lacking() {
		group.Add(1)
		go func() {
			defer group.Done()
			if p.pool.Open(limit) != nil {
				// Requests that go there find out for themselves.
				t.Pause(p)
			}
		}()
	}
	group.Wait()
}

// lacking returns the gateways to which connections are to be opened, one each.
func (t *Table) lacking() []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	fit, resting := map[string][]*Peer{}, map[string]int{}
	for _, p := range t.peers {
		region := p.host.Region
		if p.host.Leaving || t.now().Before(p.paused) || t.now().Before(t.silent[region]) {
			continue
		}
		resting[region] += p.pool.Resting()
		if p.named {
			fit[region] = append(fit[region], p)
		}
	}
	var out []*Peer
	for region, list := range fit {
		missing := min(openAtOnce, spareConns+t.opened[region]-resting[region])
		for range missing {
			out = append(out, list[rand.IntN(len(list))])
		}
	}
	clear(t.opened)
	return out
}
