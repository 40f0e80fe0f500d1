// Package votergroup decides who belongs to a Raft group and who of them votes. It reads the
// state of a raft.Core and returns the next list of members; its caller proposes it.
package votergroup

import (
	"net/http"
	"slices"

	"wheelgauge"
	"wheelgauge/raft"
)

const (
	maxMembers     = 15
	maxCaughtUpLag = 16
)

// Options of a Planner.
type Options struct {
	// Voters is the wanted number of voters; 0 means that all members vote. Further members
	// remain learners and replace voters that fail or leave.
	Voters int
	// ReplaceVoterTicks is how long a voter must not reply before a learner that has caught up
	// replaces it: longer than any election.
	ReplaceVoterTicks int
	// RemoveLearnerTicks is how long a learner must not reply before it is removed.
	RemoveLearnerTicks int
	// LeaveTicks is how long a member that announced its shutdown counts as leaving.
	LeaveTicks int
}

// Planner plans changes of the members. It is not safe for concurrent use.
type Planner struct {
	o Options
	// leaving has the ticks left of each member that announced its shutdown.
	leaving map[uint64]int
}

// New returns a Planner.
func New(o Options) *Planner { return &Planner{o: o, leaving: map[uint64]int{}} }

// NeedsJoin reports whether a replica must ask to be added to the group. One that is a member
// by its own list asks as well once it has lost its leader: it may have been removed while it
// was out of touch, and then no leader sends it the later list.
func NeedsJoin(c *raft.Core) bool {
	return c.Leader() == 0 || indexOf(c.Members(), c.ID()) < 0
}

// Join returns the members with m added as a learner, nil if nothing changes. A replica that was
// removed is added under the ID that it had: it kept its term, its vote and its log.
func (p *Planner) Join(c *raft.Core, m raft.Member) ([]raft.Member, error) {
	members := c.Members()
	if i := indexOf(members, m.ID); i >= 0 {
		if members[i].Address == m.Address {
			return nil, nil
		}
		members[i].Address = m.Address
		return members, nil
	}
	sameName := slices.IndexFunc(members, func(o raft.Member) bool { return o.Name == m.Name })
	// A store at the address of the other one has taken its place: that one has lost its disk.
	if sameName >= 0 && members[sameName].Address != m.Address && c.RecentlyActive(members[sameName].ID) {
		return nil, conflict("a store of this name is still active: " + m.Name)
	}
	if len(members) >= maxMembers {
		return nil, conflict("the group has the maximum number of members")
	}
	m.Voter = false
	return append(members, m), nil
}

func conflict(detail string) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusConflict, detail)
}

// Leave marks a member that shuts down. It reports whether the member votes although a learner
// that has caught up could replace it, so that it should wait for that.
func (p *Planner) Leave(c *raft.Core, id uint64) bool {
	members := c.Members()
	i := indexOf(members, id)
	if i < 0 {
		return false
	}
	p.leaving[id] = p.o.LeaveTicks
	return members[i].Voter && slices.ContainsFunc(members, func(m raft.Member) bool { return p.promotable(c, m) })
}

// Next returns the next list of members of a group whose leader is c, and the name of the member
// because of which it changes; nil if nothing changes. It is called once a tick.
//
// A voter that failed is removed before a learner is promoted, one that leaves while it still
// runs only afterwards, so that the group never tolerates fewer failures than before.
func (p *Planner) Next(c *raft.Core) (next []raft.Member, cause string) {
	p.ageLeaving(c)
	if c.Role() != raft.Leader {
		return nil, ""
	}
	members := c.Members()
	if i := p.surplusVoter(c, members); i >= 0 {
		return slices.Delete(slices.Clone(members), i, i+1), members[i].Name
	}
	for i, m := range members {
		if !p.promotable(c, m) {
			continue
		}
		if replaced := p.voterToReplace(c, members, m); replaced >= 0 {
			return slices.Delete(slices.Clone(members), replaced, replaced+1), m.Name
		}
		if p.hasAllVoters(members) && p.leavingVoter(members) < 0 {
			continue
		}
		next = slices.Clone(members)
		next[i].Voter = true
		return next, m.Name
	}
	i := slices.IndexFunc(members, func(m raft.Member) bool { return !m.Voter && c.TicksSinceReply(m.ID) > p.o.RemoveLearnerTicks })
	if i < 0 {
		return nil, ""
	}
	return slices.Delete(slices.Clone(members), i, i+1), members[i].Name
}

// ageLeaving removes the marks of members that have left or did not after all.
func (p *Planner) ageLeaving(c *raft.Core) {
	if len(p.leaving) == 0 {
		return
	}
	members := c.Members()
	for id, ticks := range p.leaving {
		if ticks <= 1 || indexOf(members, id) < 0 {
			delete(p.leaving, id)
			continue
		}
		p.leaving[id] = ticks - 1
	}
}

// promotable reports whether m is a learner that has caught up and stays.
func (p *Planner) promotable(c *raft.Core, m raft.Member) bool {
	match := c.Match(m.ID)
	return !m.Voter && p.leaving[m.ID] == 0 && match > 0 && c.RecentlyActive(m.ID) && match+maxCaughtUpLag >= c.Commit()
}

// hasAllVoters reports whether the group has the wanted number of voters.
func (p *Planner) hasAllVoters(members []raft.Member) bool {
	return p.o.Voters > 0 && countVoters(members) >= p.o.Voters
}

// leavingVoter returns the index of a voter that announced its shutdown, or -1.
func (p *Planner) leavingVoter(members []raft.Member) int {
	return slices.IndexFunc(members, func(m raft.Member) bool { return m.Voter && p.leaving[m.ID] > 0 })
}

// surplusVoter returns the index of a voter to remove from a group with more voters than wanted,
// or -1: one that leaves or, if a leader that knew it has changed, one that does not reply.
func (p *Planner) surplusVoter(c *raft.Core, members []raft.Member) int {
	if p.o.Voters == 0 || countVoters(members) <= p.o.Voters {
		return -1
	}
	if i := p.leavingVoter(members); i >= 0 {
		return i
	}
	return p.silentVoter(c, members)
}

// silentVoter returns the index of the voter that has not replied for longest, and for at least
// ReplaceVoterTicks, or -1.
func (p *Planner) silentVoter(c *raft.Core, members []raft.Member) int {
	found, longest := -1, p.o.ReplaceVoterTicks
	for i, m := range members {
		if ticks := c.TicksSinceReply(m.ID); m.Voter && m.ID != c.ID() && ticks > longest {
			found, longest = i, ticks
		}
	}
	return found
}

// voterToReplace returns the index of the member that must be removed before a learner is
// promoted, or -1: the member of the same name, whose disk was lost, or, if the group has all
// voters, one that does not reply.
func (p *Planner) voterToReplace(c *raft.Core, members []raft.Member, learner raft.Member) int {
	sameName := slices.IndexFunc(members, func(m raft.Member) bool { return m.Name == learner.Name && m.ID != learner.ID })
	if sameName >= 0 || !p.hasAllVoters(members) {
		return sameName
	}
	return p.silentVoter(c, members)
}

func indexOf(members []raft.Member, id uint64) int {
	return slices.IndexFunc(members, func(m raft.Member) bool { return m.ID == id })
}

func countVoters(members []raft.Member) int {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return voters
}
