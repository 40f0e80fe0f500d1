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
	// host may not forward it to the region now.
	Take(region, service string, rank, tokens int) bool
	// TurnedBack records that a region refused a forwarded request for lack of room. It gets no
	// requests as urgent or less until it reports its load again.
	TurnedBack(region, service string, rank int)
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
