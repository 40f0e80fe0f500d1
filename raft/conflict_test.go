package raft

import (
	"fmt"
	"testing"
)

// logOf returns entries after index 1, a number of each term in order.
func logOf(terms ...[2]uint64) (entries []Entry) {
	for _, t := range terms {
		for range t[1] {
			index := uint64(len(entries)) + 2
			entries = append(entries, Entry{Index: index, Term: t[0], Data: fmt.Appendf(nil, "%d", index)})
		}
	}
	return entries
}

// A leader went back through a log that differs one entry an exchange, so heartbeats began further
// exchanges faster than they ended, and nothing was committed.
func TestLeaderFindsWhereALogDiffersInAnExchangeATerm(t *testing.T) {
	tests := []struct {
		name             string
		leader, follower []Entry
		exchanges        int
	}{
		{"nothing differs", logOf([2]uint64{2, 300}), logOf([2]uint64{2, 300}), 1},
		{"the log is shorter", logOf([2]uint64{2, 300}), nil, 2},
		{"the log has an older term", logOf([2]uint64{3, 300}), logOf([2]uint64{2, 300}), 2},
		{"the log has an older term and is longer", logOf([2]uint64{3, 100}), logOf([2]uint64{2, 300}), 2},
		{"the log has a newer term and is shorter", logOf([2]uint64{2, 290}, [2]uint64{4, 1}), logOf([2]uint64{3, 200}), 3},
		{"a part of the log is the same", logOf([2]uint64{2, 100}, [2]uint64{4, 200}), logOf([2]uint64{2, 100}, [2]uint64{3, 200}), 2},
		{"terms take turns", logOf([2]uint64{2, 50}, [2]uint64{4, 50}, [2]uint64{6, 50}), logOf([2]uint64{1, 50}, [2]uint64{3, 50}, [2]uint64{5, 50}), 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			leader, follower := newConflicting(1, tt.leader), newConflicting(2, tt.follower)
			for leader.role != PreCandidate {
				leader.Tick()
			}
			leader.Step(Message{Type: MessagePreVoteReply, From: 3, To: 1, Term: 8})
			leader.Step(Message{Type: MessageVoteReply, From: 3, To: 1, Term: 8})
			exchanges := 0
			for leader.Match(2) < leader.lastIndex() && exchanges < 1000 {
				exchanges++
				handOver(t, leader, follower)
				handOver(t, follower, leader)
			}
			if exchanges > tt.exchanges {
				t.Errorf("the logs are the same after %d exchanges, want %d at most", exchanges, tt.exchanges)
			}
			for i := leader.base + 1; i <= leader.lastIndex(); i++ {
				if leader.termAt(i) != follower.termAt(i) {
					t.Fatalf("entry %d has terms %d and %d", i, leader.termAt(i), follower.termAt(i))
				}
			}
		})
	}
}

func newConflicting(id uint64, entries []Entry) *Core {
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	return New(Options{ID: id, ElectionTicks: 10, HeartbeatTicks: 2}, State{Snapshot: &Snapshot{Index: 1, Term: 1, Members: members}, HardState: HardState{Term: 7}, Entries: entries})
}

// handOver handles what one replica has to do, and hands its messages to another.
func handOver(t *testing.T, from, to *Core) {
	t.Helper()
	rd := from.Ready()
	if err := from.Advance(rd); err != nil {
		t.Fatal(err)
	}
	for _, m := range rd.Messages {
		if m.Type == MessageAppend || m.Type == MessageAppendReply {
			to.Step(m)
		}
	}
}
