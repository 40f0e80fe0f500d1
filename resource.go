package wheelgauge

import "encoding/json"

// Kind names a type of resource.
type Kind string

// Kinds of resources in the API.
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

// Kinds returns every kind, in dependency order.
func Kinds() []Kind {
	return []Kind{
		KindRegion, KindHall, KindHost, KindPool, KindBackendServer,
		KindModel, KindPlacement, KindRoute, KindClientClass, KindResidencyRule,
	}
}

// Resource is one configured object. Generation is the configuration
// generation of its last change. Pending holds a spec that removes rights
// and is not accepted yet; until then gateways enforce both specs.
type Resource struct {
	Kind              Kind            `json:"kind"`
	Name              string          `json:"name"`
	Generation        uint64          `json:"generation"`
	Operator          string          `json:"operator,omitempty"`
	Spec              json.RawMessage `json:"spec,omitempty"`
	Pending           json.RawMessage `json:"pending,omitempty"`
	PendingGeneration uint64          `json:"pending_generation,omitempty"`
}

// RegionSpec describes a region.
type RegionSpec struct {
	// Price is the cost per 1,000 generated tokens, in the operator's currency.
	Price float64 `json:"price"`
	// LinkDelaysMS maps other regions to the one-way delay to them, in milliseconds.
	LinkDelaysMS map[string]float64 `json:"links_ms,omitempty"`
	// ClaimHost names the host whose store keeps the claims of clients whose home region is
	// this one.
	ClaimHost string `json:"claims,omitempty"`
}

// HallSpec describes a hall.
type HallSpec struct {
	Region string `json:"region"`
}

// HostSpec describes an entry host.
type HostSpec struct {
	Region string `json:"region"`
	Hall   string `json:"hall"`
	// Addresses (IP:port) of the listeners for callers and for peers.
	CallerAddress string `json:"caller"`
	PeerAddress   string `json:"peer"`
	// StoreAddress is the peer address of the store on this host, if there is one.
	StoreAddress string `json:"store,omitempty"`
	// Weight scales the host's share of callers; zero means 1.
	Weight  float64 `json:"weight,omitempty"`
	Leaving bool    `json:"leaving,omitempty"`
}

// Pool kinds.
const (
	PoolEngine  = "engine"
	PoolService = "service"
)

// PoolSpec describes a set of interchangeable backend servers.
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
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// Version is the version of the server's software. A stream goes on only at servers of the
	// version that began it.
	Version string `json:"version,omitempty"`
	// ChecksFences is set if the server is known to check the fences of orders. If not, a new
	// issuer of orders first waits until the lease of its predecessor has expired.
	ChecksFences bool `json:"checks_fences,omitempty"`
	Leaving      bool `json:"leaving,omitempty"`
}

// ModelSpec describes a model.
type ModelSpec struct {
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
	Bytes    int64    `json:"bytes,omitempty"`
}

// PlacementSpec assigns a model to backend servers.
type PlacementSpec struct {
	Model   string   `json:"model"`
	Version string   `json:"version,omitempty"`
	Servers []string `json:"servers"`
}

// OldPath sends part of a route's requests to the system that served them before the
// gateway.
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
	// NotRepeatable marks every call of the route as not repeatable.
	NotRepeatable bool     `json:"not_repeatable,omitempty"`
	OldPath       *OldPath `json:"old_path,omitempty"`
}

// ClientClassSpec sets the limits and the priority of the clients of a class.
type ClientClassSpec struct {
	// Priority is 0 to 9; requests with a higher priority are shed later.
	Priority int `json:"priority"`
	// Rate is in requests per second, per client and region; 0 means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst int     `json:"burst,omitempty"`
	// DeadlineMS applies to requests that state no deadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// ResidencyRuleSpec restricts the regions that may process a client's data.
type ResidencyRuleSpec struct {
	// Client is a client name, or "class:NAME" for all clients of a class.
	Client  string   `json:"client"`
	Regions []string `json:"regions"`
}
