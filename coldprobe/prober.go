// Package coldprobe asks backend servers themselves whether they are cold. A store does so while it
// is cut off from the others: then it cannot know of an order for a hall, before whose end the
// servers turn cold, and the list of servers tells it up to a second and a half late, if it can be
// read at all.
package coldprobe

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
)

const (
	// probeTimeout bounds one probe of a server of the same region.
	probeTimeout = 250 * time.Millisecond
	// maxProbes is how many servers are probed in one round; more take turns.
	maxProbes = 40
)

// Options are the options of New.
type Options struct {
	Source wheelgauge.ColdSource
	// Servers returns the servers to probe, in the same order each time.
	Servers func() []wheelgauge.Server
	// HealthPath returns the path of a service's health checks, empty for services whose servers
	// are not probed.
	HealthPath func(service string) string
	Now        func() time.Time
	Log        logr.Logger
}

// Prober probes servers in rounds. Only one round may run at a time; Cold is safe for concurrent
// use.
type Prober struct {
	options Options
	next    int
	mu      sync.Mutex
	// until is until when servers are cold, by instance key.
	until map[string]time.Time
}

// New returns a prober that knows of no cold server.
func New(o Options) *Prober { return &Prober{options: o, until: map[string]time.Time{}} }

// Cold returns the servers that are cold, sorted by instance key.
func (p *Prober) Cold() []wheelgauge.ColdServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	var out []wheelgauge.ColdServer
	for key, until := range p.until {
		if left := until.Sub(now); left > 0 {
			out = append(out, wheelgauge.ColdServer{Server: key, LeftMS: left.Milliseconds()})
			continue
		}
		delete(p.until, key)
	}
	slices.SortFunc(out, func(a, b wheelgauge.ColdServer) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// record records the answer of a server.
func (p *Prober) record(s wheelgauge.Server, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := s.InstanceKey()
	if left <= 0 {
		delete(p.until, key)
		return
	}
	if _, known := p.until[key]; !known {
		p.options.Log.Info("A server says that it is cold.", "server", key, "left_ms", left.Milliseconds())
	}
	p.until[key] = p.options.Now().Add(left)
}

// Round probes the next servers and returns how many answered.
func (p *Prober) Round(ctx context.Context) (answered int) {
	var servers []wheelgauge.Server
	for _, s := range p.options.Servers() {
		if p.options.HealthPath(s.Service) != "" {
			servers = append(servers, s)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group sync.WaitGroup
	var answers atomic.Int64
	for range min(maxProbes, len(servers)) {
		s := servers[p.next%len(servers)]
		p.next = (p.next + 1) % len(servers)
		group.Go(func() {
			left, err := p.options.Source.ColdFor(ctx, s, p.options.HealthPath(s.Service))
			if err != nil {
				return // the list stays what is known of it
			}
			answers.Add(1)
			p.record(s, left)
		})
	}
	group.Wait()
	return int(answers.Load())
}
