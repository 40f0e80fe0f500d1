package wheelgauge

import "encoding/json"

// Header names used on the wire.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "Wheelgauge-Outcome"
	HeaderReason         = "Wheelgauge-Reason"
	HeaderNotRepeatable  = "Wheelgauge-Not-Repeatable"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadlineMS     = "Wheelgauge-Deadline-Ms"
	HeaderServedBy       = "Wheelgauge-Served-By"
	HeaderRegion         = "Wheelgauge-Region"
	// HeaderLimit carries, in responses of an overloaded server, the requests per second
	// that it accepts from all hosts together.
	HeaderLimit = "Wheelgauge-Limit"
	// HeaderBrittle carries the requests per second that a server can reject for lack of room
	// before it fails, from all hosts together.
	HeaderBrittle = "Wheelgauge-Brittle"
	// HeaderLeaving is "1" in the responses of a server that is leaving.
	HeaderLeaving = "Wheelgauge-Leaving"
	// The headers below are used on the peer listener only.
	HeaderForwardedFrom = "Wheelgauge-Forwarded-From"
	// HeaderMustAccept marks a request that was forwarded because the forwarding region could not
	// take it. It is admitted even if all slots are taken.
	HeaderMustAccept = "Wheelgauge-Forward-Must"
	HeaderClient     = "Wheelgauge-Client"
	HeaderClass      = "Wheelgauge-Class"
	HeaderHome       = "Wheelgauge-Home"
	HeaderPriority   = "Wheelgauge-Priority"
	// HeaderWorkspace names the workspace of a forwarded request.
	HeaderWorkspace = "Wheelgauge-Workspace"
	// HeaderConfigVersion is, in a forwarded request, the version of the configuration by which it
	// was admitted; in the answer that turns it back, the version held there.
	HeaderConfigVersion = "Wheelgauge-Config-Version"
	// HeaderRouteDigest is, in a forwarded request, the digest of its route, and of its workspace if it
	// has one, by which it was admitted.
	HeaderRouteDigest = "Wheelgauge-Route-Digest"
	// HeaderTrial is "1" for a quarantined request that the forwarding gateway sends as a trial.
	HeaderTrial = "Wheelgauge-Trial"
	// HeaderSends reports to the forwarding gateway how many servers the request
	// was sent to.
	HeaderSends = "Wheelgauge-Sends"
	// HeaderStreamService and HeaderStreamVersion are, in the answer to a forwarded stream, the
	// service and the version of the server that answers; in the request, those that began the
	// stream which it continues. Only gateways send them, to one another.
	HeaderStreamService = "Wheelgauge-Stream-Service"
	HeaderStreamVersion = "Wheelgauge-Stream-Version"
)

// EntryHost is one host of the entry list.
type EntryHost struct {
	Host    string `json:"host"`
	Region  string `json:"region"`
	Address string `json:"address"`
}

// EntryList is the response to GET /v1/entry, best host first.
type EntryList struct {
	Entries []EntryHost `json:"entries"`
	TTLMS   int64       `json:"ttl_ms"`
}

// ChangeOp is the operation of a change.
type ChangeOp string

// Operations of a change.
const (
	OpPut    ChangeOp = "put"
	OpDelete ChangeOp = "delete"
	// OpAccept makes a pending spec the accepted one.
	OpAccept ChangeOp = "accept"
)

// Change is an operator's request to change one resource.
type Change struct {
	// ID identifies the change. Repeating an ID returns the first result again.
	ID   string   `json:"id"`
	Op   ChangeOp `json:"op"`
	Kind Kind     `json:"kind"`
	Name string   `json:"name"`
	// ExpectedGeneration is the resource generation that the operator saw: 0 for a new resource,
	// nil to accept any.
	ExpectedGeneration *uint64         `json:"expected,omitempty"`
	Spec               json.RawMessage `json:"spec,omitempty"`
	Operator           string          `json:"operator,omitempty"`
}

// ChangeResult is the response to a change.
type ChangeResult struct {
	ID         string `json:"id"`
	Generation uint64 `json:"generation"`
	// Pending is true while a change that removes rights is not accepted yet.
	Pending bool `json:"pending,omitempty"`
	// WaitingHosts lists the hosts that have not acknowledged a pending change.
	WaitingHosts []string `json:"waiting,omitempty"`
	Error        *Error   `json:"error,omitempty"`
}

// Event is one change reported by a watch.
type Event struct {
	Generation uint64   `json:"generation"`
	Deleted    bool     `json:"deleted,omitempty"`
	Resource   Resource `json:"resource"`
}

// WatchResponse is the response to GET /v1/watch. Without events it is a bookmark: it
// confirms that the store is still making progress at Generation.
type WatchResponse struct {
	Generation uint64  `json:"generation"`
	Events     []Event `json:"events,omitempty"`
	// Connected is false while the store is partitioned from the other stores.
	Connected bool `json:"in_touch"`
}

// ListResponse is the response to GET /v1/resources.
type ListResponse struct {
	Generation uint64     `json:"generation"`
	Resources  []Resource `json:"resources"`
}

// AppliedGeneration reports the configuration generation that a host applies.
type AppliedGeneration struct {
	Host       string `json:"host"`
	Region     string `json:"region"`
	Generation uint64 `json:"generation"`
	AgeMS      int64  `json:"age_ms"`
}

// ClaimState is the state of a claim.
type ClaimState string

// States of a claim.
const (
	// ClaimNew: the requester holds the claim and may dispatch once.
	ClaimNew ClaimState = "new"
	// ClaimRunning: another attempt holds the claim, and its result is not known.
	ClaimRunning ClaimState = "running"
	// ClaimDone: the recorded response is returned.
	ClaimDone ClaimState = "done"
	// ClaimReleased: the holder proved that it sent nothing; the next requester gets the
	// claim.
	ClaimReleased ClaimState = "released"
	// ClaimLost: the store lost its disk and cannot tell whether the request with this key
	// ran.
	ClaimLost ClaimState = "lost"
)

// Claim requests or ends the right to run a call that is not repeatable.
type Claim struct {
	Client      string     `json:"client"`
	Key         string     `json:"key"`
	Digest      string     `json:"digest"`
	Holder      string     `json:"holder"`
	State       ClaimState `json:"state"`
	Status      int        `json:"status,omitempty"`
	ContentType string     `json:"type,omitempty"`
	Body        []byte     `json:"body,omitempty"`
}

// LoadReport is a backend server's own report of its load. It lags behind the actual load.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
	// TokensPerSecond is the generation rate over the last second.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Models lists the models that are ready to serve, as "model@version".
	Models []string `json:"models,omitempty"`
}

// ModelName joins a model and its version in the form used by load reports.
func ModelName(model, version string) string { return model + "@" + version }

// ServerStatus is the last state of a backend server seen by the host that polls it.
type ServerStatus struct {
	Server  string `json:"n"`
	Alive   bool   `json:"a,omitempty"`
	Leaving bool   `json:"v,omitempty"`
	Running int    `json:"u,omitempty"`
	Waiting int    `json:"w,omitempty"`
	// Models lists the ready models, as in a load report, separated by commas.
	Models string `json:"m,omitempty"`
}

// Heartbeat is what a host sends to its hub each interval.
type Heartbeat struct {
	Host       string `json:"h"`
	Boot       uint64 `json:"b"`
	Leaving    bool   `json:"v,omitempty"`
	Generation uint64 `json:"g"`
	// Forwardable is the number of requests, by pool, that wait at this host and may be
	// forwarded to another region.
	Forwardable map[string]int `json:"k,omitempty"`
	// Servers are the backend servers that this host polls.
	Servers []ServerStatus `json:"s,omitempty"`
	// ViewVersion and HubBoot identify the last view received, so that the hub returns only what
	// changed since.
	ViewVersion uint64 `json:"i,omitempty"`
	HubBoot     uint64 `json:"u,omitempty"`
	// Crashes are those recorded here since the last view. CrashesVersion is the version of the
	// list for all hosts that this host holds.
	Crashes        []Crash `json:"c,omitempty"`
	CrashesVersion uint64  `json:"ca,omitempty"`
	// Limits are those that servers announced in responses to this host since the last view.
	// LimitsVersion is the version of the limits last received from the hub.
	Limits        []ServerLimit `json:"l,omitempty"`
	LimitsVersion uint64        `json:"la,omitempty"`
}

// HostStatus is the state of a host as seen by its hub.
type HostStatus struct {
	Host    string `json:"h"`
	Alive   bool   `json:"a,omitempty"`
	Leaving bool   `json:"v,omitempty"`
}

// RegionSummary is what a region sends to each other region each interval.
type RegionSummary struct {
	Region string `json:"r"`
	Hosts  int    `json:"h"`
	// Down lists configured hosts that are dead or leaving.
	Down []string `json:"d,omitempty"`
	// Forwardable is the number of requests, by pool, that wait in this region and may be
	// forwarded to another one.
	Forwardable map[string]int         `json:"k,omitempty"`
	Pools       map[string]PoolSummary `json:"p,omitempty"`
	// Crashes are the latest ones recorded by hosts of the region.
	Crashes []Crash `json:"c,omitempty"`
	// Unreachable is set by the receiving side when no summary of the region has arrived for
	// several intervals.
	Unreachable bool `json:"x,omitempty"`
}

// PoolSummary is the load of a pool in a region.
type PoolSummary struct {
	Slots   int `json:"c"`
	Running int `json:"u,omitempty"`
	Waiting int `json:"w,omitempty"`
	// Grants is the spare capacity granted to each other region, in concurrent requests.
	Grants map[string]int `json:"g,omitempty"`
}

// View is the response to a heartbeat: what changed since the view named in the heartbeat.
type View struct {
	HubBoot uint64       `json:"u"`
	Version uint64       `json:"i"`
	Full    bool         `json:"f,omitempty"`
	Hosts   []HostStatus `json:"h,omitempty"`
	// ServerNames maps the numbers that this hub assigned to new backend servers to their names.
	ServerNames map[int]string `json:"n,omitempty"`
	// Models maps server numbers to their ready models, for servers whose models changed.
	Models map[int]string `json:"m,omitempty"`
	// ServerLoads identify servers by number, because load reports make up most of the traffic.
	ServerLoads []PackedServerStatus `json:"s,omitempty"`
	Regions     []RegionSummary      `json:"r,omitempty"`
	// Crashes are those of the requests to quarantine: the complete list, sent when its
	// version changed.
	CrashesVersion uint64  `json:"ca,omitempty"`
	Crashes        []Crash `json:"c,omitempty"`
	// Limits are those that changed since the version named in the heartbeat.
	LimitsVersion uint64        `json:"la,omitempty"`
	Limits        []ServerLimit `json:"l,omitempty"`
}

// PackedServerStatus is the packed status of a backend server: its number at the hub, its flags,
// and its running and waiting requests.
type PackedServerStatus [4]int

// Flags of a PackedServerStatus.
const (
	FlagAlive   = 1
	FlagLeaving = 2
)

// PackServerStatus packs the status of the server with the given number.
func PackServerStatus(number int, s ServerStatus) PackedServerStatus {
	flags := 0
	if s.Alive {
		flags |= FlagAlive
	}
	if s.Leaving {
		flags |= FlagLeaving
	}
	return PackedServerStatus{number, flags, s.Running, s.Waiting}
}

// Number returns the number that the hub assigned to the server.
func (p PackedServerStatus) Number() int { return p[0] }

// Unpack unpacks the status of the server with the given name and ready models.
func (p PackedServerStatus) Unpack(name, models string) ServerStatus {
	return ServerStatus{Server: name, Models: models, Alive: p[1]&FlagAlive != 0, Leaving: p[1]&FlagLeaving != 0, Running: p[2], Waiting: p[3]}
}
