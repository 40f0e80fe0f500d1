package wheelgauge

import (
	"context"
	"time"
)

// MaxPermitLead bounds how long before a request may be sent its permit is granted. A store
// that restarts does not know about permits granted in advance, and hosts use those in addition
// to the permits that it grants.
const MaxPermitLead = 300 * time.Millisecond

// LimitKind is what a limit that a server announces counts.
type LimitKind string

// Kinds of limits.
const (
	// LimitRequests counts the requests that the server accepts.
	LimitRequests LimitKind = ""
	// LimitRejections counts the requests that it can reject for lack of room before it fails.
	LimitRejections LimitKind = "rejections"
)

// ServerLimit is a limit per second that one start of a backend server last announced, over all
// hosts together.
type ServerLimit struct {
	// Server identifies the start of the server: the instance and, if the server list gives
	// it, the start time.
	Server string    `json:"s"`
	Kind   LimitKind `json:"k,omitempty"`
	// Rate is in requests per second.
	Rate float64 `json:"r,omitempty"`
	// Removed is set when the server has lifted its limit.
	Removed bool `json:"n,omitempty"`
	// AgeMS is how long ago the server announced this, in ms.
	AgeMS int64 `json:"a,omitempty"`
}

// PermitRequest is a request to a store of the region for permission to send one request to a
// server that has announced a limit.
type PermitRequest struct {
	Limit ServerLimit `json:"l"`
	// MaxWaitMS is the longest that the request may wait before it is sent, in ms.
	MaxWaitMS int64 `json:"p,omitempty"`
	// Fallback is set when the store that normally grants this server's permits does not
	// respond, and another one is asked.
	Fallback bool `json:"i,omitempty"`
}

// PermitResponse is the response to a permit request.
type PermitResponse struct {
	Granted bool `json:"g,omitempty"`
	// DelayMS is the delay after which the request may be sent or, if it was not granted,
	// the permit may be requested again, in ms.
	DelayMS int64 `json:"a,omitempty"`
	// Limit is the server's limit as known to the store.
	Limit ServerLimit `json:"l"`
}

// PermitSource enforces the limits that servers have announced, over all hosts together.
type PermitSource interface {
	// Acquire requests a permit for a request that may wait as long as patience. server is one
	// start of a server and need not have a limit. If ok, the request may be sent after the
	// returned delay, unless the limit has changed by then; otherwise the delay is when to
	// try again.
	Acquire(ctx context.Context, server string, patience time.Duration) (after time.Duration, ok bool)
}

// RegionStore is a store in the host's own region.
type RegionStore struct {
	Address string
	// Reachable is false while the store does not respond.
	Reachable bool
}
