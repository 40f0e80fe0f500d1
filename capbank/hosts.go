package capbank

import (
	"time"

	"wheelgauge"
)

const (
	// aloneTime is how long a host that no store answers may go on by itself: all
	// stores may be killed at once, and are back within some seconds.
	aloneTime = 8 * time.Second
	// alonePart of the store's part of a cap is parted among its hosts for that.
	alonePart = 0.7
	// hostSilent is how long a host may ask for nothing before what it may send alone
	// is taken off the store's part: a host whose asking fails goes on alone at once.
	hostSilent = 400 * time.Millisecond
)

// host is an entry host that draws here.
type host struct {
	boot uint64
	seen time.Time
	// asked is when it last asked for units; until aloneTime after that it may go on
	// alone, at the shares of caps by workspace in alone.
	asked time.Time
	alone map[string]float64
}

// Seen notes that a host is in touch, in its present start.
func (b *Bank) Seen(name string, boot uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.hosts[name]; h != nil {
		if h.boot != boot {
			delete(b.hosts, name) // the process that might go on alone is gone
			return
		}
		h.seen = b.o.Now()
	}
}

// silentHosts returns those that may be going on alone, and forgets those that may no
// more; the lock is held.
func (b *Bank) silentHosts(now time.Time) []*host {
	var out []*host
	for name, h := range b.hosts {
		switch {
		case now.Sub(h.asked) > aloneTime:
			delete(b.hosts, name)
		case now.Sub(h.seen) > hostSilent:
			out = append(out, h)
		}
	}
	return out
}

// Draw takes units for a host, want by want.
func (b *Bank) Draw(ask wheelgauge.CapAsk) wheelgauge.CapAnswer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.o.Now()
	b.fresh(now)
	var h *host
	if !ask.Moved {
		h = b.host(ask, now)
	}
	var out wheelgauge.CapAnswer
	for _, w := range ask.Wants {
		out.Grants = append(out.Grants, b.draw(h, w, ask.Moved, now))
	}
	return out
}

func (b *Bank) host(ask wheelgauge.CapAsk, now time.Time) *host {
	h := b.hosts[ask.Host]
	if h == nil || h.boot != ask.Boot {
		h = &host{boot: ask.Boot, alone: map[string]float64{}}
		b.hosts[ask.Host] = h
	}
	h.seen, h.asked = now, now
	return h
}

func (b *Bank) draw(h *host, w wheelgauge.CapWant, moved bool, now time.Time) wheelgauge.CapGrant {
	a := b.accounts[w.Workspace]
	if a == nil {
		// This store knows of no bound; a host that knows of one has a newer or an older
		// configuration for some hundred ms.
		return wheelgauge.CapGrant{Granted: true}
	}
	if w.Units > 0 {
		a.sized(w.Units)
	}
	if !moved {
		a.demand.Add(w.Units, now)
	}
	after, ok := a.draw(w.Units, now)
	if moved {
		return wheelgauge.CapGrant{Granted: ok, AfterMS: after.Milliseconds()}
	}
	h.alone[w.Workspace] = alonePart * a.share / float64(len(b.hosts))
	g := wheelgauge.CapGrant{
		Granted: ok, AfterMS: after.Milliseconds(),
		Alone: h.alone[w.Workspace] * a.cap.Rate, AloneMS: aloneTime.Milliseconds(),
	}
	if ok && w.Ahead > 0 {
		g.Ahead = a.give(w.Ahead, now)
	}
	if !ok {
		g.Elsewhere = b.elsewhere(a, w.Units, now)
	}
	return g
}
