package configstate

import (
	"slices"

	"wheelgauge"
)

// rollouts has the last rollout of each service. Changes copy the list, as callers of
// Machine.State may still read the old one.
type rollouts struct {
	all []wheelgauge.Rollout
}

// forService returns the rollout of a service, or the zero value if it has none.
func (l rollouts) forService(service string) wheelgauge.Rollout {
	r, _ := wheelgauge.FindRollout(l.all, service)
	return r
}

// begin starts a rollout unless one is running for the service, or the version is already
// deployed, or it was rolled back and retry is false.
func (l rollouts) begin(r wheelgauge.Rollout, number uint64, retry bool) (rollouts, bool) {
	last := l.forService(r.Service)
	same := last.Version == r.Version
	switch {
	case last.Running():
		return l, false
	case same && last.State == wheelgauge.RolloutCompleted:
		return l, false
	case same && last.State == wheelgauge.RolloutRolledBack && !retry:
		return l, false
	}
	return l.replace(wheelgauge.Rollout{RolloutRequest: r.RolloutRequest, Number: number, State: wheelgauge.RolloutRunning}), true
}

// advance changes the state of the running rollout with the same number; one that has ended
// stays unchanged.
func (l rollouts) advance(r wheelgauge.Rollout) (rollouts, bool) {
	last := l.forService(r.Service)
	if last.Number != r.Number || !last.Running() {
		return l, false
	}
	next := last
	next.State, next.Cause = r.State, r.Cause
	next.Shifting = last.Shifting || r.Shifting
	next.ElapsedMS = max(last.ElapsedMS, r.ElapsedMS)
	return l.replace(next), true
}

// setElapsed raises the elapsed time of the rollout with the same number.
func (l rollouts) setElapsed(r wheelgauge.Rollout) (rollouts, bool) {
	last := l.forService(r.Service)
	if last.Number != r.Number || r.ElapsedMS <= last.ElapsedMS {
		return l, false
	}
	last.ElapsedMS = r.ElapsedMS
	return l.replace(last), true
}

func (l rollouts) replace(r wheelgauge.Rollout) rollouts {
	all := slices.DeleteFunc(slices.Clone(l.all), func(last wheelgauge.Rollout) bool { return last.Service == r.Service })
	return rollouts{append(all, r)}
}
