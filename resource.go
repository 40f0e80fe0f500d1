package wheelgauge

import "encoding/json"

// Kind names a type of resource.
type Kind string

// Kinds of the resource API.
const (
	KindRegion        Kind = "Region"
	KindHall          Kind = "Hall"
	KindHost          Kind = "Host"
	KindBackendServer Kind = "BackendServer"
	KindPool          Kind = "Pool"
	KindModel         Kind = "Model"
	KindPlacement     Kind = "Placement"
	KindRoute         Kind = "Route"
	KindClientClass   Kind = "ClientClass"
	KindResidencyRule Kind = "ResidencyRule"
)

// Kinds lists every kind, in the order in which they refer to each other.
func Kinds() []Kind {
	return []Kind{
		KindRegion, KindHall, KindHost, KindPool, KindBackendServer,
		KindModel, KindPlacement, KindRoute, KindClientClass, KindResidencyRule,
	}
}

// Resource is one configured object. Generation is the configuration
// generation of its last change. Pending holds a spec that takes rights away
// and is not accepted yet; gateways obey both specs meanwhile.
type Resource struct {
	Kind       Kind            `json:"kind"`
	Name       string          `json:"name"`
	Generation uint64          `json:"generation"`
	Operator   string          `json:"operator,omitempty"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Pending    json.RawMessage `json:"pending,omitempty"`
	PendingGen uint64          `json:"pending_generation,omitempty"`
}

// RegionSpec describes a region.
type RegionSpec struct {
	// Price is the cost of 1,000 generated tokens, in the operator's currency.
	Price float64 `json:"price"`
	// Links gives the one-way delay to other regions, in milliseconds.
	Links map[string]float64 `json:"links_ms,omitempty"`
	// Claims names the host whose store keeps the claims of clients at home here.
	Claims string `json:"claims,omitempty"`
}

// HallSpec describes a hall.
type HallSpec struct {
	Region string `json:"region"`
}

// HostSpec describes an entry host.
type HostSpec struct {
	Region string `json:"region"`
	Hall   string `json:"hall"`
	// Caller and Peer are the addresses (IP:port) of the two listeners.
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
	// Store is the peer address of the store on this host, if it has one.
	Store string `json:"store,omitempty"`
	// Weight scales the share of callers; 1 when zero.
	Weight  float64 `json:"weight,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
}

// Pool kinds.
const (
	PoolEngine  = "engine"
	PoolService = "service"
)

// PoolSpec describes a set of backend servers that serve the same thing.
type PoolSpec struct {
	// Type is PoolEngine or PoolService.
	Type string `json:"type"`
}

// BackendServerSpec describes one backend server.
type BackendServerSpec struct {
	Pool    string `json:"pool"`
	Region  string `json:"region"`
	Hall    string `json:"hall"`
	Address string `json:"address"`
	// Slots is the number of requests it runs at once.
	Slots int `json:"slots"`
	// ChecksFences is false when unknown: a new order giver then waits out the lease.
	ChecksFences bool `json:"checks_fences,omitempty"`
	Leaving      bool `json:"leaving,omitempty"`
}

// ModelSpec describes a model.
type ModelSpec struct {
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
	Bytes    int64    `json:"bytes,omitempty"`
}

// PlacementSpec says which backend servers hold a model.
type PlacementSpec struct {
	Model   string   `json:"model"`
	Version string   `json:"version,omitempty"`
	Servers []string `json:"servers"`
}

// OldPath sends a part of a route's requests to the path that stood before.
type OldPath struct {
	Address string `json:"address"`
	// Share is the fraction of requests, 0 to 1.
	Share   float64  `json:"share,omitempty"`
	Clients []string `json:"clients,omitempty"`
}

// RouteSpec maps a model name or a path prefix to a pool.
type RouteSpec struct {
	Model string `json:"model,omitempty"`
	// Path is a prefix below /s/.
	Path string `json:"path,omitempty"`
	Pool string `json:"pool"`
	// NotRepeatable marks every call of the route.
	NotRepeatable bool     `json:"not_repeatable,omitempty"`
	OldPath       *OldPath `json:"old_path,omitempty"`
}

// ClientClassSpec gives limits and priority to the clients of a class.
type ClientClassSpec struct {
	// Priority: higher is shed later. 0 to 9.
	Priority int `json:"priority"`
	// Rate is requests a second per client and region; 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst int     `json:"burst,omitempty"`
	// DeadlineMS is used where the caller states none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// ResidencyRuleSpec limits where a client's data may be processed.
type ResidencyRuleSpec struct {
	// Client is a client name, or "class:NAME" for all clients of a class.
	Client  string   `json:"client"`
	Regions []string `json:"regions"`
}
