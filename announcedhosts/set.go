package announcedhosts

import (
	"cmp"
	"slices"

	"wheelgauge"
	"wheelgauge/rendezvous"
)

// Set holds the hosts of one region that may be announced, and changes by single hosts. The zero
// value is empty. It is not safe for concurrent use.
type Set struct {
	// halls are sorted by name, the members of each by hash and name.
	halls []hall
}

type hall struct {
	name    string
	members []member
}

type member struct {
	hash    uint64
	name    string
	address string
}

func compareMembers(a, b member) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// Update replaces the description of a host, before, by another one. Either may be the zero value
// for none. It reports whether the set changed.
func (s *Set) Update(before, after wheelgauge.FleetHost) bool {
	was, is := eligible(before), eligible(after)
	if was && is && before.Hall == after.Hall && before.Name == after.Name && before.CallerAddress == after.CallerAddress {
		return false
	}
	if was {
		s.remove(before)
	}
	if is {
		s.add(after)
	}
	return was || is
}

func eligible(h wheelgauge.FleetHost) bool { return h.Name != "" && h.Ready && !h.Leaving }

func (s *Set) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.halls, name, func(h hall, name string) int { return cmp.Compare(h.name, name) })
}

func (s *Set) add(h wheelgauge.FleetHost) {
	i, ok := s.find(h.Hall)
	if !ok {
		s.halls = slices.Insert(s.halls, i, hall{name: h.Hall})
	}
	m := memberOf(h)
	if at, ok := slices.BinarySearchFunc(s.halls[i].members, m, compareMembers); !ok {
		s.halls[i].members = slices.Insert(s.halls[i].members, at, m)
	}
}

func (s *Set) remove(h wheelgauge.FleetHost) {
	i, ok := s.find(h.Hall)
	if !ok {
		return
	}
	m := memberOf(h)
	if at, ok := slices.BinarySearchFunc(s.halls[i].members, m, compareMembers); ok {
		s.halls[i].members = slices.Delete(s.halls[i].members, at, at+1)
	}
	if len(s.halls[i].members) == 0 {
		s.halls = slices.Delete(s.halls, i, i+1)
	}
}

func memberOf(h wheelgauge.FleetHost) member {
	return member{rendezvous.Hash(h.Name), h.Name, h.CallerAddress}
}

// choose returns at most limit members, as Choose chooses hosts.
func (s *Set) choose(limit int) []member {
	queues := make([][]member, len(s.halls))
	for i, h := range s.halls {
		queues[i] = h.members
	}
	return interleave(queues, limit)
}

// Len returns the number of hosts.
func (s *Set) Len() int {
	n := 0
	for _, h := range s.halls {
		n += len(h.members)
	}
	return n
}

// Minimum returns the names of the hosts that are announced even at the lowest load.
func (s *Set) Minimum() []string {
	out := make([]string, 0, MinHosts)
	for _, m := range s.choose(MinHosts) {
		out = append(out, m.name)
	}
	return out
}

// Addresses returns the addresses for callers of at most limit hosts.
func (s *Set) Addresses(limit int) []string {
	out := make([]string, 0, limit)
	for _, m := range s.choose(limit) {
		out = append(out, m.address)
	}
	return out
}
