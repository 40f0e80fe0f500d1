package wheelgauge

import (
	"slices"
	"time"
)

// RolloutState is how far a rollout has come.
type RolloutState string

// States of a rollout.
const (
	RolloutRunning RolloutState = "running"
	// RolloutCompleted: no host sends requests to another version any more, and none is in
	// flight there.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack: the target version gets no requests.
	RolloutRolledBack RolloutState = "rolled-back"
)

// RetiredAfter is how long after the time limit of a completed rollout the servers of other
// versions are gone from the list. Those that stand there later came after it.
const RetiredAfter = time.Minute

// RolloutOrder asks that the requests of a service move to servers of another version.
type RolloutOrder struct {
	Service string `json:"service"`
	// Version is the target version.
	Version string `json:"version"`
	// DurationMS is the time limit of the rollout, in ms from the order on.
	DurationMS int64 `json:"duration_ms"`
}

// Rollout is the last rollout of a service.
type Rollout struct {
	RolloutOrder
	// Number names this rollout: the generation of the state that began it.
	Number uint64       `json:"number"`
	State  RolloutState `json:"state"`
	// Shifting is set once the target version proved good: requests then move to it in
	// time for its limit.
	Shifting bool `json:"shifting,omitempty"`
	// ElapsedMS is how long it ran, as the group of stores last noted, in ms.
	ElapsedMS int64 `json:"elapsed_ms,omitempty"`
	// Cause says why it was rolled back.
	Cause string `json:"cause,omitempty"`
}

// RolloutOf returns the rollout of a service among those of all; ok is false without one.
func RolloutOf(all []Rollout, service string) (r Rollout, ok bool) {
	at := slices.IndexFunc(all, func(r Rollout) bool { return r.Service == service })
	if at < 0 {
		return Rollout{}, false
	}
	return all[at], true
}

// Running tells whether the rollout is under way.
func (r Rollout) Running() bool { return r.State == RolloutRunning }

// Left returns what is left of the time limit; negative once it has passed.
func (r Rollout) Left() time.Duration {
	return time.Duration(r.DurationMS-r.ElapsedMS) * time.Millisecond
}

// VersionChoice says which versions of a service may get a request. The zero value allows
// all.
type VersionChoice struct {
	version string
	only    bool
	none    bool
}

// NoVersion allows none.
func NoVersion() VersionChoice { return VersionChoice{none: true} }

// OnlyVersion allows one version.
func OnlyVersion(version string) VersionChoice { return VersionChoice{version: version, only: true} }

// ExceptVersion allows all versions but one.
func ExceptVersion(version string) VersionChoice { return VersionChoice{version: version} }

// Allows tells whether a server of a version may get the request.
func (c VersionChoice) Allows(version string) bool {
	return !c.none && (c.version == "" || (version == c.version) == c.only)
}

// Only returns the version if it is the only one allowed.
func (c VersionChoice) Only() (version string, ok bool) { return c.version, c.only }

// ServerFaults counts bad answers of one server, and all that it gave.
type ServerFaults struct {
	Server  string `json:"s"`
	Count   uint64 `json:"n"`
	Answers uint64 `json:"a,omitempty"`
}

// VersionCount counts the answers of one side of a rollout on one route.
type VersionCount struct {
	Route string `json:"r"`
	// Target is set for servers of the target version, and not for all others.
	Target  bool   `json:"t,omitempty"`
	Answers uint64 `json:"a"`
	// Failed are answers that were failures, or broke off.
	Failed uint64 `json:"f,omitempty"`
	// Timed are answers whose time could be compared with the usual one, Slow those that
	// took several times as long.
	Timed uint64 `json:"m,omitempty"`
	Slow  uint64 `json:"l,omitempty"`
	// Faults are the failed and slow answers of those servers that had most of them.
	Faults []ServerFaults `json:"x,omitempty"`
}

// RolloutReport is what one host did and saw in a rollout since it first knew of it.
type RolloutReport struct {
	Service string `json:"s"`
	// Number is that of the rollout.
	Number uint64 `json:"n"`
	// Sent are the requests sent to servers of the service, SentTarget those of them to the
	// target version.
	Sent       uint64 `json:"c"`
	SentTarget uint64 `json:"t,omitempty"`
	// Settled is set once the host sends nothing to other versions any more and has nothing
	// in flight there.
	Settled bool           `json:"e,omitempty"`
	Counts  []VersionCount `json:"v,omitempty"`
}

// Verdict is what a VersionJudge holds of the target version.
type Verdict struct {
	// Bad is set when it is worse than the versions that it replaces.
	Bad bool
	// Cause names the route and what is worse, with figures.
	Cause string
	// Score is the evidence against the version as a part of what would make it bad.
	Score float64
	// Proof is the evidence that it is as good as a part of what shows it; below 0 it rather
	// seems worse.
	Proof float64
	// Detects is the smallest part of all answers that would have been found if a version failed
	// it from the beginning, as far as it was asked; 1 if nothing was seen.
	Detects float64
}

// VersionJudge compares the target version of a rollout with the versions that it replaces.
type VersionJudge interface {
	// Add takes the answers counted since the last call.
	Add(at time.Time, counts []VersionCount)
	// Verdict judges all that was added, of a version that has so many servers.
	Verdict(servers int) Verdict
}
