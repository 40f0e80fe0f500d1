package wheelgauge

import (
	"context"
	"time"
)

// ForwardCredits limits what a host forwards to other regions to its share of the room that
// those regions have.
type ForwardCredits interface {
	// SetUsage sets the load of all regions as last reported, and how many hosts of the own
	// region may forward.
	SetUsage(regions []RegionUsage, hosts int)
	// Take takes the credit for a request with a prompt of some tokens. It returns false if the
	// host may not forward it to the region now. Where the host's credit never grows to a whole
	// request, Take spends it in any case, and returns true with the probability credit/request.
	Take(region, service string, rank, tokens int) bool
	// TurnedBack records that a region refused a forwarded request for lack of room. It gets no
	// requests as urgent or less until it reports its load again.
	TurnedBack(region, service string, rank int)
	// Credit returns what is known of the credit, for the log.
	Credit(region, service string, rank int) ForwardCredit
}

// ForwardCredit is the credit of a host for a service in a region.
type ForwardCredit struct {
	// Known is set if the load of the region was reported.
	Known bool
	// Requests and Tokens are the room of the region: how many requests and prompt tokens from
	// other regions it can take until its reports show them.
	Requests, Tokens float64
	// Share is the part of the room that the host may use, Left what is left of it now.
	Share, Left float64
	// Held is set while the region gets nothing of the rank, as it turned a request back.
	Held bool
	// Age is the age of the report.
	Age time.Duration
}

// QueuedRequest is a request that finds no room and has time to wait for some.
type QueuedRequest struct {
	Service   string
	Workspace string
	// Rank is the priority in engines, 0 first.
	Rank int
	// ObjectiveAt is when its answer must begin to be in time. StartBy is the last moment at
	// which it can be sent and still be answered completely.
	ObjectiveAt, StartBy time.Time
	// Returning is set for a caller that was refused before and comes back when it was told to.
	Returning bool
	// HasRoom reports whether a server would take it in time now.
	HasRoom func() bool
}

// WaitingRoom holds requests at a host until there is room for them.
type WaitingRoom interface {
	// Wait returns true once the request may be sent. It returns false, at once if that is known
	// at once, if the request cannot be served in its time, and when ctx ends.
	Wait(ctx context.Context, q QueuedRequest) bool
}

// WorkspaceShares divides scarce room among workspaces: each gets what it asks for up to a
// common level in proportion to its weight.
type WorkspaceShares interface {
	// Asked records a request of a workspace, Served one that a server has taken. cost is in
	// prompt tokens, or 1 for services without prompts.
	Asked(service, workspace string, weight, cost float64)
	Served(service, workspace string, cost float64)
	// Above reports whether a workspace asks for more than its share while there is not room
	// for all.
	Above(service, workspace string) bool
}

// RefusedRequest is a request that is refused for lack of room.
type RefusedRequest struct {
	Service     string
	Rank        int
	Fingerprint Fingerprint
	// Earliest is the shortest time after which the caller may return, Latest the longest after
	// which it can still be served.
	Earliest, Latest time.Duration
}

// ReturnSchedule tells refused callers when to return, and recognises those that do.
type ReturnSchedule interface {
	// Served records that a server has taken a request.
	Served(service string, rank int)
	// Next returns after what time a refused caller should return.
	Next(r RefusedRequest) time.Duration
	// Returning reports whether a request was refused before, by any host of the region, and
	// comes back when its caller was told to.
	Returning(service string, f Fingerprint) bool
}
