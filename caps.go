package wheelgauge

import "context"

// CapWant is a request for units of one workspace's cap.
type CapWant struct {
	Workspace string  `json:"w"`
	Units     float64 `json:"u"`
	// Ahead is a number of further units for expected requests, granted only if there are
	// any to spare.
	Ahead float64 `json:"a,omitempty"`
}

// CapAsk is an entry host's request to a store for cap units, made before the host sends
// requests to backend servers.
type CapAsk struct {
	Host string `json:"h"`
	// Boot identifies one start of the host's process.
	Boot uint64 `json:"b"`
	// Moved is set when another store referred the host to this one.
	Moved bool      `json:"m,omitempty"`
	Wants []CapWant `json:"wants"`
}

// CapGrant is the response to the request for one workspace.
type CapGrant struct {
	Granted bool `json:"g,omitempty"`
	// Ahead is the number of further units granted for expected requests.
	Ahead float64 `json:"x,omitempty"`
	// AfterMS is how long until the units are likely to be available, in ms, if they were not
	// granted.
	AfterMS int64 `json:"a,omitempty"`
	// Elsewhere is the address of another store that probably has the units, if this one does
	// not.
	Elsewhere string `json:"e,omitempty"`
	// Alone is the rate, in units per second, at which the host may send requests of the
	// workspace while no store responds to it. It is valid for AloneMS after the request.
	Alone   float64 `json:"r,omitempty"`
	AloneMS int64   `json:"t,omitempty"`
}

// CapAnswer is the response to a request for cap units, with the grants in the order of the
// request.
type CapAnswer struct {
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

// CapSheet leases shares of caps to another store. A later lease replaces it.
type CapSheet struct {
	// Giver is the boot of the store that grants the lease and issues its number.
	Giver  uint64     `json:"g"`
	Number uint64     `json:"n"`
	Shares []CapShare `json:"s,omitempty"`
	// Holds is the boot under which the receiving store issued the lease that the granting
	// store uses itself; 0 if there is none.
	Holds uint64 `json:"h,omitempty"`
}

// CapNews is the part of a store's update that concerns caps.
type CapNews struct {
	// Ready is set while the store uses its own share.
	Ready   bool        `json:"r,omitempty"`
	Demands []CapDemand `json:"d,omitempty"`
	// Giver and Number identify the last lease accepted from the receiving store.
	Giver  uint64 `json:"g,omitempty"`
	Number uint64 `json:"n,omitempty"`
}

// CapLimiter enforces the caps of workspaces over all hosts.
type CapLimiter interface {
	// Take draws units for a request that is to be sent now. It returns nil if the request
	// may be sent; otherwise the error gives the reason and when the caller should retry.
	Take(ctx context.Context, w *Workspace, units float64) *Error
	// Return gives back the units of a request that did not run.
	Return(w *Workspace, units float64)
}

// StoreAt is the address of a store.
type StoreAt struct {
	Address string
	// Near is set for a store in the host's own region.
	Near bool
}
