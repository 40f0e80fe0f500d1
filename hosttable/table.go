// Package hosttable is a store's table of entry hosts: who beat lately, what
// each has in flight, and the sums that other hosts are told.
package hosttable

import (
	"cmp"
	"maps"
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
	lateBeat = 900 * time.Millisecond
	// sumEvery is how old the sums told may be: a part of the shortest interval,
	// so that a beat need not go over all hosts.
	sumEvery = 100 * time.Millisecond
)

type entry struct {
	host     wheelgauge.FleetHost
	seen     time.Time
	interval time.Duration
	primary  bool
	uses     []wheelgauge.ServerUse
	totals   []wheelgauge.ServiceUse
}

// sums is what the hosts of each region have in flight together.
type sums struct {
	uses   map[string]map[string]wheelgauge.ServerUse
	totals map[string]map[string]wheelgauge.ServiceUse
}

// Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
	version uint64
	// list is that of listed, an earlier version perhaps.
	list   []wheelgauge.FleetHost
	listed uint64
	sums   sums
	summed time.Time
	// lost is when a host of each region last left or fell silent.
	lost map[string]time.Time
	now  func() time.Time
}

// New returns an empty table that reads time from now.
func New(now func() time.Time) *Table {
	return &Table{entries: map[string]*entry{}, version: 1, lost: map[string]time.Time{}, now: now}
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
	if b.Host.Leaving && !e.host.Leaving {
		t.lost[b.Host.Region] = t.now()
	}
	e.host, e.seen, e.interval, e.primary = b.Host, t.now(), interval, b.Primary
	e.totals = b.Totals
	if b.Primary {
		e.uses = b.Uses
	}
}

// refresh forgets hosts that were silent for too long and sums the others anew,
// if that has not been done lately; the lock is held.
func (t *Table) refresh() {
	now := t.now()
	if !t.summed.IsZero() && now.Sub(t.summed) < sumEvery {
		return
	}
	t.summed = now
	for name, e := range t.entries {
		if now.Sub(e.seen) > missedBeats*e.interval+lateBeat {
			delete(t.entries, name)
			t.lost[e.host.Region] = now
			t.version++
		}
	}
	t.sums = sums{uses: map[string]map[string]wheelgauge.ServerUse{}, totals: map[string]map[string]wheelgauge.ServiceUse{}}
	for _, e := range t.entries {
		t.sums.add(e)
	}
}

func (s *sums) add(e *entry) {
	region := e.host.Region
	if s.uses[region] == nil {
		s.uses[region] = map[string]wheelgauge.ServerUse{}
		s.totals[region] = map[string]wheelgauge.ServiceUse{}
	}
	for _, u := range e.uses {
		was := s.uses[region][u.Instance]
		s.uses[region][u.Instance] = wheelgauge.ServerUse{Instance: u.Instance, Running: was.Running + u.Running, Tokens: was.Tokens + u.Tokens, Work: was.Work.Plus(u.Work)}
	}
	for _, u := range e.totals {
		was := s.totals[region][u.Service]
		s.totals[region][u.Service] = wheelgauge.ServiceUse{Service: u.Service, Running: was.Running + u.Running, Tokens: was.Tokens + u.Tokens, Work: was.Work.Plus(u.Work)}
	}
}

// Hosts returns all live hosts by name, and a number that changes with them.
// The list must not be changed.
func (t *Table) Hosts() ([]wheelgauge.FleetHost, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if t.listed == t.version {
		return t.list, t.version
	}
	t.list = make([]wheelgauge.FleetHost, 0, len(t.entries))
	for _, e := range t.entries {
		t.list = append(t.list, e.host)
	}
	slices.SortFunc(t.list, func(a, b wheelgauge.FleetHost) int { return cmp.Compare(a.Name, b.Name) })
	t.listed = t.version
	return t.list, t.version
}

// Lost returns when a host of a region last left or fell silent; the zero time if
// none ever did.
func (t *Table) Lost(region string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.lost[region]
}

// Primary tells for which regions this store is the primary of a host.
func (t *Table) Primary() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	var out []string
	for _, e := range t.entries {
		if e.primary && !slices.Contains(out, e.host.Region) {
			out = append(out, e.host.Region)
		}
	}
	slices.Sort(out)
	return out
}

// Uses returns what the hosts of a region, but the named one, have in flight.
func (t *Table) Uses(region, but string) []wheelgauge.ServerUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	own := map[string]wheelgauge.ServerUse{}
	if e := t.entries[but]; e != nil {
		for _, u := range e.uses {
			own[u.Instance] = u
		}
	}
	out := make([]wheelgauge.ServerUse, 0, len(t.sums.uses[region]))
	for instance, sum := range t.sums.uses[region] {
		// The host's own part is newer than the sum: never below nothing.
		mine := own[instance]
		u := wheelgauge.ServerUse{
			Instance: instance, Running: max(0, sum.Running-mine.Running), Tokens: max(0, sum.Tokens-mine.Tokens), Work: sum.Work.Minus(mine.Work).Used(),
		}
		if u.Running > 0 {
			out = append(out, u)
		}
	}
	return out
}

// Regions returns what each region has in flight by service.
func (t *Table) Regions() map[string]map[string]wheelgauge.ServiceUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	out := make(map[string]map[string]wheelgauge.ServiceUse, len(t.sums.totals))
	for region, services := range t.sums.totals {
		out[region] = maps.Clone(services)
	}
	return out
}
