package selector

import (
	"cmp"
	"slices"
	"time"

	"wheelgauge"
)

// RunningRollouts returns the numbers of the running rollouts by service.
func (sel *Selector) RunningRollouts() map[string]uint64 {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	out := map[string]uint64{}
	for name, s := range sel.services {
		if s.hasRollout && s.rollout.Running() {
			out[name] = s.rollout.Number
		}
	}
	return out
}

// Target returns the target version and the number of the rollout of a service; ok is false
// if none is running.
func (sel *Selector) Target(name string) (version string, number uint64, ok bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	s := sel.services[name]
	if s == nil || !s.hasRollout || !s.rollout.Running() {
		return "", 0, false
	}
	return s.rollout.Version, s.rollout.Number, true
}

// Reports returns a report on each running rollout, without counts of answers.
func (sel *Selector) Reports() []wheelgauge.RolloutReport {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	var out []wheelgauge.RolloutReport
	now := sel.options.Now()
	for name, s := range sel.services {
		if !s.hasRollout || !s.rollout.Running() {
			continue
		}
		sel.updateComplete(s, now)
		out = append(out, wheelgauge.RolloutReport{Service: name, Number: s.rollout.Number, Sent: s.sent, SentTarget: s.sentTarget, Complete: s.reportedComplete})
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
func (sel *Selector) updateComplete(s *service, now time.Time) {
	sel.closeOthers(s, now)
	if complete := s.complete(); complete != s.reportedComplete {
		s.reportedComplete = complete
		sel.changes++
	}
}

// Changes returns a number that grows when this host should report to the stores at once.
func (sel *Selector) Changes() uint64 {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	now := sel.options.Now()
	for _, s := range sel.services {
		if s.hasRollout && s.rollout.Running() {
			sel.updateComplete(s, now)
		}
	}
	return sel.changes
}
