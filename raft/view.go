package raft

import "slices"

// ID returns the ID of this replica.
func (c *Core) ID() uint64 { return c.options.ID }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Vote returns the ID that this replica voted for in the current term, 0 if none.
func (c *Core) Vote() uint64 { return c.vote }

// Leader returns the ID of the leader this replica follows, 0 if none.
func (c *Core) Leader() uint64 { return c.leader }

// Members returns the members of the last list in the log, committed or not.
func (c *Core) Members() []Member { return slices.Clone(c.members) }

// Commit returns the highest committed index.
func (c *Core) Commit() uint64 { return c.commit }

// Applied returns the highest applied index.
func (c *Core) Applied() uint64 { return c.applied }

// LastChange returns an index that is not before the last membership change of this leader or of
// an earlier one.
func (c *Core) LastChange() uint64 { return c.lastChangeIndex }

// Match returns the highest index at which a member's log is known to match the
// leader's.
func (c *Core) Match(id uint64) uint64 {
	if p := c.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// RecentlyActive reports whether a member has replied since this leader's last
// quorum check.
func (c *Core) RecentlyActive(id uint64) bool {
	p := c.progress[id]
	return p != nil && p.recentlyActive
}

// TicksSinceReply returns the number of ticks since a member's last reply to this
// leader.
func (c *Core) TicksSinceReply(id uint64) int {
	if p := c.progress[id]; p != nil {
		return p.sinceReply
	}
	return 0
}

// RecentlyReplied reports whether a member's last reply to this leader is younger than an
// election timeout.
func (c *Core) RecentlyReplied(id uint64) bool {
	p := c.progress[id]
	return p != nil && p.sinceReply < c.options.ElectionTicks
}

// HardState returns the hard state of the last processed Ready.
func (c *Core) HardState() HardState { return c.handledHardState }

// Snapshot returns the newest snapshot; nil when there is none.
func (c *Core) Snapshot() *Snapshot {
	if c.snapshot.Index == 0 {
		return nil
	}
	return c.snapshot
}

// SnapshotIndex returns the index of the last entry in the newest snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.snapshot.Index }
