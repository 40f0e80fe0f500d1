package votergroup

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"wheelgauge/raft"
)

const (
	electionTicks = 10
	joinTicks     = 4
	// joinHangTicks is how long a call to a store that hangs takes.
	joinHangTicks = 20
	// settleTicks is the time to catch up: an election, a join and the changes of members.
	settleTicks = 8 * electionTicks
	wanted      = 5
	tolerated   = 2
)

var testOptions = Options{Voters: wanted, ReplaceVoterTicks: 3 * electionTicks, RemoveLearnerTicks: 20 * electionTicks, LeaveTicks: 3 * electionTicks}

// store is one replica with its disk. Its name stays when it loses the disk; its ID does not.
type store struct {
	name    string
	core    *raft.Core
	planner *Planner
	disk    raft.State
	// peers are the stores that it knows besides its members: its seeds, and senders of messages.
	peers []string
	// asleep stores process nothing, but take connections; down ones do not run.
	asleep, down bool
	inbox        []raft.Message
	joinAt       int
	// hanging has, by name, the tick at which a call to a store that does not answer ends.
	hanging map[string]int
	// successor is the ID under which it joins while its disk is an unverified copy.
	successor uint64
	// full makes writes to its disk fail.
	full bool
}

// group is a cluster of stores without a network.
type group struct {
	t         *testing.T
	stores    map[string]*store
	order     []string
	tick      int
	lastID    uint64
	committed map[uint64]string
	leaders   map[uint64]uint64
	loss      func() bool
}

func newGroup(t *testing.T) *group {
	g := &group{t: t, stores: map[string]*store{}, committed: map[uint64]string{}, leaders: map[uint64]uint64{}, loss: func() bool { return false }}
	var members []raft.Member
	for i := range wanted {
		members = append(members, raft.Member{ID: uint64(i + 1), Name: string(rune('a' + i)), Address: string(rune('a' + i)), Voter: true})
	}
	for _, m := range members {
		g.add(m.Name, m.ID, raft.State{Snapshot: &raft.Snapshot{Index: 1, Term: 1, Members: members, Data: json.RawMessage(`{}`)}, HardState: raft.HardState{Term: 1, Commit: 1}}, "a", "b", "c")
	}
	g.lastID = 100
	g.run(settleTicks)
	return g
}

func (g *group) add(name string, id uint64, disk raft.State, seeds ...string) {
	g.order = append(g.order, name)
	g.stores[name] = &store{name: name, disk: disk, peers: seeds}
	g.start(name, id)
}

// blank starts a new store on an empty disk, or one that lost it.
func (g *group) blank(name string, seeds ...string) {
	g.lastID++
	if s := g.stores[name]; s != nil {
		s.disk, s.peers = raft.State{}, append(seeds, s.peers...)
		g.start(name, g.lastID)
		return
	}
	g.add(name, g.lastID, raft.State{}, seeds...)
}

func (g *group) start(name string, id uint64) { g.open(name, id, false) }

// startCopy starts a store on a copy of its disk, which may be old.
func (g *group) startCopy(name string, disk raft.State) {
	g.lastID++
	s := g.stores[name]
	s.disk, s.successor = disk, g.lastID
	g.open(name, s.core.ID(), true)
}

func (g *group) open(name string, id uint64, unverified bool) {
	s := g.stores[name]
	s.core = raft.New(raft.Options{ID: id, ElectionTicks: electionTicks, HeartbeatTicks: 2, Seed: id + uint64(g.tick), Unverified: unverified}, s.disk)
	s.planner, s.down, s.asleep, s.inbox, s.hanging = New(testOptions), false, false, nil, map[string]int{}
	g.ready(s)
}

func (g *group) restart(names ...string) {
	for _, name := range names {
		g.start(name, g.stores[name].core.ID())
	}
}

func (g *group) each(names string, f func(s *store)) {
	for _, name := range names {
		f(g.stores[string(name)])
	}
}

func (g *group) sleep(names string) { g.each(names, func(s *store) { s.asleep = true }) }
func (g *group) wake(names string)  { g.each(names, func(s *store) { s.asleep = false }) }
func (g *group) kill(names string)  { g.each(names, func(s *store) { s.down = true }) }

func (g *group) run(ticks int) {
	for range ticks {
		g.tick++
		for _, name := range g.order {
			s := g.stores[name]
			if s.down || s.asleep {
				continue
			}
			s.core.Tick()
			if next, _ := s.planner.Next(s.core); next != nil {
				_, _, _ = s.core.ProposeMembers(next) // refused while a change is pending: planned again
			}
			if NeedsJoin(s.core) && g.tick >= s.joinAt {
				s.joinAt = g.tick + joinTicks
				g.join(s)
			}
			for inbox := s.inbox; len(inbox) > 0; inbox = inbox[1:] {
				s.core.Step(inbox[0])
			}
			s.inbox = nil
			g.ready(s)
		}
	}
}

// join asks all stores that s knows, as replica.joiner does.
func (g *group) join(s *store) {
	names := slices.Clone(s.peers)
	for _, m := range s.core.Members() {
		names = append(names, m.Address)
	}
	for _, name := range names {
		peer := g.stores[name]
		if name == s.name || peer.down || g.tick < s.hanging[name] {
			continue
		}
		leader := g.byID(peer.core.Leader())
		if peer.asleep || leader != nil && leader.asleep {
			s.hanging[name] = g.tick + joinHangTicks
			continue
		}
		if leader == nil || leader.down {
			continue
		}
		id := s.core.ID()
		if s.core.Unverified() {
			id = s.successor
		}
		next, err := leader.planner.Join(leader.core, raft.Member{ID: id, Name: s.name, Address: s.name})
		if err == nil && next != nil {
			_, _, _ = leader.core.ProposeMembers(next)
		}
		if err == nil && next == nil && s.core.Unverified() && !leader.core.ChangePending() {
			s.disk = raft.State{}
			g.start(s.name, s.successor)
			return
		}
	}
}

func (g *group) byID(id uint64) *store {
	for _, s := range g.stores {
		if s.core.ID() == id && id != 0 {
			return s
		}
	}
	return nil
}

func (g *group) ready(s *store) {
	for {
		rd := s.core.Ready()
		if rd.Empty() {
			return
		}
		if s.full && s.core.MustSync(rd) {
			s.core.SuspendWrites()
			return
		}
		if rd.Snapshot != nil {
			s.disk.Snapshot, s.disk.Entries = rd.Snapshot, nil
		}
		if rd.HardState != nil {
			s.disk.HardState = *rd.HardState
		}
		for _, e := range rd.Entries {
			s.disk.Entries = slices.DeleteFunc(s.disk.Entries, func(o raft.Entry) bool { return o.Index >= e.Index })
			s.disk.Entries = append(s.disk.Entries, e)
		}
		for _, m := range rd.Messages {
			g.send(s, m)
		}
		for _, e := range rd.Committed {
			text := fmt.Sprint(e.Term, e.Type, string(e.Data))
			if earlier, ok := g.committed[e.Index]; ok && earlier != text {
				g.t.Fatalf("index %d is committed twice: %s and %s", e.Index, earlier, text)
			}
			g.committed[e.Index] = text
		}
		if err := s.core.Advance(rd); err != nil {
			g.t.Fatal(err)
		}
		if s.core.Role() == raft.Leader {
			if other, ok := g.leaders[s.core.Term()]; ok && other != s.core.ID() {
				g.t.Fatalf("term %d has two leaders", s.core.Term())
			}
			g.leaders[s.core.Term()] = s.core.ID()
		}
	}
}

// send delivers a message to the address that the sender has for its receiver, which may run
// under another ID by now.
func (g *group) send(from *store, m raft.Message) {
	to := g.byID(m.To)
	if members := from.core.Members(); indexOf(members, m.To) >= 0 {
		to = g.stores[members[indexOf(members, m.To)].Address]
	}
	if to == nil || to.down || g.loss() {
		return
	}
	if !slices.Contains(to.peers, from.name) {
		to.peers = append(to.peers, from.name)
	}
	to.inbox = append(to.inbox, m)
}

// leader returns the leader of the latest term that runs, or nil.
func (g *group) leader() *store {
	var found *store
	for _, s := range g.stores {
		if !s.down && !s.asleep && s.core.Role() == raft.Leader && (found == nil || s.core.Term() > found.core.Term()) {
			found = s
		}
	}
	return found
}
