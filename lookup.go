package wheelgauge

import "context"

// LookupRequest asks a store for one thing for which the tables of a host may be too old. Either
// HostName or Server is set.
type LookupRequest struct {
	// HostName is the host name whose routes are wanted, if the store's configuration is newer than
	// Version.
	HostName string `json:"host,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	// Key is the key of a caller, Workspace the name of a workspace; both may be empty.
	Key       string `json:"key,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Server is the instance key of a server.
	Server string `json:"server,omitempty"`
}

// LookupResponse is a store's response to a LookupRequest.
type LookupResponse struct {
	// Store is the address of the store that answered.
	Store string `json:"-"`
	// Version is that of the store's configuration. Rows are its services, its limits, the routes of
	// the host name, and the workspaces that have the key or the name, as of TableRoutes, if it is
	// newer than the version of the request.
	Version uint64     `json:"version,omitempty"`
	Rows    []TableRow `json:"rows,omitempty"`
	// Workspaces is the number of workspaces of that configuration; nil from a store that does not
	// tell of workspaces.
	Workspaces *int `json:"workspaces,omitempty"`
	// Listed is set if the server is listed and not leaving, in a list requested ListAgeMS ago;
	// negative if the store has no list.
	Listed    bool  `json:"listed,omitempty"`
	ListAgeMS int64 `json:"list_age_ms,omitempty"`
}

// RouteQuery asks for routes that are newer than those held.
type RouteQuery struct {
	LookupRequest
	// Required is set if nothing may be served without an answer: all stores are asked at once, not
	// only the next ones.
	Required bool
}

// Lookup asks stores for single routes and servers. Its methods return false if no store answers
// in time or none knows better.
type Lookup interface {
	// Routes returns a newer version with its rows, and has the whole of it fetched.
	Routes(ctx context.Context, q RouteQuery) (LookupResponse, bool)
	// Gone reports whether a server has left or is leaving, by a list that is newer than one of an
	// age in ms.
	Gone(ctx context.Context, instanceKey string, listAgeMS int64) bool
}
