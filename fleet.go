package wheelgauge

import (
	"encoding/json"
	"strings"
)

// FleetHost describes a host of the routes mode, as reported by the host itself.
type FleetHost struct {
	Name   string `json:"n"`
	Region string `json:"r"`
	Hall   string `json:"h"`
	// Addresses (IP:port) of the listeners for callers and for peers.
	CallerAddress string `json:"c"`
	PeerAddress   string `json:"p"`
	// Boot identifies one start of the host's process.
	Boot    uint64 `json:"b"`
	Leaving bool   `json:"l,omitempty"`
	// Ready is false until the host has a configuration.
	Ready bool `json:"y,omitempty"`
	// OutOfReach lists the services of whose servers the host reaches none, separated by commas. It
	// passes their requests on to other regions.
	OutOfReach string `json:"o,omitempty"`
}

// Reaches reports whether the host reaches servers of a service, as far as it says.
func (h FleetHost) Reaches(service string) bool {
	if h.OutOfReach == "" {
		return true
	}
	for name := range strings.SplitSeq(h.OutOfReach, ",") {
		if name == service {
			return false
		}
	}
	return true
}

// ServerUsage is what one or more hosts have in flight at a server and have observed of it.
type ServerUsage struct {
	Instance string `json:"i"`
	// StartUnixMS is the start time of the server, as in the server list.
	StartUnixMS int64 `json:"b,omitempty"`
	Running     int   `json:"u"`
	// PrefillTokens is the sum of the prompt tokens of requests that wait for their first event.
	PrefillTokens int `json:"t,omitempty"`
	// Work is both by rank.
	Work Work `json:"w,omitempty"`
	// SlowdownSum is the sum of the slowdown factors that SlowdownHosts hosts derive from the
	// server's reports, in hundredths: 100 for a host means that work takes the usual time.
	SlowdownSum   int `json:"p,omitempty"`
	SlowdownHosts int `json:"q,omitempty"`
	// UnreachableFrom is the number of hosts that recently failed to reach the server or found
	// another one at its address.
	UnreachableFrom int `json:"x,omitempty"`
}

// Plus returns the combined use by several hosts. If the two are of different starts of the
// server, only the later one counts.
func (u ServerUsage) Plus(v ServerUsage) ServerUsage {
	switch {
	case u.StartUnixMS > v.StartUnixMS:
		return u
	case u.StartUnixMS < v.StartUnixMS:
		return v
	}
	return ServerUsage{
		Instance: v.Instance, StartUnixMS: v.StartUnixMS, Running: u.Running + v.Running, PrefillTokens: u.PrefillTokens + v.PrefillTokens, Work: u.Work.Plus(v.Work),
		UnreachableFrom: u.UnreachableFrom + v.UnreachableFrom, SlowdownSum: u.SlowdownSum + v.SlowdownSum, SlowdownHosts: u.SlowdownHosts + v.SlowdownHosts,
	}
}

// Reportable reports whether there is anything worth sending.
func (u ServerUsage) Reportable() bool { return u.Running > 0 || u.UnreachableFrom > 0 }

// ServiceUsage is the load of a service in a region.
type ServiceUsage struct {
	Service string `json:"s"`
	// Running is the number of requests in flight.
	Running int `json:"u"`
	// PrefillTokens is the sum of the prompt tokens of requests that wait for their first event.
	PrefillTokens int `json:"t,omitempty"`
	// Work is both by rank.
	Work Work `json:"w,omitempty"`
	// Servers is the number of servers that accept work, Slots the number of requests that
	// they run concurrently.
	Servers int `json:"k,omitempty"`
	Slots   int `json:"n,omitempty"`
	// LimitedServers is the number of additional servers that have announced a limit.
	LimitedServers int `json:"l,omitempty"`
	// ColdServers and ColdSlots are those of Servers and Slots that can handle only their cold
	// rate.
	ColdServers int `json:"c,omitempty"`
	ColdSlots   int `json:"d,omitempty"`
}

// Plus adds what other hosts have in flight. The counts of servers and slots stay those of u.
func (u ServiceUsage) Plus(v ServiceUsage) ServiceUsage {
	u.Service = v.Service
	u.Running += v.Running
	u.PrefillTokens += v.PrefillTokens
	u.Work = u.Work.Plus(v.Work)
	return u
}

// FleetHeartbeat is the heartbeat that an entry host sends to a store.
type FleetHeartbeat struct {
	Host FleetHost `json:"host"`
	// Primary is set for the one store from which the host takes its updates.
	Primary bool `json:"primary,omitempty"`
	// IntervalMS is the time until the next heartbeat to this store, in ms.
	IntervalMS int64 `json:"interval_ms"`
	// StoreBoot is the boot of the store that issued the versions below.
	StoreBoot     uint64         `json:"store,omitempty"`
	ServerUsage   []ServerUsage  `json:"uses,omitempty"`
	ServiceTotals []ServiceUsage `json:"totals,omitempty"`
	// Crashes are those recorded here since the last heartbeat that this store answered.
	// CrashesVersion is the version of the list for all hosts that this host holds.
	Crashes        []Crash `json:"crashes,omitempty"`
	CrashesVersion uint64  `json:"crashes_at,omitempty"`
	// Limits are those that servers announced in responses to this host and that this store
	// has not received yet. LimitsVersion is the version of the limits last received from the
	// store.
	Limits        []ServerLimit `json:"limits,omitempty"`
	LimitsVersion uint64        `json:"limits_at,omitempty"`
	// Rollouts are the host's reports on rollouts in progress.
	Rollouts []RolloutReport `json:"rollouts,omitempty"`
	// Promises are those made here that the primary store has not acknowledged yet.
	// PromisesVersion is the version of those last received from it, 1 before the first; 0 if the
	// host makes none and gets none.
	Promises        ReturnPromises `json:"promises,omitempty"`
	PromisesVersion uint64         `json:"promises_at,omitempty"`
}

// FleetState is the replicated state of the routes mode.
type FleetState struct {
	// Generation grows with each change of the configuration or of drained halls.
	Generation uint64 `json:"generation"`
	Version    uint64 `json:"version"`
	// Body is the complete configuration as sent by the operator.
	Body json.RawMessage `json:"body,omitempty"`
	// DrainedHalls are the halls whose servers receive no new requests.
	DrainedHalls []string `json:"drained,omitempty"`
	// Rollouts holds the last rollout of each service.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Crashes are those because of which requests are quarantined.
	Crashes []Crash `json:"crashes,omitempty"`
	// LastOrders has, by subject, the index in the replicated log of the last order carried out.
	LastOrders map[string]uint64 `json:"last_orders,omitempty"`
	// HallOrderTimes has the time of day of the last order for each hall, in Unix ms.
	HallOrderTimes map[string]int64 `json:"hall_order_times,omitempty"`
}

// HallOrder is the latest order of an operator for a hall.
type HallOrder struct {
	Hall string `json:"h"`
	// AgeMS is how long ago the order was given at most, in ms; 0 as long as none is
	// acknowledged.
	AgeMS int64 `json:"a,omitempty"`
}

// ColdServer is a server that said itself that it is cold.
type ColdServer struct {
	// Server is the server's instance key.
	Server string `json:"s"`
	// LeftMS is how much longer it stays cold, in ms.
	LeftMS int64 `json:"l"`
}

// RegionUsage is the load of another region.
type RegionUsage struct {
	Region string `json:"r"`
	// AgeMS is how long ago the store received the last report of the load, in ms; negative if
	// there is none.
	AgeMS    int64          `json:"a,omitempty"`
	Services []ServiceUsage `json:"u"`
}

// FleetHeartbeatResponse is a store's response to the heartbeat of an entry host.
type FleetHeartbeatResponse struct {
	// StoreBoot is the boot of the store that issues the versions of the tables below.
	StoreBoot uint64 `json:"store"`
	// Connected is false while the store is partitioned from the other stores.
	Connected bool `json:"in_touch"`
	// Generation is that of the state that the store holds.
	Generation uint64 `json:"generation"`
	// Location of the store.
	Region string `json:"region"`
	Hall   string `json:"hall"`
	// StoreAddresses are the peer addresses of all stores.
	StoreAddresses []string `json:"stores,omitempty"`
	// Partial is set while the store has not been up long enough to have received a
	// heartbeat of every host: hosts that it does not list may exist nevertheless.
	Partial bool `json:"partial,omitempty"`
	// AllHosts is set once the store has been connected to the others for long enough for each
	// live host to have reached it.
	AllHosts bool `json:"all_hosts,omitempty"`
	// HallOrders are the orders for halls that operators gave lately.
	HallOrders []HallOrder `json:"hall_orders,omitempty"`
	// ColdServers are those of the host's region that said to this store that they are cold.
	ColdServers []ColdServer `json:"cold,omitempty"`
	// TablesDigest is the combined digest of the tables of hosts and servers: the host fetches
	// what changed if it differs from its own. Servers is the state of the list of the host's
	// region.
	TablesDigest uint64      `json:"tables,omitempty"`
	Servers      *ListStatus `json:"servers,omitempty"`
	// ServerUsage is what the other hosts of the region have in flight.
	ServerUsage []ServerUsage `json:"uses,omitempty"`
	// Regions is the load of all regions.
	Regions []RegionUsage `json:"regions,omitempty"`
	// Crashes are those of quarantined requests: the complete list, sent when its version
	// changed. CrashesIndex is the index of the replicated log up to which the list has all; 0 from
	// a store that does not tell.
	CrashesVersion uint64  `json:"crashes_at,omitempty"`
	CrashesIndex   uint64  `json:"crashes_index,omitempty"`
	Crashes        []Crash `json:"crashes,omitempty"`
	// Limits are those that changed since the version named in the heartbeat.
	LimitsVersion uint64        `json:"limits_at,omitempty"`
	Limits        []ServerLimit `json:"limits,omitempty"`
	// Promises are those of the region's other hosts after the version named in the heartbeat.
	PromisesVersion uint64         `json:"promises_at,omitempty"`
	Promises        ReturnPromises `json:"promises,omitempty"`
}

// ListStatus is the state of the list of a region's backend servers, as a store holds it.
type ListStatus struct {
	Region string `json:"region,omitempty"`
	// Digest is that of the region's table of servers, sent to stores only.
	Digest uint64 `json:"digest,omitempty"`
	// AgeMS is how long ago the list was requested, in ms.
	AgeMS int64 `json:"age_ms"`
	// ClockMS is the time of that request by the clock of the list, which goes on from one store
	// that reads the list to the next.
	ClockMS int64 `json:"clock_ms"`
	// Clock identifies the clock of the list: another one begins if no store had the list.
	Clock uint64 `json:"clock,omitempty"`
}

// RegionLoad is the load of the hosts of a region that take their updates from one
// store.
type RegionLoad struct {
	Region   string         `json:"r"`
	Hosts    int            `json:"h"`
	Services []ServiceUsage `json:"u,omitempty"`
}

// StoreUpdate is the update that a store sends to each other store: the state of the server
// lists that it reads, and the load of the hosts that take their updates from it.
type StoreUpdate struct {
	// StoreBoot is the boot of the sending store. Address is where it is reached, Region where it
	// is located.
	StoreBoot uint64 `json:"store"`
	Address   string `json:"address"`
	Region    string `json:"region"`
	// ServerLists are the states of the lists that the sender has read since the last update.
	ServerLists []ListStatus `json:"lists,omitempty"`
	Loads       []RegionLoad `json:"loads,omitempty"`
	// ServerUsage is sent only to stores of the same region.
	ServerUsage []ServerUsage `json:"uses,omitempty"`
	// Promises are those of the last moments by hosts whose primary is this store, sent only to
	// stores of the same region.
	Promises ReturnPromises `json:"promises,omitempty"`
	Caps     CapUpdate      `json:"caps,omitzero"`
	// HallOrders are the orders for halls that operators gave lately.
	HallOrders []HallOrder `json:"hall_orders,omitempty"`
}

// StoreUpdateResponse is the response to a store's update. It leases shares of caps to the sender.
type StoreUpdateResponse struct {
	CapLease CapLease `json:"caps,omitzero"`
}
