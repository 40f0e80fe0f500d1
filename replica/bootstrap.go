package replica

import (
	"github.com/cespare/xxhash/v2"

	"wheelgauge/raft"
)

// bootstrapID is the identity of a founder, which the others must know without
// being told.
func bootstrapID(address string) uint64 { return xxhash.Sum64String(address)>>1 | 1 }

// bootstrapGroup writes the first state of a group that several replicas found
// at the same time; it is the same at each of them.
func (s *storage) bootstrapGroup(o Options) (raft.State, error) {
	members := make([]raft.Member, 0, len(o.Founders))
	for _, address := range o.Founders {
		members = append(members, raft.Member{ID: bootstrapID(address), Name: address, Address: address, Voter: true})
	}
	s.self.ID = bootstrapID(o.Address)
	return s.bootstrap(members)
}
