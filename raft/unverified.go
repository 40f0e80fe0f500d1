package raft

const (
	// unverifiedTermGap is by how much an unverified replica raises its term when it starts: it takes
	// part in no term in which it may have voted after its state was copied.
	unverifiedTermGap = 1 << 20
	// silentElections is the number of election timeouts after which a voter that sent nothing
	// counts as failed.
	silentElections = 3
)

// An unverified replica is one whose persisted state may be a copy that is older than what the
// replica has told others since: it may have forgotten entries and votes. It follows no leader
// that was elected without it, so it does not count where a group works; there it joins under
// another ID. Where no leader is left, it takes part in an election, and becomes a normal replica
// again once it leads, or once its log on disk is that of the leader that it has elected: until then
// it may lack what that leader knows. See winsElection for how its vote counts.

// ballot is a vote that was granted or refused.
type ballot struct {
	granted    bool
	unverified bool
}

// Unverified reports whether the persisted state may be older than what the replica has told others.
func (c *Core) Unverified() bool { return c.unverified }

// startUnverified makes a new replica an unverified one. What it had committed is committed still,
// but is not served before a leader has confirmed the log.
func (c *Core) startUnverified() {
	c.unverified = true
	c.restoredCommit, c.commit = c.commit, c.snapshot.Index
	c.term, c.vote = c.term+unverifiedTermGap, 0
}

// verify makes an unverified replica a normal one.
func (c *Core) verify() {
	if !c.unverified {
		return
	}
	c.unverified = false
	c.commit = max(c.commit, min(c.restoredCommit, c.lastIndex()))
}

// acceptsUnverified reports whether an unverified replica processes a message: it takes entries only
// from the leader that it has voted for since its start.
func (c *Core) acceptsUnverified(m Message) bool {
	return m.Type != MessageAppend && m.Type != MessageSnapshot || m.Term == c.term && c.vote == m.From
}

// verifyFollower makes an unverified follower a normal replica if its log on disk has an entry of
// the leader's term, and so all that this leader had when it was elected.
func (c *Core) verifyFollower() {
	if c.leader != 0 && !c.snapshotUnsaved && c.termAt(c.stable) == c.term {
		c.verify()
	}
}

// commitTo raises the commit index. That of an unverified replica waits until it is verified, as it
// serves nothing before.
func (c *Core) commitTo(index uint64) {
	if c.unverified {
		c.restoredCommit = max(c.restoredCommit, index)
		return
	}
	c.commit = max(c.commit, index)
}

// winsElection reports whether the votes make this replica the leader.
//
// Without unverified voters that is a majority. What a majority has agreed on is known to at least
// as many of the voters that grant their vote as these are more than a minority. That some of them
// are unverified, and have forgotten it, is accepted as long as one is left that has not, if as
// many voters at most have failed as a group tolerates: lost their disk, are silent, or have an old
// one. Any further unverified voter is then known to be up to date.
func (c *Core) winsElection() bool {
	voters, verified, unverified, failed := 0, 0, 0, 0
	for _, m := range c.members {
		if !m.Voter {
			continue
		}
		voters++
		switch vote := c.votes[m.ID]; {
		case vote.granted && vote.unverified:
			unverified++
		case vote.granted:
			verified++
		case c.contacts.silentTicks(m.ID) >= silentElections*c.options.ElectionTicks:
			failed++
		}
	}
	majority := voters/2 + 1
	if voters == 0 || verified+unverified < majority {
		return false
	}
	tolerated := voters - majority
	old := min(unverified, max(0, tolerated-failed))
	return verified >= majority || verified+unverified-tolerated > old
}

// lostElection reports whether no majority is left that may still grant its vote: others have refused
// it, or sent nothing for an election timeout.
func (c *Core) lostElection() bool {
	return !c.quorum(func(id uint64) bool {
		vote, answered := c.votes[id]
		if answered {
			return vote.granted
		}
		return c.contacts.silentTicks(id) < c.options.ElectionTicks
	})
}
