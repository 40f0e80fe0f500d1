package serverset

import "time"

const (
	// silentAfter is how long a server may say nothing while it owes something: an
	// engine under load sends events of its streams every few tens of ms, and a
	// lost packet is sent again within 200 to 400 ms.
	silentAfter = 600 * time.Millisecond
	// silentFor is how long that counts, if nothing else is learned: a request
	// that still waits says little of the server after some seconds.
	silentFor = 4 * time.Second
	// probeEvery is how often each of a silent server's two probing hosts sends it
	// a request all the same.
	probeEvery = time.Second
)

// silence is when a server last said something, and since when it owes an answer.
type silence struct {
	heard time.Time
	// owing is when the first request went out since then.
	owing time.Time
	// sent is when the last one did.
	sent time.Time
}

// send notes a request; alone tells that no other is in flight.
func (s *silence) send(now time.Time, alone bool) {
	if alone || !s.owing.After(s.heard) || now.Sub(s.owing) >= silentAfter+silentFor {
		s.owing = now
	}
	s.sent = now
}

// spoke tells whether the server said something just now.
func (s *silence) spoke(now time.Time) bool { return now.Sub(s.heard) < silentAfter }

// suspect tells whether the server has owed something for too long.
func (s *silence) suspect(now time.Time) bool {
	owed := now.Sub(s.owing)
	return s.owing.After(s.heard) && owed >= silentAfter && owed < silentAfter+silentFor
}

// Heard tells that bytes have come from the server.
func (k *Pick) Heard() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	k.server.silence.heard = t.now()
}

// silent tells whether a server is to be left alone as no host of the region
// hears from it, while some wait; a few hosts go on to probe it. The lock is held.
func (t *Table) silent(s *Server, now time.Time) bool {
	if s.silence.spoke(now) || s.others.Heard > 0 {
		return false
	}
	told := s.others.Silent > 0 && now.Sub(s.othersAt) < silentFor
	if !told && (s.running == 0 || !s.silence.suspect(now)) {
		return false
	}
	return now.Sub(s.silence.sent) < probeEvery || !t.cold.Mine(s.spec.Instance, t.place.Host, t.place.Peers)
}
