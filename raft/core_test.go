package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// replicaUnderTest is a core with a disk that loses what was not synced.
type replicaUnderTest struct {
	core    *Core
	disk    State
	applied []string
	base    []string
	down    bool
	frozen  bool
	// full is set while the disk takes no writes.
	full bool
	seed uint64
}

type schedule struct {
	t        *testing.T
	rnd      *rand.Rand
	replicas map[uint64]*replicaUnderTest
	order    []uint64
	net      []Message
	cut      map[[2]uint64]bool
	leaders  map[uint64]uint64
	chosen   map[uint64]string
	loss     float64
	// large is the length of some commands; all are small when it is 0.
	large int
	acked []string
}

func newSchedule(t *testing.T, seed uint64, voters int) *schedule {
	s := &schedule{
		t: t, rnd: rand.New(rand.NewPCG(seed, 7)), replicas: map[uint64]*replicaUnderTest{},
		cut: map[[2]uint64]bool{}, leaders: map[uint64]uint64{}, chosen: map[uint64]string{},
	}
	var members []Member
	for id := uint64(1); id <= uint64(voters); id++ {
		members = append(members, Member{ID: id, Name: fmt.Sprint("store-", id), Voter: true})
	}
	for _, m := range members {
		s.add(m.ID, State{Snapshot: &Snapshot{Index: 1, Term: 1, Members: members, Data: json.RawMessage("[]")}})
	}
	return s
}

func (s *schedule) add(id uint64, disk State) {
	r := &replicaUnderTest{disk: disk, seed: id}
	s.replicas[id] = r
	s.order = append(s.order, id)
	s.start(id)
}

func (s *schedule) start(id uint64) {
	r := s.replicas[id]
	r.seed += 100
	r.core = New(Options{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: r.seed}, r.disk)
	r.applied = nil
	if r.disk.Snapshot != nil {
		r.restore(r.disk.Snapshot)
	}
	r.down = false
}

func (r *replicaUnderTest) restore(snap *Snapshot) {
	r.base = nil
	_ = json.Unmarshal(snap.Data, &r.base)
	r.applied = slices.Clone(r.base)
}

// persist writes a Ready; point says where a crash strikes (0 for none).
func (r *replicaUnderTest) persist(rd Ready, point int) bool {
	if point == 1 {
		return false
	}
	if rd.Snapshot != nil {
		r.disk.Snapshot = rd.Snapshot
		r.disk.Entries = nil
	}
	if rd.HardState != nil {
		r.disk.HardState = *rd.HardState
	}
	for _, e := range rd.Entries {
		keep := slices.IndexFunc(r.disk.Entries, func(o Entry) bool { return o.Index >= e.Index })
		if keep >= 0 {
			r.disk.Entries = slices.Clone(r.disk.Entries[:keep])
		}
		r.disk.Entries = append(r.disk.Entries, e)
	}
	return point != 2
}

func (s *schedule) pump(id uint64, point int) {
	r := s.replicas[id]
	if r.down || r.frozen {
		return
	}
	rd := r.core.Ready()
	if rd.Empty() {
		return
	}
	if r.full && r.core.Durable(rd) {
		r.core.Bar()
		return
	}
	if !r.full && !r.persist(rd, point) {
		r.down = true
		return
	}
	if point == 3 {
		s.net = append(s.net, rd.Messages[:len(rd.Messages)/2]...)
		r.down = true
		return
	}
	s.net = append(s.net, rd.Messages...)
	if rd.Snapshot != nil {
		r.restore(rd.Snapshot)
	}
	for _, e := range rd.Committed {
		s.apply(r, e)
	}
	if err := r.core.Advance(rd); err != nil {
		s.t.Fatalf("advance: %v", err)
	}
	s.checkLeader(id)
}

func (s *schedule) apply(r *replicaUnderTest, e Entry) {
	text := fmt.Sprint(e.Term, e.Type, string(e.Data))
	if was, ok := s.chosen[e.Index]; ok && was != text {
		s.t.Fatalf("index %d committed twice: %s and %s", e.Index, was, text)
	}
	s.chosen[e.Index] = text
	if e.Type == EntryCommand {
		r.applied = append(r.applied, string(e.Data))
	}
}

func (s *schedule) checkLeader(id uint64) {
	c := s.replicas[id].core
	if c.Role() != Leader {
		return
	}
	if other, ok := s.leaders[c.Term()]; ok && other != id {
		s.t.Fatalf("term %d has leaders %d and %d", c.Term(), other, id)
	}
	s.leaders[c.Term()] = id
}

func (s *schedule) deliver() {
	n := len(s.net)
	for range min(n, 6) {
		i := s.rnd.IntN(len(s.net))
		m := s.net[i]
		if s.rnd.Float64() > 0.1 { // the rest is delivered again later
			s.net = slices.Delete(s.net, i, i+1)
		}
		r := s.replicas[m.To]
		if r == nil || r.down || r.frozen || s.cut[[2]uint64{m.From, m.To}] || s.rnd.Float64() < s.loss {
			continue
		}
		r.core.Step(m)
		s.pump(m.To, s.crashPoint())
	}
	if len(s.net) > 400 {
		s.net = s.net[len(s.net)-400:]
	}
}

func (s *schedule) crashPoint() int {
	if s.loss > 0 && s.rnd.IntN(400) == 0 {
		return 1 + s.rnd.IntN(3)
	}
	return 0
}

func (s *schedule) trouble() {
	a, b := s.pick(), s.pick()
	switch s.rnd.IntN(10) {
	case 8:
		s.replicas[a].full = true
	case 9:
		s.replicas[a].write()
	case 0:
		s.cut[[2]uint64{a, b}] = true // one way
	case 1, 2:
		clear(s.cut)
	case 3:
		s.replicas[a].frozen = true
	case 4, 5:
		s.replicas[a].frozen = false
	default:
		if s.replicas[a].down {
			s.start(a)
		}
	}
}

// write lets the disk take writes again.
func (r *replicaUnderTest) write() {
	r.full = false
	r.core.Unbar()
}

func (s *schedule) pick() uint64 { return s.order[s.rnd.IntN(len(s.order))] }

func (s *schedule) round(number int) {
	for _, id := range s.order {
		if r := s.replicas[id]; !r.down && !r.frozen {
			r.core.Tick()
			s.pump(id, s.crashPoint())
		}
	}
	s.deliver()
	if number%3 == 0 {
		s.propose(number)
	}
	if number%50 == 0 {
		s.compact()
	}
}

func (s *schedule) propose(number int) {
	for _, id := range s.order {
		r := s.replicas[id]
		if r.down || r.frozen || r.core.Role() != Leader {
			continue
		}
		command := fmt.Appendf(nil, "%d", number)
		if s.large > 0 && s.rnd.IntN(8) == 0 {
			command = fmt.Appendf(nil, "%0*d", s.large, number)
		}
		if _, _, err := r.core.Propose(command); err == nil {
			s.pump(id, 0)
		}
	}
}

func (s *schedule) compact() {
	for _, id := range s.order {
		r := s.replicas[id]
		if r.down || r.frozen || r.full || s.rnd.IntN(2) == 0 {
			continue
		}
		data, _ := json.Marshal(r.applied)
		snap := r.core.Compact(data, 5)
		r.disk.Snapshot = snap
		r.disk.Entries = r.core.Tail()
	}
}

// healed numbers the command that every group takes once all faults are over.
const healed = 1 << 20

func (s *schedule) heal() {
	s.loss = 0
	clear(s.cut)
	for _, id := range s.order {
		s.replicas[id].frozen = false
		s.replicas[id].write()
		if s.replicas[id].down {
			s.start(id)
		}
	}
	for i := range 2000 {
		s.round(3*i + 1)
		if i == 1000 {
			s.propose(healed) // a schedule may be so rough that none was taken before
		}
	}
}

// TestSchedules runs seeded schedules of loss, reordering, duplicates, crashes
// at each point of persisting, one-way cuts, freezes and full disks.
func TestSchedules(t *testing.T) {
	tests := []struct {
		name   string
		voters int
		loss   float64
		seeds  int
		large  int
	}{
		{"three calm", 3, 0, 3, 0},
		{"three rough", 3, 0.1, 40, 0},
		{"five rough", 5, 0.1, 20, 0},
		{"one", 1, 0.1, 3, 0},
		{"three calm, large commands", 3, 0, 3, largeBytes},
		{"five rough, large commands", 5, 0.1, 10, largeBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range tt.seeds {
				runSchedule(t, uint64(seed), tt.voters, tt.loss, tt.large)
			}
		})
	}
}

func runSchedule(t *testing.T, seed uint64, voters int, loss float64, large int) {
	t.Helper()
	s := newSchedule(t, seed, voters)
	s.loss, s.large = loss, large
	for i := range 1500 {
		s.round(i)
		if loss > 0 && i%20 == 0 {
			s.trouble()
		}
	}
	s.heal()
	want := s.replicas[1].applied
	if !slices.ContainsFunc(want, func(command string) bool { return strings.HasSuffix(command, fmt.Sprint(healed)) }) {
		t.Fatalf("seed %d: the command after all faults was not committed", seed)
	}
	for _, id := range s.order {
		if got := s.replicas[id].applied; !slices.Equal(got, want) {
			t.Fatalf("seed %d: replica %d applied %d commands, replica 1 %d", seed, id, len(got), len(want))
		}
	}
}

// TestBlankReplicaJoinsAsLearner replaces a member that lost its disk.
func TestBlankReplicaJoinsAsLearner(t *testing.T) {
	s := newSchedule(t, 3, 3)
	run := func(n int) {
		for i := range n {
			s.round(i)
		}
	}
	run(300)
	s.replicas[3].down = true
	run(300)
	s.add(4, State{})
	step := func(members ...Member) {
		t.Helper()
		for range 400 {
			run(1)
			for _, id := range s.order {
				r := s.replicas[id]
				if !r.down && r.core.Role() == Leader {
					if _, _, err := r.core.ProposeMembers(members); err == nil {
						s.pump(id, 0)
						run(100)
						return
					}
				}
			}
		}
		t.Fatal("no leader took the change of members")
	}
	one, two, three := Member{ID: 1, Voter: true}, Member{ID: 2, Voter: true}, Member{ID: 3, Voter: true}
	step(one, two, three, Member{ID: 4})
	if s.replicas[4].core.Role() != Follower || s.replicas[4].core.voter(4) {
		t.Fatal("a learner votes")
	}
	step(one, two, Member{ID: 4})
	step(one, two, Member{ID: 4, Voter: true})
	// A second failure right after the repair loses nothing.
	before := len(s.replicas[1].applied)
	s.replicas[2].down = true
	run(1000)
	if len(s.replicas[4].applied) <= before {
		t.Fatal("nothing is committed after the second failure")
	}
}

func TestRefusals(t *testing.T) {
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	start := func() *Core {
		return New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2}, State{Snapshot: &Snapshot{Index: 5, Term: 2, Members: members}, HardState: HardState{Term: 2}})
	}
	tests := []struct {
		name string
		in   Message
		want func(c *Core) bool
	}{
		{"a vote for a shorter log", Message{Type: MessageVote, From: 2, To: 1, Term: 3, Index: 4, LogTerm: 2}, func(c *Core) bool { return c.vote == 0 }},
		{"a vote for an older log", Message{Type: MessageVote, From: 2, To: 1, Term: 3, Index: 9, LogTerm: 1}, func(c *Core) bool { return c.vote == 0 }},
		{"a vote for an equal log", Message{Type: MessageVote, From: 2, To: 1, Term: 3, Index: 5, LogTerm: 2}, func(c *Core) bool { return c.vote == 2 }},
		{"a pre-vote keeps the term", Message{Type: MessagePreVote, From: 2, To: 1, Term: 3, Index: 5, LogTerm: 2}, func(c *Core) bool { return c.term == 2 && len(c.messages) == 1 }},
		{"a message for another", Message{Type: MessageVote, From: 2, To: 9, Term: 3, Index: 5, LogTerm: 2}, func(c *Core) bool { return c.term == 2 }},
		{"an old leader", Message{Type: MessageAppend, From: 2, To: 1, Term: 1}, func(c *Core) bool { return c.leader == 0 && c.messages[0].Reject }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := start()
			c.Step(tt.in)
			if !tt.want(c) {
				t.Fatalf("term %d, vote %d, messages %+v", c.term, c.vote, c.messages)
			}
		})
	}
}

// TestCommitIsTold: followers learn of a commit without waiting for a tick.
func TestCommitIsTold(t *testing.T) {
	s := newSchedule(t, 1, 3)
	for i := 0; len(s.leaders) == 0; i++ {
		s.round(3*i + 1)
	}
	deliverAll := func() {
		for len(s.net) > 0 {
			m := s.net[0]
			s.net = s.net[1:]
			s.replicas[m.To].core.Step(m)
			s.pump(m.To, 0)
		}
	}
	deliverAll()
	s.propose(7)
	deliverAll()
	for _, id := range s.order {
		if got := s.replicas[id].applied; len(got) == 0 || got[len(got)-1] != "7" {
			t.Errorf("replica %d applied %v", id, got)
		}
	}
}

// restored returns replica 1 of three with a log of its own.
func restored(hard HardState, entries ...Entry) *Core {
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	return New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2}, State{
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members}, HardState: hard, Entries: entries,
	})
}

// TestOldTermIsNotCountedIn: an entry of an earlier term that a quorum holds is
// committed only with one of the leader's own term (Raft, section 5.4.2).
func TestOldTermIsNotCountedIn(t *testing.T) {
	c := restored(HardState{Term: 3}, Entry{Index: 2, Term: 2})
	for c.role != PreCandidate {
		c.Tick()
	}
	c.Step(Message{Type: MessagePreVoteReply, From: 2, To: 1, Term: 4})
	c.Step(Message{Type: MessageVoteReply, From: 2, To: 1, Term: 4})
	if c.role != Leader {
		t.Fatalf("role is %d", c.role)
	}
	advance := func() {
		if err := c.Advance(c.Ready()); err != nil {
			t.Fatal(err)
		}
	}
	advance()
	c.Step(Message{Type: MessageAppendReply, From: 2, To: 1, Term: 4, Index: 2})
	advance()
	if c.Commit() != 1 {
		t.Fatalf("an old entry was committed by counting: %d", c.Commit())
	}
	c.Step(Message{Type: MessageAppendReply, From: 2, To: 1, Term: 4, Index: 3})
	if c.Commit() != 3 {
		t.Fatalf("commit is %d with an entry of its own term at a quorum", c.Commit())
	}
}

// TestVoteIsKept: a replica that restarts does not vote twice in a term.
func TestVoteIsKept(t *testing.T) {
	c := restored(HardState{Term: 3})
	c.Step(Message{Type: MessageVote, From: 2, To: 1, Term: 4, Index: 1, LogTerm: 1})
	rd := c.Ready()
	if rd.HardState == nil || len(rd.Messages) != 1 || rd.Messages[0].Reject {
		t.Fatalf("no vote was given: %+v", rd)
	}
	again := restored(*rd.HardState)
	again.Step(Message{Type: MessageVote, From: 3, To: 1, Term: 4, Index: 9, LogTerm: 3})
	if rd := again.Ready(); len(rd.Messages) != 1 || !rd.Messages[0].Reject {
		t.Fatalf("a second vote was given: %+v", rd.Messages)
	}
}

// TestFullDisk: a leader that cannot write leads no more, votes for nobody and
// takes no entries, while the others elect a leader and commit; it follows again
// once it can write.
func TestFullDisk(t *testing.T) {
	s := newSchedule(t, 1, 3)
	run := func(n int) {
		for i := range n {
			s.round(i)
		}
	}
	leader := func() uint64 {
		for _, id := range s.order {
			if r := s.replicas[id]; !r.full && r.core.Role() == Leader {
				return id
			}
		}
		return 0
	}
	run(300)
	old := leader()
	if old == 0 {
		t.Fatal("no leader was elected")
	}
	full := s.replicas[old]
	full.full = true
	before := len(full.disk.Entries)
	vote := full.disk.HardState
	run(600)
	if full.core.Role() == Leader || !full.core.Barred() {
		t.Fatalf("role %d, barred %v with a full disk", full.core.Role(), full.core.Barred())
	}
	if len(full.disk.Entries) != before || full.disk.HardState != vote {
		t.Fatal("a full disk was written")
	}
	next := leader()
	if next == 0 || next == old {
		t.Fatalf("the others follow %d", next)
	}
	if full.core.Leader() != next {
		t.Errorf("the store with the full disk names %d as the leader, want %d", full.core.Leader(), next)
	}
	done := len(s.replicas[next].applied)
	full.write()
	run(600)
	if len(full.applied) <= done {
		t.Errorf("%d commands applied after the disk took writes again, %d before", len(full.applied), done)
	}
}
