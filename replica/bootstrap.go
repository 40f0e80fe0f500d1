package replica

import (
	"github.com/cespare/xxhash/v2"

	"wheelgauge/raft"
)

// bootstrapID derives the ID of an initial voter from its address, so that the
// other initial voters can compute it.
func bootstrapID(address string) uint64 { return xxhash.Sum64String(address)>>1 | 1 }

// bootstrapGroup writes the initial state of a new group whose initial voters
// start at the same time. The state is identical on all of them.
func (s *storage) bootstrapGroup(o Options) (raft.State, error) {
	members := make([]raft.Member, 0, len(o.InitialVoters))
	for _, address := range o.InitialVoters {
		members = append(members, raft.Member{ID: bootstrapID(address), Name: address, Address: address, Voter: true})
	}
	s.self.ID = bootstrapID(o.Address)
	return s.bootstrap(members)
}
