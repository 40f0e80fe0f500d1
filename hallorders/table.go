// Package hallorders is a store's table of the latest orders of operators for halls. The servers of
// a hall may turn cold shortly before its drain ends, also if no store could acknowledge the orders,
// and the list of servers tells it later: hosts use such a hall with care.
package hallorders

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
)

const (
	// pendingTime is how long an order that was not acknowledged counts as given just now: its
	// operator may send it again, or act as if it had been carried out.
	pendingTime = 8 * time.Second
	// retention is how long an order matters to hosts: far longer than a list lags behind.
	retention = 10 * time.Second
	// maxClockError bounds how far apart the times of day of two stores may be, and how far one may
	// jump.
	maxClockError = 10 * time.Second
	// ageStep divides ages, rounded down, so that responses to many hosts are the same.
	ageStep = 250 * time.Millisecond
)

type order struct {
	at           time.Time
	pendingUntil time.Time
}

// age returns the time since the order counts as given.
func (o order) age(now time.Time) time.Duration {
	if now.Before(o.pendingUntil) {
		return 0
	}
	return max(0, now.Sub(o.at)).Truncate(ageStep)
}

// applied is the index of a hall's last order in the replicated log, and when this store first
// knew of it.
type applied struct {
	index uint64
	at    time.Time
}

// Table is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// orders are those given to this store, told those that other stores were given, by hall.
	orders, told map[string]order
	applied      map[string]applied
	now          func() time.Time
}

// New returns an empty table.
func New(now func() time.Time) *Table {
	return &Table{orders: map[string]order{}, told: map[string]order{}, applied: map[string]applied{}, now: now}
}

// Received records an order for a hall. It counts as pending until it is acknowledged.
func (t *Table) Received(hall string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.orders[hall] = order{at: now, pendingUntil: now.Add(pendingTime)}
}

// Acknowledged records that an order for a hall was carried out.
func (t *Table) Acknowledged(hall string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[hall] = order{at: t.now()}
}

// Merge adds the orders that another store was given.
func (t *Table) Merge(orders []wheelgauge.HallOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range orders {
		if at := t.now().Add(-time.Duration(o.AgeMS) * time.Millisecond); at.After(t.told[o.Hall].at) {
			t.told[o.Hall] = order{at: at}
		}
	}
}

// Given returns the orders that operators gave lately to this store. Only these are told to other
// stores: an order that two stores told each other would get younger each time.
func (t *Table) Given() []wheelgauge.HallOrder {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent(func(hall string) time.Duration { return t.orders[hall].age(t.now()) })
}

// Recent returns the orders that operators gave lately, to this store or to others.
func (t *Table) Recent() []wheelgauge.HallOrder {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent(func(hall string) time.Duration { return t.age(hall, t.now()) })
}

// age returns the time since the latest order given for a hall. The lock is held.
func (t *Table) age(hall string, now time.Time) time.Duration {
	return min(t.orders[hall].age(now), t.told[hall].age(now))
}

// Applied records each hall's last order in the replicated log, at a time of day. Orders that were
// pending are overtaken by those applied since.
func (t *Table) Applied(orders map[string]configstate.HallOrder, wallUnixMS int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for hall, o := range orders {
		known, ok := t.applied[hall]
		if known.index == o.Index {
			continue
		}
		at := now
		if age := time.Duration(wallUnixMS-o.AtUnixMS) * time.Millisecond; o.AtUnixMS > 0 && age > retention+maxClockError {
			at = now.Add(-retention) // given long before this store started, by any clock
		}
		t.applied[hall] = applied{o.Index, at}
		if _, given := t.orders[hall]; ok && given {
			t.orders[hall] = order{at: now}
		}
	}
}

// RecentApplied returns the recent orders including those of the replicated log. After a restart
// of the store these count from when it first knew of them, unless they are surely old.
func (t *Table) RecentApplied() []wheelgauge.HallOrder {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	return t.recent(func(hall string) time.Duration {
		age := t.age(hall, now)
		if a, ok := t.applied[hall]; ok {
			age = min(age, order{at: a.at}.age(now))
		}
		return age
	})
}

// recent returns the orders with ages, by hall, without old ones. The lock is held.
func (t *Table) recent(age func(hall string) time.Duration) []wheelgauge.HallOrder {
	var out []wheelgauge.HallOrder
	add := func(hall string) {
		if a := age(hall); a < retention && !slices.ContainsFunc(out, func(o wheelgauge.HallOrder) bool { return o.Hall == hall }) {
			out = append(out, wheelgauge.HallOrder{Hall: hall, AgeMS: a.Milliseconds()})
		}
	}
	for _, orders := range []map[string]order{t.orders, t.told} {
		for hall := range orders {
			add(hall)
		}
	}
	for hall := range t.applied {
		add(hall)
	}
	slices.SortFunc(out, func(a, b wheelgauge.HallOrder) int { return cmp.Compare(a.Hall, b.Hall) })
	return out
}
