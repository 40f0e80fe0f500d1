package raft

import (
	"bytes"
	"testing"
)

// hold delivers everything but messages with entries to one replica, which
// travel slowly, and returns these.
func (s *schedule) hold(to uint64) []Message {
	var held []Message
	for len(s.net) > 0 {
		m := s.net[0]
		s.net = s.net[1:]
		if m.To == to && len(m.Entries) > 0 {
			held = append(held, m)
			continue
		}
		s.replicas[m.To].core.Step(m)
		s.pump(m.To, 0)
	}
	return held
}

// elect makes replica 1 the leader of a calm group.
func (s *schedule) elect() {
	for s.replicas[1].core.Role() != Leader {
		s.replicas[1].core.Tick()
		s.pump(1, 0)
		s.hold(0)
	}
	s.beat(2)
	s.hold(0)
}

// beat lets the leader's time pass for some heartbeats.
func (s *schedule) beat(heartbeats int) {
	for range 2 * heartbeats {
		s.replicas[1].core.Tick()
		s.pump(1, 0)
	}
}

// A large entry travels for many heartbeats over a narrow link. Those that
// overtake it must not make the leader send it again each time: the link would
// carry nothing else.
func TestLargeEntryIsNotRepeatedWhileItTravels(t *testing.T) {
	const travels = 8 // heartbeats
	s := newSchedule(t, 1, 3)
	s.elect()
	large := bytes.Repeat([]byte("1"), 1<<20)
	if _, _, err := s.replicas[1].core.Propose(large); err != nil {
		t.Fatal(err)
	}
	s.pump(1, 0)
	var held []Message
	for range travels {
		held = append(held, s.hold(3)...)
		s.beat(1)
	}
	held = append(held, s.hold(3)...)
	if len(held) != 1 {
		t.Errorf("the entry was sent %d times while it travelled, want 1", len(held))
	}
	s.net = append(s.net, held...)
	s.hold(0)
	if got := s.replicas[1].core.Match(3); got != s.replicas[1].core.lastIndex() {
		t.Errorf("the replica holds %d entries of %d", got, s.replicas[1].core.lastIndex())
	}
}

// An entry that was lost on its way is sent again, a small one at the next
// heartbeat.
func TestLostEntryIsSentAgain(t *testing.T) {
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
			s := newSchedule(t, 1, 3)
			s.elect()
			if _, _, err := s.replicas[1].core.Propose(bytes.Repeat([]byte("1"), tt.size)); err != nil {
				t.Fatal(err)
			}
			s.pump(1, 0)
			if held := s.hold(3); len(held) == 0 {
				t.Fatal("the entry was not sent")
			}
			for n := range tt.heartbeats {
				s.beat(1)
				s.hold(0)
				if s.replicas[1].core.Match(3) == s.replicas[1].core.lastIndex() {
					t.Logf("there after %d heartbeats", n+1)
					return
				}
			}
			t.Errorf("not sent again within %d heartbeats", tt.heartbeats)
		})
	}
}
