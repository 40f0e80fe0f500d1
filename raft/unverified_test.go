package raft

import (
	"slices"
	"testing"
)

// candidate returns replica 1 of a group of voters, which campaigns.
func candidate(voters int, unverified bool) *Core {
	var members []Member
	for id := range uint64(voters) {
		members = append(members, Member{ID: id + 1, Voter: true})
	}
	c := New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Unverified: unverified}, State{
		Snapshot: &Snapshot{Index: 1, Term: 1, Members: members}, HardState: HardState{Term: 3, Vote: 2, Commit: 1},
	})
	for c.role == Follower {
		c.Tick()
	}
	return c
}

func TestUnverifiedVotesElectOnlyWhereNoMajorityCanHaveForgotten(t *testing.T) {
	const (
		verified   = 'v'
		unverified = 'u'
		failed     = 'f' // silent for long
		awaited    = 'a' // no answer yet
	)
	tests := []struct {
		votes string // of each voter, the candidate first
		want  bool
	}{
		{"u", true},
		{"vvvaa", true},
		{"vvvuu", true},
		{"vvaaa", false},
		{"uuuuu", true},
		{"uuuua", false},
		{"uuuuf", true},
		{"uuuaa", false},
		{"uuuff", true},
		{"uuufa", false},
		{"vuuaa", false},
		{"vvuaa", false},
		{"vvuff", true},
		{"vvuua", false},
		{"vvufa", false},
		{"vvuuu", true},
		{"vuuua", false},
		{"vvvua", true},
		{"uufff", false},
		{"uua", false},
		{"uuf", true},
		{"uuu", true},
		{"vua", false},
		{"vuf", true},
		{"vva", true},
		{"uuuu", true},
		{"uuuf", true},
		{"uuff", false},
		{"uuua", true}, // any majority of four has two of these three
		{"uu", true},
		{"vu", true},
		{"ua", false},
		{"uf", false},
	}
	for _, tt := range tests {
		t.Run(tt.votes, func(t *testing.T) {
			c := candidate(len(tt.votes), tt.votes[0] == unverified)
			c.votes = map[uint64]ballot{}
			c.contacts.ticks = 10 * silentElections * c.options.ElectionTicks
			for i, vote := range tt.votes {
				id := uint64(i + 1)
				if vote != failed {
					c.contacts.heard[id] = c.contacts.ticks
				}
				if vote == verified || vote == unverified {
					c.votes[id] = ballot{granted: true, unverified: vote == unverified}
				}
			}
			if got := c.winsElection(); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestUnverifiedReplicaFollowsOnlyTheLeaderThatItElected(t *testing.T) {
	start := func() *Core {
		c := candidate(3, true)
		_ = c.Ready()
		return c
	}
	term := start().Term()
	if term <= 3+unverifiedTermGap-1 {
		t.Fatalf("got term %d, want one beyond those in which the replica may have voted", term)
	}
	vote := func(c *Core, from uint64) {
		c.become(Follower, c.term, 0)
		c.Step(Message{Type: MessageVote, From: from, To: 1, Term: term + 5, Index: 9, LogTerm: 3})
	}
	first := func(term uint64) []Entry { return []Entry{{Index: 2, Term: term, Type: EntryNoOp}} }
	tests := []struct {
		name string
		play func(c *Core)
		want bool
	}{
		{"a leader of an earlier term", func(c *Core) {
			c.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: 4, Index: 1, LogTerm: 1, Entries: first(4)})
		}, false},
		{"a leader of a later term without its vote", func(c *Core) {
			c.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: term + 5, Index: 1, LogTerm: 1, Entries: first(term + 5)})
		}, false},
		{"a snapshot of one", func(c *Core) {
			c.Step(Message{Type: MessageSnapshot, From: 2, To: 1, Term: term + 5, Snapshot: &Snapshot{Index: 7, Term: term + 5}})
		}, false},
		{"another leader than it voted for", func(c *Core) {
			vote(c, 3)
			c.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: term + 6, Index: 1, LogTerm: 1, Entries: first(term + 6)})
		}, false},
		{"the leader that it voted for", func(c *Core) {
			vote(c, 3)
			c.Step(Message{Type: MessageAppend, From: 3, To: 1, Term: term + 5, Index: 1, LogTerm: 1, Entries: first(term + 5)})
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := start()
			tt.play(c)
			rd := c.Ready()
			if err := c.Advance(rd); err != nil {
				t.Fatal(err)
			}
			replied := slices.ContainsFunc(rd.Messages, func(m Message) bool { return m.Type == MessageAppendReply })
			if verified := !c.Unverified(); verified != tt.want || replied != tt.want {
				t.Errorf("got verified %v, a reply to the leader %v, want %v", verified, replied, tt.want)
			}
		})
	}
}

func TestUnverifiedReplicaServesWhatItHadCommittedOnlyOnceVerified(t *testing.T) {
	c := New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Unverified: true}, State{
		Snapshot:  &Snapshot{Index: 1, Term: 1, Members: []Member{{ID: 1, Voter: true}}},
		HardState: HardState{Term: 3, Commit: 2}, Entries: []Entry{{Index: 2, Term: 3, Data: []byte(`"a"`)}},
	})
	if rd := c.Ready(); !rd.Empty() {
		t.Fatalf("got %+v before it is verified, want nothing to do", rd)
	}
	for c.role != Leader {
		c.Tick()
	}
	rd := c.Ready()
	if len(rd.Committed) != 1 || string(rd.Committed[0].Data) != `"a"` || rd.HardState.Commit < 2 {
		t.Errorf("got %+v once it leads, want the entry that was committed", rd)
	}
}

func TestUnverifiedReplicaIsVerifiedOnlyOnceItsLogIsThatOfTheLeader(t *testing.T) {
	const electedIn = 3 + unverifiedTermGap + 5
	older := Entry{Index: 2, Term: 3, Data: []byte(`"a"`)}
	first := Entry{Index: 3, Term: electedIn, Type: EntryNoOp}
	message := func(prev, prevTerm uint64, entries ...Entry) Message {
		return Message{Type: MessageAppend, From: 3, To: 1, Term: electedIn, Index: prev, LogTerm: prevTerm, Commit: 3, Entries: entries}
	}
	tests := []struct {
		name      string
		messages  []Message
		persisted bool
		want      bool
	}{
		{"a heartbeat", []Message{message(1, 1)}, true, false},
		{"a heartbeat beyond its log", []Message{message(3, electedIn)}, true, false},
		{"entries of before the election", []Message{message(1, 1, older)}, true, false},
		{"entries that are not on disk", []Message{message(1, 1, older, first)}, false, false},
		{"a snapshot of before the election", []Message{{Type: MessageSnapshot, From: 3, To: 1, Term: electedIn, Snapshot: &Snapshot{Index: 2, Term: 3}}}, true, false},
		{"the first entry of the leader", []Message{message(1, 1, older, first)}, true, true},
		{"it in two messages", []Message{message(1, 1, older), message(2, 3, first)}, true, true},
		{"a snapshot that has it", []Message{{Type: MessageSnapshot, From: 3, To: 1, Term: electedIn, Snapshot: &Snapshot{Index: 3, Term: electedIn}}}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := candidate(3, true)
			c.Step(Message{Type: MessageVote, From: 3, To: 1, Term: electedIn, Index: 9, LogTerm: 3})
			if err := c.Advance(c.Ready()); err != nil {
				t.Fatal(err)
			}
			for _, m := range tt.messages {
				c.Step(m)
				rd := c.Ready()
				if !c.Unverified() || len(rd.Committed) > 0 {
					t.Fatalf("verified is %v, %d entries are committed before anything is on disk", !c.Unverified(), len(rd.Committed))
				}
				if !tt.persisted {
					c.SuspendWrites()
					continue
				}
				if err := c.Advance(rd); err != nil {
					t.Fatal(err)
				}
			}
			if verified := !c.Unverified(); verified != tt.want {
				t.Errorf("verified is %v, want %v", verified, tt.want)
			}
		})
	}
}

// The first start of a copy may have led the term, with entries that the second has forgotten.
func TestSecondStartOfACopyWinsNoTermThatTheFirstHasWon(t *testing.T) {
	tests := []struct {
		name       string
		vote       uint64
		unverified bool
		want       bool
	}{
		{"no vote yet, a copy", 0, true, true},
		{"no vote yet", 0, false, true},
		{"voted for it, a copy", 2, true, false},
		{"voted for it, sent again", 2, false, true},
		{"voted for another", 3, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newRestored(HardState{Term: 5, Vote: tt.vote})
			c.Step(Message{Type: MessageVote, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1, Unverified: tt.unverified})
			i := slices.IndexFunc(c.messages, func(m Message) bool { return m.Type == MessageVoteReply })
			if i < 0 {
				t.Fatal("got no reply")
			}
			if got := !c.messages[i].Reject; got != tt.want {
				t.Errorf("granted is %v, want %v", got, tt.want)
			}
		})
	}
}

func TestVoteThatWasGrantedCountsAfterARefusalOfTheSameRequest(t *testing.T) {
	c := candidate(5, true)
	c.campaign(Candidate)
	c.Step(Message{Type: MessageVoteReply, From: 2, To: 1, Term: c.term})
	c.Step(Message{Type: MessageVoteReply, From: 2, To: 1, Term: c.term, Reject: true})
	if !c.votes[2].granted {
		t.Error("the vote does not count any more")
	}
}
