package ledger

import (
	"cmp"
	"slices"
	"time"

	"wheelgauge"
)

// Runs returns the numbers of the running rollouts by service.
func (l *Ledger) Runs() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]uint64{}
	for name, s := range l.services {
		if s.hasRollout && s.rollout.Running() {
			out[name] = s.rollout.Number
		}
	}
	return out
}

// Target returns the target version and the number of the rollout of a service; ok is false
// if none is running.
func (l *Ledger) Target(name string) (version string, number uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[name]
	if s == nil || !s.hasRollout || !s.rollout.Running() {
		return "", 0, false
	}
	return s.rollout.Version, s.rollout.Number, true
}

// Reports returns a report on each running rollout, without counts of answers.
func (l *Ledger) Reports() []wheelgauge.RolloutReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wheelgauge.RolloutReport
	now := l.options.Now()
	for name, s := range l.services {
		if !s.hasRollout || !s.rollout.Running() {
			continue
		}
		l.updateComplete(s, now)
		out = append(out, wheelgauge.RolloutReport{Service: name, Number: s.rollout.Number, Sent: s.sent, SentTarget: s.sentTarget, Settled: s.reportedComplete})
	}
	slices.SortFunc(out, func(a, b wheelgauge.RolloutReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// complete reports whether this host sends nothing to other versions any more and has no
// requests in flight there.
func (s *service) complete() bool {
	if !s.othersClosed {
		return false
	}
	for version := range s.open {
		if version != s.rollout.Version {
			return false
		}
	}
	return true
}

// updateComplete updates whether this host is complete. The caller holds the lock.
func (l *Ledger) updateComplete(s *service, now time.Time) {
	l.closeOthers(s, now)
	if complete := s.complete(); complete != s.reportedComplete {
		s.reportedComplete = complete
		l.changes++
	}
}

// Changes returns a number that grows when this host should report to the stores at once.
func (l *Ledger) Changes() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	for _, s := range l.services {
		if s.hasRollout && s.rollout.Running() {
			l.updateComplete(s, now)
		}
	}
	return l.changes
}
