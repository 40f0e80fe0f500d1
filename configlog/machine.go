// Package configlog is the replicated state of the routes mode: one whole
// configuration under an operator's version number, the drained halls, the last rollout of
// each service, and the crashes by which requests are held back.
package configlog

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"wheelgauge"
	"wheelgauge/quarantine"
)

// Ops of a Command.
const (
	OpPut    = "put"
	OpDrain  = "drain"
	OpResume = "resume"
	// OpCrashes keeps crashes by which requests are held back, OpForget lets requests go.
	OpCrashes = "crashes"
	OpForget  = "forget"
	// OpRollout begins a rollout, OpRolloutStep takes it on, OpRolloutAge notes how long it
	// runs, for stores that start anew.
	OpRollout     = "rollout"
	OpRolloutStep = "rollout-step"
	OpRolloutAge  = "rollout-age"
)

// Command is one change.
type Command struct {
	Op      string          `json:"op"`
	Version uint64          `json:"version,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
	Hall    string          `json:"hall,omitempty"`
	// Crashes are those of OpCrashes, Requests those of OpForget.
	Crashes  []wheelgauge.Crash       `json:"crashes,omitempty"`
	Requests []wheelgauge.Fingerprint `json:"requests,omitempty"`
	// Rollout is the one to begin, or what one of its number has become. Again begins one
	// anew that was rolled back.
	Rollout *wheelgauge.Rollout `json:"rollout,omitempty"`
	Again   bool                `json:"again,omitempty"`
}

// Result answers a Command.
type Result struct {
	// Version is the one held after the change.
	Version uint64 `json:"version"`
	// Taken is false for a change that was there already, or is older.
	Taken bool `json:"taken"`
	// Rollout is the one of the service that is held after a change of rollouts.
	Rollout wheelgauge.Rollout `json:"rollout,omitzero"`
}

// Machine implements wheelgauge.StateMachine. It is safe for concurrent use.
type Machine struct {
	mu    sync.RWMutex
	state wheelgauge.FleetState
}

// New returns an empty state.
func New() *Machine { return &Machine{} }

// Apply implements wheelgauge.StateMachine.
func (m *Machine) Apply(_ uint64, data []byte) []byte {
	var c Command
	// A command that this release cannot read changes nothing at any replica.
	if err := json.Unmarshal(data, &c); err != nil {
		return []byte(`{}`)
	}
	out, err := json.Marshal(m.change(c))
	if err != nil {
		return []byte(`{}`)
	}
	return out
}

func (m *Machine) change(c Command) Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := false
	switch c.Op {
	case OpPut:
		taken = m.put(c)
	case OpDrain:
		taken = m.drain(c.Hall)
	case OpResume:
		taken = m.resume(c.Hall)
	case OpRollout, OpRolloutStep, OpRolloutAge:
		return m.changeRollout(c)
	case OpCrashes:
		return m.keep(quarantine.Join(m.state.Crashes, c.Crashes))
	case OpForget:
		return m.keep(quarantine.Forget(m.state.Crashes, c.Requests))
	}
	if taken {
		m.state.Generation++
	}
	return Result{Version: m.state.Version, Taken: taken}
}

// changeRollout changes the rollout of a service.
func (m *Machine) changeRollout(c Command) Result {
	if c.Rollout == nil {
		return Result{Version: m.state.Version}
	}
	list, taken := rollouts{m.state.Rollouts}, false
	switch c.Op {
	case OpRollout:
		list, taken = list.begin(*c.Rollout, m.state.Generation+1, c.Again)
	case OpRolloutStep:
		list, taken = list.step(*c.Rollout)
	case OpRolloutAge:
		list, _ = list.age(*c.Rollout)
	}
	m.state.Rollouts = list.all
	if taken {
		m.state.Generation++
	}
	return Result{Version: m.state.Version, Taken: taken, Rollout: list.of(c.Rollout.Service)}
}

// keep takes the crashes to keep from now on. No generation is theirs: hosts are told of
// them by their heartbeats, and need not fetch the state.
func (m *Machine) keep(crashes []wheelgauge.Crash, changed bool) Result {
	m.state.Crashes = crashes
	return Result{Version: m.state.Version, Taken: changed}
}

func (m *Machine) put(c Command) bool {
	if c.Version <= m.state.Version {
		return false
	}
	m.state.Version, m.state.Body = c.Version, c.Body
	return true
}

func (m *Machine) drain(hall string) bool {
	if slices.Contains(m.state.Drained, hall) {
		return false
	}
	// A new slice: states handed out earlier keep theirs.
	m.state.Drained = append(slices.Clone(m.state.Drained), hall)
	return true
}

func (m *Machine) resume(hall string) bool {
	at := slices.Index(m.state.Drained, hall)
	if at < 0 {
		return false
	}
	m.state.Drained = slices.Delete(slices.Clone(m.state.Drained), at, at+1)
	return true
}

// State returns the present state; its parts must not be changed.
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
