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
// server that has announced a limit, or a report of what the host has in flight at such servers.
type PermitRequest struct {
	Limit ServerLimit `json:"l,omitzero"`
	// MaxWaitMS is the longest that the request may wait before it is sent, in ms.
	MaxWaitMS int64 `json:"p,omitempty"`
	// Fallback is set when the store that normally grants this server's permits does not
	// respond, and another one is asked.
	Fallback bool `json:"i,omitempty"`
	// Place asks for a place at the first server of Uses, in place of a permit by Limit.
	Place *PlaceRequest `json:"e,omitempty"`
	// Uses are set in requests for a place and in reports.
	Uses *HostUses `json:"u,omitempty"`
}

// PlaceRequest asks for a place at a server that fails if it has to reject many requests.
type PlaceRequest struct {
	// Number identifies the request among those of the host's process.
	Number uint64 `json:"n"`
	// Rank is the priority of the request, 0 first.
	Rank int `json:"r,omitempty"`
}

// HostUses are what one host has in flight at servers that fail if they have to reject many
// requests.
type HostUses struct {
	Host string `json:"h"`
	// Boot identifies one start of the host's process, Seq orders what it sends.
	Boot uint64 `json:"b"`
	Seq  uint64 `json:"q"`
	// Next is above the numbers of all requests for places that the host has made.
	Next uint64     `json:"n,omitempty"`
	Uses []PlaceUse `json:"u"`
}

// PlaceUse is what one host has in flight at one server.
type PlaceUse struct {
	Server string `json:"s"`
	// Bears is the number of rejections per second that the server bears, Slots the number of
	// requests that it runs at once.
	Bears float64 `json:"b,omitempty"`
	Slots int     `json:"n,omitempty"`
	// Sent is the number of requests in flight, Pending the numbers of the requests for a place
	// that are not answered yet.
	Sent    int      `json:"u,omitempty"`
	Pending []uint64 `json:"p,omitempty"`
	// Rejected counts the requests that the server has rejected to this process, Full is how
	// many it ran at the last of these; -1 if that is not known.
	Rejected int `json:"r,omitempty"`
	Full     int `json:"f,omitempty"`
	// LoadKnown is set if the server has reported its load since the last message. Load is what
	// it has from all hosts by that report and what this host has sent and seen end since then,
	// Waiting how many of these wait.
	LoadKnown bool `json:"k,omitempty"`
	Load      int  `json:"l,omitempty"`
	Waiting   int  `json:"w,omitempty"`
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
	// Enter takes a place at a server for a request, at once or after a wait. Without one, after
	// is when to try again. A server that bears any number of rejections has places for all.
	Enter(ctx context.Context, q PlaceQuery) (after time.Duration, ok bool)
	// Answered records an answer of a server to a request that has a place there.
	Answered(server string, a PlaceAnswer)
	// Leave ends a request that has a place.
	Leave(server string)
}

// PlaceQuery describes a request that is to be sent to a server.
type PlaceQuery struct {
	// Server is one start of a server, Slots the number of requests that it runs at once.
	Server string
	Slots  int
	// Brittle is set for a server that fails if it has to reject more than Bears requests a
	// second.
	Brittle bool
	Bears   float64
	// Rank is the priority of the request, 0 first.
	Rank int
	// MaxWait is how long it may wait for a place.
	MaxWait time.Duration
}

// PlaceAnswer is what an answer of a server says of its places.
type PlaceAnswer struct {
	// Rejected is set if the server rejected the request for lack of room.
	Rejected bool
	// LoadKnown is set if the answer reports the server's load: Running and Waiting requests,
	// without the one that is answered.
	LoadKnown        bool
	Running, Waiting int
}

// RegionStore is a store in the host's own region.
type RegionStore struct {
	Address string
	// Reachable is false while the store does not respond.
	Reachable bool
}
