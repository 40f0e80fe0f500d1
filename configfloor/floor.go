// Package configfloor holds the oldest version of the configuration by which a process may still
// judge requests, and what stores told of that version until the whole of it is held.
package configfloor

import (
	"sync"
	"sync/atomic"

	"wheelgauge"
	"wheelgauge/routetable"
)

// maxParts bounds the parts that are kept: each one takes some 32 kB.
const maxParts = 128

// Floor never falls: what went by a version once is not judged by an older one later. It is safe
// for concurrent use.
type Floor struct {
	version atomic.Uint64

	mu sync.Mutex
	// store is the address of the store that told the version; empty for a version held as a whole.
	store string
	// parts are tables of that version or a newer one, by what was asked for.
	parts map[wheelgauge.LookupRequest]*routetable.Table
}

// New returns a floor below all versions.
func New() *Floor { return &Floor{parts: map[wheelgauge.LookupRequest]*routetable.Table{}} }

// Version returns the oldest version by which requests may be judged.
func (f *Floor) Version() uint64 { return f.version.Load() }

// Store returns the address of the store that told the version; empty if the version is held.
func (f *Floor) Store() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store
}

// Hold raises the floor to a version that is held as a whole.
func (f *Floor) Hold(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version >= f.version.Load() {
		f.raise(version, "")
	}
}

// Add keeps the table of a part that a store told, unless it is older than the floor, and reports
// whether it raises the floor.
func (f *Floor) Add(r wheelgauge.LookupRequest, t *routetable.Table, store string) (raised bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.version.Load()
	if t.Version() < version {
		return false
	}
	if raised = t.Version() > version; raised {
		f.raise(t.Version(), store)
	}
	if len(f.parts) >= maxParts {
		clear(f.parts)
	}
	f.parts[part(r)] = t
	return raised
}

// Part returns the table of a part, as told by a store, that is not older than the floor or a
// version; nil if there is none.
func (f *Floor) Part(r wheelgauge.LookupRequest, least uint64) *routetable.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.parts[part(r)]; t != nil && t.Version() >= max(least, f.version.Load()) {
		return t
	}
	return nil
}

// raise sets the floor; the lock is held.
func (f *Floor) raise(version uint64, store string) {
	f.version.Store(version)
	f.store = store
	clear(f.parts)
}

// part identifies what a request asks for, at whatever version.
func part(r wheelgauge.LookupRequest) wheelgauge.LookupRequest {
	r.Version = 0
	return r
}
