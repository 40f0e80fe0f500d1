// Package routehistory holds the routes that were in force lately, for streams that began under an
// earlier configuration.
package routehistory

import (
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/routetable"
)

const (
	// retention is how long routes are remembered after they were last in force.
	retention = 15 * time.Minute
	// capacity bounds the configurations that are remembered. They share what did not change.
	capacity = 64
)

// entry is a configuration and when it came into force.
type entry struct {
	table *routetable.Table
	from  time.Time
}

// History is safe for concurrent use.
type History struct {
	now func() time.Time

	mu sync.Mutex
	// entries are in order, the newest last.
	entries []entry
}

// New returns an empty history that reads the time from now.
func New(now func() time.Time) *History { return &History{now: now} }

// Add records that a configuration is in force from now on.
func (h *History) Add(t *routetable.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.entries = append(h.entries, entry{table: t, from: now})
	// An entry was in force until the next one came.
	drop := max(0, len(h.entries)-capacity)
	for drop+1 < len(h.entries) && now.Sub(h.entries[drop+1].from) > retention {
		drop++
	}
	h.entries = append([]entry(nil), h.entries[drop:]...)
}

// Len returns the number of configurations remembered.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries)
}

// SoleService returns the only service that can have begun a stream of a host name and path that is
// taken up now, at most returnTime after it broke off, and how long ago it may have begun; ok is
// false if there were several as far as the history reaches back. complete reports whether that is
// as long as a stream may take.
func (h *History) SoleService(host, path string, returnTime time.Duration) (service string, period time.Duration, ok, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	until := now
	for i := len(h.entries) - 1; i >= 0; i-- {
		e := h.entries[i]
		r := e.table.Match(host, path)
		if r != nil && r.Kind == wheelgauge.RouteStream && now.Sub(until) <= r.Timeout+returnTime {
			only, one := onlyService(r)
			if !one || service != "" && only != service {
				return "", 0, false, false
			}
			service, period = only, max(period, r.Timeout+returnTime)
		}
		until = e.from
	}
	if service == "" {
		return "", 0, false, false
	}
	return service, period, true, now.Sub(h.entries[0].from) >= period
}

// onlyService returns the service of a route that sends requests to no other one.
func onlyService(r *wheelgauge.PathRoute) (service string, ok bool) {
	for _, s := range r.Shares {
		if s.Weight <= 0 && len(r.Shares) > 1 {
			continue
		}
		if service != "" {
			return "", false
		}
		service = s.Service
	}
	return service, service != ""
}
