package raft

import (
	"slices"
)

// Step processes one received message.
func (c *Core) Step(m Message) {
	if m.To != c.options.ID {
		return
	}
	c.contacts.record(m)
	if c.writesSuspended && m.IsVoteRequest() || c.unverified && !c.acceptsUnverified(m) {
		return
	}
	if m.Term > c.term && !c.stepNewerTerm(m) {
		return
	}
	if m.Term < c.term {
		c.rejectStale(m)
		return
	}
	switch m.Type {
	case MessagePreVote, MessageVote:
		c.stepVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.stepVoteReply(m)
	case MessageAppend:
		c.stepAppend(m)
	case MessageSnapshot:
		c.stepSnapshot(m)
	case MessageAppendReply:
		c.stepAppendReply(m)
	}
}

// stepNewerTerm handles a message of a later term; it returns false if Step must
// not process the message further.
func (c *Core) stepNewerTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote, MessageVote:
		if c.leader != 0 && c.electionElapsed < c.options.ElectionTicks {
			return false // a current leader is known, so no vote is granted
		}
		if m.Type == MessagePreVote {
			c.grantPreVote(m)
			return false
		}
		c.become(Follower, m.Term, 0)
	case MessagePreVoteReply:
		if !m.Reject {
			c.stepVoteReply(m)
			return false
		}
		c.become(Follower, m.Term, 0)
	case MessageAppend, MessageSnapshot:
		c.become(Follower, m.Term, m.From)
	default:
		c.become(Follower, m.Term, 0)
	}
	return true
}

// rejectStale answers a message of an earlier term with the current term.
func (c *Core) rejectStale(m Message) {
	switch m.Type {
	case MessageAppend, MessageSnapshot:
		c.send(Message{Type: MessageAppendReply, To: m.From, Term: c.term, Reject: true})
	case MessagePreVote:
		c.send(Message{Type: MessagePreVoteReply, To: m.From, Term: c.term, Reject: true})
	}
}

func (c *Core) isUpToDate(m Message) bool {
	last := c.lastIndex()
	term := c.termAt(last)
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= last)
}

func (c *Core) grantPreVote(m Message) {
	if c.isUpToDate(m) {
		c.send(Message{Type: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.refuseVote(MessagePreVoteReply, m.From)
}

// refuseVote refuses a vote because of the candidate's log, and tells where the own log ends.
func (c *Core) refuseVote(kind MessageType, to uint64) {
	index, term := c.LastEntry()
	c.send(Message{Type: kind, To: to, Term: c.term, Reject: true, Index: index, LogTerm: term})
}

func (c *Core) stepVote(m Message) {
	if m.Type == MessagePreVote {
		if c.leader == 0 || c.electionElapsed >= c.options.ElectionTicks {
			c.grantPreVote(m)
		}
		return
	}
	// An unverified candidate may have campaigned in this term before, and have forgotten its entries.
	canVote := c.vote == 0 && c.leader == 0 || c.vote == m.From && !m.Unverified
	if canVote && !c.isUpToDate(m) {
		c.refuseVote(MessageVoteReply, m.From)
		return
	}
	if canVote {
		c.vote = m.From
		c.electionElapsed = 0
	}
	c.send(Message{Type: MessageVoteReply, To: m.From, Term: c.term, Reject: !canVote})
}

func (c *Core) stepVoteReply(m Message) {
	preVote := m.Type == MessagePreVoteReply
	if preVote && (c.role != PreCandidate || (!m.Reject && m.Term != c.term+1)) {
		return
	}
	if !preVote && c.role != Candidate {
		return
	}
	if c.votes[m.From].granted {
		return // counted; the request was delivered twice
	}
	c.votes[m.From] = ballot{granted: !m.Reject, unverified: m.Unverified}
	switch {
	case c.winsElection():
		c.electionWon()
	case !preVote && c.lostElection():
		// A short random pause is enough to avoid another tie.
		c.electionTimeout = min(c.electionTimeout, c.electionElapsed+1+c.random.IntN(c.options.ElectionTicks))
	}
}

func (c *Core) followLeader(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.become(Follower, c.term, m.From)
	}
	c.electionElapsed = 0
}

func (c *Core) stepAppend(m Message) {
	c.followLeader(m)
	if c.writesSuspended {
		m.Entries = nil
	}
	reply := Message{Type: MessageAppendReply, To: m.From, Term: c.term, Round: m.Round}
	if m.Index < c.base {
		reply.Index = c.commit
		c.send(reply)
		return
	}
	if m.Index > c.lastIndex() || c.termAt(m.Index) != m.LogTerm {
		reply.Reject = true
		reply.Index = c.lastOfTerm(m.Index-1, m.LogTerm)
		reply.LogTerm = c.termAt(reply.Index)
		c.send(reply)
		return
	}
	c.mergeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	reply.Index = last
	c.send(reply)
}

// lastOfTerm returns the last index, up to one, whose entry is not of a later term than the given one.
// Terms never fall along a log, so two logs cannot agree between that index and the one given where
// the other log has that term.
func (c *Core) lastOfTerm(index, term uint64) uint64 {
	index = min(index, c.lastIndex())
	for index > c.base && c.termAt(index) > term {
		index--
	}
	return index
}

// mergeEntries appends entries after dropping a conflicting tail of the log.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if e.Index <= c.lastIndex() && c.termAt(e.Index) == e.Term {
			continue
		}
		if e.Index <= c.lastIndex() {
			c.entries = slices.Clone(c.entries[:e.Index-c.base-1])
			c.stable = min(c.stable, e.Index-1)
		}
		c.entries = append(c.entries, entries[i:]...)
		c.reloadMembers()
		return
	}
}

func (c *Core) stepSnapshot(m Message) {
	c.followLeader(m)
	if c.writesSuspended {
		return
	}
	s := m.Snapshot
	reply := Message{Type: MessageAppendReply, To: m.From, Term: c.term, Round: m.Round, Index: c.commit}
	if s.Index > c.commit {
		c.installSnapshot(s)
		reply.Index = s.Index
	}
	c.send(reply)
}

func (c *Core) installSnapshot(s *Snapshot) {
	if c.termAt(s.Index) == s.Term && s.Index <= c.lastIndex() {
		c.entries = slices.Clone(c.entries[s.Index-c.base:])
	} else {
		c.entries = nil
	}
	c.base, c.baseTerm = s.Index, s.Term
	c.snapshot = s
	c.snapshotUnsaved = true
	c.commit = s.Index
	c.applied = s.Index
	c.stable = s.Index
	c.reloadMembers()
}

func (c *Core) stepAppendReply(m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	p.sinceReply = 0
	p.round = max(p.round, m.Round)
	if m.Reject {
		p.transfer = transfer{}
		index := m.Index
		if m.LogTerm > 0 { // the release before does not tell it
			index = c.lastOfTerm(index, m.LogTerm)
		}
		p.next = max(p.match+1, min(p.next, index+1))
		if p.snapshotRetryTicks == 0 {
			c.sendAppend(m.From)
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.snapshotRetryTicks = 0
		c.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	c.confirmReads()
	if c.inTransfer(p) {
		if p.transfer.ticksLeft > 0 {
			return
		}
		p.next, p.transfer = p.transfer.prev+1, transfer{}
	}
	if p.next <= c.lastIndex() {
		c.sendAppend(m.From)
	}
}

// advanceCommit commits entries of the current term that a quorum holds. The
// leader's own entries count once they are on disk.
func (c *Core) advanceCommit() {
	for index := c.lastIndex(); index > c.commit && c.termAt(index) == c.term; index-- {
		persisted := func(id uint64) bool {
			if id == c.options.ID {
				return c.stable >= index
			}
			return c.Match(id) >= index
		}
		if c.quorum(persisted) {
			c.commit = index
			c.announceCommit = true
			return
		}
	}
}

// Ready returns the pending work for the driver.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.replicate()
	}
	var rd Ready
	if c.snapshotUnsaved {
		rd.Snapshot = c.snapshot
	}
	if h := c.currentHardState(); h != c.handledHardState {
		rd.HardState = &h
	}
	rd.Entries = slices.Clone(c.entries[c.stable-c.base:])
	rd.Messages = c.messages
	c.messages = nil
	rd.Committed = slices.Clone(c.entries[c.applied-c.base : c.commit-c.base])
	rd.ConfirmedReads, c.confirmedReads = c.confirmedReads, nil
	rd.DroppedReads, c.droppedReads = c.droppedReads, nil
	return rd
}

// replicate sends entries that have not been sent to members yet, and announces
// a new commit index, which would otherwise wait for the next heartbeat.
func (c *Core) replicate() {
	for _, m := range c.members {
		p := c.progress[m.ID]
		if m.ID != c.options.ID && (p.next <= c.lastIndex() || c.announceCommit) && p.next > c.base && p.recentlyActive && !c.inTransfer(p) {
			c.sendAppend(m.ID)
		}
	}
	c.announceCommit = false
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Snapshot == nil && r.HardState == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.ConfirmedReads) == 0 && len(r.DroppedReads) == 0
}

// MustSync reports whether a Ready must be on disk before its messages are sent.
// A higher commit index alone need not be: it is learned again after a restart.
func (c *Core) MustSync(rd Ready) bool {
	voteChanged := rd.HardState != nil && (rd.HardState.Term != c.handledHardState.Term || rd.HardState.Vote != c.handledHardState.Vote)
	return rd.Snapshot != nil || len(rd.Entries) > 0 || voteChanged
}

// Advance notifies the core that a Ready has been processed.
func (c *Core) Advance(rd Ready) error {
	if rd.Snapshot != nil && c.snapshot == rd.Snapshot {
		c.snapshotUnsaved = false
	}
	if rd.HardState != nil {
		c.handledHardState = *rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		last := rd.Entries[n-1]
		if c.termAt(last.Index) == last.Term {
			c.stable = max(c.stable, last.Index)
		}
	}
	for _, e := range rd.Committed {
		if err := c.apply(e); err != nil {
			return err
		}
	}
	if c.unverified {
		c.verifyFollower()
	}
	if c.role == Leader {
		c.advanceCommit()
	}
	return nil
}

func (c *Core) apply(e Entry) error {
	c.applied = e.Index
	if e.Type == EntryMembers {
		return c.applyMembers(e)
	}
	return nil
}

// Compact makes data, the state machine at the applied index, the newest
// snapshot. The last keep entries before it are retained, so that members that
// lag slightly need no snapshot.
func (c *Core) Compact(data []byte, keep uint64) *Snapshot {
	if c.applied <= c.snapshot.Index {
		return c.snapshot
	}
	c.snapshot = &Snapshot{Index: c.applied, Term: c.termAt(c.applied), Members: c.membersAt(c.applied), Data: data}
	if c.applied <= c.base+keep {
		return c.snapshot
	}
	first := c.applied - keep
	term := c.termAt(first)
	c.entries = slices.Clone(c.entries[first-c.base:])
	c.base, c.baseTerm = first, term
	return c.snapshot
}

// Tail returns the entries after the snapshot that are on disk.
func (c *Core) Tail() []Entry {
	return slices.Clone(c.entries[c.snapshot.Index-c.base : c.stable-c.base])
}
