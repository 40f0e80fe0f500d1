package wheelgauge

import (
	"context"
	"io"
	"time"
)

// Identity is a client's record in the client directory.
type Identity struct {
	Client string `json:"client"`
	Class  string `json:"class"`
	// HomeRegion is the region that stores the client's claims.
	HomeRegion string `json:"home,omitempty"`
}

// ClientDirectory looks up clients by credential.
type ClientDirectory interface {
	// Lookup returns an *Error with ReasonUnauthorized for an unknown credential.
	Lookup(ctx context.Context, credential string) (Identity, error)
}

// HostListEntry is an entry of the platform's host list, which may be out of date.
type HostListEntry struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
}

// HostList reads the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]HostListEntry, error)
}

// Call is one request to be sent to a backend server.
type Call struct {
	ID             string
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	Priority       int
	IdempotencyKey string
	Deadline       time.Time
	// SkipTokens is the number of tokens already relayed to the caller when a stream is resumed.
	SkipTokens int
	// ExtraHeaders holds additional headers, for the peer listener only.
	ExtraHeaders [][2]string
	// OnResponse, if not nil, is called with the status and headers of the response as soon as
	// they are read, also for a response that is turned into an error. A result of values is
	// valid until the next call of values.
	OnResponse func(status int, values func(name string) [][]byte)
}

// Response is a backend server's response whose body has not been read yet.
type Response struct {
	Status      int
	ContentType string
	// Header must not be called once Body is closed.
	Header func(name string) string
	Body   io.ReadCloser
	// EndUnknown is set if Body has neither a length nor chunks: it ends with its connection, as
	// does one that was broken off.
	EndUnknown bool
	// Abort makes a pending Read of Body fail immediately. It may be called at any
	// time before Body is closed.
	Abort func()
}

// BackendServer sends requests to backend servers of one dialect.
type BackendServer interface {
	// Send dispatches a call once. Its *Error has OutcomeNotRun only when no
	// byte of the call can have been sent, or when the server itself reports it.
	Send(ctx context.Context, address string, call *Call) (*Response, error)
	// Cancel cancels a call whose caller no longer waits. It is idempotent.
	Cancel(ctx context.Context, address, id string) error
	// Load requests the server's own load report, which lags behind its actual load.
	Load(ctx context.Context, address string) (LoadReport, error)
}

// Actions of an Order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

// Order instructs a model engine to load or unload a version of a model.
type Order struct {
	// Fence is a fencing token that grows with each new issuer of orders. An engine that
	// checks fences refuses an order with a lower fence than it has seen before.
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// ModelEngine is a backend server that accepts orders. An order to load a model returns
// once it is accepted; the model is ready when the load report lists it.
type ModelEngine interface {
	BackendServer
	Order(ctx context.Context, address string, o Order) error
}

// Candidate is a backend server that is eligible for a call.
type Candidate struct {
	Name     string
	Address  string
	Slots    int
	InFlight int
	Running  int
	Waiting  int
	// Pending is the number of calls from this gateway that wait for their first byte.
	// They weigh more than others because prefills share the engine.
	Pending int
	// Hash is the precomputed hash of the server's name.
	Hash uint64
}

// Picker chooses a candidate within a region.
type Picker interface {
	// Pick returns an index into candidates, which must not be empty. prefix is the
	// hash of the prompt prefix that may be cached; 0 if there is none.
	Pick(prefix uint64, candidates []Candidate) int
}

// StateMachine applies the commands of a replicated log.
type StateMachine interface {
	// Apply executes one committed command and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(snapshot []byte) error
}

// Proposer submits commands to the replicated log.
type Proposer interface {
	// Propose returns the state machine's result once the command is committed
	// and applied locally. Its *Error has OutcomeNotRun when the command cannot have
	// entered the log.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once everything committed before the call is applied locally.
	ReadBarrier(ctx context.Context) error
}
