package peerset

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minIdleConns is the number of idle connections kept to each other region: a request
	// that has to open one waits for another round trip.
	minIdleConns = 2
	// maxOpensPerRound bounds the connections to a region that are opened in one round.
	maxOpensPerRound = 4
	// openTimeout bounds the opening of one: as long as a dispatch would wait.
	openTimeout = 400 * time.Millisecond
)

// Warm opens connections to other regions ahead of use: as many as requests had to open
// since the last call, and minIdleConns more. It returns when all are open or failed; silent
// regions are skipped.
func (t *Table) Warm(ctx context.Context) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range t.missingConns() {
		group.Add(1)
		go func() {
			defer group.Done()
			if p.pool.Open(openCtx) != nil {
				// The error is not examined: requests sent there later find its cause.
				t.Pause(p)
			}
		}()
	}
	group.Wait()
}

// missingConns returns a gateway for each connection that is to be opened.
func (t *Table) missingConns() []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	announced, idle := map[string][]*Peer{}, map[string]int{}
	for _, p := range t.peers {
		region := p.host.Region
		if p.host.Leaving || t.now().Before(p.paused) || t.now().Before(t.silentUntil[region]) {
			continue
		}
		idle[region] += p.pool.Resting()
		if p.announced {
			announced[region] = append(announced[region], p)
		}
	}
	var out []*Peer
	for region, list := range announced {
		missing := min(maxOpensPerRound, minIdleConns+t.idleMisses[region]-idle[region])
		for range missing {
			out = append(out, list[rand.IntN(len(list))])
		}
	}
	clear(t.idleMisses)
	return out
}
