// Package inforce remembers which generation each host said it obeys.
package inforce

import (
	"slices"
	"strings"
	"sync"
	"time"

	"wheelgauge"
)

type row struct {
	region     string
	generation uint64
	at         time.Time
}

// Table is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[string]row
}

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]row{}} }

// Report takes in what a host says.
func (t *Table) Report(host, region string, generation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[host] = row{region, generation, time.Now()}
}

// List returns all reports, sorted by host.
func (t *Table) List() []wheelgauge.InForce {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wheelgauge.InForce, 0, len(t.rows))
	for host, r := range t.rows {
		out = append(out, wheelgauge.InForce{Host: host, Region: r.region, Generation: r.generation, AgeMS: time.Since(r.at).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b wheelgauge.InForce) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Merge keeps the newest report of each host.
func Merge(lists ...[]wheelgauge.InForce) []wheelgauge.InForce {
	best := map[string]wheelgauge.InForce{}
	for _, list := range lists {
		for _, f := range list {
			if was, ok := best[f.Host]; !ok || f.AgeMS < was.AgeMS {
				best[f.Host] = f
			}
		}
	}
	out := make([]wheelgauge.InForce, 0, len(best))
	for _, f := range best {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b wheelgauge.InForce) int { return strings.Compare(a.Host, b.Host) })
	return out
}
