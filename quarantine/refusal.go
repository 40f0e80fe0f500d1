package quarantine

import (
	"net/http"
	"time"

	"wheelgauge"
)

const (
	// ProbeTimeout is how long a server that broke off a connection has to accept a new one.
	// If it has crashed, its port refuses at once, and it is at most the link latency of a
	// hall away.
	ProbeTimeout = 25 * time.Millisecond
	// retryAfter is the retry delay for callers of a quarantined request. The request crashes
	// the servers that run it, so retrying sooner gains nothing; a request that was only in
	// flight at the same time and was blamed wrongly is released within seconds.
	retryAfter = 30 * time.Second
)

// RejectionError returns the error for a quarantined request.
func RejectionError() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonQuarantined, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"this request, or a part of its prompt, ended the backend servers that ran it").WithRetryAfter(retryAfter)
}
