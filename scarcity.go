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
	Service string
	// Rank is the priority in engines, 0 first.
	Rank        int
	Fingerprint Fingerprint
	// BodyBytes is the size of the body.
	BodyBytes int
	// Earliest is the shortest time after which the caller may return, Latest the longest after
	// which it can still be served. If Latest is shorter, nothing is promised.
	Earliest, Latest time.Duration
	// Returning is set for a caller that gets no promise, as it came back by one already or as
	// servers take nothing within its time.
	Returning bool
}

// Return is when a refused caller should return.
type Return struct {
	After time.Duration
	// Promised is set if room is kept for it then.
	Promised bool
	// RoomRate is the room that can be promised, in requests a second; ServedRate and NewRate
	// are the requests served and those that come new a second.
	RoomRate, ServedRate, NewRate float64
}

// ReturnSchedule tells refused callers when to return, and recognises those that do.
type ReturnSchedule interface {
	// Arrived records a request that came here, Served one that is answered.
	Arrived(service string, returning bool)
	Served(service string)
	// Next returns when a refused caller should return.
	Next(r RefusedRequest) Return
	// Returning reports whether a request was refused before, by any host of the region, and
	// comes back when its caller was told to. early is set if it comes before that.
	Returning(bodyBytes int, fingerprint func() Fingerprint) (returning, early bool)
	// PromisedShare returns the share, 0 to 1, of the room of the next moments that is kept from
	// new callers of a rank, as it is promised to callers of that rank or of more urgent ones.
	PromisedShare(service string, rank int) float64
}
