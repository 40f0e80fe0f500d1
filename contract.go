package wheelgauge

import (
	"context"
	"io"
	"time"
)

// Identity is what the client directory knows of a client.
type Identity struct {
	Client string `json:"client"`
	Class  string `json:"class"`
	// Home is the region in which claims of the client are kept.
	Home string `json:"home,omitempty"`
}

// Directory finds clients by credential.
type Directory interface {
	// Lookup returns an *Error with ReasonUnauthorized for an unknown credential.
	Lookup(ctx context.Context, credential string) (Identity, error)
}

// HostHint is a line of the platform's host list, which lags behind reality.
type HostHint struct {
	Host    string `json:"host"`
	Leaving bool   `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]HostHint, error)
}

// Call is one request on its way to a backend server.
type Call struct {
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Priority    int
	Key         string
	Deadline    time.Time
	// Skip is the number of tokens already relayed when a stream is resumed.
	Skip int
	// Extra headers, for the peer listener only.
	Extra [][2]string
	// Heard takes the status and the headers of the answer as soon as they are read, also of
	// one that becomes an error; nil if nobody listens. values holds until its
	// next call.
	Heard func(status int, values func(name string) [][]byte)
}

// Answer is a backend server's answer whose body is still to be read.
type Answer struct {
	Status      int
	ContentType string
	// Header must not be called once Body is closed.
	Header func(name string) string
	Body   io.ReadCloser
	// Abort makes a Read of Body that is under way fail at once. It may be
	// called at any time before Body is closed.
	Abort func()
}

// BackendServer reaches a backend server of one dialect.
type BackendServer interface {
	// Send dispatches a call once. Its *Error has OutcomeNotRun only when no
	// byte of the call can have left, or when the server itself says so.
	Send(ctx context.Context, address string, call *Call) (*Answer, error)
	// Cancel ends a call that nobody waits for; it is safe to call twice.
	Cancel(ctx context.Context, address, id string) error
	// Load asks for the server's own, lagging report.
	Load(ctx context.Context, address string) (LoadReport, error)
}

// Actions of an Order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

// Order tells a model engine to load or drop a version of a model.
type Order struct {
	// Fence grows with each new order giver; an engine that checks refuses an
	// order whose fence is below one it has seen.
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// OrderTaker is a backend server that takes orders. An order to load returns
// once it is taken; the model is ready when Load reports it.
type OrderTaker interface {
	BackendServer
	Order(ctx context.Context, address string, o Order) error
}

// Candidate is a backend server that could take a call.
type Candidate struct {
	Name     string
	Address  string
	Slots    int
	InFlight int
	Running  int
	Waiting  int
	// Pending is how many calls from here wait for their first byte: prefills
	// share the engine, so they weigh more.
	Pending int
	// Hash is the server's name hashed once.
	Hash uint64
}

// Picker chooses among candidates inside a region.
type Picker interface {
	// Pick returns an index into candidates, which is not empty. prefix is the
	// hash of the part of the prompt that caches may hold; 0 when there is none.
	Pick(prefix uint64, candidates []Candidate) int
}

// StateMachine is what a replicated log drives.
type StateMachine interface {
	// Apply runs one committed command and returns its answer.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(snapshot []byte) error
}

// Proposer puts commands through the replicated log.
type Proposer interface {
	// Propose returns the state machine's answer once the command is committed
	// and applied here. Its *Error says not-run when it cannot have been logged.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once all that was committed before the call is applied.
	ReadBarrier(ctx context.Context) error
}
