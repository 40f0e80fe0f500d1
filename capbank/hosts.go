package capbank

import (
	"time"

	"wheelgauge"
)

const (
	// standaloneTime is how long a host that no store answers may go on by itself: all
	// stores may be killed at once, and are back within some seconds.
	standaloneTime = 8 * time.Second
	// standaloneFraction of the store's part of a cap is parted among its hosts for that.
	standaloneFraction = 0.7
	// hostSilenceTimeout is how long a host may ask for nothing before what it may send alone
	// is taken off the store's part: a host whose asking fails goes on alone at once.
	hostSilenceTimeout = 400 * time.Millisecond
)

// host is an entry host that draws here.
type host struct {
	boot uint64
	lastContact time.Time
	// asked is when it last asked for units; until aloneTime after that it may go on
	// alone, at the shares of caps by workspace in alone.
	lastDraw time.Time
	standaloneShares map[string]float64
}

// Seen notes that a host is in touch, in its present start.
func (a *Bank) Seen(name string, boot uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.hosts[name]; h != nil {
		if h.boot != boot {
			delete(a.hosts, name) // the process that might go on alone is gone
			return
		}
		h.lastContact = a.options.Now()
	}
}

// silentHosts returns those that may be going on alone, and forgets those that may no
// more; the lock is held.
func (a *Bank) silentHosts(now time.Time) []*host {
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

// Draw takes units for a host, want by want.
func (a *Bank) Draw(ask wheelgauge.CapAsk) wheelgauge.CapAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Now()
	a.recomputeIfStale(now)
	var h *host
	if !ask.Moved {
		h = a.touchHost(ask, now)
	}
	var out wheelgauge.CapAnswer
	for _, w := range ask.Wants {
		out.Grants = append(out.Grants, a.drawOne(h, w, ask.Moved, now))
	}
	return out
}

func (a *Bank) touchHost(ask wheelgauge.CapAsk, now time.Time) *host {
	h := a.hosts[ask.Host]
	if h == nil || h.boot != ask.Boot {
		h = &host{boot: ask.Boot, standaloneShares: map[string]float64{}}
		a.hosts[ask.Host] = h
	}
	h.lastContact, h.lastDraw = now, now
	return h
}

func (a *Bank) drawOne(h *host, w wheelgauge.CapWant, moved bool, now time.Time) wheelgauge.CapGrant {
	b := a.buckets[w.Workspace]
	if b == nil {
		// This store knows of no bound; a host that knows of one has a newer or an older
		// configuration for some hundred ms.
		return wheelgauge.CapGrant{Granted: true}
	}
	if w.Units > 0 {
		b.recordSize(w.Units)
	}
	if !moved {
		b.demand.Add(w.Units, now)
	}
	after, ok := b.draw(w.Units, now)
	if moved {
		return wheelgauge.CapGrant{Granted: ok, AfterMS: after.Milliseconds()}
	}
	h.standaloneShares[w.Workspace] = standaloneFraction * b.share / float64(len(a.hosts))
	g := wheelgauge.CapGrant{
		Granted: ok, AfterMS: after.Milliseconds(),
		Alone: h.standaloneShares[w.Workspace] * b.cap.Rate, AloneMS: standaloneTime.Milliseconds(),
	}
	if ok && w.Ahead > 0 {
		g.Ahead = b.prefetch(w.Ahead, now)
	}
	if !ok {
		g.Elsewhere = a.alternative(b, w.Units, now)
	}
	return g
}
