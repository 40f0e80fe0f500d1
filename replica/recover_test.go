package replica

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"wheelgauge/raft"
)

func TestGroupIsRecoveredFromOneStore(t *testing.T) {
	tests := []struct {
		name  string
		ports string
		// aside makes the state to recover one that was set aside.
		aside bool
	}{
		{"its own state", "7801", false},
		{"a state that was set aside", "7802", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := []string{"127.0.86.1:" + tt.ports, "127.0.86.2:" + tt.ports, "127.0.86.3:" + tt.ports}
			g := &group{t: t, seeds: all, nodes: map[string]*node{}}
			defer g.stopAll()
			for _, a := range all {
				g.start(a, t.TempDir(), true)
			}
			g.waitFor("three voters", func() bool { return g.voters() == 3 })
			g.propose(g.nodes[all[0]], "kept")
			g.waitFor("the change at the store that is left", func() bool { return g.nodes[all[0]].machine.value() == `"kept"` })
			dir := g.nodes[all[0]].dir
			g.stopAll()
			file := ""
			if tt.aside {
				file = filepath.Join(t.TempDir(), "state")
				if err := os.Rename(filepath.Join(dir, logName), file); err != nil {
					t.Fatal(err)
				}
			}
			if err := Recover(dir, file, all[0], all[0]); err != nil {
				t.Fatal(err)
			}
			left := g.start(all[0], dir, false)
			g.waitFor("a leader", left.replica.IsLeader)
			g.waitFor("the change", func() bool { return left.machine.value() == `"kept"` })
			g.start(all[1], t.TempDir(), false)
			g.start(all[2], t.TempDir(), false)
			g.waitFor("three voters", func() bool { return g.voters() == 3 })
			g.propose(g.nodes[all[1]], "after")
			g.waitFor("the next change everywhere", func() bool {
				for _, n := range g.nodes {
					if n.machine.value() != `"after"` {
						return false
					}
				}
				return true
			})
		})
	}
}

// The group goes on with the state that was recovered, also at a store that had committed more.
func TestStoreThatHasCommittedMoreFollowsTheRecoveredGroup(t *testing.T) {
	for _, tt := range []struct {
		name      string
		port      string
		compacted bool
	}{{"in its log", ":7803", false}, {"in its snapshot", ":7804", true}} {
		t.Run(tt.name, func(t *testing.T) {
			all := []string{"127.0.86.1" + tt.port, "127.0.86.2" + tt.port, "127.0.86.3" + tt.port}
			g := &group{t: t, seeds: all, nodes: map[string]*node{}}
			defer g.stopAll()
			for _, a := range all {
				g.start(a, t.TempDir(), true)
			}
			g.waitFor("three voters", func() bool { return g.voters() == 3 })
			g.propose(g.nodes[all[0]], "kept")
			g.waitFor("the change at the store that is recovered", func() bool { return g.nodes[all[0]].machine.value() == `"kept"` })
			left, more := g.nodes[all[0]].dir, g.nodes[all[1]].dir
			g.stop(g.nodes[all[0]])
			for range 3 {
				g.propose(g.nodes[all[1]], "lost")
			}
			g.waitFor("the later changes", func() bool { return g.nodes[all[1]].machine.value() == `"lost"` })
			data, err := g.nodes[all[1]].machine.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			g.stopAll()
			if tt.compacted {
				compactDisk(t, more, data)
			}
			if err := Recover(left, "", all[0], all[0]); err != nil {
				t.Fatal(err)
			}
			g.start(all[0], left, false)
			g.start(all[1], more, false)
			g.start(all[2], t.TempDir(), false)
			g.waitFor("three voters", func() bool { return g.voters() == 3 })
			for _, value := range []string{"kept", "after"} {
				g.waitFor("the value everywhere: "+value, func() bool {
					for _, n := range g.nodes {
						if n.machine.value() != `"`+value+`"` {
							return false
						}
					}
					return true
				})
				g.propose(g.nodes[all[1]], "after")
			}
		})
	}
}

// compactDisk replaces the log in dir by a snapshot of all its entries.
func compactDisk(t *testing.T, dir string, data []byte) {
	t.Helper()
	s, state, _, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer s.log.Close()
	last := state.Entries[len(state.Entries)-1]
	snap := &raft.Snapshot{Index: last.Index, Term: last.Term, Members: state.Snapshot.Members, Data: data}
	if err := s.rewrite(snap, state.HardState, nil); err != nil {
		t.Fatal(err)
	}
}

func TestRecoveryOfABlankStoreFails(t *testing.T) {
	dir := t.TempDir()
	if err := Recover(dir, "", "a", "a"); err == nil {
		t.Error("a folder without a log was recovered")
	}
	s, _, _, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.log.Close(); err != nil {
		t.Fatal(err)
	}
	if err := Recover(dir, "", "a", "a"); err == nil {
		t.Error("a blank store was recovered")
	}
}

func TestRecoveryKeepsTheFileThatItIsMadeFrom(t *testing.T) {
	dir := t.TempDir()
	if err := Bootstrap(dir, "a", "a"); err != nil {
		t.Fatal(err)
	}
	state, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		t.Fatal(err)
	}
	for n := range maxAside {
		if err := os.WriteFile(asidePath(dir, n+1), state, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := Recover(dir, asidePath(dir, 1), "a", "a"); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(asidePath(dir, 1)); err != nil || !bytes.Equal(got, state) {
		t.Errorf("got %v for the file that the state was recovered from, want it as it was", err)
	}
}
