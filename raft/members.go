package raft

import (
	"encoding/json"
	"fmt"
	"slices"
)

// The list of members in use is the last one in the log, committed or not. A list that counted only
// once it is committed would be known to the leader alone for a moment: the others would go on to
// vote by the list before, in which a member that was replaced still counts.

func (c *Core) isVoter(id uint64) bool {
	i := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == id })
	return i >= 0 && c.members[i].Voter
}

func (c *Core) quorum(counts func(id uint64) bool) bool {
	voters, count := 0, 0
	for _, m := range c.members {
		if !m.Voter {
			continue
		}
		voters++
		if counts(m.ID) {
			count++
		}
	}
	return voters > 0 && count > voters/2
}

// ProposeMembers proposes a list of members that differs by at most one member from the current
// list. A leader changes the members only after an entry of its own term is committed, which makes
// sure that the quorums of the lists of two leaders have a voter in common.
func (c *Core) ProposeMembers(members []Member) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.ChangePending() {
		return 0, 0, ErrChangePending
	}
	if countMemberChanges(c.members, members) > 1 {
		return 0, 0, fmt.Errorf("raft: only one member may change at a time: %w", ErrChangePending)
	}
	data, err := json.Marshal(members)
	if err != nil {
		return 0, 0, fmt.Errorf("encode members: %w", err)
	}
	index = c.appendEntry(EntryMembers, data)
	c.lastChangeIndex = index
	c.members = slices.Clone(members)
	c.syncProgress()
	return index, c.term, nil
}

// ChangePending reports whether a leader may not change the members yet.
func (c *Core) ChangePending() bool { return max(c.lastChangeIndex, c.termStart) > c.applied }

func countMemberChanges(a, b []Member) int {
	count := 0
	for _, m := range a {
		if !slices.ContainsFunc(b, func(o Member) bool { return o.ID == m.ID && o.Voter == m.Voter }) {
			count++
		}
	}
	for _, m := range b {
		if !slices.ContainsFunc(a, func(o Member) bool { return o.ID == m.ID }) {
			count++
		}
	}
	return count
}

// membersAt returns the last list of members up to an index of the log.
func (c *Core) membersAt(index uint64) []Member {
	for i := min(index, c.lastIndex()); i > c.base; i-- {
		if e := c.entries[i-c.base-1]; e.Type == EntryMembers {
			var members []Member
			if err := json.Unmarshal(e.Data, &members); err == nil {
				return members // apply reports a list that cannot be decoded
			}
		}
	}
	return slices.Clone(c.snapshot.Members)
}

// reloadMembers takes the members from the log after it changed other than by the leader's own
// entries.
func (c *Core) reloadMembers() { c.members = c.membersAt(c.lastIndex()) }

// applyMembers handles a committed list of members.
func (c *Core) applyMembers(e Entry) error {
	var members []Member
	if err := json.Unmarshal(e.Data, &members); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	if c.role == Leader && !c.isVoter(c.options.ID) {
		c.become(Follower, c.term, 0)
	}
	return nil
}
