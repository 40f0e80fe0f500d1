package wheelgauge

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"
)

// RouteKind determines how often a request of a route may run.
type RouteKind string

// Kinds of routes.
const (
	// RouteRepeatable requests may run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered with an event stream. They run at most
	// once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// TrafficShare is the weight with which a route sends requests to a service.
type TrafficShare struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// PathRoute maps requests with a host name and path prefix to services.
type PathRoute struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Timeout bounds the time that a request may take.
	Timeout time.Duration `json:"timeout_ns"`
	// LatencyObjective is the target latency; for streams, the target time to the first event.
	LatencyObjective time.Duration `json:"objective_ns"`
	// GapObjective is the target for the longest gap between events of a stream.
	GapObjective time.Duration `json:"pause_ns"`
	// SilenceLimit is how long callers wait for the first event, and for each later one, before
	// they give up; 0 if unknown.
	SilenceLimit time.Duration `json:"silence_ns,omitempty"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the maximum number of servers that may run one request.
	MaxAttempts int            `json:"attempts"`
	Shares      []TrafficShare `json:"shares"`
	// PrefixAffinity prefers servers that have the request's prompt prefix cached.
	PrefixAffinity bool `json:"affinity"`
	Resumable      bool `json:"resumable"`
	// HomeRegions lists the only regions that may run or relay a request; empty means all.
	HomeRegions []string `json:"homes,omitempty"`
	// AllowAnonymous admits callers without the key of a workspace.
	AllowAnonymous bool `json:"open,omitempty"`
}

// Repeatable reports whether a request may run more than once.
func (r *PathRoute) Repeatable() bool {
	return r.Kind == RouteRepeatable || r.Kind == RouteStream && r.Resumable
}

// AllowedIn reports whether the route's requests may run in a region.
func (r *PathRoute) AllowedIn(region string) bool { return allowed(r.HomeRegions, region) }

func allowed(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Service is a set of backend servers that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// MaxConns is the maximum number of connections that one server accepts from all hosts.
	MaxConns int `json:"conns"`
	// ColdRate is the rate that a cold server of the service can handle, in requests per
	// second from all hosts together; 0 means no limit.
	ColdRate float64 `json:"cold_rate"`
	// KVCacheTokens is the KV cache size of one engine, in tokens; 0 for services without one.
	KVCacheTokens int `json:"cache_tokens"`
	// HealthPath is the path of its servers' health checks; empty if they have none.
	HealthPath string `json:"health_path,omitempty"`
}

// MaxSlowConnBytes bounds the memory held by a connection whose peer reads slowly: the buffers
// on both sides of the relay.
const MaxSlowConnBytes = 160 << 10

// CallerLimits bounds the size of a caller's request and the time that the caller may take
// to send it.
type CallerLimits struct {
	MaxHeaderBytes int           `json:"header_bytes"`
	MaxBodyBytes   int           `json:"body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout_ns"`
	IdleTimeout    time.Duration `json:"idle_timeout_ns"`
}

// RouteSet is a complete configuration with the operator's version number.
type RouteSet struct {
	Version  uint64       `json:"version"`
	Routes   []PathRoute  `json:"routes"`
	Services []Service    `json:"services"`
	Limits   CallerLimits `json:"limits"`
	// Workspaces are those whose keys are accepted; if there are none, callers need no key.
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// RouteDecoder decodes a complete configuration from an operator's format. Its error
// describes the first invalid field.
type RouteDecoder func(body []byte) (*RouteSet, error)

// Server is a backend server as given in the server list.
type Server struct {
	// Instance is the name of the server; together with the start time it identifies one start
	// of the server.
	Instance string `json:"i"`
	// StartUnixMS is the start time by the server's clock, in Unix milliseconds; 0 if not known.
	StartUnixMS int64  `json:"b,omitempty"`
	Service     string `json:"s"`
	// Version is the version of the server's software.
	Version string `json:"v,omitempty"`
	Address string `json:"a"`
	Hall    string `json:"h"`
	// Region is the region of the hall, filled in by stores.
	Region  string `json:"r,omitempty"`
	Slots   int    `json:"n,omitempty"`
	Leaving bool   `json:"l,omitempty"`
	// ColdMS is how much longer the server can handle only its cold rate, in ms.
	ColdMS int64 `json:"c,omitempty"`
	// ColdUntilMS stands for ColdMS in the tables of stores, whose rows must not change with the
	// time: the end by the clock of the list; see ListStatus. 0 for a server that is not cold.
	ColdUntilMS int64 `json:"u,omitempty"`
	// ColdClock identifies the clock of ColdUntilMS.
	ColdClock uint64 `json:"k,omitempty"`
}

// InstanceKey returns an identifier of this start of the server.
func (s Server) InstanceKey() string {
	if s.StartUnixMS == 0 {
		return s.Instance
	}
	return s.Instance + "@" + strconv.FormatInt(s.StartUnixMS, 10)
}

const (
	// MaxSlots bounds the number of concurrent requests that the list may give for a server.
	MaxSlots = 100_000
	// MaxColdMS bounds the time that the list may give for a server to stay cold, in ms: one
	// day.
	MaxColdMS = 24 * 3600 * 1000
	// UnknownColdMS stands for the time left of a cold server if its end is given by a clock that
	// the reader does not have. The row changes when the server is warm.
	UnknownColdMS = 10 * 1000
)

// ColdLeftMS returns how much longer a server of a store's table stays cold at a time of the list.
func (s Server) ColdLeftMS(clock uint64, clockMS int64) int64 {
	switch {
	case s.ColdUntilMS == 0:
		return 0
	case s.ColdClock != clock:
		return UnknownColdMS
	}
	return max(0, s.ColdUntilMS-clockMS)
}

// HasValidAddress reports whether the address is a host with a valid port.
func (s Server) HasValidAddress() bool {
	host, port, err := net.SplitHostPort(s.Address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// Clamped returns the server with its numbers clamped, so that they can be added up and
// converted to times without overflow. The list may contain any numbers.
func (s Server) Clamped() Server {
	s.Slots = min(max(s.Slots, 0), MaxSlots)
	s.ColdMS = min(max(s.ColdMS, 0), MaxColdMS)
	return s
}

// ServerList reads the list of backend servers, which may be out of date.
type ServerList interface {
	// Servers returns all servers of the given halls, or of all halls if none are given, and
	// counts the entries that do not describe a server.
	Servers(ctx context.Context, halls []string) ([]Server, InvalidEntries, error)
}

// ColdSource asks servers themselves whether they are cold.
type ColdSource interface {
	// ColdFor returns how much longer a server of the same region stays cold, 0 for a warm one,
	// by its answer to a health check at a path.
	ColdFor(ctx context.Context, s Server, path string) (time.Duration, error)
}

// EntryFault is the reason why an entry of the list does not describe a server.
type EntryFault string

// Faults of entries. The list may have other writers, with entries of another form.
const (
	EntryMissingField EntryFault = "missing"
	EntryWrongType    EntryFault = "other-type"
	EntryUnknownState EntryFault = "unknown-state"
	EntryUnreadable   EntryFault = "unreadable"
	// EntryInvalidAddress: the address is not one to which a connection can be opened.
	EntryInvalidAddress EntryFault = "no-address"
)

// InvalidEntries counts the entries of the list that do not describe a server, by fault.
type InvalidEntries map[EntryFault]int

// HeaderNames holds the names of the headers that callers, gateways and backend servers
// use in one dialect. An empty name means that the dialect has no such header.
type HeaderNames struct {
	// RequestID identifies a request; servers return it.
	RequestID string
	// Deadline is the time left until the caller gives up, in ms.
	Deadline string
	// Target names the only instance that may run the request.
	Target string
	// NotRun marks a server's response that states that the request did not run.
	NotRun string
	// APIKey proves that a caller belongs to a workspace. It is never sent to a server.
	APIKey string
	// Workspace names the workspace to servers.
	Workspace string
	// Signature proves that a server produced the response. Every success has one.
	Signature string
	// Load is "running,waiting,slots" of the responding server.
	Load string
	// Limit is the number of requests per second that an overloaded server accepts from all
	// hosts together, in decimal. Responses of servers without a limit lack it.
	Limit string
	// Brittle is the number of requests per second that a server can reject for lack of room
	// before it fails, from all hosts together, in decimal. Other servers' responses lack it.
	Brittle string
	// Leaving is "1" in the responses of a server that is leaving.
	Leaving string
	// PromptParts lists the parts of the prompt as ID:TOKENS, separated by commas.
	PromptParts string
	// TokenCounts is "prompt tokens,maximum tokens to generate".
	TokenCounts string
	// OutputHint is the caller's estimate of the number of tokens to be generated.
	OutputHint string
	// CacheSource names the server (IP:port) from which to fetch the cached parts of the prompt.
	CacheSource string
	// Priority orders requests within an engine, 0 first.
	Priority string
	// LastEventID is the ID of the last event that the caller of a resumed stream received.
	LastEventID string
	// Resumes names the request that brought the first event of a resumed stream.
	Resumes string
	// Reserved lists headers that only the system sets; those sent by callers are dropped.
	Reserved []string
}

// Operations is the operator API of a store in the routes mode.
type Operations interface {
	// PutRoutes makes a complete configuration the current one if its version is
	// higher than the current version, and returns the version that is current then.
	PutRoutes(ctx context.Context, body []byte) (uint64, error)
	// Routes returns the current configuration as it was sent, after a read
	// barrier; an error if there is none.
	Routes(ctx context.Context) ([]byte, error)
	// DrainHall stops or resumes sending requests to the backend servers of a hall. Like the
	// orders below it changes nothing once a later order of its sender was acknowledged.
	DrainHall(ctx context.Context, sender Sender, hall string, drained bool) error
	// StartRollout starts to move a service's requests to another version. It fails if the
	// service has a rollout in progress.
	StartRollout(ctx context.Context, sender Sender, order RolloutRequest) error
	// Rollout returns the last rollout of a service, after a read barrier.
	Rollout(ctx context.Context, service string) (Rollout, error)
	// AbortRollout rolls back a rollout that is in progress.
	AbortRollout(ctx context.Context, sender Sender, service string) error
	// Quarantined returns what no backend server gets because it crashes them, after a read barrier.
	Quarantined(ctx context.Context) ([]Quarantined, error)
	// ReleaseQuarantined lets a quarantined request or part reach backend servers again. Crashes of
	// further servers quarantine it anew.
	ReleaseQuarantined(ctx context.Context, sender Sender, f Fingerprint) error
	// EntryAddresses returns the addresses to which callers of a region may connect
	// for a host name, and how long the result is valid.
	EntryAddresses(name, region string) ([]string, time.Duration, error)
}
