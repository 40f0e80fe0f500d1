// Package configstate implements the replicated state machine of the routes mode. Its state is
// one complete configuration under an operator's version number, the drained halls, the last
// rollout of each service, and the crashes that requests are quarantined for.
package configstate

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"wheelgauge"
	"wheelgauge/quarantine"
)

// Operations of a Command.
const (
	OpPut    = "put"
	OpDrain  = "drain"
	OpResume = "resume"
	// OpCrashes adds crashes that requests are quarantined for; OpForget removes all crashes
	// of some requests.
	OpCrashes = "crashes"
	OpForget  = "forget"
	// OpRollout starts a rollout, OpRolloutStep changes its state, OpRolloutAge records how
	// long it has run, so that a restart of the stores does not lose that.
	OpRollout     = "rollout"
	OpRolloutStep = "rollout-step"
	OpRolloutAge  = "rollout-age"
)

// Command is one change of the state.
type Command struct {
	Op      string          `json:"op"`
	Version uint64          `json:"version,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
	Hall    string          `json:"hall,omitempty"`
	// Crashes are those of OpCrashes, Requests those of OpForget.
	Crashes  []wheelgauge.Crash       `json:"crashes,omitempty"`
	Requests []wheelgauge.Fingerprint `json:"requests,omitempty"`
	// Rollout is the rollout to start, or the new state of the rollout with its number. Retry
	// allows the start of a rollout to a version that was rolled back.
	Rollout *wheelgauge.Rollout `json:"rollout,omitempty"`
	Retry   bool                `json:"again,omitempty"`
	// Since makes an order of an operator valid only if the log has no other order for the same
	// hall or service after this index; 0 makes it valid in any case.
	Since uint64 `json:"since,omitempty"`
	// AtUnixMS is the time of day at which an order for a hall was proposed, by the clock of the
	// store that proposed it; 0 if it is not known.
	AtUnixMS int64 `json:"at_ms,omitempty"`
}

// Prefixes of the subjects of orders, before the name of a hall or service.
const (
	subjectHall    = "hall/"
	subjectRollout = "rollout/"
)

// Result is the result of a Command.
type Result struct {
	// Version is the configuration version after the change.
	Version uint64 `json:"version"`
	// Applied is false if the change had no effect: it was made already, or is outdated.
	Applied bool `json:"taken"`
	// Overtaken is set if an order had no effect because of a later one, and the state is not what
	// it asks for.
	Overtaken bool `json:"overtaken,omitempty"`
	// Rollout is the rollout of the service after a change of rollouts.
	Rollout wheelgauge.Rollout `json:"rollout,omitzero"`
}

// maxRecent bounds the versions that are kept until somebody takes them: after a restart the log
// may hold many.
const maxRecent = 8

// Machine implements wheelgauge.StateMachine on a FleetState. It is safe for concurrent use.
type Machine struct {
	mu    sync.RWMutex
	state wheelgauge.FleetState
	// recent are the configurations applied since TakeRecent, the oldest first.
	recent []Configuration
}

// Configuration is one version of the configuration.
type Configuration struct {
	Version uint64
	// Body is as sent by the operator.
	Body json.RawMessage
}

// New returns an empty state.
func New() *Machine { return &Machine{} }

// Apply implements wheelgauge.StateMachine.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	var c Command
	// All replicas ignore a command that this release cannot decode.
	if err := json.Unmarshal(data, &c); err != nil {
		return []byte(`{}`)
	}
	out, err := json.Marshal(m.change(index, c))
	if err != nil {
		return []byte(`{}`)
	}
	return out
}

func (m *Machine) change(index uint64, c Command) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied := false
	switch c.Op {
	case OpPut:
		applied = m.put(c)
	case OpDrain, OpResume:
		if !m.acceptOrder(subjectHall+c.Hall, index, c.Since) {
			return Result{Version: m.state.Version, Overtaken: m.drained(c.Hall) != (c.Op == OpDrain)}
		}
		m.state.HallOrderTimes = with(m.state.HallOrderTimes, c.Hall, c.AtUnixMS)
		applied = m.setDrained(c.Hall, c.Op == OpDrain)
	case OpRollout:
		if c.Rollout != nil && !m.acceptOrder(subjectRollout+c.Rollout.Service, index, c.Since) {
			last := rollouts{m.state.Rollouts}.forService(c.Rollout.Service)
			return Result{Version: m.state.Version, Rollout: last, Overtaken: last.RolloutRequest != c.Rollout.RolloutRequest}
		}
		return m.changeRollout(c)
	case OpRolloutStep, OpRolloutAge:
		return m.changeRollout(c)
	case OpCrashes:
		return m.setCrashes(quarantine.MergePersisted(m.state.Crashes, c.Crashes))
	case OpForget:
		return m.setCrashes(quarantine.RemoveRequests(m.state.Crashes, c.Requests))
	}
	if applied {
		m.state.Generation++
	}
	return Result{Version: m.state.Version, Applied: applied}
}

// changeRollout changes the rollout of a service.
func (m *Machine) changeRollout(c Command) Result {
	if c.Rollout == nil {
		return Result{Version: m.state.Version}
	}
	list, applied := rollouts{m.state.Rollouts}, false
	switch c.Op {
	case OpRollout:
		list, applied = list.begin(*c.Rollout, m.state.Generation+1, c.Retry)
	case OpRolloutStep:
		list, applied = list.advance(*c.Rollout)
	case OpRolloutAge:
		list, _ = list.setElapsed(*c.Rollout)
	}
	m.state.Rollouts = list.all
	if applied {
		m.state.Generation++
	}
	return Result{Version: m.state.Version, Applied: applied, Rollout: list.forService(c.Rollout.Service)}
}

// setCrashes replaces the crashes. It leaves the generation unchanged: hosts receive crashes in
// heartbeat responses, and need not fetch the state again.
func (m *Machine) setCrashes(crashes []wheelgauge.Crash, changed bool) Result {
	m.state.Crashes = crashes
	return Result{Version: m.state.Version, Applied: changed}
}

func (m *Machine) put(c Command) bool {
	if c.Version <= m.state.Version {
		return false
	}
	m.state.Version, m.state.Body = c.Version, c.Body
	m.recent = append(m.recent, Configuration{c.Version, c.Body})
	if extra := len(m.recent) - maxRecent; extra > 0 {
		m.recent = slices.Delete(m.recent, 0, extra)
	}
	return true
}

// TakeRecent returns the state and the last configurations applied since the call before, the
// oldest first. The caller must not change their slices.
func (m *Machine) TakeRecent() (wheelgauge.FleetState, []Configuration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := m.recent
	m.recent = nil
	return m.state, recent
}

// acceptOrder makes the order at index the last one for its subject, unless the log has another
// after the index since: then it returns false. An order that changes nothing counts as well: it is
// acknowledged, and one given before it must not change the state any more.
func (m *Machine) acceptOrder(subject string, index, since uint64) bool {
	if since > 0 && m.state.LastOrders[subject] > since {
		return false
	}
	m.state.LastOrders = with(m.state.LastOrders, subject, index)
	return true
}

// with returns a copy of a map with another value: callers of State may still read the old one.
func with[V any](m map[string]V, key string, value V) map[string]V {
	m = maps.Clone(m)
	if m == nil {
		m = map[string]V{}
	}
	m[key] = value
	return m
}

func (m *Machine) drained(hall string) bool { return slices.Contains(m.state.DrainedHalls, hall) }

// setDrained drains or resumes a hall and reports whether that changes the state.
func (m *Machine) setDrained(hall string, drained bool) bool {
	if m.drained(hall) == drained {
		return false
	}
	// Copy the slice: callers of State may still read the old one.
	halls := slices.Clone(m.state.DrainedHalls)
	if drained {
		m.state.DrainedHalls = append(halls, hall)
		return true
	}
	m.state.DrainedHalls = slices.DeleteFunc(halls, func(h string) bool { return h == hall })
	return true
}

// HallOrder is the last order for a hall.
type HallOrder struct {
	// Index is that of the order in the replicated log.
	Index uint64
	// AtUnixMS is the time of day at which it was proposed; 0 if it is not known.
	AtUnixMS int64
}

// HallOrders returns the last order for each hall that had one.
func (m *Machine) HallOrders() map[string]HallOrder {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := map[string]HallOrder{}
	for subject, index := range m.state.LastOrders {
		if hall, ok := strings.CutPrefix(subject, subjectHall); ok {
			out[hall] = HallOrder{Index: index, AtUnixMS: m.state.HallOrderTimes[hall]}
		}
	}
	return out
}

// State returns the current state. The caller must not change its slices.
func (m *Machine) State() wheelgauge.FleetState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// Snapshot implements wheelgauge.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := json.Marshal(m.State())
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore implements wheelgauge.StateMachine.
func (m *Machine) Restore(snapshot []byte) error {
	var state wheelgauge.FleetState
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &state); err != nil {
			return fmt.Errorf("decode snapshot: %w", err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	return nil
}
