package raft

import "slices"

// Role returns what the replica does now.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Vote returns whom this replica voted for in the current term, 0 if nobody.
func (c *Core) Vote() uint64 { return c.vote }

// Leader returns the ID of the leader this replica follows, 0 if none.
func (c *Core) Leader() uint64 { return c.leader }

// Members returns the members in force.
func (c *Core) Members() []Member { return slices.Clone(c.members) }

// Commit returns the highest committed index.
func (c *Core) Commit() uint64 { return c.commit }

// Applied returns the highest applied index.
func (c *Core) Applied() uint64 { return c.applied }

// Match returns how far a member is known to hold the leader's log.
func (c *Core) Match(id uint64) uint64 {
	if p := c.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// Settled tells whether this leader has applied an entry of its own term, and
// so every change of members that was committed before.
func (c *Core) Settled() bool { return c.role == Leader && c.termAt(c.applied) == c.term }

// Active tells whether a member answered this leader lately.
func (c *Core) Active(id uint64) bool {
	p := c.progress[id]
	return p != nil && p.active
}

// Silent returns for how many ticks a member has not answered this leader.
func (c *Core) Silent(id uint64) int {
	if p := c.progress[id]; p != nil {
		return p.silent
	}
	return 0
}

// Hard returns the hard state that was last carried out.
func (c *Core) Hard() HardState { return c.lastHard }

// Snapshot returns the newest snapshot; nil when there is none.
func (c *Core) Snapshot() *Snapshot {
	if c.snap.Index == 0 {
		return nil
	}
	return c.snap
}

// SnapshotIndex returns the index that the newest snapshot stands for.
func (c *Core) SnapshotIndex() uint64 { return c.snap.Index }
