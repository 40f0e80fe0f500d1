package wheelgauge

import "context"

// LookupRequest asks a store for one thing for which the tables of a host may be too old. Either
// HostName or Server is set.
type LookupRequest struct {
	// HostName is the host name whose routes are wanted; Version is that of the configuration held.
	HostName string `json:"host,omitempty"`
	Version  uint64 `json:"version,omitempty"`
	// Server is the instance key of a server.
	Server string `json:"server,omitempty"`
}

// LookupResponse is a store's response to a LookupRequest.
type LookupResponse struct {
	// Store is the address of the store that answered.
	Store string `json:"-"`
	// Version is that of the store's configuration. Rows are its services, its limits and the
	// routes of the host name, as of TableRoutes, if it is newer than the one held.
	Version uint64     `json:"version,omitempty"`
	Rows    []TableRow `json:"rows,omitempty"`
	// Listed is set if the server is listed and not leaving, in a list requested ListAgeMS ago;
	// negative if the store has no list.
	Listed    bool  `json:"listed,omitempty"`
	ListAgeMS int64 `json:"list_age_ms,omitempty"`
}

// Lookup asks stores for single routes and servers. Its methods return false if no store answers
// in time or none knows better.
type Lookup interface {
	// Routes returns the newer version and rows of the routes of a host name.
	Routes(ctx context.Context, hostName string, version uint64) (LookupResponse, bool)
	// Gone reports whether a server has left or is leaving, by a list that is newer than one of an
	// age in ms.
	Gone(ctx context.Context, instanceKey string, listAgeMS int64) bool
}
