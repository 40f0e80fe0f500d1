// Package appliedgen records the configuration generation that each host reports as applied.
package appliedgen

import (
	"slices"
	"strings"
	"sync"
	"time"

	"wheelgauge"
)

type report struct {
	region     string
	generation uint64
	at         time.Time
}

// Table has the last report of each host. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	reports map[string]report
}

// New returns an empty table.
func New() *Table { return &Table{reports: map[string]report{}} }

// Record records the generation that a host has applied.
func (t *Table) Record(host, region string, generation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[host] = report{region, generation, time.Now()}
}

// List returns the reports with their ages, sorted by host.
func (t *Table) List() []wheelgauge.AppliedGeneration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wheelgauge.AppliedGeneration, 0, len(t.reports))
	for host, r := range t.reports {
		out = append(out, wheelgauge.AppliedGeneration{Host: host, Region: r.region, Generation: r.generation, AgeMS: time.Since(r.at).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b wheelgauge.AppliedGeneration) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// Merge returns the newest report of each host, sorted by host.
func Merge(lists ...[]wheelgauge.AppliedGeneration) []wheelgauge.AppliedGeneration {
	newest := map[string]wheelgauge.AppliedGeneration{}
	for _, list := range lists {
		for _, r := range list {
			if known, ok := newest[r.Host]; !ok || r.AgeMS < known.AgeMS {
				newest[r.Host] = r
			}
		}
	}
	out := make([]wheelgauge.AppliedGeneration, 0, len(newest))
	for _, r := range newest {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b wheelgauge.AppliedGeneration) int { return strings.Compare(a.Host, b.Host) })
	return out
}
