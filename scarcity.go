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
	Service, Route, Workspace string
	// Rank is the priority in engines, 0 first.
	Rank int
	// ArrivedAt is when the request came, ObjectiveAt when its answer must begin to be in time.
	// StartBy is the last moment at which it can be sent and still be answered completely. All
	// are times of the room's clock.
	ArrivedAt, ObjectiveAt, StartBy time.Time
	// Run is how long such requests usually take once they are sent.
	Run time.Duration
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Returning is set for a caller that was refused before and comes back when it was told to.
	Returning bool
	// Again is set for a request that was let go and found no room.
	Again bool
	// HasRoom reports whether a server would take it in time now. It takes nothing. It is never
	// called after Wait has returned.
	HasRoom func() bool
	// AboveShare reports whether its workspace is above its share; nil if it never is. It is
	// never called after Wait has returned.
	AboveShare func() bool
	// Ended reports whether the request cannot be sent by this host any more; nil if it
	// always can. It is never called after Wait has returned.
	Ended func() bool
}

// WaitingRoom holds requests at a host until there is room for them.
type WaitingRoom interface {
	// Wait returns true once the request may be sent. It returns false, at once if that is known
	// at once, if the request cannot be served in its time, and when ctx ends.
	Wait(ctx context.Context, q QueuedRequest) bool
	// Holds reports whether requests of a service wait that are as urgent as rank or more and
	// not above their share.
	Holds(service string, rank int) bool
}

// WorkspaceShares divides scarce room among workspaces: each gets what it asks for up to a
// common level in proportion to its weight. Room that is short for less urgent requests is no
// reason to refuse urgent ones, so each rank has a shortage of its own.
type WorkspaceShares interface {
	// Asked records a request of a workspace, Served one that was sent to a server. cost is in
	// prompt tokens, or 1 for services without prompts.
	Asked(service string, rank int, workspace string, weight, cost float64)
	Served(service string, rank int, workspace string, cost float64)
	// Above reports whether a workspace asked for and got more than its share in the last
	// seconds while there was not room for all requests of the rank.
	Above(service string, rank int, workspace string) bool
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
