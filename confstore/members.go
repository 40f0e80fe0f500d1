package confstore

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"wheelgauge"
)

// member is another store, by the news that it sends and that it was sent.
type member struct {
	region string
	seen   time.Time
	// held are the versions of this store's parts of the list that it has, told when
	// it was last told of each, by region.
	held map[string]uint64
	told map[string]time.Time
	// calling is set while it is told.
	calling bool
}

// members are the other stores by address. It is safe for concurrent use.
type members struct {
	mu   sync.Mutex
	list map[string]*member
}

// get returns a store; the lock is held.
func (m *members) get(address string) *member {
	if m.list == nil {
		m.list = map[string]*member{}
	}
	if m.list[address] == nil {
		m.list[address] = &member{held: map[string]uint64{}, told: map[string]time.Time{}}
	}
	return m.list[address]
}

// heard notes that a store sent news at a moment.
func (m *members) heard(address, region string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(address)
	s.region, s.seen = region, now
}

// begin returns what is known of a store that is now told; false while an earlier
// call is under way.
func (m *members) begin(address string) (member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(address)
	if s.calling {
		return member{}, false
	}
	s.calling = true
	known := *s
	known.held, known.told = maps.Clone(s.held), maps.Clone(s.told)
	return known, true
}

// end notes which parts a store has now that was told of them at a moment.
func (m *members) end(address string, asked time.Time, parts []wheelgauge.ServerPart, missing []string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.get(address)
	s.calling = false
	for _, part := range parts {
		if err != nil || slices.Contains(missing, part.Region) {
			delete(s.held, part.Region)
			delete(s.told, part.Region)
			continue
		}
		s.held[part.Region], s.told[part.Region] = part.Version, asked
	}
}

// first returns the store whose task it is to read a region's list, by self in
// region at: the first of those there that were heard of since, else of all.
func (m *members) first(self, at, region string, since time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, near := self, at == region
	for address, s := range m.list {
		if s.seen.Before(since) {
			continue
		}
		there := s.region == region
		if there && !near || there == near && strings.Compare(address, first) < 0 {
			first, near = address, there
		}
	}
	return first
}
