package confstore

import (
	"maps"
	"strings"
	"sync"
	"time"

	"wheelgauge"
)

// peerStore is the state of the updates exchanged with another store.
type peerStore struct {
	region     string
	lastUpdate time.Time
	// sentAt is when the state of a region's list was last sent to the store.
	sentAt map[string]time.Time
	// inCall is set while an update is being sent.
	inCall bool
}

// peerStores tracks the other stores. It is safe for concurrent use.
type peerStores struct {
	mu        sync.Mutex
	byAddress map[string]*peerStore
}

// get returns the state of a store, created if needed. The caller holds the lock.
func (p *peerStores) get(address string) *peerStore {
	if p.byAddress == nil {
		p.byAddress = map[string]*peerStore{}
	}
	if p.byAddress[address] == nil {
		p.byAddress[address] = &peerStore{sentAt: map[string]time.Time{}}
	}
	return p.byAddress[address]
}

// recordUpdate records that a store sent an update.
func (p *peerStores) recordUpdate(address, region string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	s.region, s.lastUpdate = region, now
}

// hearsOtherRegion reports whether a store of another region sent an update since.
func (p *peerStores) hearsOtherRegion(region string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byAddress {
		if s.region != "" && s.region != region && s.lastUpdate.After(since) {
			return true
		}
	}
	return false
}

// beginCall marks the start of a call to a store and returns a copy of its state; false
// while an earlier call is in progress.
func (p *peerStores) beginCall(address string) (peerStore, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	if s.inCall {
		return peerStore{}, false
	}
	s.inCall = true
	known := *s
	known.sentAt = maps.Clone(s.sentAt)
	return known, true
}

// endCall marks the end of a call that told the states of server lists.
func (p *peerStores) endCall(address string, sentAt time.Time, lists []wheelgauge.ListStatus, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.get(address)
	s.inCall = false
	for _, l := range lists {
		if err != nil {
			delete(s.sentAt, l.Region)
			continue
		}
		s.sentAt[l.Region] = sentAt
	}
}

// reader returns the address of the store that reads a region's list: the lowest address
// of the stores in that region that sent an update since, or of all of them if the region
// has none. The store itself, self in selfRegion, always counts.
func (p *peerStores) reader(self, selfRegion, region string, since time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, local := self, selfRegion == region
	for address, s := range p.byAddress {
		if s.lastUpdate.Before(since) {
			continue
		}
		inRegion := s.region == region
		if inRegion && !local || inRegion == local && strings.Compare(address, first) < 0 {
			first, local = address, inRegion
		}
	}
	return first
}
