package capallocator

import (
	"time"

	"wheelgauge"
)

const (
	// standaloneTime is how long a host may go on by itself when no store answers: all stores
	// may be killed at once, and are back within some seconds.
	standaloneTime = 8 * time.Second
	// standaloneFraction of the store's share of a cap is divided among its hosts for that
	// time.
	standaloneFraction = 0.7
	// hostSilenceTimeout is how long a host may be out of contact before its standalone share
	// is subtracted from the store's share: a host whose draw fails becomes standalone at once.
	hostSilenceTimeout = 400 * time.Millisecond
)

// host is an entry host that draws units from this store.
type host struct {
	boot        uint64
	lastContact time.Time
	// lastDraw is when it last drew units. Until standaloneTime later it may go on standalone,
	// with the shares of caps by workspace in standaloneShares.
	lastDraw         time.Time
	standaloneShares map[string]float64
}

// HostSeen records contact with a host and the run of its process.
func (a *Allocator) HostSeen(name string, boot uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.hosts[name]; h != nil {
		if h.boot != boot {
			delete(a.hosts, name) // the process that might be standalone has ended
			return
		}
		h.lastContact = a.options.Now()
	}
}

// silentHosts returns the hosts that may be standalone and drops those that may no longer be.
// The lock must be held.
func (a *Allocator) silentHosts(now time.Time) []*host {
	var out []*host
	for name, h := range a.hosts {
		switch {
		case now.Sub(h.lastDraw) > standaloneTime:
			delete(a.hosts, name)
		case now.Sub(h.lastContact) > hostSilenceTimeout:
			out = append(out, h)
		}
	}
	return out
}

// Draw takes units for a host; grants are in the order of the items.
func (a *Allocator) Draw(req wheelgauge.CapUnitsRequest) wheelgauge.CapUnitsResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	a.recomputeIfStale(now)
	var h *host
	if !req.Redirected {
		h = a.touchHost(req, now)
	}
	var out wheelgauge.CapUnitsResponse
	for _, item := range req.Items {
		out.Grants = append(out.Grants, a.drawOne(h, item, req.Redirected, now))
	}
	return out
}

func (a *Allocator) touchHost(req wheelgauge.CapUnitsRequest, now time.Time) *host {
	h := a.hosts[req.Host]
	if h == nil || h.boot != req.Boot {
		h = &host{boot: req.Boot, standaloneShares: map[string]float64{}}
		a.hosts[req.Host] = h
	}
	h.lastContact, h.lastDraw = now, now
	return h
}

func (a *Allocator) drawOne(h *host, item wheelgauge.CapUnitsItem, redirected bool, now time.Time) wheelgauge.CapGrant {
	b := a.buckets[item.Workspace]
	if b == nil {
		// This store has no cap for the workspace. A host that has one uses a newer or an
		// older configuration, for a few hundred milliseconds.
		return wheelgauge.CapGrant{Granted: true}
	}
	if item.Units > 0 {
		b.recordSize(item.Units)
	}
	if !redirected {
		b.demand.Add(item.Units, now)
	}
	after, ok := b.draw(item.Units, now)
	if redirected {
		return wheelgauge.CapGrant{Granted: ok, RetryAfterMS: after.Milliseconds()}
	}
	h.standaloneShares[item.Workspace] = standaloneFraction * b.share / float64(len(a.hosts))
	g := wheelgauge.CapGrant{
		Granted: ok, RetryAfterMS: after.Milliseconds(),
		StandaloneRate: h.standaloneShares[item.Workspace] * b.cap.Rate, StandaloneMS: standaloneTime.Milliseconds(),
	}
	if ok && item.Prefetch > 0 {
		g.Prefetched = b.prefetch(item.Prefetch, now)
	}
	if !ok {
		g.OtherStore = a.alternative(b, item.Units, now)
	}
	return g
}
