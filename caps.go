package wheelgauge

import "context"

// CapWant asks a store for units of a workspace's cap.
type CapWant struct {
	Workspace string  `json:"w"`
	Units     float64 `json:"u"`
	// Ahead are units for requests that are about to come, if there are any to spare.
	Ahead float64 `json:"a,omitempty"`
}

// CapAsk is what an entry host asks of a store before it sends requests to backend
// servers.
type CapAsk struct {
	Host string `json:"h"`
	// Boot differs between two starts of the host's process.
	Boot uint64 `json:"b"`
	// Moved is set when another store said that this one has the units.
	Moved bool      `json:"m,omitempty"`
	Wants []CapWant `json:"wants"`
}

// CapGrant answers one CapWant.
type CapGrant struct {
	Granted bool `json:"g,omitempty"`
	// Ahead are the units given besides.
	Ahead float64 `json:"x,omitempty"`
	// AfterMS is when the units wanted are likely to be had, in ms, if they are not now.
	AfterMS int64 `json:"a,omitempty"`
	// Elsewhere is the address of a store that seems to have the units, if this one has
	// not.
	Elsewhere string `json:"e,omitempty"`
	// Alone is what the host may send of the workspace, in units a second, while no
	// store answers it, for AloneMS after it asked.
	Alone   float64 `json:"r,omitempty"`
	AloneMS int64   `json:"t,omitempty"`
}

// CapAnswer answers a CapAsk, in its order.
type CapAnswer struct {
	Grants []CapGrant `json:"grants"`
}

// CapDemand is what a store's hosts ask of a workspace's cap, in units a second, and
// what the store has to spare of it, in units.
type CapDemand struct {
	Workspace string `json:"w"`
	Units     int64  `json:"u,omitempty"`
	Spare     int64  `json:"s,omitempty"`
}

// CapShare is a part of a workspace's cap, from 0 to 1.
type CapShare struct {
	Workspace string  `json:"w"`
	Share     float64 `json:"s"`
}

// CapSheet lends another store parts of caps. A later one replaces it.
type CapSheet struct {
	// Giver is the boot of the store that numbers its sheets.
	Giver  uint64     `json:"g"`
	Number uint64     `json:"n"`
	Shares []CapShare `json:"s,omitempty"`
	// Holds is the boot of the store asked, of whose last sheet the giver goes by; 0
	// without one.
	Holds uint64 `json:"h,omitempty"`
}

// CapNews is what a store tells another one of caps.
type CapNews struct {
	// Ready is set while the store uses its own part.
	Ready   bool        `json:"r,omitempty"`
	Demands []CapDemand `json:"d,omitempty"`
	// Giver and Number are those of the last sheet taken from the store told.
	Giver  uint64 `json:"g,omitempty"`
	Number uint64 `json:"n,omitempty"`
}

// CapLimiter holds the caps of workspaces over all hosts.
type CapLimiter interface {
	// Take draws units for a request that is to be sent now. Its error, nil when the
	// request may be sent, says why not and when the caller should come back.
	Take(ctx context.Context, w *Workspace, units float64) *Error
	// Return gives back the units of a request that was not run.
	Return(w *Workspace, units float64)
}

// StoreAt is where a store is reached.
type StoreAt struct {
	Address string
	// Near is set for one of the host's own region.
	Near bool
}
