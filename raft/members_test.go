package raft

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
)

// promotion plays a group of the voters 1 to 4 whose leader 1 makes 5, a learner, a voter. Those in
// informed have the entry when it is committed, and none of them has heard so.
func promotion(t *testing.T, informed ...uint64) *simulation {
	t.Helper()
	s := newSimulation(t, 1, 4)
	members := append(s.replicas[1].core.Members(), Member{ID: 5, Name: "store-5"})
	for _, id := range s.ids {
		s.replicas[id].disk.Snapshot = &Snapshot{Index: 1, Term: 1, Members: members, Data: json.RawMessage("[]")}
		s.start(id)
	}
	s.add(5, s.replicas[1].disk)
	s.elect()
	members[4].Voter = true
	if _, _, err := s.replicas[1].core.ProposeMembers(members); err != nil {
		t.Fatal(err)
	}
	for s.replicas[1].core.Commit() < s.replicas[1].core.lastIndex() {
		s.processReady(1, 0)
		if len(s.network) == 0 {
			t.Fatal("the promotion is not committed")
		}
		m := s.network[0]
		s.network = s.network[1:]
		if m.To != 1 && !slices.Contains(informed, m.To) {
			continue
		}
		s.replicas[m.To].core.Step(m)
		s.processReady(m.To, 0)
	}
	s.processReady(1, 0)
	s.network = nil
	return s
}

func TestGroupSurvivesTheLossOfTwoStoresRightAfterAPromotion(t *testing.T) {
	tests := []struct {
		name     string
		informed []uint64
		lost     []uint64
	}{
		{"leader and a store, all have the entry", []uint64{2, 3, 4, 5}, []uint64{1, 2}},
		{"leader and a store, the new voter has the entry", []uint64{2, 3, 5}, []uint64{1, 2}},
		{"leader and a store, another has the entry", []uint64{2, 3, 4}, []uint64{1, 2}},
		{"leader and the new voter", []uint64{2, 3, 4, 5}, []uint64{1, 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := promotion(t, tt.informed...)
			for _, id := range tt.lost {
				s.replicas[id].down = true
			}
			for i := range 2000 {
				s.round(3*i + 1)
			}
			for _, id := range s.ids {
				if r := s.replicas[id]; !r.down && r.core.Role() == Leader {
					return
				}
			}
			for _, id := range s.ids {
				if r := s.replicas[id]; !r.down {
					t.Logf("replica %d: members %+v, log ends at %d, contacts %+v", id, r.core.Members(), r.core.lastIndex(), r.core.Contacts())
				}
			}
			t.Error("three of five voters run and none leads")
		})
	}
}

func TestMembersChangeOnlyAfterAnEntryOfTheLeadersTermIsCommitted(t *testing.T) {
	s := newSimulation(t, 1, 3)
	c := s.replicas[1].core
	for c.Role() != Leader {
		if len(s.network) == 0 {
			c.Tick()
		}
		s.processReady(1, 0)
		for _, m := range s.network {
			if m.Type <= MessageVoteReply { // nothing that the leader sends arrives
				s.replicas[m.To].core.Step(m)
				s.processReady(m.To, 0)
			}
		}
		s.network = slices.DeleteFunc(s.network, func(m Message) bool { return m.To != 1 })
		for _, m := range s.network {
			c.Step(m)
		}
		s.network = nil
	}
	members := append(c.Members(), Member{ID: 4})
	if _, _, err := c.ProposeMembers(members); !errors.Is(err, ErrChangePending) {
		t.Fatalf("got %v before the first entry of the term is committed, want %v", err, ErrChangePending)
	}
	s.deliverExcept(0)
	s.runHeartbeats(2)
	s.deliverExcept(0)
	if _, _, err := c.ProposeMembers(members); err != nil {
		t.Fatalf("got %v after it is committed", err)
	}
}

func TestMembersOfADroppedEntryAreTakenBack(t *testing.T) {
	change, _ := json.Marshal([]Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}})
	c := newRestored(HardState{Term: 2}, Entry{Index: 2, Term: 2, Type: EntryMembers, Data: change})
	if n := len(c.Members()); n != 2 {
		t.Fatalf("got %d members by the last list in the log, want 2", n)
	}
	c.Step(Message{Type: MessageAppend, From: 3, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3, Type: EntryNoOp}}})
	if n := len(c.Members()); n != 3 {
		t.Errorf("got %d members after the entry was replaced, want the 3 of before", n)
	}
}

func TestCandidateThatHasLostDoesNotWaitAWholeTimeout(t *testing.T) {
	tests := []struct {
		name             string
		voters           uint64
		granted, refused []uint64
	}{
		{"a tie of two of four", 4, []uint64{2}, []uint64{3, 4}},
		{"refused by one of three that are left of five", 5, []uint64{2}, []uint64{3}},
		{"refused by both others that are left of five", 5, nil, []uint64{2, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				var members []Member
				for id := range tt.voters {
					members = append(members, Member{ID: id + 1, Voter: true})
				}
				c := New(Options{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: seed}, State{Snapshot: &Snapshot{Index: 1, Term: 1, Members: members}})
				for c.role != PreCandidate {
					c.Tick()
				}
				for id := uint64(2); id <= 3; id++ {
					c.Step(Message{Type: MessagePreVoteReply, From: id, To: 1, Term: 1})
				}
				term := c.Term()
				for _, id := range tt.granted {
					c.Step(Message{Type: MessageVoteReply, From: id, To: 1, Term: term})
				}
				for _, id := range tt.refused {
					c.Step(Message{Type: MessageVoteReply, From: id, To: 1, Term: term, Reject: true})
				}
				if c.role != Candidate {
					t.Fatalf("got role %v, want a candidate that has lost", c.role)
				}
				ticks := 0
				for ; c.role == Candidate; ticks++ {
					c.Tick()
				}
				if ticks > c.options.ElectionTicks {
					t.Errorf("seed %d: the next campaign began after %d ticks, want %d at most", seed, ticks, c.options.ElectionTicks)
				}
			}
		})
	}
}
