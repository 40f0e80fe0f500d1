package replica

import (
	"fmt"
	"sync/atomic"
	"testing"

	"wheelgauge"
)

// watchingMachine notes when it applies more than the replica shows as committed.
type watchingMachine struct {
	wheelgauge.StateMachine
	status func() Status
	ahead  atomic.Pointer[string]
}

func (m *watchingMachine) Apply(index uint64, command []byte) []byte {
	if s := m.status(); s.Commit < index {
		ahead := fmt.Sprintf("applies index %d while the status shows commit %d and %d members", index, s.Commit, len(s.Members))
		m.ahead.CompareAndSwap(nil, &ahead)
	}
	return m.StateMachine.Apply(index, command)
}

func TestStatusShowsMembersOlderThanTheStateThatIsServed(t *testing.T) {
	address := "127.0.90.1:7801"
	g := &group{t: t, seeds: []string{address}, nodes: map[string]*node{}}
	defer g.stopAll()
	machine := &watchingMachine{}
	g.wrapMachine = func(m *testMachine) wheelgauge.StateMachine {
		machine.StateMachine = m
		return machine
	}
	opened := make(chan struct{})
	var n *node
	machine.status = func() Status {
		<-opened
		return n.replica.Status()
	}
	n = g.start(address, t.TempDir(), true)
	close(opened)
	g.propose(n, "kept")
	if ahead := machine.ahead.Load(); ahead != nil {
		t.Error(*ahead)
	}
}
