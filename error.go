package wheelgauge

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Reason is the machine-readable cause of an Error.
type Reason string

// Reasons used by all programs.
const (
	ReasonBadRequest      Reason = "bad-request"
	ReasonTooLarge        Reason = "too-large"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonForbidden       Reason = "forbidden"
	ReasonNotFound        Reason = "not-found"
	ReasonNoConfiguration Reason = "no-configuration"
	ReasonResidency       Reason = "residency"
	ReasonWrongHost       Reason = "wrong-host"
	ReasonDraining        Reason = "draining"
	ReasonRateLimited     Reason = "rate-limited"
	ReasonOverloaded      Reason = "overloaded"
	ReasonBackoff         Reason = "backoff"
	ReasonDeadline        Reason = "deadline"
	ReasonNoServer        Reason = "no-server"
	ReasonServerFailed    Reason = "server-failed"
	ReasonQuarantined     Reason = "quarantined"
	ReasonBrokenStream    Reason = "broken-stream"
	ReasonClaimHeld       Reason = "claim-held"
	ReasonClaimStore      Reason = "claim-store"
	ReasonConflict        Reason = "conflict"
	// ReasonInProgress: the same order was accepted before and is in progress.
	ReasonInProgress Reason = "under-way"
	ReasonInvalid    Reason = "invalid"
	ReasonTooOld     Reason = "too-old"
	ReasonNoLeader   Reason = "no-leader"
	ReasonInternal   Reason = "internal"
	// ReasonNoRoom: a region turns back a forwarded request that it cannot answer in time.
	ReasonNoRoom Reason = "no-room"
	// ReasonOutOfReach: a host turns back a forwarded request of a service of which it reaches no
	// server.
	ReasonOutOfReach Reason = "out-of-reach"
	// ReasonOtherVersion: a host turns back a forwarded request that its version of the configuration
	// handles in another way than the version by which the request was admitted.
	ReasonOtherVersion Reason = "other-version"
	// ReasonUnknownStream: a stream cannot be taken up, as it is not known which version of its
	// service began it.
	ReasonUnknownStream Reason = "unknown-stream"
)

// Error is the error response of every program, sent as JSON.
type Error struct {
	reason     Reason
	outcome    Outcome
	status     int
	retryAfter time.Duration
	requestID  string
	detail     string
	entries    []EntryHost
	sends      int
	version    uint64
}

// errorMessage is the wire form of Error.
type errorMessage struct {
	Reason       Reason      `json:"reason"`
	Outcome      Outcome     `json:"outcome"`
	Status       int         `json:"status"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	RequestID    string      `json:"request_id,omitempty"`
	Detail       string      `json:"detail"`
	Entries      []EntryHost `json:"entries,omitempty"`
}

// NewError returns an Error with an HTTP status.
func NewError(reason Reason, outcome Outcome, status int, detail string) *Error {
	return &Error{reason: reason, outcome: outcome, status: status, detail: detail}
}

// AsError returns the *Error in the chain of err, or a new one with
// ReasonInternal and OutcomeUnknown.
func AsError(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return NewError(ReasonInternal, OutcomeUnknown, 500, err.Error())
}

// WithRetryAfter returns a copy that tells the caller how long to wait before a retry.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	c := *e
	c.retryAfter = wait
	return &c
}

// WithRequestID returns a copy with the ID of the request.
func (e *Error) WithRequestID(id string) *Error {
	c := *e
	c.requestID = id
	return &c
}

// WithEntries returns a copy that lists hosts that the caller may use instead.
func (e *Error) WithEntries(entries []EntryHost) *Error {
	c := *e
	c.entries = entries
	return &c
}

// WithSends returns a copy that tells the forwarding gateway how many servers the
// request was sent to. The number is sent as a header, not in the JSON.
func (e *Error) WithSends(sends int) *Error {
	c := *e
	c.sends = sends
	return &c
}

// WithVersion returns a copy that tells the forwarding gateway the version of the configuration
// held. It is sent as a header, not in the JSON.
func (e *Error) WithVersion(version uint64) *Error {
	c := *e
	c.version = version
	return &c
}

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	c := *e
	c.outcome = outcome
	return &c
}

// Reason returns the machine-readable cause.
func (e *Error) Reason() Reason { return e.reason }

// Outcome returns what the caller may assume about the execution.
func (e *Error) Outcome() Outcome { return e.outcome }

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// RetryAfter returns how long to wait before a retry; zero means not stated.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Detail returns the human-readable description.
func (e *Error) Detail() string { return e.detail }

// Entries returns hosts that the caller may use instead.
func (e *Error) Entries() []EntryHost { return e.entries }

// Sends returns how many servers the request was sent to; zero if not reported.
func (e *Error) Sends() int { return e.sends }

// Version returns the version of the configuration held; zero if not reported.
func (e *Error) Version() uint64 { return e.version }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.reason, e.outcome, e.detail)
}

// MarshalJSON implements json.Marshaler.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(errorMessage{
		Reason: e.reason, Outcome: e.outcome, Status: e.status,
		RetryAfterMS: e.retryAfter.Milliseconds(), RequestID: e.requestID,
		Detail: e.detail, Entries: e.entries,
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Error) UnmarshalJSON(data []byte) error {
	var m errorMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode error response: %w", err)
	}
	*e = Error{
		reason: m.Reason, outcome: m.Outcome, status: m.Status,
		retryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		requestID:  m.RequestID, detail: m.Detail, entries: m.Entries,
	}
	return nil
}
