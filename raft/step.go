package raft

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Step takes in one message.
func (c *Core) Step(m Message) {
	if m.To != c.options.ID || c.barred && m.AsksForVote() {
		return
	}
	if m.Term > c.term && !c.newerTerm(m) {
		return
	}
	if m.Term < c.term {
		c.stale(m)
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

// newerTerm handles a message of a later term; false means it is dropped.
func (c *Core) newerTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote, MessageVote:
		if c.leader != 0 && c.elapsed < c.options.ElectionTicks {
			return false // a leader is in touch: no vote now
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

// stale tells a sender of an old term about the present one.
func (c *Core) stale(m Message) {
	switch m.Type {
	case MessageAppend, MessageSnapshot:
		c.send(Message{Type: MessageAppendReply, To: m.From, Term: c.term, Reject: true})
	case MessagePreVote:
		c.send(Message{Type: MessagePreVoteReply, To: m.From, Term: c.term, Reject: true})
	}
}

func (c *Core) upToDate(m Message) bool {
	last := c.lastIndex()
	term := c.termAt(last)
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= last)
}

func (c *Core) grantPreVote(m Message) {
	if c.upToDate(m) {
		c.send(Message{Type: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.send(Message{Type: MessagePreVoteReply, To: m.From, Term: c.term, Reject: true})
}

func (c *Core) stepVote(m Message) {
	if m.Type == MessagePreVote {
		if c.leader == 0 || c.elapsed >= c.options.ElectionTicks {
			c.grantPreVote(m)
		}
		return
	}
	free := c.vote == 0 && c.leader == 0 || c.vote == m.From
	grant := free && c.upToDate(m)
	if grant {
		c.vote = m.From
		c.elapsed = 0
	}
	c.send(Message{Type: MessageVoteReply, To: m.From, Term: c.term, Reject: !grant})
}

func (c *Core) stepVoteReply(m Message) {
	pre := m.Type == MessagePreVoteReply
	if pre && (c.role != PreCandidate || (!m.Reject && m.Term != c.term+1)) {
		return
	}
	if !pre && c.role != Candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.quorum(func(id uint64) bool { return c.votes[id] }) {
		c.won()
	}
}

func (c *Core) follow(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.become(Follower, c.term, m.From)
	}
	c.elapsed = 0
}

func (c *Core) stepAppend(m Message) {
	c.follow(m)
	if c.barred {
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
		reply.Index = min(c.lastIndex(), m.Index-1)
		c.send(reply)
		return
	}
	c.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	reply.Index = last
	c.send(reply)
}

// merge appends entries, dropping a tail that conflicts.
func (c *Core) merge(entries []Entry) {
	for i, e := range entries {
		if e.Index <= c.lastIndex() && c.termAt(e.Index) == e.Term {
			continue
		}
		if e.Index <= c.lastIndex() {
			c.entries = slices.Clone(c.entries[:e.Index-c.base-1])
			c.stable = min(c.stable, e.Index-1)
		}
		c.entries = append(c.entries, entries[i:]...)
		return
	}
}

func (c *Core) stepSnapshot(m Message) {
	c.follow(m)
	if c.barred {
		return
	}
	s := m.Snapshot
	reply := Message{Type: MessageAppendReply, To: m.From, Term: c.term, Round: m.Round, Index: c.commit}
	if s.Index > c.commit {
		c.install(s)
		reply.Index = s.Index
	}
	c.send(reply)
}

func (c *Core) install(s *Snapshot) {
	if c.termAt(s.Index) == s.Term && s.Index <= c.lastIndex() {
		c.entries = slices.Clone(c.entries[s.Index-c.base:])
	} else {
		c.entries = nil
	}
	c.base, c.baseTerm = s.Index, s.Term
	c.snap = s
	c.snapNew = true
	c.commit = s.Index
	c.applied = s.Index
	c.stable = s.Index
	c.members = slices.Clone(s.Members)
}

func (c *Core) stepAppendReply(m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.active = true
	p.silent = 0
	p.round = max(p.round, m.Round)
	if m.Reject {
		p.flight = flight{}
		p.next = max(p.match+1, min(p.next, m.Index+1))
		if p.paused == 0 {
			c.sendAppend(m.From)
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.paused = 0
		c.advanceCommit()
	}
	p.next = max(p.next, p.match+1)
	c.confirmReads()
	if c.inFlight(p) {
		if p.flight.ticks > 0 {
			return
		}
		p.next, p.flight = p.flight.prev+1, flight{}
	}
	if p.next <= c.lastIndex() {
		c.sendAppend(m.From)
	}
}

// advanceCommit commits what a quorum holds, of the present term only. The
// leader's own entries count once they are on disk.
func (c *Core) advanceCommit() {
	for index := c.lastIndex(); index > c.commit && c.termAt(index) == c.term; index-- {
		held := func(id uint64) bool {
			if id == c.options.ID {
				return c.stable >= index
			}
			return c.Match(id) >= index
		}
		if c.quorum(held) {
			c.commit = index
			c.tell = true
			return
		}
	}
}

// Ready returns what is to be done now.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.replicate()
	}
	var rd Ready
	if c.snapNew {
		rd.Snapshot = c.snap
	}
	if h := c.hard(); h != c.lastHard {
		rd.HardState = &h
	}
	rd.Entries = slices.Clone(c.entries[c.stable-c.base:])
	rd.Messages = c.messages
	c.messages = nil
	rd.Committed = slices.Clone(c.entries[c.applied-c.base : c.commit-c.base])
	rd.Reads, c.readsReady = c.readsReady, nil
	rd.Dropped, c.dropped = c.dropped, nil
	return rd
}

// replicate sends entries that members do not have on the way yet, and tells of
// a new commit, which would else wait for the next heartbeat.
func (c *Core) replicate() {
	for id, p := range c.progress {
		if id != c.options.ID && (p.next <= c.lastIndex() || c.tell) && p.next > c.base && p.active && !c.inFlight(p) {
			c.sendAppend(id)
		}
	}
	c.tell = false
}

// Empty tells whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Snapshot == nil && r.HardState == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.Dropped) == 0
}

// Durable tells whether a Ready must be on disk before its messages leave. A
// later commit alone need not be: it is learned again.
func (c *Core) Durable(rd Ready) bool {
	changed := rd.HardState != nil && (rd.HardState.Term != c.lastHard.Term || rd.HardState.Vote != c.lastHard.Vote)
	return rd.Snapshot != nil || len(rd.Entries) > 0 || changed
}

// Advance tells the core that a Ready has been carried out.
func (c *Core) Advance(rd Ready) error {
	if rd.Snapshot != nil && c.snap == rd.Snapshot {
		c.snapNew = false
	}
	if rd.HardState != nil {
		c.lastHard = *rd.HardState
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
	if c.role == Leader {
		c.advanceCommit()
	}
	return nil
}

func (c *Core) apply(e Entry) error {
	c.applied = e.Index
	if e.Type != EntryMembers {
		return nil
	}
	var members []Member
	if err := json.Unmarshal(e.Data, &members); err != nil {
		return fmt.Errorf("decode members: %w", err)
	}
	c.members = members
	if c.role != Leader {
		return nil
	}
	if !c.voter(c.options.ID) {
		c.become(Follower, c.term, 0)
		return nil
	}
	c.syncProgress()
	return nil
}

// Compact makes data, the state machine at the applied index, the newest
// snapshot. The last keep entries before it stay, for members that lag a little.
func (c *Core) Compact(data []byte, keep uint64) *Snapshot {
	if c.applied <= c.snap.Index {
		return c.snap
	}
	c.snap = &Snapshot{Index: c.applied, Term: c.termAt(c.applied), Members: slices.Clone(c.members), Data: data}
	if c.applied <= c.base+keep {
		return c.snap
	}
	first := c.applied - keep
	term := c.termAt(first)
	c.entries = slices.Clone(c.entries[first-c.base:])
	c.base, c.baseTerm = first, term
	return c.snap
}

// Tail returns the entries after the snapshot that are on disk.
func (c *Core) Tail() []Entry {
	return slices.Clone(c.entries[c.snap.Index-c.base : c.stable-c.base])
}
