package wheelgauge

import (
	"slices"
	"time"
)

// RolloutState is the state of a rollout.
type RolloutState string

// States of a rollout.
const (
	RolloutRunning RolloutState = "running"
	// RolloutCompleted: no host sends requests to other versions any more, and none are in
	// flight there.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack: the target version receives no requests.
	RolloutRolledBack RolloutState = "rolled-back"
)

// OldVersionGracePeriod is how long after the time limit of a completed rollout servers of
// other versions are treated as leftovers of it. Those still listed after that were added
// since and may receive requests.
const OldVersionGracePeriod = time.Minute

// RolloutRequest is an order to move the requests of a service to servers of another version.
type RolloutRequest struct {
	Service string `json:"service"`
	// Version is the target version.
	Version string `json:"version"`
	// DurationMS is the time limit of the rollout, in ms from the time of the order.
	DurationMS int64 `json:"duration_ms"`
}

// Rollout is the last rollout of a service.
type Rollout struct {
	RolloutRequest
	// Number identifies this rollout: it is the generation of the state that started it.
	Number uint64       `json:"number"`
	State  RolloutState `json:"state"`
	// Shifting is set once the target version has proved good. Requests then move to it within
	// the time limit.
	Shifting bool `json:"shifting,omitempty"`
	// ElapsedMS is how long the rollout has run, as last recorded by the replicated stores, in ms.
	ElapsedMS int64 `json:"elapsed_ms,omitempty"`
	// Cause is the reason why the rollout was rolled back.
	Cause string `json:"cause,omitempty"`
}

// FindRollout returns the rollout of a service; ok is false if there is none.
func FindRollout(all []Rollout, service string) (r Rollout, ok bool) {
	at := slices.IndexFunc(all, func(r Rollout) bool { return r.Service == service })
	if at < 0 {
		return Rollout{}, false
	}
	return all[at], true
}

// Running reports whether the rollout is in progress.
func (r Rollout) Running() bool { return r.State == RolloutRunning }

// Left returns the time left until the limit; negative once it has passed.
func (r Rollout) Left() time.Duration {
	return time.Duration(r.DurationMS-r.ElapsedMS) * time.Millisecond
}

// VersionFilter selects the versions of a service that may receive a request. The zero value
// allows all.
type VersionFilter struct {
	version string
	only    bool
	none    bool
}

// NoVersion allows no version.
func NoVersion() VersionFilter { return VersionFilter{none: true} }

// OnlyVersion allows one version.
func OnlyVersion(version string) VersionFilter { return VersionFilter{version: version, only: true} }

// ExceptVersion allows all versions except one.
func ExceptVersion(version string) VersionFilter { return VersionFilter{version: version} }

// Allows reports whether a server of the given version may receive the request.
func (c VersionFilter) Allows(version string) bool {
	if c.none {
		return false
	}
	if c.only {
		return version == c.version
	}
	return c.version == "" || version != c.version
}

// Only returns the version if it is the only one allowed.
func (c VersionFilter) Only() (version string, ok bool) { return c.version, c.only }

// ServerFailures counts the failed or slow responses of one server, and all its responses.
type ServerFailures struct {
	Server    string `json:"s"`
	Failures  uint64 `json:"n"`
	Responses uint64 `json:"a,omitempty"`
}

// VersionStats counts the responses of one side of a rollout on one route.
type VersionStats struct {
	Route string `json:"r"`
	// Target is set for the servers of the target version, unset for those of all other versions.
	Target    bool   `json:"t,omitempty"`
	Responses uint64 `json:"a"`
	// Failed counts responses that were errors or were cut off.
	Failed uint64 `json:"f,omitempty"`
	// Compared counts responses whose latency could be compared with the usual one, Slow those of
	// them that took several times as long.
	Compared uint64 `json:"m,omitempty"`
	Slow     uint64 `json:"l,omitempty"`
	// WorstServers lists the servers with the most failed and slow responses.
	WorstServers []ServerFailures `json:"x,omitempty"`
}

// RolloutReport is what one host did and observed in a rollout since it first knew of it.
type RolloutReport struct {
	Service string `json:"s"`
	// Number identifies the rollout.
	Number uint64 `json:"n"`
	// Sent counts the requests sent to servers of the service, SentTarget those of them that
	// went to the target version.
	Sent       uint64 `json:"c"`
	SentTarget uint64 `json:"t,omitempty"`
	// Complete is set once the rollout is complete for this host: it sends nothing to other
	// versions and has nothing in flight there.
	Complete bool           `json:"e,omitempty"`
	Stats    []VersionStats `json:"v,omitempty"`
}

// Verdict is the evaluation of the target version of a rollout.
type Verdict struct {
	// Worse is set if the target version is worse than the versions that it replaces.
	Worse bool
	// Cause describes the route and what is worse there, with figures.
	Cause string
	// RegressionScore is the evidence against the version, as a fraction of what would make it bad.
	RegressionScore float64
	// EquivalenceScore is the evidence that the version is as good, as a fraction of what is
	// required to show it. Below 0 the version is more likely to be worse.
	EquivalenceScore float64
	// DetectableFailureShare is the smallest fraction of failing responses that would have been
	// detected by now if the version had failed at that rate from the beginning, given the
	// requests that it received; 1 if it received none.
	DetectableFailureShare float64
}

// VersionEvaluator compares the target version of a rollout with the versions that it replaces.
type VersionEvaluator interface {
	// Add records the responses counted since the last call.
	Add(at time.Time, counts []VersionStats)
	// Evaluate evaluates everything added so far, for a version with the given number of servers.
	Evaluate(servers int) Verdict
}
