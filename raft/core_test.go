package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// testReplica is a core with a disk that loses unsynced data in a crash.
type testReplica struct {
	core         *Core
	disk         State
	applied      []string
	baseCommands []string
	down         bool
	frozen       bool
	// diskFull makes writes to the disk fail.
	diskFull bool
	seed     uint64
}

type simulation struct {
	t         *testing.T
	random    *rand.Rand
	replicas  map[uint64]*testReplica
	ids       []uint64
	network   []Message
	cutLinks  map[[2]uint64]bool
	leaders   map[uint64]uint64
	committed map[uint64]string
	lossRate  float64
	// largeCommandBytes is the length of some commands; all are small when it is 0.
	largeCommandBytes int
	acked             []string
}

func newSimulation(t *testing.T, seed uint64, voters int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), replicas: map[uint64]*testReplica{},
		cutLinks: map[[2]uint64]bool{}, leaders: map[uint64]uint64{}, committed: map[uint64]string{},
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

func (s *simulation) add(id uint64, disk State) {
	r := &testReplica{disk: disk, seed: id}
	s.replicas[id] = r
	s.ids = append(s.ids, id)
	s.start(id)
}

func (s *simulation) start(id uint64) {
	r := s.replicas[id]
	r.seed += 100
	r.core = New(Options{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Seed: r.seed}, r.disk)
	r.applied = nil
	if r.disk.Snapshot != nil {
		r.restore(r.disk.Snapshot)
	}
	r.down = false
}

func (r *testReplica) restore(snap *Snapshot) {
	r.baseCommands = nil
	_ = json.Unmarshal(snap.Data, &r.baseCommands)
	r.applied = slices.Clone(r.baseCommands)
}

// persist writes a Ready; point selects where the replica crashes (0: nowhere).
func (r *testReplica) persist(rd Ready, point int) bool {
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
		from := slices.IndexFunc(r.disk.Entries, func(o Entry) bool { return o.Index >= e.Index })
		if from >= 0 {
			r.disk.Entries = slices.Clone(r.disk.Entries[:from])
		}
		r.disk.Entries = append(r.disk.Entries, e)
	}
	return point != 2
}

func (s *simulation) processReady(id uint64, point int) {
	r := s.replicas[id]
	if r.down || r.frozen {
		return
	}
	rd := r.core.Ready()
	if rd.Empty() {
		return
	}
	if r.diskFull && r.core.MustSync(rd) {
		r.core.SuspendWrites()
		return
	}
	if !r.diskFull && !r.persist(rd, point) {
		r.down = true
		return
	}
	if point == 3 {
		s.network = append(s.network, rd.Messages[:len(rd.Messages)/2]...)
		r.down = true
		return
	}
	s.network = append(s.network, rd.Messages...)
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

func (s *simulation) apply(r *testReplica, e Entry) {
	text := fmt.Sprint(e.Term, e.Type, string(e.Data))
	if earlier, ok := s.committed[e.Index]; ok && earlier != text {
		s.t.Fatalf("index %d committed twice: %s and %s", e.Index, earlier, text)
	}
	s.committed[e.Index] = text
	if e.Type == EntryCommand {
		r.applied = append(r.applied, string(e.Data))
	}
}

func (s *simulation) checkLeader(id uint64) {
	c := s.replicas[id].core
	if c.Role() != Leader {
		return
	}
	if other, ok := s.leaders[c.Term()]; ok && other != id {
		s.t.Fatalf("term %d has leaders %d and %d", c.Term(), other, id)
	}
	s.leaders[c.Term()] = id
}

func (s *simulation) deliver() {
	n := len(s.network)
	for range min(n, 6) {
		i := s.random.IntN(len(s.network))
		m := s.network[i]
		if s.random.Float64() > 0.1 { // other messages stay queued and are delivered again
			s.network = slices.Delete(s.network, i, i+1)
		}
		r := s.replicas[m.To]
		if r == nil || r.down || r.frozen || s.cutLinks[[2]uint64{m.From, m.To}] || s.random.Float64() < s.lossRate {
			continue
		}
		r.core.Step(m)
		s.processReady(m.To, s.crashPoint())
	}
	if len(s.network) > 400 {
		s.network = s.network[len(s.network)-400:]
	}
}

func (s *simulation) crashPoint() int {
	if s.lossRate > 0 && s.random.IntN(400) == 0 {
		return 1 + s.random.IntN(3)
	}
	return 0
}

func (s *simulation) injectFault() {
	a, b := s.randomID(), s.randomID()
	switch s.random.IntN(10) {
	case 8:
		s.replicas[a].diskFull = true
	case 9:
		s.replicas[a].freeDisk()
	case 0:
		s.cutLinks[[2]uint64{a, b}] = true // in one direction only
	case 1, 2:
		clear(s.cutLinks)
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

// freeDisk makes the disk writable again.
func (r *testReplica) freeDisk() {
	r.diskFull = false
	r.core.ResumeWrites()
}

func (s *simulation) randomID() uint64 { return s.ids[s.random.IntN(len(s.ids))] }

func (s *simulation) round(number int) {
	for _, id := range s.ids {
		if r := s.replicas[id]; !r.down && !r.frozen {
			r.core.Tick()
			s.processReady(id, s.crashPoint())
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

func (s *simulation) propose(number int) {
	for _, id := range s.ids {
		r := s.replicas[id]
		if r.down || r.frozen || r.core.Role() != Leader {
			continue
		}
		command := fmt.Appendf(nil, "%d", number)
		if s.largeCommandBytes > 0 && s.random.IntN(8) == 0 {
			command = fmt.Appendf(nil, "%0*d", s.largeCommandBytes, number)
		}
		if _, _, err := r.core.Propose(command); err == nil {
			s.processReady(id, 0)
		}
	}
}

func (s *simulation) compact() {
	for _, id := range s.ids {
		r := s.replicas[id]
		if r.down || r.frozen || r.diskFull || s.random.IntN(2) == 0 {
			continue
		}
		data, _ := json.Marshal(r.applied)
		snap := r.core.Compact(data, 5)
		r.disk.Snapshot = snap
		r.disk.Entries = r.core.Tail()
	}
}

// healedCommand is the number of a command proposed in every cluster after all
// faults have ended.
const healedCommand = 1 << 20

func (s *simulation) heal() {
	s.lossRate = 0
	clear(s.cutLinks)
	for _, id := range s.ids {
		s.replicas[id].frozen = false
		s.replicas[id].freeDisk()
		if s.replicas[id].down {
			s.start(id)
		}
	}
	for i := range 2000 {
		s.round(3*i + 1)
		if i == 1000 {
			s.propose(healedCommand) // a schedule may have had so many faults that no command was accepted before
		}
	}
}

// TestRandomSchedules runs seeded random schedules of message loss, reordering,
// duplicates, crashes at each point of persisting, one-way link failures, frozen
// processes and full disks.
func TestRandomSchedules(t *testing.T) {
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
		{"three calm, large commands", 3, 0, 3, largeMessageBytes},
		{"five rough, large commands", 5, 0.1, 10, largeMessageBytes},
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
	s := newSimulation(t, seed, voters)
	s.lossRate, s.largeCommandBytes = loss, large
	for i := range 1500 {
		s.round(i)
		if loss > 0 && i%20 == 0 {
			s.injectFault()
		}
	}
	s.heal()
	want := s.replicas[1].applied
	if !slices.ContainsFunc(want, func(command string) bool { return strings.HasSuffix(command, fmt.Sprint(healedCommand)) }) {
		t.Fatalf("seed %d: the command proposed after all faults was not committed", seed)
	}
	for _, id := range s.ids {
		if got := s.replicas[id].applied; !slices.Equal(got, want) {
			t.Fatalf("seed %d: replica %d applied %d commands, want the %d of replica 1", seed, id, len(got), len(want))
		}
	}
}

// TestBlankReplicaJoinsAsLearner replaces a member that lost its disk by a blank
// replica, which joins as a learner and becomes a voter.
func TestBlankReplicaJoinsAsLearner(t *testing.T) {
	s := newSimulation(t, 3, 3)
	run := func(n int) {
		for i := range n {
			s.round(i)
		}
	}
	run(300)
	s.replicas[3].down = true
	run(300)
	s.add(4, State{})
	changeMembers := func(members ...Member) {
		t.Helper()
		for range 400 {
			run(1)
			for _, id := range s.ids {
				r := s.replicas[id]
				if !r.down && r.core.Role() == Leader {
					if _, _, err := r.core.ProposeMembers(members); err == nil {
						s.processReady(id, 0)
						run(100)
						return
					}
				}
			}
		}
		t.Fatal("no leader accepted the membership change")
	}
	one, two, three := Member{ID: 1, Voter: true}, Member{ID: 2, Voter: true}, Member{ID: 3, Voter: true}
	changeMembers(one, two, three, Member{ID: 4})
	if s.replicas[4].core.Role() != Follower || s.replicas[4].core.isVoter(4) {
		t.Fatal("replica 4 is a voter, want a learner")
	}
	changeMembers(one, two, Member{ID: 4})
	changeMembers(one, two, Member{ID: 4, Voter: true})
	// The cluster tolerates a second failure right after the replacement.
	appliedBefore := len(s.replicas[1].applied)
	s.replicas[2].down = true
	run(1000)
	if len(s.replicas[4].applied) <= appliedBefore {
		t.Fatal("no command was committed after the second failure")
	}
}

func TestRejectedMessages(t *testing.T) {
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
				t.Fatalf("got term %d, vote %d, messages %+v", c.term, c.vote, c.messages)
			}
		})
	}
}

// TestCommitIsAnnounced checks that followers learn a new commit index without
// waiting for a tick.
func TestCommitIsAnnounced(t *testing.T) {
	s := newSimulation(t, 1, 3)
	for i := 0; len(s.leaders) == 0; i++ {
		s.round(3*i + 1)
	}
	deliverAll := func() {
		for len(s.network) > 0 {
			m := s.network[0]
			s.network = s.network[1:]
			s.replicas[m.To].core.Step(m)
			s.processReady(m.To, 0)
		}
	}
	deliverAll()
	s.propose(7)
	deliverAll()
	for _, id := range s.ids {
		if got := s.replicas[id].applied; len(got) == 0 || got[len(got)-1] != "7" {
			t.Errorf("replica %d applied %v, want 7 as the last command", id, got)
		}
	}
}

// newRestored returns replica 1 of three, restarted with the given hard state
// and entries.
func newRestored(hard HardState, entries ...Entry) *Core {
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	return New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2}, State{
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members}, HardState: hard, Entries: entries,
	})
}

// TestOldTermEntryIsNotCommittedByCount checks that an entry of an earlier term
// that a quorum holds is committed only together with an entry of the leader's
// own term (Raft, section 5.4.2).
func TestOldTermEntryIsNotCommittedByCount(t *testing.T) {
	c := newRestored(HardState{Term: 3}, Entry{Index: 2, Term: 2})
	for c.role != PreCandidate {
		c.Tick()
	}
	c.Step(Message{Type: MessagePreVoteReply, From: 2, To: 1, Term: 4})
	c.Step(Message{Type: MessageVoteReply, From: 2, To: 1, Term: 4})
	if c.role != Leader {
		t.Fatalf("got role %d, want leader", c.role)
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
		t.Fatalf("an entry of an earlier term was committed by counting replicas: commit %d, want 1", c.Commit())
	}
	c.Step(Message{Type: MessageAppendReply, From: 2, To: 1, Term: 4, Index: 3})
	if c.Commit() != 3 {
		t.Fatalf("got commit %d with an entry of the leader's own term at a quorum, want 3", c.Commit())
	}
}

// TestVoteSurvivesRestart checks that a replica does not vote twice in a term
// when it restarts in between.
func TestVoteSurvivesRestart(t *testing.T) {
	c := newRestored(HardState{Term: 3})
	c.Step(Message{Type: MessageVote, From: 2, To: 1, Term: 4, Index: 1, LogTerm: 1})
	rd := c.Ready()
	if rd.HardState == nil || len(rd.Messages) != 1 || rd.Messages[0].Reject {
		t.Fatalf("no vote was granted: %+v", rd)
	}
	restarted := newRestored(*rd.HardState)
	restarted.Step(Message{Type: MessageVote, From: 3, To: 1, Term: 4, Index: 9, LogTerm: 3})
	if rd := restarted.Ready(); len(rd.Messages) != 1 || !rd.Messages[0].Reject {
		t.Fatalf("a second vote was granted in the same term: %+v", rd.Messages)
	}
}

// TestFullDisk checks that a leader that cannot write steps down, grants no votes
// and accepts no entries, while the others elect a leader and commit, and that it
// follows the new leader once it can write.
func TestFullDisk(t *testing.T) {
	s := newSimulation(t, 1, 3)
	run := func(n int) {
		for i := range n {
			s.round(i)
		}
	}
	leader := func() uint64 {
		for _, id := range s.ids {
			if r := s.replicas[id]; !r.diskFull && r.core.Role() == Leader {
				return id
			}
		}
		return 0
	}
	run(300)
	oldLeader := leader()
	if oldLeader == 0 {
		t.Fatal("no leader was elected")
	}
	blocked := s.replicas[oldLeader]
	blocked.diskFull = true
	entriesBefore := len(blocked.disk.Entries)
	hardStateBefore := blocked.disk.HardState
	run(600)
	if blocked.core.Role() == Leader || !blocked.core.WritesSuspended() {
		t.Fatalf("got role %d, writes suspended %v with a full disk", blocked.core.Role(), blocked.core.WritesSuspended())
	}
	if len(blocked.disk.Entries) != entriesBefore || blocked.disk.HardState != hardStateBefore {
		t.Fatal("the state on the full disk changed")
	}
	newLeader := leader()
	if newLeader == 0 || newLeader == oldLeader {
		t.Fatalf("got leader %d among the others, want a new one", newLeader)
	}
	if blocked.core.Leader() != newLeader {
		t.Errorf("the replica with the full disk follows leader %d, want %d", blocked.core.Leader(), newLeader)
	}
	appliedBefore := len(s.replicas[newLeader].applied)
	blocked.freeDisk()
	run(600)
	if len(blocked.applied) <= appliedBefore {
		t.Errorf("%d commands applied after the disk became writable, want more than %d", len(blocked.applied), appliedBefore)
	}
}
