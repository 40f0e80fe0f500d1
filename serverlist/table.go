// Package serverlist is a store's list of backend servers. It is made of one list per
// region: the store reads some itself and receives the others from the stores that read
// them.
package serverlist

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wheelgauge"
)

// coldTolerance is how far the remaining time of a cold server may deviate from the
// countdown between two readings before it counts as a change.
const coldTolerance = 150 * time.Millisecond

// regionList is the list of one region.
type regionList struct {
	list        []wheelgauge.Server
	requestedAt time.Time
	// version changes with the list; storeBoot is the boot number of the store that assigns it.
	version   uint64
	storeBoot uint64
}

// Table is safe for concurrent use.
type Table struct {
	boot    uint64
	mu      sync.Mutex
	regions map[string]regionList
	// version changes with any region's list, readVersion with any changed list that this
	// store read.
	version     uint64
	readVersion uint64
	// all joins the lists of all regions; nil after a change.
	all []wheelgauge.Server
	now func() time.Time
}

// New returns an empty table of the store with a boot number.
func New(boot uint64, now func() time.Time) *Table {
	return &Table{boot: boot, regions: map[string]regionList{}, now: now}
}

// Read sets the list of a region that this store requested at a given time.
func (t *Table) Read(region string, list []wheelgauge.Server, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	was, known := t.regions[region]
	p := regionList{list: list, requestedAt: requestedAt, version: was.version, storeBoot: t.boot}
	if !known || was.storeBoot != t.boot || !same(was, list, requestedAt) {
		t.readVersion++
		p.version = t.readVersion
	}
	t.set(region, p)
}

// set replaces a region's list; the lock is held.
func (t *Table) set(region string, p regionList) {
	was, known := t.regions[region]
	if !known || !same(was, p.list, p.requestedAt) {
		t.version++
	}
	t.regions[region] = p
	t.all = nil
}

// same reports whether a list is unchanged: the countdown of a cold server is no change, or
// the whole list would be sent to all hosts at each reading while servers are cold.
func same(was regionList, list []wheelgauge.Server, requestedAt time.Time) bool {
	passed := requestedAt.Sub(was.requestedAt)
	return slices.EqualFunc(was.list, list, func(a, b wheelgauge.Server) bool {
		if a.ColdMS > 0 && b.ColdMS > 0 {
			expected := time.Duration(a.ColdMS)*time.Millisecond - passed
			if off := time.Duration(b.ColdMS)*time.Millisecond - expected; off.Abs() > coldTolerance {
				return false
			}
			a.ColdMS = b.ColdMS
		}
		return a == b
	})
}

// Take sets a region's list that another store read and has just sent; false means that it
// must be sent in full.
func (t *Table) Take(store uint64, m wheelgauge.ServerPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	requestedAt := t.now().Add(-time.Duration(m.AgeMS) * time.Millisecond)
	was, known := t.regions[m.Region]
	if known && requestedAt.Before(was.requestedAt) {
		return true // the list held is newer
	}
	p := regionList{list: m.Servers, requestedAt: requestedAt, version: m.Version, storeBoot: store}
	if m.Same {
		if !known || was.storeBoot != store || was.version != m.Version {
			return false
		}
		p.list = was.list
	}
	t.set(m.Region, p)
	return true
}

// Part returns a region's list as this store sends it to another one, and when it requested
// that; ok is false when it was not read here. The servers are left out if the other store
// already holds this version.
func (t *Table) Part(region string, held uint64) (m wheelgauge.ServerPart, requestedAt time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.regions[region]
	if !ok || p.storeBoot != t.boot {
		return m, requestedAt, false
	}
	m = wheelgauge.ServerPart{Region: region, Version: p.version, AgeMS: t.now().Sub(p.requestedAt).Milliseconds()}
	if m.Same = p.version == held; !m.Same {
		m.Servers = p.list
	}
	return m, p.requestedAt, true
}

// Age returns the time since the list of a region was requested; ok is false when it is
// not known.
func (t *Table) Age(region string) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.regions[region]
	return t.now().Sub(p.requestedAt), ok
}

// All returns the servers of all regions, and the version of the list, 0 when no list is
// known. The list must not be changed.
func (t *Table) All() ([]wheelgauge.Server, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		for _, region := range slices.Sorted(maps.Keys(t.regions)) {
			t.all = append(t.all, t.regions[region].list...)
		}
	}
	return t.all, t.version
}
