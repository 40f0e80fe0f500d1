package replica

import (
	"github.com/cespare/xxhash/v2"

	"wheelgauge/raft"
)

// bootstrapID derives the ID of an initial voter from its address, so that the
// other initial voters can compute it.
func bootstrapID(address string) uint64 { return xxhash.Sum64String(address)>>1 | 1 }

// startFounding notes that a blank replica may found a group.
func (s *storage) startFounding(initialVoters []string) error {
	s.self.Founders = initialVoters
	if err := s.saveIdentity(); err != nil {
		s.needsRewrite = true
		return err
	}
	return nil
}

// bootstrapGroup writes the initial state of a new group whose initial voters
// start at the same time. The state is identical on all of them.
func (s *storage) bootstrapGroup(initialVoters []string, address string) (raft.State, error) {
	members := make([]raft.Member, 0, len(initialVoters))
	for _, a := range initialVoters {
		members = append(members, raft.Member{ID: bootstrapID(a), Name: a, Address: a, Voter: true})
	}
	s.self.ID, s.self.Founders = bootstrapID(address), nil
	return s.bootstrap(members)
}
