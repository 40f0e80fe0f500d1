package wheelgauge

import "encoding/json"

// Header names used on the wire.
const (
	HeaderRequestID     = "X-Request-Id"
	HeaderOutcome       = "Wheelgauge-Outcome"
	HeaderReason        = "Wheelgauge-Reason"
	HeaderNotRepeatable = "Wheelgauge-Not-Repeatable"
	HeaderIdempotency   = "Idempotency-Key"
	HeaderDeadline      = "Wheelgauge-Deadline-Ms"
	HeaderServed        = "Wheelgauge-Served-By"
	HeaderRegion        = "Wheelgauge-Region"
	// HeaderLimit is the requests a second that a server in need takes from all hosts
	// together, as it says in its answers.
	HeaderLimit = "Wheelgauge-Limit"
	// HeaderLeaving is "1" in the answers of a server that leaves.
	HeaderLeaving = "Wheelgauge-Leaving"
	// The headers below exist on the peer listener only.
	HeaderForwardedFrom = "Wheelgauge-Forwarded-From"
	HeaderMust          = "Wheelgauge-Forward-Must"
	HeaderClient        = "Wheelgauge-Client"
	HeaderClass         = "Wheelgauge-Class"
	HeaderHome          = "Wheelgauge-Home"
	HeaderPriority      = "Wheelgauge-Priority"
	// HeaderWorkspace names the workspace of a forwarded request.
	HeaderWorkspace = "Wheelgauge-Workspace"
	// HeaderSends tells a gateway that forwarded a request how many servers it
	// was sent to.
	HeaderSends = "Wheelgauge-Sends"
)

// Entry is one host of the entry list.
type Entry struct {
	Host    string `json:"host"`
	Region  string `json:"region"`
	Address string `json:"address"`
}

// EntryList answers GET /v1/entry, best host first.
type EntryList struct {
	Entries []Entry `json:"entries"`
	TTLMS   int64   `json:"ttl_ms"`
}

// ChangeOp is the operation of a Change.
type ChangeOp string

// Operations of a Change.
const (
	OpPut    ChangeOp = "put"
	OpDelete ChangeOp = "delete"
	// OpAccept turns a pending spec into the accepted one.
	OpAccept ChangeOp = "accept"
)

// Change is one operator's change of one resource.
type Change struct {
	// ID names the change; the same ID gets the first answer again.
	ID   string   `json:"id"`
	Op   ChangeOp `json:"op"`
	Kind Kind     `json:"kind"`
	Name string   `json:"name"`
	// Expected is the resource generation the operator saw; 0 means new; nil means any.
	Expected *uint64         `json:"expected,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Operator string          `json:"operator,omitempty"`
}

// ChangeResult answers a Change.
type ChangeResult struct {
	ID         string `json:"id"`
	Generation uint64 `json:"generation"`
	// Pending is true while a change that takes rights away is not yet accepted.
	Pending bool `json:"pending,omitempty"`
	// Waiting names the hosts that have not acknowledged a pending change.
	Waiting []string `json:"waiting,omitempty"`
	Error   *Error   `json:"error,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Generation uint64   `json:"generation"`
	Deleted    bool     `json:"deleted,omitempty"`
	Resource   Resource `json:"resource"`
}

// WatchAnswer answers GET /v1/watch. With no events it is a bookmark: proof
// that the store still makes progress at Generation.
type WatchAnswer struct {
	Generation uint64  `json:"generation"`
	Events     []Event `json:"events,omitempty"`
	// InTouch is false while the store is cut off from the other stores.
	InTouch bool `json:"in_touch"`
}

// ListAnswer answers GET /v1/resources.
type ListAnswer struct {
	Generation uint64     `json:"generation"`
	Resources  []Resource `json:"resources"`
}

// InForce says which generation a host obeys.
type InForce struct {
	Host       string `json:"host"`
	Region     string `json:"region"`
	Generation uint64 `json:"generation"`
	AgeMS      int64  `json:"age_ms"`
}

// ClaimState is the state of a claim.
type ClaimState string

// States of a claim.
const (
	// ClaimNew: the asker holds the claim and may dispatch once.
	ClaimNew ClaimState = "new"
	// ClaimRunning: another attempt holds it; its end is not known.
	ClaimRunning ClaimState = "running"
	// ClaimDone: the recorded answer is given.
	ClaimDone ClaimState = "done"
	// ClaimReleased: the holder proved that nothing left; the next asker gets it.
	ClaimReleased ClaimState = "released"
	// ClaimLost: the store lost its disk and cannot tell whether the key ran.
	ClaimLost ClaimState = "lost"
)

// Claim asks for, or ends, the right to run a call that is not repeatable.
type Claim struct {
	Client string     `json:"client"`
	Key    string     `json:"key"`
	Digest string     `json:"digest"`
	Holder string     `json:"holder"`
	State  ClaimState `json:"state"`
	Status int        `json:"status,omitempty"`
	Type   string     `json:"type,omitempty"`
	Body   []byte     `json:"body,omitempty"`
}

// LoadReport is what a backend server says of itself. It lags.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
	// TokensPerSecond is the generation rate over the last second.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Models are those ready to serve, as "model@version".
	Models []string `json:"models,omitempty"`
}

// ModelName joins a model and its version as load reports do.
func ModelName(model, version string) string { return model + "@" + version }

// ServerEntry is what the host that polls a backend server saw last.
type ServerEntry struct {
	Server  string `json:"n"`
	Alive   bool   `json:"a,omitempty"`
	Leaving bool   `json:"v,omitempty"`
	Running int    `json:"u,omitempty"`
	Waiting int    `json:"w,omitempty"`
	// Models are those ready, as in LoadReport, separated by commas.
	Models string `json:"m,omitempty"`
}

// Heartbeat is what a host tells its hub each interval.
type Heartbeat struct {
	Host       string `json:"h"`
	Boot       uint64 `json:"b"`
	Leaving    bool   `json:"v,omitempty"`
	Generation uint64 `json:"g"`
	// Asks is the work that waits here and may go away, by pool, in requests.
	Asks map[string]int `json:"k,omitempty"`
	// Servers are the backend servers this host polls.
	Servers []ServerEntry `json:"s,omitempty"`
	// Since and Hub name the last view received, so that only news comes back.
	Since uint64 `json:"i,omitempty"`
	Hub   uint64 `json:"u,omitempty"`
	// Crashes are those noted since the last view, CrashesAt names the list held of
	// those of all hosts; see View.
	Crashes   []Crash `json:"c,omitempty"`
	CrashesAt uint64  `json:"ca,omitempty"`
	// Limits are those that servers named in answers to this host since the last view,
	// LimitsAt numbers what the hub told last; see View.
	Limits   []ServerLimit `json:"l,omitempty"`
	LimitsAt uint64        `json:"la,omitempty"`
}

// HostEntry is a host as its hub sees it.
type HostEntry struct {
	Host    string `json:"h"`
	Alive   bool   `json:"a,omitempty"`
	Leaving bool   `json:"v,omitempty"`
}

// RegionSummary is all that one region tells the others each interval.
type RegionSummary struct {
	Region string `json:"r"`
	Hosts  int    `json:"h"`
	// Down names configured hosts that are dead or leaving.
	Down []string `json:"d,omitempty"`
	// Asks is the work that waits here and may go away, by pool, in requests.
	Asks  map[string]int         `json:"k,omitempty"`
	Pools map[string]PoolSummary `json:"p,omitempty"`
	// Crashes are the latest that hosts of the region noted.
	Crashes []Crash `json:"c,omitempty"`
	// Gone is set by who has not heard of the region for some intervals.
	Gone bool `json:"x,omitempty"`
}

// PoolSummary is the load of a pool in a region.
type PoolSummary struct {
	Slots   int `json:"c"`
	Running int `json:"u,omitempty"`
	Waiting int `json:"w,omitempty"`
	// Grants is the spare capacity, in requests at once, granted to each other region.
	Grants map[string]int `json:"g,omitempty"`
}

// View answers a Heartbeat with what changed since the view named in it.
type View struct {
	Hub     uint64      `json:"u"`
	Version uint64      `json:"i"`
	Full    bool        `json:"f,omitempty"`
	Hosts   []HostEntry `json:"h,omitempty"`
	// Names gives the backend servers that are new their numbers at this hub.
	Names map[int]string `json:"n,omitempty"`
	// Models are the ready models of the servers for which they changed.
	Models map[int]string `json:"m,omitempty"`
	// Loads are by number, as load reports are most of the traffic.
	Loads   []ServerLoad    `json:"s,omitempty"`
	Regions []RegionSummary `json:"r,omitempty"`
	// Crashes are those of requests to hold back, all of them when their number changed.
	CrashesAt uint64  `json:"ca,omitempty"`
	Crashes   []Crash `json:"c,omitempty"`
	// Limits are those of servers that changed since the number that was asked with.
	LimitsAt uint64        `json:"la,omitempty"`
	Limits   []ServerLimit `json:"l,omitempty"`
}

// ServerLoad is the state of a backend server in four numbers: its number, its
// flags, running and waiting.
type ServerLoad [4]int

// Flags of a ServerLoad.
const (
	LoadAlive   = 1
	LoadLeaving = 2
)

// NewServerLoad packs an entry.
func NewServerLoad(number int, e ServerEntry) ServerLoad {
	flags := 0
	if e.Alive {
		flags |= LoadAlive
	}
	if e.Leaving {
		flags |= LoadLeaving
	}
	return ServerLoad{number, flags, e.Running, e.Waiting}
}

// Number returns the server's number at the hub.
func (l ServerLoad) Number() int { return l[0] }

// Entry unpacks the load of the named server that has models ready.
func (l ServerLoad) Entry(name, models string) ServerEntry {
	return ServerEntry{Server: name, Models: models, Alive: l[1]&LoadAlive != 0, Leaving: l[1]&LoadLeaving != 0, Running: l[2], Waiting: l[3]}
}
