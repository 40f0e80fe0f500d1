package wheelgauge

import "context"

// CapUnitsItem is a request for units of one workspace's cap.
type CapUnitsItem struct {
	Workspace string  `json:"w"`
	Units     float64 `json:"u"`
	// Prefetch is a number of further units for expected requests, granted only if there are
	// any to spare.
	Prefetch float64 `json:"a,omitempty"`
}

// CapUnitsRequest is an entry host's request to a store for cap units, made before the host sends
// requests to backend servers.
type CapUnitsRequest struct {
	Host string `json:"h"`
	// Boot identifies one start of the host's process.
	Boot uint64 `json:"b"`
	// Redirected is set when another store referred the host to this one.
	Redirected bool           `json:"m,omitempty"`
	Items      []CapUnitsItem `json:"wants"`
}

// CapGrant is the response to the request for one workspace.
type CapGrant struct {
	Granted bool `json:"g,omitempty"`
	// Prefetched is the number of further units granted for expected requests.
	Prefetched float64 `json:"x,omitempty"`
	// RetryAfterMS is how long until the units are likely to be available, in ms, if they were not
	// granted.
	RetryAfterMS int64 `json:"a,omitempty"`
	// OtherStore is the address of another store that probably has the units, if this one does
	// not.
	OtherStore string `json:"e,omitempty"`
	// StandaloneRate is the rate, in units per second, at which the host may send requests of the
	// workspace while no store responds to it. It is valid for StandaloneMS after the request.
	StandaloneRate float64 `json:"r,omitempty"`
	StandaloneMS   int64   `json:"t,omitempty"`
}

// CapUnitsResponse is the response to a request for cap units, with the grants in the order of the
// request.
type CapUnitsResponse struct {
	Grants []CapGrant `json:"grants"`
}

// CapDemand is a store's demand for a workspace's cap: what its hosts request, in units per
// second, and what the store can spare, in units.
type CapDemand struct {
	Workspace string `json:"w"`
	Units     int64  `json:"u,omitempty"`
	Spare     int64  `json:"s,omitempty"`
}

// CapShare is a share of a workspace's cap, from 0 to 1.
type CapShare struct {
	Workspace string  `json:"w"`
	Share     float64 `json:"s"`
}

// CapLease leases shares of caps to another store. A later lease replaces it.
type CapLease struct {
	// Lessor is the boot of the store that grants the lease and issues its number.
	Lessor uint64     `json:"g"`
	Number uint64     `json:"n"`
	Shares []CapShare `json:"s,omitempty"`
	// HeldLessor is the boot under which the receiving store issued the lease that the granting
	// store uses itself; 0 if there is none.
	HeldLessor uint64 `json:"h,omitempty"`
}

// CapUpdate is the part of a store's update that concerns caps.
type CapUpdate struct {
	// Ready is set while the store uses its own share.
	Ready   bool        `json:"r,omitempty"`
	Demands []CapDemand `json:"d,omitempty"`
	// Lessor and LeaseNumber identify the last lease accepted from the receiving store.
	Lessor      uint64 `json:"g,omitempty"`
	LeaseNumber uint64 `json:"n,omitempty"`
}

// CapLimiter enforces the caps of workspaces over all hosts.
type CapLimiter interface {
	// Acquire draws units for a request that is to be sent now. It returns nil if the request
	// may be sent; otherwise the error gives the reason and when the caller should retry.
	Acquire(ctx context.Context, w *Workspace, units float64) *Error
	// Refund gives back the units of a request that did not run.
	Refund(w *Workspace, units float64)
}

// StoreEndpoint is the address of a store.
type StoreEndpoint struct {
	Address string
	// SameRegion is set for a store in the host's own region.
	SameRegion bool
	// Connected is set for a store that is connected to the others.
	Connected bool
}
