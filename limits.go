package wheelgauge

import (
	"context"
	"time"
)

// MostPermitWait is how long before its time a permit is given at most. A store that starts
// anew does not know what was given ahead, and hosts that wait use it beside what it gives.
const MostPermitWait = 300 * time.Millisecond

// ServerLimit is what a start of a backend server last said of the requests that it takes
// from all hosts together.
type ServerLimit struct {
	// Server names the start: the instance, and when it was born if the list tells that.
	Server string `json:"s"`
	// Rate is in requests a second.
	Rate float64 `json:"r,omitempty"`
	// None is set when the server no longer has a limit.
	None bool `json:"n,omitempty"`
	// AgeMS is how long ago the server said so, in ms.
	AgeMS int64 `json:"a,omitempty"`
}

// PermitAsk asks a store of the region whether one request may be sent to a server that
// has named a limit.
type PermitAsk struct {
	Limit ServerLimit `json:"l"`
	// PatienceMS is how long the request may wait for its permit, in ms.
	PatienceMS int64 `json:"p,omitempty"`
	// Instead is set when the store that gives the server's permits does not answer.
	Instead bool `json:"i,omitempty"`
}

// PermitAnswer answers a PermitAsk.
type PermitAnswer struct {
	Granted bool `json:"g,omitempty"`
	// AfterMS is from when on the request may be sent, in ms, or when to ask again if it
	// is not granted.
	AfterMS int64 `json:"a,omitempty"`
	// Limit is what the store knows of the server.
	Limit ServerLimit `json:"l"`
}

// Permits bounds what servers that have named a limit get from all hosts together.
type Permits interface {
	// Take tells whether a request that has so much patience may be sent to a start of a
	// server, which may have no limit, and after which time, unless the limit has changed
	// by then; if not, when to ask again.
	Take(ctx context.Context, server string, patience time.Duration) (after time.Duration, ok bool)
}

// RegionStore is a store of the host's own region.
type RegionStore struct {
	Address string
	// Answers is false for one that is silent.
	Answers bool
}
