package replica

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"wheelgauge/diskid"
)

// copyOf returns a directory with a copy of the files in dir.
func copyOf(t *testing.T, dir string) string {
	t.Helper()
	out := t.TempDir()
	if err := os.CopyFS(out, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestStoresOnCopiesOfTheirDisksElectALeader(t *testing.T) {
	const (
		kept   = 'k' // starts on its own disk
		copied = 'c' // starts on an exact copy
		wiped  = 'w' // starts on an empty disk
		down   = 'd' // does not start
		marker = 'm' // starts on its own disk, without the marker
	)
	for i, disks := range []string{"ccccc", "cccww", "cccdd", "ccwwk", "cccwd", "kkccc", "kccww", "kkkcc", "ccccd", "cckkd", "mmmmm"} {
		t.Run(disks, func(t *testing.T) {
			var all []string
			for n := range disks {
				all = append(all, fmt.Sprintf("127.0.83.%d:%d", n+1, 7801+i))
			}
			g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
			defer g.stopAll()
			for _, a := range all {
				g.start(a, t.TempDir(), true)
			}
			g.waitFor("five voters", func() bool { return g.voters() == 5 })
			g.propose(g.nodes[all[0]], "kept")
			dirs := map[string]string{}
			for a, n := range g.nodes {
				dirs[a] = n.dir
			}
			g.stopAll()
			running := 0
			for n, disk := range disks {
				switch disk {
				case kept:
					g.start(all[n], dirs[all[n]], false)
				case copied:
					g.start(all[n], copyOf(t, dirs[all[n]]), false)
				case marker:
					if err := os.Rename(filepath.Join(dirs[all[n]], diskid.MarkerName), filepath.Join(t.TempDir(), diskid.MarkerName)); err != nil {
						t.Fatal(err)
					}
					g.start(all[n], dirs[all[n]], false)
				case wiped:
					g.start(all[n], t.TempDir(), false)
				case down:
					continue
				}
				running++
			}
			g.waitFor("a leader", func() bool { return g.leader() != nil })
			g.waitFor("the change at each store", func() bool {
				for _, n := range g.nodes {
					if n.machine.value() != `"kept"` {
						return false
					}
				}
				return true
			})
			g.propose(g.nodes[all[0]], "after")
			g.waitFor("all that run to vote", func() bool {
				for _, n := range g.nodes {
					if !n.replica.Status().Self.Voter {
						return false
					}
				}
				return len(g.nodes) == running
			})
		})
	}
}

func TestOldCopyOfADiskForgetsNoChange(t *testing.T) {
	for i, down := range []int{1, 2} {
		t.Run(fmt.Sprint("store down: ", down), func(t *testing.T) {
			var all, dirs []string
			for n := range 5 {
				all = append(all, fmt.Sprintf("127.0.84.%d:%d", n+1, 7801+i))
				dirs = append(dirs, t.TempDir())
			}
			g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
			defer g.stopAll()
			for n, a := range all {
				g.start(a, dirs[n], true)
			}
			g.waitFor("five voters", func() bool { return g.voters() == 5 })
			g.propose(g.nodes[all[0]], "older")
			g.waitFor("the older change everywhere", func() bool {
				for _, n := range g.nodes {
					if n.machine.value() != `"older"` {
						return false
					}
				}
				return true
			})
			g.stop(g.nodes[all[3]])
			g.stop(g.nodes[all[4]])
			old := copyOf(t, g.nodes[all[0]].dir)
			g.propose(g.nodes[all[0]], "newer") // held by the stores 0 to 2 only
			g.stopAll()
			dirs[0] = old
			for n, dir := range dirs {
				if n != down {
					g.start(all[n], dir, false)
				}
			}
			g.waitFor("the newer change at each store", func() bool {
				for _, n := range g.nodes {
					if n.machine.value() != `"newer"` {
						return false
					}
				}
				return true
			})
		})
	}
}

func TestStateThatTheGroupDoesNotNeedIsSetAside(t *testing.T) {
	all := []string{"127.0.85.1:7801", "127.0.85.2:7801", "127.0.85.3:7801"}
	g := &group{t: t, seeds: all, nodes: map[string]*node{}}
	defer g.stopAll()
	for _, a := range all {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("three voters", func() bool { return g.voters() == 3 })
	g.propose(g.nodes[all[0]], "kept")
	n := g.nodes[all[2]]
	dir := n.dir
	for range maxAside + 1 {
		found := n.replica.Status().Self.ID
		g.stop(n)
		dir = copyOf(t, dir)
		want, err := os.ReadFile(filepath.Join(dir, logName))
		if err != nil {
			t.Fatal(err)
		}
		n = g.start(all[2], dir, false)
		g.waitFor("the store to vote on the copied disk", func() bool { return n.replica.Status().Self.Voter })
		s := n.replica.Status()
		if s.Self.ID == found || s.Unverified || s.SetAside == "" {
			t.Fatalf("got status %+v, want another ID than %d and the state set aside", s, found)
		}
		got, err := os.ReadFile(s.SetAside)
		if err != nil || !bytes.HasPrefix(got, want) {
			t.Errorf("the state that was set aside is not what was found: %v", err)
		}
	}
	files, err := filepath.Glob(filepath.Join(dir, asidePrefix+"*"))
	if err != nil || len(files) != maxAside {
		t.Errorf("got %v, %v, want the latest %d states", files, err, maxAside)
	}
}
