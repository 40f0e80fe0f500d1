package raft

import "testing"

func TestContactsTellWhyACampaignFailed(t *testing.T) {
	c := newRestored(HardState{Term: 3})
	for c.role != PreCandidate {
		c.Tick()
	}
	c.Step(Message{Type: MessagePreVoteReply, From: 2, To: 1, Term: 3, Reject: true, Index: 9, LogTerm: 3})
	c.Tick()
	got := c.Contacts()
	want := []Contact{
		{Member: Member{ID: 2, Voter: true}, SilentTicks: 1, Heard: true, Ballot: BallotRefused, Term: 3, LastIndex: 9, LastTerm: 3},
		{Member: Member{ID: 3, Voter: true}, SilentTicks: c.contacts.ticks, Ballot: BallotNone},
	}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for len(c.contacts.replies) > 0 { // until the next campaign, which nobody has answered yet
		c.Tick()
	}
	if got := c.Contacts()[0]; got.Ballot != BallotRefused {
		t.Errorf("got %+v during the next campaign, want the refusal of the one before", got)
	}
}

func TestRefusalOfAVoteTellsTheLog(t *testing.T) {
	c := newRestored(HardState{Term: 3}, Entry{Index: 2, Term: 3})
	c.Step(Message{Type: MessagePreVote, From: 2, To: 1, Term: 4, Index: 1, LogTerm: 1})
	if m := c.Ready().Messages; len(m) != 1 || !m[0].Reject || m[0].Index != 2 || m[0].LogTerm != 3 {
		t.Errorf("got %+v, want a refusal with the end of the log", m)
	}
}
