package replica

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/httpserve"
	"wheelgauge/peerhttp"
	"wheelgauge/raft"
)

const testTimeout = 20 * time.Second

// testMachine is a state machine that holds the last command.
type testMachine struct {
	mu   sync.Mutex
	last string
}

func (m *testMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = string(command)
	return []byte(`{}`)
}

func (m *testMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.last)
}

func (m *testMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last = ""
	if string(snapshot) == `{}` {
		return nil
	}
	return json.Unmarshal(snapshot, &m.last)
}

func (m *testMachine) value() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last
}

// node is one replica with its HTTP server.
type node struct {
	replica *Replica
	machine *testMachine
	http    *httpserve.Server
	address string
	dir     string
}

// group is a Raft group of replicas in this process, by address.
type group struct {
	t     *testing.T
	seeds []string
	nodes map[string]*node
	// editOptions modifies the options of replicas started later; it may be nil.
	editOptions func(o *Options)
	// wrapMachine wraps the state machines of replicas started later; it may be nil.
	wrapMachine func(m *testMachine) wheelgauge.StateMachine
}

func (g *group) start(address, dir string, first bool) *node {
	g.t.Helper()
	n := &node{machine: &testMachine{}, address: address, dir: dir}
	o := Options{
		Dir: dir, Name: address, Address: address, Peers: g.seeds, Voters: 5, Tick: 5 * time.Millisecond,
		Client: peerhttp.NewClient(nil, ""), Log: logr.Discard(),
	}
	if first {
		o.InitialVoters = g.seeds
	}
	if g.editOptions != nil {
		g.editOptions(&o)
	}
	var machine wheelgauge.StateMachine = n.machine
	if g.wrapMachine != nil {
		machine = g.wrapMachine(n.machine)
	}
	var err error
	if n.replica, err = Open(context.Background(), o, machine); err != nil {
		g.t.Fatal(err)
	}
	handler := func(ctx *fasthttp.RequestCtx) {
		if !n.replica.Handle(ctx) {
			peerhttp.NotFound(ctx)
		}
	}
	if n.http, err = httpserve.Listen(address, handler, httpserve.Options{}); err != nil {
		g.t.Fatal(err)
	}
	g.nodes[address] = n
	return n
}

func (g *group) stop(n *node) {
	delete(g.nodes, n.address)
	n.stop()
}

func (n *node) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.http.Close(ctx)
	_ = n.replica.Close()
}

func (g *group) stopAll() {
	for _, n := range g.nodes {
		g.stop(n)
	}
}

func (g *group) voters() int {
	voters := 0
	for _, n := range g.nodes {
		if !n.replica.IsLeader() {
			continue
		}
		voters = 0
		for _, m := range n.replica.Status().Members {
			if m.Voter {
				voters++
			}
		}
	}
	return voters
}

func (g *group) waitFor(what string, ok func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			for _, n := range g.nodes {
				g.t.Logf("%s: disk unwritable %v, status %+v", n.address, n.replica.DiskUnwritable(), n.replica.Status())
			}
			g.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (g *group) propose(n *node, value string) {
	g.t.Helper()
	command, _ := json.Marshal(value)
	g.waitFor("the change "+value, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := n.replica.Propose(ctx, command)
		return err == nil
	})
}

// Three seeds bootstrap a group, two stores join it, and a store that lost its
// disk becomes a voter again, all without an operator.
func TestGroupBootstraps(t *testing.T) {
	all := []string{"127.0.77.1:7801", "127.0.77.2:7801", "127.0.77.3:7801", "127.0.77.4:7801", "127.0.77.5:7801"}
	g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
	defer g.stopAll()
	for _, a := range all {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("five voters", func() bool { return g.voters() == 5 })
	g.propose(g.nodes[all[4]], "kept")

	lost := g.nodes[all[0]]
	oldID := lost.replica.Status().Self.ID
	g.stop(lost)
	restarted := g.start(all[0], t.TempDir(), false)
	g.waitFor("five voters with the store on its new disk", func() bool {
		return g.voters() == 5 && slices.ContainsFunc(restarted.replica.Status().Members, func(m raft.Member) bool {
			return m.ID == restarted.replica.Status().Self.ID && m.Voter
		})
	})
	if restarted.replica.Status().Self.ID == oldID {
		t.Error("a store on a blank disk still has its old ID")
	}
	g.waitFor("the state on the new disk", func() bool { return restarted.machine.value() == `"kept"` })
}

// A sixth store remains a learner and replaces a voter that has failed.
func TestLearnerReplacesLostVoter(t *testing.T) {
	all := []string{"127.0.78.1:7801", "127.0.78.2:7801", "127.0.78.3:7801", "127.0.78.4:7801", "127.0.78.5:7801", "127.0.78.6:7801"}
	g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
	defer g.stopAll()
	for _, a := range all[:5] {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("five voters", func() bool { return g.voters() == 5 })
	learner := g.start(all[5], t.TempDir(), false)
	g.waitFor("a learner", func() bool {
		return g.voters() == 5 && len(learner.replica.Status().Members) == 6
	})
	if learner.replica.Status().Self.Voter {
		t.Error("the sixth store is a voter, want a learner")
	}
	g.stop(g.nodes[all[1]])
	g.waitFor("the learner to become a voter", func() bool { return g.voters() == 5 && learner.replica.Status().Self.Voter })
}

// A write that is torn in the middle, as by a power failure, damages only the last
// record: everything synced before is kept.
func TestTornBatch(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.save(&raft.HardState{Term: 2}, []raft.Entry{{Index: 1, Term: 2, Data: []byte(`"a"`)}}); err != nil {
		t.Fatal(err)
	}
	intactBytes := s.log.Size()
	if err := s.save(&raft.HardState{Term: 2, Commit: 1}, []raft.Entry{{Index: 2, Term: 2, Data: []byte(`"b"`)}, {Index: 3, Term: 2, Data: []byte(`"c"`)}}); err != nil {
		t.Fatal(err)
	}
	if err := s.log.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, logName)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := intactBytes + 20; i < intactBytes+40; i++ {
		data[i] = 0
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	s, state, blank, err := openStorage(dir)
	if err != nil {
		t.Fatalf("open after a torn write: %v", err)
	}
	defer s.log.Close()
	if blank || len(state.Entries) != 1 || state.HardState.Term != 2 {
		t.Errorf("got blank %v, state %+v, want entry 1 of term 2", blank, state)
	}
	if s.log.Size() != intactBytes {
		t.Errorf("got a log of %d bytes, want the %d before the torn write", s.log.Size(), intactBytes)
	}
}
