// Package raft is a replicated log without I/O or clock: a driver feeds it
// ticks and messages and carries out what Ready returns.
//
// Source: Ongaro, "Consensus: bridging theory and practice", 2014: chapters 3
// (log), 4.1 (one member at a time), 4.2.1 (learners), 6.4 (read index), 9.6
// (pre-vote), and check-quorum.
package raft

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Role is what a replica does now.
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
	maxEntriesPerMessage = 256
	maxBytesPerMessage   = 512 << 10
)

var (
	// ErrNotLeader is returned by what only a leader does.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrChangePending is returned while a change of members is under way.
	ErrChangePending = errors.New("raft: a change of members is under way")
)

// Options of a Core, in ticks.
type Options struct {
	ID             uint64
	ElectionTicks  int
	HeartbeatTicks int
	Seed           uint64
}

// State is what was persisted.
type State struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// progress is the leader's view of one member.
type progress struct {
	match  uint64
	next   uint64
	active bool
	round  uint64
	// silent is the number of ticks since the member's last answer.
	silent int
	// paused is the number of ticks left before a snapshot is sent again.
	paused int
	// flight is the last large message of entries.
	flight flight
}

type read struct {
	id    uint64
	round uint64
	index uint64
}

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	options Options
	rnd     *rand.Rand

	role   Role
	term   uint64
	vote   uint64
	leader uint64

	// entries stand after base, which is at or before the snapshot.
	entries  []Entry
	base     uint64
	baseTerm uint64
	snap     *Snapshot
	snapNew  bool
	stable   uint64
	commit   uint64
	applied  uint64
	lastHard HardState

	members    []Member
	progress   map[uint64]*progress
	votes      map[uint64]bool
	changeAt   uint64
	tell       bool // the commit is news for the members
	barred     bool
	elapsed    int
	heartbeat  int
	timeout    int
	round      uint64
	reads      []read
	readsReady []uint64
	dropped    []uint64
	messages   []Message
}

// New returns a follower with the persisted state.
func New(options Options, state State) *Core {
	c := &Core{
		options: options,
		rnd:     rand.New(rand.NewPCG(options.Seed, options.ID)),
		term:    state.HardState.Term,
		vote:    state.HardState.Vote,
		snap:    &Snapshot{},
		entries: slices.Clone(state.Entries),
	}
	if state.Snapshot != nil {
		c.snap = state.Snapshot
		c.members = slices.Clone(state.Snapshot.Members)
	}
	c.base, c.baseTerm = c.snap.Index, c.snap.Term
	c.commit = max(c.snap.Index, min(state.HardState.Commit, c.lastIndex()))
	c.applied = c.snap.Index
	c.stable = c.lastIndex()
	c.lastHard = c.hard()
	c.resetTimeout()
	return c
}

func (c *Core) hard() HardState { return HardState{Term: c.term, Vote: c.vote, Commit: c.commit} }

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
	c.elapsed = 0
	c.timeout = c.options.ElectionTicks + c.rnd.IntN(c.options.ElectionTicks)
}

func (c *Core) voter(id uint64) bool {
	i := slices.IndexFunc(c.members, func(m Member) bool { return m.ID == id })
	return i >= 0 && c.members[i].Voter
}

func (c *Core) quorum(yes func(id uint64) bool) bool {
	voters, count := 0, 0
	for _, m := range c.members {
		if !m.Voter {
			continue
		}
		voters++
		if yes(m.ID) {
			count++
		}
	}
	return voters > 0 && count > voters/2
}

// Tick moves time by one step.
func (c *Core) Tick() {
	c.elapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed < c.timeout {
		return
	}
	c.leader = 0
	if c.voter(c.options.ID) && !c.barred {
		c.campaign(PreCandidate)
	}
}

// Bar keeps a replica whose log cannot be written out of the group's decisions:
// it leads no more, campaigns not, votes for nobody and takes no entries. What
// is not on disk is dropped; nobody was told that it is held.
func (c *Core) Bar() {
	c.barred = true
	if c.role != Follower {
		c.become(Follower, c.term, 0)
	}
	c.entries = slices.Clone(c.entries[:c.stable-c.base])
	c.commit = min(c.commit, c.stable)
	c.messages = nil
}

// Unbar ends Bar.
func (c *Core) Unbar() { c.barred = false }

// Barred tells whether Bar is in force.
func (c *Core) Barred() bool { return c.barred }

func (c *Core) tickLeader() {
	for _, p := range c.progress {
		p.paused = max(0, p.paused-1)
		p.flight.ticks = max(0, p.flight.ticks-1)
		p.silent++
	}
	c.heartbeat++
	if c.elapsed >= c.options.ElectionTicks {
		c.elapsed = 0
		if !c.quorum(func(id uint64) bool { return id == c.options.ID || c.Active(id) }) {
			c.become(Follower, c.term, 0)
			return
		}
		for _, p := range c.progress {
			p.active = false
		}
	}
	if c.heartbeat >= c.options.HeartbeatTicks {
		c.broadcast()
	}
}

func (c *Core) become(role Role, term, leader uint64) {
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	if c.role == Leader && role != Leader {
		for _, r := range c.reads {
			c.dropped = append(c.dropped, r.id)
		}
		c.reads = nil
	}
	c.role = role
	c.leader = leader
	c.votes = map[uint64]bool{}
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
		c.become(PreCandidate, c.term, 0)
	}
	c.votes[c.options.ID] = true
	if c.quorum(func(id uint64) bool { return c.votes[id] }) {
		c.won()
		return
	}
	last := c.lastIndex()
	for _, m := range c.members {
		if m.Voter && m.ID != c.options.ID {
			c.send(Message{Type: kind, To: m.ID, Term: term, Index: last, LogTerm: c.termAt(last)})
		}
	}
}

func (c *Core) won() {
	if c.role == PreCandidate {
		c.campaign(Candidate)
		return
	}
	c.become(Leader, c.term, c.options.ID)
	c.progress = map[uint64]*progress{}
	c.changeAt = c.lastIndex()
	c.syncProgress()
	c.append(EntryEmpty, nil)
	c.broadcast()
}

func (c *Core) syncProgress() {
	keep := map[uint64]*progress{}
	for _, m := range c.members {
		p := c.progress[m.ID]
		if p == nil {
			p = &progress{next: c.lastIndex() + 1, active: true}
		}
		keep[m.ID] = p
	}
	c.progress = keep
}

func (c *Core) append(kind EntryType, data []byte) uint64 {
	index := c.lastIndex() + 1
	c.entries = append(c.entries, Entry{Index: index, Term: c.term, Type: kind, Data: data})
	return index
}

// Propose appends a command to the leader's log.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = c.append(EntryCommand, data)
	return index, c.term, nil
}

// ProposeMembers changes the list of members by one.
func (c *Core) ProposeMembers(members []Member) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.changeAt > c.applied {
		return 0, 0, ErrChangePending
	}
	if difference(c.members, members) > 1 {
		return 0, 0, fmt.Errorf("raft: more than one member changes: %w", ErrChangePending)
	}
	data, err := json.Marshal(members)
	if err != nil {
		return 0, 0, fmt.Errorf("encode members: %w", err)
	}
	index = c.append(EntryMembers, data)
	c.changeAt = index
	return index, c.term, nil
}

func difference(a, b []Member) int {
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

// Read registers a barrier with a number of the caller's.
func (c *Core) Read(id uint64) error {
	if c.role != Leader || c.termAt(c.commit) != c.term {
		return ErrNotLeader
	}
	c.broadcast()
	c.reads = append(c.reads, read{id: id, round: c.round, index: c.commit})
	c.confirmReads()
	return nil
}

func (c *Core) confirmReads() {
	for len(c.reads) > 0 {
		r := c.reads[0]
		ok := c.quorum(func(id uint64) bool { return id == c.options.ID || c.progress[id].round >= r.round })
		if !ok {
			return
		}
		c.readsReady = append(c.readsReady, r.id)
		c.reads = c.reads[1:]
	}
}

func (c *Core) send(m Message) {
	m.From = c.options.ID
	c.messages = append(c.messages, m)
}

func (c *Core) broadcast() {
	c.heartbeat = 0
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
	if c.inFlight(p) {
		c.send(c.appendAfter(to, p.flight.prev))
		return
	}
	m := c.appendAfter(to, p.next-1)
	m.Entries = c.window(p.next)
	p.next += uint64(len(m.Entries))
	p.flight = c.newFlight(m)
	c.send(m)
}

// appendAfter returns an append without entries.
func (c *Core) appendAfter(to, prev uint64) Message {
	return Message{Type: MessageAppend, To: to, Term: c.term, Index: prev, LogTerm: c.termAt(prev), Commit: c.commit, Round: c.round}
}

func (c *Core) sendSnapshot(to uint64, p *progress) {
	if p.paused > 0 {
		// A heartbeat keeps the member from campaigning while it takes the snapshot in.
		c.send(Message{Type: MessageAppend, To: to, Term: c.term, Index: c.base, LogTerm: c.baseTerm, Round: c.round})
		return
	}
	p.paused = c.options.ElectionTicks + c.travelTicks(len(c.snap.Data))
	c.send(Message{Type: MessageSnapshot, To: to, Term: c.term, Snapshot: c.snap, Round: c.round})
}

// window returns a copy of the entries from index on, as one message may hold.
func (c *Core) window(index uint64) []Entry {
	rest := c.entries[index-c.base-1:]
	size, n := 0, 0
	for n < len(rest) && n < maxEntriesPerMessage && size < maxBytesPerMessage {
		size += len(rest[n].Data)
		n++
	}
	return slices.Clone(rest[:n])
}
