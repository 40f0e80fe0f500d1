package raft

import (
	"bytes"
	"testing"
)

// deliverExcept delivers all messages except those that carry entries to one
// replica, and returns these as still in transit.
func (s *simulation) deliverExcept(to uint64) []Message {
	var held []Message
	for len(s.network) > 0 {
		m := s.network[0]
		s.network = s.network[1:]
		if m.To == to && len(m.Entries) > 0 {
			held = append(held, m)
			continue
		}
		s.replicas[m.To].core.Step(m)
		s.processReady(m.To, 0)
	}
	return held
}

// elect makes replica 1 the leader of a cluster without faults.
func (s *simulation) elect() {
	for s.replicas[1].core.Role() != Leader {
		s.replicas[1].core.Tick()
		s.processReady(1, 0)
		s.deliverExcept(0)
	}
	s.runHeartbeats(2)
	s.deliverExcept(0)
}

// runHeartbeats advances the leader by a number of heartbeat intervals.
func (s *simulation) runHeartbeats(heartbeats int) {
	for range 2 * heartbeats {
		s.replicas[1].core.Tick()
		s.processReady(1, 0)
	}
}

// A large entry is in transit for many heartbeats on a slow link. Heartbeats that
// overtake it must not make the leader send it again each time, as the link would
// carry nothing else.
func TestLargeEntryIsNotResentInTransit(t *testing.T) {
	const transitHeartbeats = 8
	s := newSimulation(t, 1, 3)
	s.elect()
	large := bytes.Repeat([]byte("1"), 1<<20)
	if _, _, err := s.replicas[1].core.Propose(large); err != nil {
		t.Fatal(err)
	}
	s.processReady(1, 0)
	var held []Message
	for range transitHeartbeats {
		held = append(held, s.deliverExcept(3)...)
		s.runHeartbeats(1)
	}
	held = append(held, s.deliverExcept(3)...)
	if len(held) != 1 {
		t.Errorf("the entry was sent %d times while it was in transit, want 1", len(held))
	}
	s.network = append(s.network, held...)
	s.deliverExcept(0)
	if got := s.replicas[1].core.Match(3); got != s.replicas[1].core.lastIndex() {
		t.Errorf("the replica's log matches up to index %d, want %d", got, s.replicas[1].core.lastIndex())
	}
}

// A lost entry is sent again, a small one at the next heartbeat.
func TestLostEntryIsResent(t *testing.T) {
	tests := []struct {
		name       string
		size       int
		heartbeats int
	}{
		{"small", 100, 1},
		{"large", 1 << 20, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(t, 1, 3)
			s.elect()
			if _, _, err := s.replicas[1].core.Propose(bytes.Repeat([]byte("1"), tt.size)); err != nil {
				t.Fatal(err)
			}
			s.processReady(1, 0)
			if held := s.deliverExcept(3); len(held) == 0 {
				t.Fatal("the entry was not sent")
			}
			for n := range tt.heartbeats {
				s.runHeartbeats(1)
				s.deliverExcept(0)
				if s.replicas[1].core.Match(3) == s.replicas[1].core.lastIndex() {
					t.Logf("received after %d heartbeats", n+1)
					return
				}
			}
			t.Errorf("the entry was not sent again within %d heartbeats", tt.heartbeats)
		})
	}
}
