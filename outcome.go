package wheelgauge

// Outcome states what the caller may assume about the execution of a request
// that ended in an error.
type Outcome string

const (
	// OutcomeNotRun guarantees that no byte of the request reached a backend server.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that a backend server executed the request.
	OutcomeRan Outcome = "ran"
)
