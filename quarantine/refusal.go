package quarantine

import (
	"net/http"
	"time"

	"wheelgauge"
)

const (
	// InquestLimit is how long a server that broke a connection off has to take a new
	// one: its port refuses at once if it ended, and it is a hall's way off at most.
	InquestLimit = 25 * time.Millisecond
	// retryAfter is when a caller may come back whose request is held back. It ends what
	// runs it, so nothing is gained by coming sooner; one that only stood beside it and
	// was taken for it is let go within seconds.
	retryAfter = 30 * time.Second
)

// Refusal answers a request that is held back.
func Refusal() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonQuarantined, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
		"this request ended the backend servers that ran it").WithRetryAfter(retryAfter)
}
