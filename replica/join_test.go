package replica

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"

	"wheelgauge/raft"
)

// hang listens on an address and never answers.
func hang(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
}

// A seed that accepts connections and does not answer keeps no store out of the group.
func TestBlankStoreJoinsWhileSeedsHang(t *testing.T) {
	all := []string{"127.0.67.1:7801", "127.0.67.2:7801", "127.0.67.3:7801", "127.0.67.4:7801"}
	hanging := []string{"127.0.67.10:7801", "127.0.67.11:7801"}
	for _, a := range hanging {
		hang(t, a)
	}
	g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
	defer g.stopAll()
	for _, a := range all[:3] {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("three voters", func() bool { return g.voters() == 3 })
	g.propose(g.nodes[all[0]], "kept")
	g.seeds = append(hanging, all[0])
	g.start(all[3], t.TempDir(), false)
	g.waitFor("four voters", func() bool { return g.voters() == 4 })
	g.waitFor("the state on the new disk", func() bool { return g.nodes[all[3]].machine.value() == `"kept"` })
}

// A store all of whose seeds were replaced joins through those that its settings have now.
func TestStoreJoinsThroughLaterSeeds(t *testing.T) {
	all := []string{"127.0.68.1:7801", "127.0.68.2:7801"}
	g := &group{t: t, seeds: all[:1], nodes: map[string]*node{}}
	defer g.stopAll()
	g.start(all[0], t.TempDir(), true)
	g.waitFor("one voter", func() bool { return g.voters() == 1 })
	g.seeds = []string{"127.0.68.9:7801"}
	var later atomic.Pointer[[]string]
	g.editOptions = func(o *Options) {
		o.RefreshPeers = func() []string {
			if seeds := later.Load(); seeds != nil {
				return *seeds
			}
			return nil
		}
	}
	g.start(all[1], t.TempDir(), false)
	later.Store(&[]string{all[0]})
	g.waitFor("two voters", func() bool { return g.voters() == 2 })
}

// A removal by name that comes late removes no store that joined under the name after it was given.
func TestLateRemovalKeepsTheStoreOfThatName(t *testing.T) {
	all := []string{"127.0.69.1:7801", "127.0.69.2:7801", "127.0.69.3:7801"}
	g := &group{t: t, seeds: all, nodes: map[string]*node{}}
	defer g.stopAll()
	for _, a := range all {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("three voters", func() bool { return g.voters() == 3 })
	readIndex := func() (index uint64) {
		t.Helper()
		g.waitFor("an index", func() bool {
			var err error
			index, err = g.nodes[all[0]].replica.ReadIndex(context.Background())
			return err == nil
		})
		return index
	}
	remove := func(since uint64) (overtaken bool) {
		t.Helper()
		g.waitFor("a response to the removal", func() bool {
			var err error
			overtaken, err = g.nodes[all[0]].replica.Remove(context.Background(), all[2], since)
			return err == nil
		})
		return overtaken
	}
	since := readIndex()
	g.stop(g.nodes[all[2]])
	g.start(all[2], t.TempDir(), false)
	joined := func() bool {
		id := g.nodes[all[2]].replica.Status().Self.ID
		return slices.ContainsFunc(g.nodes[all[0]].replica.Status().Members, func(m raft.Member) bool { return m.ID == id && m.Voter })
	}
	g.waitFor("the store on its new disk", joined)
	if !remove(since) || !joined() {
		t.Error("a late removal was carried out")
	}
	for g.voters() == 3 && remove(readIndex()) {
		t.Log("the members changed meanwhile")
	}
	g.waitFor("a removal", func() bool { return g.voters() == 2 || !joined() })
}
