package replica

import (
	"fmt"
	"os"
	"testing"
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
	)
	for i, disks := range []string{"ccccc", "cccww", "cccdd", "ccwwk", "cccwd", "kkccc", "kccww", "kkkcc", "ccccd", "cckkd"} {
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
