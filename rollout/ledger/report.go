package ledger

import (
	"cmp"
	"slices"
	"time"

	"wheelgauge"
)

// Runs returns the numbers of the rollouts that are under way, by service.
func (l *Ledger) Runs() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]uint64{}
	for name, s := range l.services {
		if s.known && s.rollout.Running() {
			out[name] = s.rollout.Number
		}
	}
	return out
}

// Target returns the version that a service is rolled out to, and the number of the rollout;
// ok is false when none is under way.
func (l *Ledger) Target(name string) (version string, number uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil || !s.known || !s.rollout.Running() {
		return "", 0, false
	}
	return s.rollout.Version, s.rollout.Number, true
}

// Reports tells of the rollouts that are under way, without counts of answers.
func (l *Ledger) Reports() []wheelgauge.RolloutReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wheelgauge.RolloutReport
	now := l.options.Now()
	for name, s := range l.services {
		if !s.known || !s.rollout.Running() {
			continue
		}
		l.note(s, now)
		out = append(out, wheelgauge.RolloutReport{Service: name, Number: s.rollout.Number, Sent: s.sent, SentTarget: s.sentTarget, Settled: s.told})
	}
	slices.SortFunc(out, func(a, b wheelgauge.RolloutReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// settled tells whether other versions have nothing to do for this host any more.
func (s *service) settled() bool {
	if !s.closed {
		return false
	}
	for version := range s.open {
		if version != s.rollout.Version {
			return false
		}
	}
	return true
}

// note notes whether the host is settled now; the lock is held.
func (l *Ledger) note(s *service, now time.Time) {
	l.close(s, now)
	if settled := s.settled(); settled != s.told {
		s.told = settled
		l.changes++
	}
}

// Changes returns a number that grows when stores should hear of this host at once.
func (l *Ledger) Changes() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, s := range l.services {
		if s.known && s.rollout.Running() {
			l.note(s, now)
		}
	}
	return l.changes
}
