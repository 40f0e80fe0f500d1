package main

import (
	"slices"
	"strings"
	"testing"

	"wheelgauge/raft"
	"wheelgauge/replica"
	"wheelgauge/storeapi"
)

func TestStatusTellsWhyNoStoreLeads(t *testing.T) {
	self, other := raft.Member{ID: 1, Name: "karachi-1", Voter: true}, raft.Member{ID: 2, Name: "lahore-1", Voter: true}
	tests := []struct {
		name   string
		status replica.Status
		want   []string
	}{
		{"a leader is known", replica.Status{Self: self, Leader: 2}, nil},
		{"a copied disk", replica.Status{Self: self, Unverified: true}, []string{"state karachi-1  may be an old copy: it is on another disk than it was written on"}},
		{"a state that is not used", replica.Status{Self: self, SetAside: "/data/raft.log.aside-1"}, []string{"state karachi-1  set aside as /data/raft.log.aside-1"}},
		{"no leader", replica.Status{Self: self, Leaderless: &replica.Leaderless{Contacts: []raft.Contact{
			{Member: other, Heard: true, SilentTicks: 3, Ballot: raft.BallotRefused},
			{Member: raft.Member{ID: 3, Name: "peshawar-1"}, Ballot: raft.BallotNone},
		}}}, []string{"voter lahore-1  heard 3 ticks ago, vote refused", "learner peshawar-1  never heard, vote none"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, row := range statusRows(storeapi.Status{Replica: tt.status}) {
				got = append(got, strings.Join(row, " "))
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
