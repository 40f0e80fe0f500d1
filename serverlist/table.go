// Package serverlist is a store's list of backend servers. It is made of one table per region:
// the store reads some lists itself and follows the tables of the stores that read the others.
package serverlist

import (
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/changelog"
)

// coldTolerance is how far the remaining time of a cold server may deviate from the
// countdown between two readings before it counts as a change.
const coldTolerance = 150 * time.Millisecond

// Group are the servers that are alike for sums.
type Group struct {
	Region  string
	Hall    string
	Service string
	Version string
	Leaving bool
}

// GroupOf returns the group of a server.
func GroupOf(s wheelgauge.Server) Group {
	return Group{Region: s.Region, Hall: s.Hall, Service: s.Service, Version: s.Version, Leaving: s.Leaving}
}

// Sum is what a group's servers have together.
type Sum struct {
	Servers int
	Slots   int
}

// regionList is the list of one region.
type regionList struct {
	servers map[string]wheelgauge.Server
	changes *changelog.Table
	// known is set once the whole list was read or received. It was requested at requestedAt,
	// which is clock by the clock of the list.
	known       bool
	requestedAt time.Time
	clock       time.Duration
	// clockID identifies the clock, which may have begun at another store.
	clockID uint64
	// own is set while this store has read the list itself.
	own bool
}

// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	regions map[string]*regionList
	sums    map[Group]Sum
	// cold are the servers that the lists name as cold, by region and instance.
	cold map[[2]string]wheelgauge.Server
	// version changes with any region's list.
	version uint64
	now     func() time.Time
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{regions: map[string]*regionList{}, sums: map[Group]Sum{}, cold: map[[2]string]wheelgauge.Server{}, now: now}
}

// Changes returns the table of a region's servers for the feed of changes.
func (t *Table) Changes(region string) *changelog.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.region(region).changes
}

// region returns a region's list, created if needed; the lock is held.
func (t *Table) region(name string) *regionList {
	r := t.regions[name]
	if r == nil {
		r = &regionList{servers: map[string]wheelgauge.Server{}, changes: changelog.New()}
		t.regions[name] = r
	}
	return r
}

// Read sets the list of a region that this store requested at a given time.
func (t *Table) Read(region string, list []wheelgauge.Server, requestedAt time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(region)
	if r.requestedAt.IsZero() {
		r.requestedAt, r.clockID = requestedAt, rand.Uint64()
	}
	clock := r.clock + requestedAt.Sub(r.requestedAt)
	listed := make(map[string]wheelgauge.Server, len(list))
	for _, s := range list {
		if other, ok := listed[s.Instance]; ok && other.StartUnixMS > s.StartUnixMS {
			continue // an entry of an earlier start
		}
		listed[s.Instance] = s
	}
	var rows []wheelgauge.TableRow
	for instance, s := range listed {
		was, ok := r.servers[instance]
		s = untimed(s, was, r.clockID, clock)
		if ok && was == s {
			continue
		}
		row, err := wheelgauge.EncodeRow(s.Instance, s)
		if err != nil {
			return err
		}
		t.set(region, r, s)
		rows = append(rows, row)
	}
	for instance := range r.servers {
		if _, ok := listed[instance]; !ok {
			t.remove(region, r, instance)
			rows = append(rows, wheelgauge.TableRow{Key: instance})
		}
	}
	t.apply(r, rows)
	r.known, r.requestedAt, r.clock, r.own = true, requestedAt, clock, true
	return nil
}

// untimed returns a server with the end of its cold period in place of what is left of it, which
// changes with the time. The end stays that of the entry before unless it deviates.
func untimed(s, was wheelgauge.Server, clockID uint64, clock time.Duration) wheelgauge.Server {
	s.ColdUntilMS, s.ColdClock = 0, 0
	if s.ColdMS > 0 {
		s.ColdUntilMS, s.ColdClock = clock.Milliseconds()+s.ColdMS, clockID
		if off := s.ColdUntilMS - was.ColdUntilMS; was.ColdUntilMS > 0 && was.ColdClock == clockID && max(off, -off) <= coldTolerance.Milliseconds() {
			s.ColdUntilMS = was.ColdUntilMS
		}
	}
	s.ColdMS = 0
	return s
}

// apply adds rows to the feed of changes; the lock is held.
func (t *Table) apply(r *regionList, rows []wheelgauge.TableRow) {
	if len(rows) > 0 || !r.known {
		t.version++
	}
	r.changes.Apply(rows)
}

// set sets one server and the sums; the lock is held.
func (t *Table) set(region string, r *regionList, s wheelgauge.Server) {
	t.remove(region, r, s.Instance)
	r.servers[s.Instance] = s
	t.count(region, s, 1)
	if s.ColdUntilMS > 0 {
		t.cold[[2]string{region, s.Instance}] = s
	}
}

// remove removes one server, if it is there, and updates the sums; the lock is held.
func (t *Table) remove(region string, r *regionList, instance string) {
	s, ok := r.servers[instance]
	if !ok {
		return
	}
	delete(r.servers, instance)
	delete(t.cold, [2]string{region, instance})
	t.count(region, s, -1)
}

func (t *Table) count(region string, s wheelgauge.Server, sign int) {
	s.Region = region
	g := GroupOf(s)
	sum := t.sums[g]
	sum.Servers, sum.Slots = sum.Servers+sign, sum.Slots+sign*s.Slots
	if sum.Servers == 0 {
		delete(t.sums, g)
		return
	}
	t.sums[g] = sum
}

// Receive takes rows of a region's list that another store read.
func (t *Table) Receive(region string, rows []wheelgauge.TableRow) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(region)
	for _, row := range rows {
		s, err := wheelgauge.DecodeRow[wheelgauge.Server](row)
		switch {
		case err != nil:
			return err
		case s == nil:
			t.remove(region, r, row.Key)
		default:
			t.set(region, r, *s)
		}
	}
	t.apply(r, rows)
	return nil
}

// Confirm records the state of a list that another store has just told. It returns whether this
// store holds that list, or a newer one, and need not fetch it.
func (t *Table) Confirm(s wheelgauge.ListStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(s.Region)
	requestedAt := t.now().Add(-time.Duration(s.AgeMS) * time.Millisecond)
	if r.known && requestedAt.Before(r.requestedAt) {
		return true
	}
	if r.changes.Digest() != s.Digest {
		return false
	}
	t.confirm(r, requestedAt, s)
	return true
}

// Fetched records that the list, in the state told at a time or a newer one, has been received
// completely.
func (t *Table) Fetched(s wheelgauge.ListStatus, toldAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(s.Region)
	requestedAt := toldAt.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	if !r.known || requestedAt.After(r.requestedAt) {
		t.confirm(r, requestedAt, s)
	}
}

// confirm records when a list was requested that another store read; the lock is held.
func (t *Table) confirm(r *regionList, requestedAt time.Time, s wheelgauge.ListStatus) {
	if !r.known {
		t.version++
	}
	r.known, r.requestedAt, r.clock, r.clockID, r.own = true, requestedAt, time.Duration(s.ClockMS)*time.Millisecond, s.Clock, false
}

// Own returns the state of a region's list if this store has read it itself since a time.
func (t *Table) Own(region string, since time.Time) (s wheelgauge.ListStatus, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.regions[region]
	if r == nil || !r.known || !r.own || !r.requestedAt.After(since) {
		return s, false
	}
	return t.status(region, r), true
}

// Status returns the state of a region's list; ok is false while it is not known.
func (t *Table) Status(region string) (s wheelgauge.ListStatus, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.regions[region]
	if r == nil || !r.known {
		return s, false
	}
	return t.status(region, r), true
}

// status returns the state of a known list; the lock is held.
func (t *Table) status(region string, r *regionList) wheelgauge.ListStatus {
	return wheelgauge.ListStatus{Region: region, Digest: r.changes.Digest(), AgeMS: t.now().Sub(r.requestedAt).Milliseconds(), ClockMS: r.clock.Milliseconds(), Clock: r.clockID}
}

// Age returns the time since the list of a region was requested; ok is false when it is
// not known.
func (t *Table) Age(region string) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.regions[region]
	if r == nil || !r.known {
		return 0, false
	}
	return t.now().Sub(r.requestedAt), true
}

// Version returns a number that changes with any region's list, 0 while none is known.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Sums returns the sums of all groups of servers.
func (t *Table) Sums() map[Group]Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.sums)
}

// Cold returns the servers that are cold now, with their regions.
func (t *Table) Cold() []wheelgauge.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wheelgauge.Server
	for key, s := range t.cold {
		r := t.regions[key[0]]
		if s.ColdLeftMS(r.clockID, (r.clock+t.now().Sub(r.requestedAt)).Milliseconds()) > 0 {
			s.Region = key[0]
			out = append(out, s)
		}
	}
	return out
}

// Find returns the server with an instance key.
func (t *Table) Find(instanceKey string) (wheelgauge.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{instanceKey}
	if i := strings.LastIndexByte(instanceKey, '@'); i >= 0 {
		names = append(names, instanceKey[:i])
	}
	for region, r := range t.regions {
		for _, name := range names {
			if s, ok := r.servers[name]; ok && s.InstanceKey() == instanceKey {
				s.Region = region
				return s, true
			}
		}
	}
	return wheelgauge.Server{}, false
}

// Servers returns the servers of a region, in no order.
func (t *Table) Servers(region string) []wheelgauge.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []wheelgauge.Server
	if r := t.regions[region]; r != nil {
		for _, s := range r.servers {
			out = append(out, s)
		}
	}
	return out
}
