// Package promiserelay passes the promises that hosts of a region made to callers on to its
// other hosts, at a store. It holds those of the last seconds in memory.
package promiserelay

import (
	"sync"
	"time"

	"wheelgauge"
)

const (
	// maxPerRegion bounds the promises held of a region: 6 s of 600 a second.
	maxPerRegion = 4096
	// maxSent bounds the promises of one message: 48 are 530 bytes.
	maxSent = 48
	// storeOverlap is how far back an update to another store reaches: several updates, so that
	// one that is lost does no harm.
	storeOverlap = 500 * time.Millisecond
	// maxStoreSent bounds the promises in an update to a store: 2.8 kB.
	maxStoreSent = 256
	// maxAge is how long a promise is passed on after its moment.
	maxAge = time.Second
	// pruneInterval is how often what is out of date is removed at most: not for each of the
	// heartbeats of many hosts.
	pruneInterval = 100 * time.Millisecond
)

// item is one promise and who made it.
type item struct {
	promise wheelgauge.ReturnPromise
	// at is its moment by the clock here, receivedAt when it arrived.
	at, receivedAt time.Time
	// host is empty if another store reported it.
	host    string
	version uint64
}

// region holds the promises of a region in the order of their versions.
type region struct {
	items []item
	// moments holds the moment of each.
	moments  map[wheelgauge.RequestHash]time.Time
	prunedAt time.Time
}

// Relay is safe for concurrent use.
type Relay struct {
	mu      sync.Mutex
	now     func() time.Time
	regions map[string]*region
	// version is that of the newest promise. A host that has none names 1, one that wants none 0.
	version uint64
}

// New returns an empty relay that reads the time from now.
func New(now func() time.Time) *Relay {
	return &Relay{now: now, regions: map[string]*region{}, version: 1}
}

// Add adds promises of a host of a region; host is empty for those reported by another store.
func (r *Relay) Add(name, host string, list wheelgauge.ReturnPromises) {
	if len(list) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	g := r.region(name)
	g.prune(now)
	for _, p := range list {
		at := now.Add(p.In)
		if before, ok := g.moments[p.Hash]; ok && !at.After(before.Add(maxAge)) || now.Sub(at) > maxAge || len(g.items) >= maxPerRegion {
			continue
		}
		r.version++
		g.moments[p.Hash] = at
		g.items = append(g.items, item{promise: p, at: at, receivedAt: now, host: host, version: r.version})
	}
}

// region returns what is held of a region; the lock is held.
func (r *Relay) region(name string) *region {
	if r.regions[name] == nil {
		r.regions[name] = &region{moments: map[wheelgauge.RequestHash]time.Time{}}
	}
	return r.regions[name]
}

// prune drops the promises that cannot be used any more, and those from before the clock was
// set back.
func (g *region) prune(now time.Time) {
	if d := now.Sub(g.prunedAt); d >= 0 && d < pruneInterval {
		return
	}
	g.prunedAt = now
	kept := g.items[:0]
	clear(g.moments)
	for _, k := range g.items {
		if now.Sub(k.at) <= maxAge && !k.receivedAt.After(now) {
			kept = append(kept, k)
			g.moments[k.promise.Hash] = k.at
		}
	}
	g.items = kept
}

// Since returns the promises of a region added after a version, without those of one host, and
// the version to name next. Of more than a message holds, it returns the newest: a backlog would
// bring each one after its moment.
func (r *Relay) Since(name, except string, version uint64) (wheelgauge.ReturnPromises, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out wheelgauge.ReturnPromises
	items := r.region(name).items
	next := version
	if len(items) > 0 {
		next = max(next, items[len(items)-1].version)
	}
	for i := len(items) - 1; i >= 0 && len(out) < maxSent && items[i].version > version; i-- {
		if items[i].host != except && now.Sub(items[i].at) <= maxAge {
			out = append(out, items[i].aged(now))
		}
	}
	return out, next
}

// OfHosts returns the promises of a region's hosts that arrived in the last moments, the newest
// first, without those that other stores reported.
func (r *Relay) OfHosts(name string) wheelgauge.ReturnPromises {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out wheelgauge.ReturnPromises
	items := r.region(name).items
	for i := len(items) - 1; i >= 0 && len(out) < maxStoreSent && now.Sub(items[i].receivedAt) <= storeOverlap; i-- {
		if items[i].host != "" {
			out = append(out, items[i].aged(now))
		}
	}
	return out
}

// aged returns the promise with the time left now.
func (k item) aged(now time.Time) wheelgauge.ReturnPromise {
	p := k.promise
	p.In = k.at.Sub(now)
	return p
}
