package wheelgauge

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"
)

// RouteKind says how often a request of a route may run.
type RouteKind string

// Kinds of routes.
const (
	// RouteRepeatable requests may run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered by an event stream. They run at most
	// once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// PathRoute sends the requests of a host name and path prefix to services.
type PathRoute struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Timeout is the longest that a request may be held.
	Timeout time.Duration `json:"timeout_ns"`
	// Objective is the latency that users want; of streams, to the first event.
	Objective time.Duration `json:"objective_ns"`
	// Pause is the longest pause between events that users want.
	Pause time.Duration `json:"pause_ns"`
	// Priority is the rank of the route, 0 the most urgent.
	Priority int `json:"priority"`
	// Attempts is the most servers that may run one request.
	Attempts int     `json:"attempts"`
	Shares   []Share `json:"shares"`
	// Affinity asks for servers that hold a request's prompt prefix.
	Affinity  bool `json:"affinity"`
	Resumable bool `json:"resumable"`
	// Homes are the only regions that may run or relay a request; empty means all.
	Homes []string `json:"homes,omitempty"`
	// Open lets callers without a key of a workspace in.
	Open bool `json:"open,omitempty"`
}

// Repeatable tells whether a request may run more than once.
func (r *PathRoute) Repeatable() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// AllowedIn tells whether the route's requests may run in a region.
func (r *PathRoute) AllowedIn(region string) bool { return allowed(r.Homes, region) }

func allowed(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// Conns is the most connections that one server accepts from all hosts.
	Conns int `json:"conns"`
	// ColdRate is what a cold server of the service bears, requests a second
	// from all hosts together; 0 means no bound.
	ColdRate float64 `json:"cold_rate"`
	// CacheTokens is the KV cache of one engine, in tokens; 0 for plain services.
	CacheTokens int `json:"cache_tokens"`
}

// SlowConnBytes is what a connection holds at most whose other side reads slowly: the buffers
// of both sides of the relay.
const SlowConnBytes = 160 << 10

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int           `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout_ns"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns"`
}

// RouteSet is a whole configuration under an operator's version number.
type RouteSet struct {
	Version  uint64      `json:"version"`
	Routes   []PathRoute `json:"routes"`
	Services []Service   `json:"services"`
	Limits   Limits      `json:"limits"`
	// Workspaces are those whose keys are let in; without any, callers need no key.
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// RouteDecoder reads a whole configuration in an operator's form. Its error
// says what is wrong with the first field that is.
type RouteDecoder func(body []byte) (*RouteSet, error)

// Server is a backend server as the list of servers tells of it.
type Server struct {
	// Instance names the server; with Born, one start of it.
	Instance string `json:"i"`
	// Born is the Unix millisecond of the start, by the server's clock; 0 where it is
	// not told.
	Born    int64  `json:"b,omitempty"`
	Service string `json:"s"`
	// Version is that of the server's software.
	Version string `json:"v,omitempty"`
	Address string `json:"a"`
	Hall    string `json:"h"`
	// Region is that of the hall; stores fill it in.
	Region  string `json:"r,omitempty"`
	Slots   int    `json:"n,omitempty"`
	Leaving bool   `json:"l,omitempty"`
	// ColdMS is how much longer the server bears only its cold rate, in ms.
	ColdMS int64 `json:"c,omitempty"`
}

// Life names one start of the server.
func (s Server) Life() string {
	if s.Born == 0 {
		return s.Instance
	}
	return s.Instance + "@" + strconv.FormatInt(s.Born, 10)
}

const (
	// MostSlots is the most requests that a backend server is taken to run at once.
	MostSlots = 100_000
	// MostColdMS is the longest that a server is taken to stay cold, in ms: a day.
	MostColdMS = 24 * 3600 * 1000
)

// Reachable tells whether the address is a host with a port.
func (s Server) Reachable() bool {
	host, port, err := net.SplitHostPort(s.Address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// Bounded returns the server with numbers that can be added up and turned into times: the
// list says what it likes.
func (s Server) Bounded() Server {
	s.Slots = min(max(s.Slots, 0), MostSlots)
	s.ColdMS = min(max(s.ColdMS, 0), MostColdMS)
	return s
}

// ServerList is the list of backend servers; it lags behind reality.
type ServerList interface {
	// Servers returns all servers of the halls, or of all halls when none is named, and
	// how many entries name none.
	Servers(ctx context.Context, halls []string) ([]Server, ForeignEntries, error)
}

// EntryFault says why an entry of the list names no server.
type EntryFault string

// Faults of entries, which another writer may have put on the list.
const (
	EntryMissing      EntryFault = "missing"
	EntryOtherType    EntryFault = "other-type"
	EntryUnknownState EntryFault = "unknown-state"
	EntryUnreadable   EntryFault = "unreadable"
	// EntryNoAddress: a connection cannot be opened to what the entry gives as one.
	EntryNoAddress EntryFault = "no-address"
)

// ForeignEntries counts the entries of the list that name no server.
type ForeignEntries map[EntryFault]int

// HeaderNames are the headers that callers, gateways and backend servers use in
// one dialect. An empty name means that the dialect has no such header.
type HeaderNames struct {
	// RequestID names a request; servers give it back.
	RequestID string
	// Deadline is what is left until the caller gives up, in ms.
	Deadline string
	// Target names the one instance that may run the request.
	Target string
	// NotRun marks a server's answer that says the request did not run.
	NotRun string
	// Key is the caller's proof that it belongs to a workspace; no server is shown it.
	Key string
	// Workspace names the workspace to servers.
	Workspace string
	// Signature proves that a server made the answer; every success has one.
	Signature string
	// Load is "running,waiting,slots" of the answering server.
	Load string
	// Limit is the requests a second that a server in need takes from all hosts
	// together, a decimal number; answers of servers without a limit lack it.
	Limit string
	// Leaving is "1" in the answers of a server that leaves.
	Leaving string
	// Prompt lists the parts of the prompt as ID:TOKENS, separated by commas.
	Prompt string
	// Tokens is "prompt tokens,most tokens to generate".
	Tokens string
	// Hint is the caller's guess of the tokens to be generated.
	Hint string
	// Fetch names the server (IP:port) that the prompt's kept parts are to be
	// taken from.
	Fetch string
	// Priority orders requests in an engine, 0 first.
	Priority string
	// LastEvent names the last event a resumed stream has seen.
	LastEvent string
	// Reserved are headers that only the system sets: a caller's are dropped.
	Reserved []string
}

// Operations are what operators may ask of a store in the routes mode.
type Operations interface {
	// PutRoutes makes a whole configuration the one in force, if its version is
	// above the one held, and returns the version held.
	PutRoutes(ctx context.Context, body []byte) (uint64, error)
	// Routes returns the newest whole configuration as it was sent, after a
	// read barrier; an error when there is none.
	Routes(ctx context.Context) ([]byte, error)
	// DrainHall stops or resumes sending work to the backend servers of a hall.
	DrainHall(ctx context.Context, hall string, drained bool) error
	// StartRollout begins to move a service's requests to another version. An order for a
	// service that is in a rollout is refused.
	StartRollout(ctx context.Context, order RolloutOrder) error
	// Rollout returns the last rollout of a service, after a read barrier.
	Rollout(ctx context.Context, service string) (Rollout, error)
	// AbortRollout takes a rollout back that is under way.
	AbortRollout(ctx context.Context, service string) error
	// EntryAddresses returns where callers of a region may connect to reach a
	// host name, and how long the answer holds.
	EntryAddresses(name, region string) ([]string, time.Duration, error)
}
