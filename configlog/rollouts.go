package configlog

import (
	"slices"

	"wheelgauge"
)

// rollouts are the last ones of each service. Changes make new lists: states handed out
// earlier keep theirs.
type rollouts struct {
	all []wheelgauge.Rollout
}

// of returns the rollout of a service; the zero value without one.
func (l rollouts) of(service string) wheelgauge.Rollout {
	r, _ := wheelgauge.RolloutOf(l.all, service)
	return r
}

// begin begins a rollout unless the service is in one, has the version already, or went back
// from it and is not to try it again.
func (l rollouts) begin(r wheelgauge.Rollout, number uint64, again bool) (rollouts, bool) {
	was := l.of(r.Service)
	same := was.Version == r.Version
	switch {
	case was.Running():
		return l, false
	case same && was.State == wheelgauge.RolloutCompleted:
		return l, false
	case same && was.State == wheelgauge.RolloutRolledBack && !again:
		return l, false
	}
	return l.put(wheelgauge.Rollout{RolloutOrder: r.RolloutOrder, Number: number, State: wheelgauge.RolloutRunning}), true
}

// step takes the rollout of a number on; one that has ended stays as it is.
func (l rollouts) step(r wheelgauge.Rollout) (rollouts, bool) {
	was := l.of(r.Service)
	if was.Number != r.Number || !was.Running() {
		return l, false
	}
	next := was
	next.State, next.Cause = r.State, r.Cause
	next.Shifting = was.Shifting || r.Shifting
	next.ElapsedMS = max(was.ElapsedMS, r.ElapsedMS)
	return l.put(next), true
}

// age notes how long the rollout of a number has run.
func (l rollouts) age(r wheelgauge.Rollout) (rollouts, bool) {
	was := l.of(r.Service)
	if was.Number != r.Number || r.ElapsedMS <= was.ElapsedMS {
		return l, false
	}
	was.ElapsedMS = r.ElapsedMS
	return l.put(was), true
}

func (l rollouts) put(r wheelgauge.Rollout) rollouts {
	all := slices.DeleteFunc(slices.Clone(l.all), func(was wheelgauge.Rollout) bool { return was.Service == r.Service })
	return rollouts{append(all, r)}
}
