package wheelgauge

import "encoding/json"

// FleetHost is a host of the routes mode as it tells of itself.
type FleetHost struct {
	Name   string `json:"n"`
	Region string `json:"r"`
	Hall   string `json:"h"`
	// Caller and Peer are the addresses (IP:port) of its listeners.
	Caller string `json:"c"`
	Peer   string `json:"p"`
	// Boot differs between two starts of the host's process.
	Boot    uint64 `json:"b"`
	Leaving bool   `json:"l,omitempty"`
	// Ready is false until the host knows a configuration.
	Ready bool `json:"y,omitempty"`
}

// ServerUse is what one host, or several together, have in flight at a server.
type ServerUse struct {
	Instance string `json:"i"`
	// Born tells the server's start, as in Server.
	Born    int64 `json:"b,omitempty"`
	Running int   `json:"u"`
	// Tokens are those of prompts that wait for their first event.
	Tokens int `json:"t,omitempty"`
	// Work tells both by rank.
	Work Work `json:"w,omitempty"`
	// Pace sums up how long work takes there by the server's reports to each of Paced hosts, in
	// hundredths of the usual time.
	Pace  int `json:"p,omitempty"`
	Paced int `json:"q,omitempty"`
	// Lost is how many hosts could not reach the server lately, or found another one
	// at its address.
	Lost int `json:"x,omitempty"`
}

// Plus adds what others have in flight at the server, and know of it. Of two starts
// of the server the later one counts alone.
func (u ServerUse) Plus(v ServerUse) ServerUse {
	switch {
	case u.Born > v.Born:
		return u
	case u.Born < v.Born:
		return v
	}
	return ServerUse{
		Instance: v.Instance, Born: v.Born, Running: u.Running + v.Running, Tokens: u.Tokens + v.Tokens, Work: u.Work.Plus(v.Work),
		Lost: u.Lost + v.Lost, Pace: u.Pace + v.Pace, Paced: u.Paced + v.Paced,
	}
}

// Told tells whether there is anything to say of the server.
func (u ServerUse) Told() bool { return u.Running > 0 || u.Lost > 0 }

// ServiceUse is the load of a service in a region.
type ServiceUse struct {
	Service string `json:"s"`
	// Running is the number of requests in flight.
	Running int `json:"u"`
	// Tokens are those of prompts that wait for their first event.
	Tokens int `json:"t,omitempty"`
	// Work tells both by rank.
	Work Work `json:"w,omitempty"`
	// Servers is the number of servers that take work, Slots the requests that
	// they run at once.
	Servers int `json:"k,omitempty"`
	Slots   int `json:"n,omitempty"`
	// Limited is the number of further servers, which have named a limit.
	Limited int `json:"l,omitempty"`
}

// Plus adds what others have in flight of the service; the servers that there are
// stay those of u.
func (u ServiceUse) Plus(v ServiceUse) ServiceUse {
	u.Service = v.Service
	u.Running += v.Running
	u.Tokens += v.Tokens
	u.Work = u.Work.Plus(v.Work)
	return u
}

// Beat is the heartbeat of an entry host to a store.
type Beat struct {
	Host FleetHost `json:"host"`
	// Primary is set for the one store that the host takes its news from.
	Primary bool `json:"primary,omitempty"`
	// IntervalMS is when the next beat to this store comes, in ms.
	IntervalMS int64 `json:"interval_ms"`
	// Store, Hosts and Servers name the views held; see BeatAnswer.
	Store   uint64 `json:"store,omitempty"`
	Hosts   uint64 `json:"hosts,omitempty"`
	Servers uint64 `json:"servers,omitempty"`
	// ListAgeMS is how long ago the list of servers held was asked for, in ms; 0
	// without one. An older list is not wanted.
	ListAgeMS int64        `json:"list_age_ms,omitempty"`
	Uses      []ServerUse  `json:"uses,omitempty"`
	Totals    []ServiceUse `json:"totals,omitempty"`
	// Crashes are those noted since the last heartbeat that this store answered,
	// CrashesAt names the view held of those of all hosts; see BeatAnswer.
	Crashes   []Crash `json:"crashes,omitempty"`
	CrashesAt uint64  `json:"crashes_at,omitempty"`
	// Limits are those that servers named in answers to this host, as far as this store
	// does not know them, LimitsAt numbers what the store told last; see BeatAnswer.
	Limits   []ServerLimit `json:"limits,omitempty"`
	LimitsAt uint64        `json:"limits_at,omitempty"`
	// Rollouts tell what the host did and saw in those that are under way.
	Rollouts []RolloutReport `json:"rollouts,omitempty"`
}

// FleetState is the replicated state of the routes mode.
type FleetState struct {
	// Generation grows with each change, of the configuration or of halls.
	Generation uint64 `json:"generation"`
	Version    uint64 `json:"version"`
	// Body is the whole configuration as the operator sent it.
	Body json.RawMessage `json:"body,omitempty"`
	// Drained are the halls whose servers get no new work.
	Drained []string `json:"drained,omitempty"`
	// Rollouts are the last ones of each service.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Crashes are those by which requests are held back.
	Crashes []Crash `json:"crashes,omitempty"`
}

// PackedBody names a configuration's body as it travels, compressed.
type PackedBody struct {
	Version uint64 `json:"version"`
	// Size is its length in bytes, Sum the CRC-32 (IEEE) of these.
	Size int    `json:"size"`
	Sum  uint32 `json:"sum"`
}

// StateRequest asks a store for a part of a state that is newer than the one
// held.
type StateRequest struct {
	// Generation and Version are those held. A body of the version held is not
	// sent again.
	Generation uint64 `json:"generation"`
	Version    uint64 `json:"version,omitempty"`
	// Packed is the body that earlier parts were of, Offset how much of it came,
	// Most how much may come at once, both in bytes.
	Packed PackedBody `json:"packed"`
	Offset int        `json:"offset,omitempty"`
	Most   int        `json:"most"`
}

// StatePart is a part of a state, or says that there is no newer one.
type StatePart struct {
	Generation uint64   `json:"generation"`
	Version    uint64   `json:"version"`
	Drained    []string `json:"drained,omitempty"`
	// Rollouts tell how long each has run by now.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Packed is of size 0 when the body is that of the version held.
	Packed PackedBody `json:"packed"`
	Offset int        `json:"offset,omitempty"`
	Data   []byte     `json:"data,omitempty"`
	// Crashes are those by which requests are held back, for a host that holds no state.
	Crashes []Crash `json:"crashes,omitempty"`
}

// RegionUse is the load of another region.
type RegionUse struct {
	Region string       `json:"r"`
	Uses   []ServiceUse `json:"u"`
}

// BeatAnswer is what a store tells an entry host.
type BeatAnswer struct {
	// Store is the boot of the store that numbers Hosts and Servers.
	Store uint64 `json:"store"`
	// InTouch is false while the store is cut off from the other stores.
	InTouch bool `json:"in_touch"`
	// Generation is that of the state held by the store.
	Generation uint64 `json:"generation"`
	// Region and Hall say where the store is.
	Region string `json:"region"`
	Hall   string `json:"hall"`
	// Stores are the peer addresses of all stores.
	Stores []string `json:"stores,omitempty"`
	// Partial is set while the store has not been up for long enough to have
	// heard of every host: what it does not name may be there all the same.
	Partial bool `json:"partial,omitempty"`
	// Hosts is the whole table of entry hosts when its number changed.
	HostsAt   uint64      `json:"hosts_at,omitempty"`
	Hosts     []FleetHost `json:"hosts,omitempty"`
	ServersAt uint64      `json:"servers_at,omitempty"`
	// ServersAgeMS is how long ago the list of servers was asked for.
	ServersAgeMS int64    `json:"servers_age_ms,omitempty"`
	Servers      []Server `json:"servers,omitempty"`
	// Uses are what the region's other hosts have in flight.
	Uses []ServerUse `json:"uses,omitempty"`
	// Regions is the load of all regions.
	Regions []RegionUse `json:"regions,omitempty"`
	// Crashes are those of requests that are held back, whole when their number changed.
	CrashesAt uint64  `json:"crashes_at,omitempty"`
	Crashes   []Crash `json:"crashes,omitempty"`
	// Limits are those of servers that changed since the number that was asked with.
	LimitsAt uint64        `json:"limits_at,omitempty"`
	Limits   []ServerLimit `json:"limits,omitempty"`
}

// ServerPart is the list of backend servers of one region, as one store tells
// another.
type ServerPart struct {
	Region  string `json:"region"`
	Version uint64 `json:"version"`
	// AgeMS is how long ago the list was asked for, in ms.
	AgeMS int64 `json:"age_ms"`
	// Same is set when the list is that of the version sent before.
	Same    bool     `json:"same,omitempty"`
	Servers []Server `json:"servers,omitempty"`
}

// RegionLoad is the load of the hosts of a region that take their news from one
// store.
type RegionLoad struct {
	Region string       `json:"r"`
	Hosts  int          `json:"h"`
	Uses   []ServiceUse `json:"u,omitempty"`
}

// StoreNews is what a store tells each other store: the part of the list of servers
// that it has read, and the load of the hosts that take their news from it.
type StoreNews struct {
	// Store is the boot of the store that numbers the parts, Address where it is
	// reached, Region where it stands.
	Store   uint64       `json:"store"`
	Address string       `json:"address"`
	Region  string       `json:"region"`
	Parts   []ServerPart `json:"parts,omitempty"`
	Loads   []RegionLoad `json:"loads,omitempty"`
	// Uses are told to stores of the same region only.
	Uses []ServerUse `json:"uses,omitempty"`
	Caps CapNews     `json:"caps,omitzero"`
}

// StoreNewsAnswer says which parts were not understood, and lends parts of caps.
type StoreNewsAnswer struct {
	Caps CapSheet `json:"caps,omitzero"`
	// Missing are the regions whose parts must be sent whole.
	Missing []string `json:"missing,omitempty"`
}
