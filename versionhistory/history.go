// Package versionhistory holds which versions of each service the list of servers has named, and
// until when.
package versionhistory

import (
	"maps"
	"sync"
	"time"

	"wheelgauge"
)

const (
	// retention is how long a version is remembered after it was last listed.
	retention = 15 * time.Minute
	// maxGap is the longest time between two lists in which no version is taken to have come and
	// gone unseen.
	maxGap = 5 * time.Second
)

// service holds the versions of one service.
type service struct {
	// since is when the service was first listed without a gap since, until when each earlier
	// version was last listed.
	since time.Time
	until map[string]time.Time
	// current are the versions listed now.
	current map[string]bool
}

// History is safe for concurrent use.
type History struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*service
	// confirmedAt is as of when the newest list is.
	confirmedAt time.Time
}

// New returns an empty history that reads the time from now.
func New(now func() time.Time) *History {
	return &History{now: now, services: map[string]*service{}}
}

// Update replaces what is listed now, in all regions.
func (h *History) Update(lists ...[]wheelgauge.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.confirm(now)
	for _, s := range h.services {
		for version := range s.current {
			s.until[version] = now
		}
		clear(s.current)
	}
	for _, list := range lists {
		for i := range list {
			h.service(list[i].Service, now).current[list[i].Version] = true
		}
	}
	for name, s := range h.services {
		maps.DeleteFunc(s.until, func(_ string, until time.Time) bool { return now.Sub(until) > retention })
		if len(s.until)+len(s.current) == 0 {
			delete(h.services, name)
		}
	}
}

// Confirm records that the list was still the same when requested at a time.
func (h *History) Confirm(requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirm(requestedAt)
}

// confirm begins the history anew after a gap; the lock is held.
func (h *History) confirm(requestedAt time.Time) {
	if requestedAt.Sub(h.confirmedAt) > maxGap {
		for _, s := range h.services {
			s.since = requestedAt
		}
	}
	if requestedAt.After(h.confirmedAt) {
		h.confirmedAt = requestedAt
	}
}

func (h *History) service(name string, now time.Time) *service {
	s := h.services[name]
	if s == nil {
		s = &service{since: now, until: map[string]time.Time{}, current: map[string]bool{}}
		h.services[name] = s
	}
	return s
}

// Sole returns the version of a service if no other one was listed, in any region, within a time;
// ok is false if there were others, or if the history does not reach back so far.
func (h *History) Sole(name string, within time.Duration) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, s := h.now(), h.services[name]
	if s == nil || len(s.current) != 1 || now.Sub(s.since) < within || now.Sub(h.confirmedAt) > maxGap {
		return "", false
	}
	if s.several(now, within) {
		return "", false
	}
	for v := range s.current {
		version = v
	}
	return version, true
}

// Several reports whether a service is known to have had several versions within a time.
func (h *History) Several(name string, within time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[name]
	return s != nil && s.several(h.now(), within)
}

// several reports whether several versions were listed within a time.
func (s *service) several(now time.Time, within time.Duration) bool {
	listed := len(s.current)
	for v, until := range s.until {
		if !s.current[v] && now.Sub(until) <= within {
			listed++
		}
	}
	return listed > 1
}
