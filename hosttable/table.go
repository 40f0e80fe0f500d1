// Package hosttable is a store's table of entry hosts: who beat lately, what
// each has in flight, and the sums that other hosts are told.
package hosttable

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wheelgauge"
)

const (
	// missedBeats is how many intervals a host may be silent: one lost beat is no
	// failure.
	missedBeats = 2
	// lateBeat is how late a beat may be over a lossy link besides.
	lateBeat = 600 * time.Millisecond
)

type entry struct {
	host     wheelgauge.FleetHost
	seen     time.Time
	interval time.Duration
	primary  bool
	uses     []wheelgauge.ServerUse
	totals   []wheelgauge.ServiceUse
}

// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
	version uint64
	now     func() time.Time
}

// New returns an empty table that reads time from now.
func New(now func() time.Time) *Table {
	return &Table{entries: map[string]*entry{}, version: 1, now: now}
}

// Take records a beat of a host that beats every interval.
func (t *Table) Take(b wheelgauge.Beat, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[b.Host.Name]
	if e == nil || e.host != b.Host {
		t.version++
	}
	if e == nil {
		e = &entry{}
		t.entries[b.Host.Name] = e
	}
	e.host, e.seen, e.interval, e.primary = b.Host, t.now(), interval, b.Primary
	e.totals = b.Totals
	if b.Primary {
		e.uses = b.Uses
	}
}

// expire forgets hosts that were silent for too long.
func (t *Table) expire() {
	now := t.now()
	for name, e := range t.entries {
		if now.Sub(e.seen) > missedBeats*e.interval+lateBeat {
			delete(t.entries, name)
			t.version++
		}
	}
}

// Hosts returns all live hosts by name, and a number that changes with them.
func (t *Table) Hosts() ([]wheelgauge.FleetHost, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	out := make([]wheelgauge.FleetHost, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.host)
	}
	slices.SortFunc(out, func(a, b wheelgauge.FleetHost) int { return cmp.Compare(a.Name, b.Name) })
	return out, t.version
}

// Primary tells for which regions this store is the primary of a host.
func (t *Table) Primary() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	var out []string
	for _, e := range t.entries {
		if e.primary && !slices.Contains(out, e.host.Region) {
			out = append(out, e.host.Region)
		}
	}
	slices.Sort(out)
	return out
}

// Uses sums what the hosts of a region, but the named one, have in flight.
func (t *Table) Uses(region, but string) []wheelgauge.ServerUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[string]wheelgauge.ServerUse{}
	for name, e := range t.entries {
		if name == but || e.host.Region != region {
			continue
		}
		for _, u := range e.uses {
			s := sums[u.Instance]
			sums[u.Instance] = wheelgauge.ServerUse{Instance: u.Instance, Running: s.Running + u.Running, Tokens: s.Tokens + u.Tokens}
		}
	}
	out := make([]wheelgauge.ServerUse, 0, len(sums))
	for _, u := range sums {
		out = append(out, u)
	}
	return out
}

// Regions sums what each region has in flight by service.
func (t *Table) Regions() map[string]map[string]wheelgauge.ServiceUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]map[string]wheelgauge.ServiceUse{}
	for _, e := range t.entries {
		sums := out[e.host.Region]
		if sums == nil {
			sums = map[string]wheelgauge.ServiceUse{}
			out[e.host.Region] = sums
		}
		for _, u := range e.totals {
			s := sums[u.Service]
			sums[u.Service] = wheelgauge.ServiceUse{Service: u.Service, Running: s.Running + u.Running, Tokens: s.Tokens + u.Tokens}
		}
	}
	return out
}
