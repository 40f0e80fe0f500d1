// Package raft implements the Raft consensus algorithm without I/O or a clock:
// a driver feeds it ticks and messages and processes what Ready returns.
//
// Source: Ongaro, "Consensus: bridging theory and practice", 2014: chapters 3
// (log), 4.1 (one member at a time), 4.2.1 (learners), 6.4 (read index), 9.6
// (pre-vote), and check-quorum.
package raft

import (
	"errors"
	"math/rand/v2"
	"slices"
)

// Role is the Raft role of a replica.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Limits of one append message.
const (
	maxEntriesPerMessage    = 256
	maxEntryBytesPerMessage = 512 << 10
)

var (
	// ErrNotLeader is returned by operations that only the leader can perform.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrChangePending is returned while a membership change is in progress.
	ErrChangePending = errors.New("raft: a membership change is in progress")
)

// Options of a Core, in ticks.
type Options struct {
	ID             uint64
	ElectionTicks  int
	HeartbeatTicks int
	Seed           uint64
	// Unverified is set if the persisted state may be an old copy.
	Unverified bool
}

// State is the persisted state that a Core starts from.
type State struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// progress is the leader's view of one member.
type progress struct {
	match          uint64
	next           uint64
	recentlyActive bool
	round          uint64
	// sinceReply is the number of ticks since the member's last reply.
	sinceReply int
	// snapshotRetryTicks is the number of ticks left before a snapshot is sent again.
	snapshotRetryTicks int
	// transfer is the last large message of entries.
	transfer transfer
}

type readRequest struct {
	id    uint64
	round uint64
	index uint64
}

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	options Options
	random  *rand.Rand

	role   Role
	term   uint64
	vote   uint64
	leader uint64

	// entries are the log after the index base, which is at or before the
	// snapshot's index.
	entries          []Entry
	base             uint64
	baseTerm         uint64
	snapshot         *Snapshot
	snapshotUnsaved  bool
	stable           uint64
	commit           uint64
	applied          uint64
	handledHardState HardState

	members          []Member
	progress         map[uint64]*progress
	votes            map[uint64]ballot
	unverified       bool
	restoredCommit   uint64 // commit index that an unverified replica had on disk
	contacts         contacts
	lastChangeIndex  uint64
	termStart        uint64 // index of the first entry of this leader's term
	announceCommit   bool   // members have not been sent the current commit index
	writesSuspended  bool
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	round            uint64
	pendingReads     []readRequest
	confirmedReads   []uint64
	droppedReads     []uint64
	messages         []Message
}

// New returns a follower with the persisted state.
func New(options Options, state State) *Core {
	c := &Core{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, options.ID)),
		term:     state.HardState.Term,
		vote:     state.HardState.Vote,
		snapshot: &Snapshot{},
		entries:  slices.Clone(state.Entries),
		contacts: newContacts(),
	}
	if state.Snapshot != nil {
		c.snapshot = state.Snapshot
	}
	c.base, c.baseTerm = c.snapshot.Index, c.snapshot.Term
	c.commit = max(c.snapshot.Index, min(state.HardState.Commit, c.lastIndex()))
	c.applied = c.snapshot.Index
	c.stable = c.lastIndex()
	if options.Unverified {
		c.startUnverified()
	}
	c.reloadMembers()
	c.handledHardState = c.currentHardState()
	c.resetTimeout()
	return c
}

func (c *Core) currentHardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: max(c.commit, c.restoredCommit)}
}

func (c *Core) lastIndex() uint64 { return c.base + uint64(len(c.entries)) }

func (c *Core) termAt(index uint64) uint64 {
	if index == c.base {
		return c.baseTerm
	}
	if index < c.base || index > c.lastIndex() {
		return 0
	}
	return c.entries[index-c.base-1].Term
}

func (c *Core) resetTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.options.ElectionTicks + c.random.IntN(c.options.ElectionTicks)
}

// Tick advances the election and heartbeat timers by one tick.
func (c *Core) Tick() {
	c.contacts.ticks++
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed < c.electionTimeout {
		return
	}
	c.leader = 0
	if c.isVoter(c.options.ID) && !c.writesSuspended {
		c.campaign(PreCandidate)
	}
}

// SuspendWrites excludes a replica whose log cannot be written from elections
// and commits: it steps down, does not campaign, grants no votes and accepts no
// entries. Entries that are not on disk are dropped; none of them was
// acknowledged.
func (c *Core) SuspendWrites() {
	c.writesSuspended = true
	if c.role != Follower {
		c.become(Follower, c.term, 0)
	}
	c.entries = slices.Clone(c.entries[:c.stable-c.base])
	c.commit = min(c.commit, c.stable)
	c.reloadMembers()
	c.messages = nil
}

// ResumeWrites undoes SuspendWrites.
func (c *Core) ResumeWrites() { c.writesSuspended = false }

// WritesSuspended reports whether SuspendWrites is in effect.
func (c *Core) WritesSuspended() bool { return c.writesSuspended }

func (c *Core) tickLeader() {
	for _, p := range c.progress {
		p.snapshotRetryTicks = max(0, p.snapshotRetryTicks-1)
		p.transfer.ticksLeft = max(0, p.transfer.ticksLeft-1)
		p.sinceReply++
	}
	c.heartbeatElapsed++
	if c.electionElapsed >= c.options.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorum(func(id uint64) bool { return id == c.options.ID || c.RecentlyActive(id) }) {
			c.become(Follower, c.term, 0)
			return
		}
		for _, p := range c.progress {
			p.recentlyActive = false
		}
	}
	if c.heartbeatElapsed >= c.options.HeartbeatTicks {
		c.broadcast()
	}
}

func (c *Core) become(role Role, term, leader uint64) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	if c.role == Leader && role != Leader {
		for _, r := range c.pendingReads {
			c.droppedReads = append(c.droppedReads, r.id)
		}
		c.pendingReads = nil
	}
	c.role = role
	c.leader = leader
	c.votes = map[uint64]ballot{}
	c.resetTimeout()
}

func (c *Core) campaign(role Role) {
	term := c.term + 1
	kind := MessagePreVote
	if role == Candidate {
		kind = MessageVote
		c.become(Candidate, term, 0)
		c.vote = c.options.ID
	} else {
		c.contacts.beginCampaign()
		c.become(PreCandidate, c.term, 0)
	}
	c.votes[c.options.ID] = ballot{granted: true, unverified: c.unverified}
	if c.winsElection() {
		c.electionWon()
		return
	}
	last := c.lastIndex()
	for _, m := range c.members {
		if m.Voter && m.ID != c.options.ID {
			c.send(Message{Type: kind, To: m.ID, Term: term, Index: last, LogTerm: c.termAt(last)})
		}
	}
}

func (c *Core) electionWon() {
	if c.role == PreCandidate {
		c.campaign(Candidate)
		return
	}
	c.verify()
	c.become(Leader, c.term, c.options.ID)
	c.progress = map[uint64]*progress{}
	c.lastChangeIndex = c.lastIndex()
	c.syncProgress()
	c.termStart = c.appendEntry(EntryNoOp, nil)
	c.broadcast()
}

func (c *Core) syncProgress() {
	updated := map[uint64]*progress{}
	for _, m := range c.members {
		p := c.progress[m.ID]
		if p == nil {
			p = &progress{next: c.lastIndex() + 1, recentlyActive: true}
		}
		updated[m.ID] = p
	}
	c.progress = updated
}

func (c *Core) appendEntry(kind EntryType, data []byte) uint64 {
	index := c.lastIndex() + 1
	c.entries = append(c.entries, Entry{Index: index, Term: c.term, Type: kind, Data: data})
	return index
}

// Propose appends a command to the leader's log.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = c.appendEntry(EntryCommand, data)
	return index, c.term, nil
}

// ReadIndex registers a read barrier under an ID chosen by the caller.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader || c.termAt(c.commit) != c.term {
		return ErrNotLeader
	}
	c.broadcast()
	c.pendingReads = append(c.pendingReads, readRequest{id: id, round: c.round, index: c.commit})
	c.confirmReads()
	return nil
}

func (c *Core) confirmReads() {
	for len(c.pendingReads) > 0 {
		r := c.pendingReads[0]
		confirmed := c.quorum(func(id uint64) bool { return id == c.options.ID || c.progress[id].round >= r.round })
		if !confirmed {
			return
		}
		c.confirmedReads = append(c.confirmedReads, r.id)
		c.pendingReads = c.pendingReads[1:]
	}
}

func (c *Core) send(m Message) {
	m.From, m.Unverified = c.options.ID, c.unverified
	c.messages = append(c.messages, m)
}

func (c *Core) broadcast() {
	c.heartbeatElapsed = 0
	c.round++
	for _, m := range c.members {
		if m.ID != c.options.ID {
			c.sendAppend(m.ID)
		}
	}
}

func (c *Core) sendAppend(to uint64) {
	p := c.progress[to]
	if p.next <= c.base {
		c.sendSnapshot(to, p)
		return
	}
	if c.inTransfer(p) {
		c.send(c.emptyAppend(to, p.transfer.prev))
		return
	}
	m := c.emptyAppend(to, p.next-1)
	m.Entries = c.entriesFrom(p.next)
	p.next += uint64(len(m.Entries))
	p.transfer = c.newTransfer(m)
	c.send(m)
}

// emptyAppend returns an append message without entries.
func (c *Core) emptyAppend(to, prev uint64) Message {
	return Message{Type: MessageAppend, To: to, Term: c.term, Index: prev, LogTerm: c.termAt(prev), Commit: c.commit, Round: c.round}
}

func (c *Core) sendSnapshot(to uint64, p *progress) {
	if p.snapshotRetryTicks > 0 {
		// A heartbeat keeps the member from campaigning while it installs the snapshot.
		c.send(Message{Type: MessageAppend, To: to, Term: c.term, Index: c.base, LogTerm: c.baseTerm, Round: c.round})
		return
	}
	p.snapshotRetryTicks = c.options.ElectionTicks + c.transferTicks(len(c.snapshot.Data))
	c.send(Message{Type: MessageSnapshot, To: to, Term: c.term, Snapshot: c.snapshot, Round: c.round})
}

// entriesFrom returns a copy of the entries from index on, up to the limits of
// one message.
func (c *Core) entriesFrom(index uint64) []Entry {
	remaining := c.entries[index-c.base-1:]
	size, n := 0, 0
	for n < len(remaining) && n < maxEntriesPerMessage && size < maxEntryBytesPerMessage {
		size += len(remaining[n].Data)
		n++
	}
	return slices.Clone(remaining[:n])
}
