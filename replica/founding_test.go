package replica

import (
	"fmt"
	"testing"
	"time"
)

// elections returns after as long as several elections take.
func elections(count int) { time.Sleep(time.Duration(count*2*electionTicks) * 5 * time.Millisecond) }

func TestSeedThatLostItsDiskAndStillBootstrapsForgetsNoChange(t *testing.T) {
	all := []string{"127.0.87.1:7801", "127.0.87.2:7801", "127.0.87.3:7801", "127.0.87.4:7801", "127.0.87.5:7801"}
	g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
	defer g.stopAll()
	dirs := map[string]string{}
	for _, a := range all {
		dirs[a] = t.TempDir()
		g.start(a, dirs[a], true)
	}
	g.waitFor("five voters", func() bool { return g.voters() == 5 })
	g.propose(g.nodes[all[0]], "older")
	g.waitFor("the older change everywhere", func() bool { return g.allHave("older") })
	g.stop(g.nodes[all[3]])
	g.stop(g.nodes[all[4]])
	g.propose(g.nodes[all[0]], "newer") // held by the seeds only
	g.stopAll()
	g.start(all[0], t.TempDir(), true)
	g.start(all[3], dirs[all[3]], true)
	g.start(all[4], dirs[all[4]], true)
	elections(4) // without the second seed nobody has the newer change
	g.start(all[1], dirs[all[1]], true)
	g.waitFor("the newer change at each store", func() bool { return g.allHave("newer") })
	g.waitFor("four voters that run", func() bool { return g.allVote() })
}

func TestSeedsThatLostTheirDisksAndStillBootstrapFormNoGroupOfTheirOwn(t *testing.T) {
	all := []string{"127.0.88.1:7801", "127.0.88.2:7801", "127.0.88.3:7801", "127.0.88.4:7801", "127.0.88.5:7801"}
	for _, first := range []int{2, 3} { // which store with its own disk starts with them
		t.Run(fmt.Sprint("beside store ", first), func(t *testing.T) {
			g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
			defer g.stopAll()
			dirs := map[string]string{}
			for _, a := range all {
				dirs[a] = t.TempDir()
				g.start(a, dirs[a], true)
			}
			g.waitFor("five voters", func() bool { return g.voters() == 5 })
			g.propose(g.nodes[all[0]], "kept")
			g.waitFor("the change everywhere", func() bool { return g.allHave("kept") })
			g.stopAll()
			g.start(all[first], dirs[all[first]], true)
			g.start(all[0], t.TempDir(), true)
			g.start(all[1], t.TempDir(), true)
			elections(6)
			if n := g.leader(); n != nil {
				t.Errorf("got leader %s with status %+v, want none: two disks are lost, two stores are down", n.address, n.replica.Status())
			}
			for _, a := range all[2:] {
				if g.nodes[a] == nil {
					g.start(a, dirs[a], true)
				}
			}
			g.waitFor("the change at each store", func() bool { return g.allHave("kept") })
			g.propose(g.nodes[all[0]], "after")
			g.waitFor("the change after it at each store", func() bool { return g.allHave("after") })
			g.waitFor("five voters", func() bool { return g.voters() == 5 && g.allVote() })
		})
	}
}

func (g *group) allHave(value string) bool {
	for _, n := range g.nodes {
		if n.machine.value() != fmt.Sprintf("%q", value) {
			return false
		}
	}
	return true
}

func (g *group) allVote() bool {
	for _, n := range g.nodes {
		if !n.replica.Status().Self.Voter {
			return false
		}
	}
	return true
}

// At the first start of all, a group forms whatever the order, also without one of the seeds, and
// when all are killed meanwhile.
func TestSeedsFormAGroupAtTheirFirstStart(t *testing.T) {
	type start struct {
		store int
		after time.Duration
	}
	tests := []struct {
		name   string
		starts []start
		// killedAfter is when all are killed, and start again as not the first time; 0 if they are not.
		killedAfter time.Duration
	}{
		{"together", []start{{0, 0}, {1, 0}, {2, 0}, {3, 0}, {4, 0}}, 0},
		{"others first", []start{{4, 0}, {3, 5}, {2, 5}, {1, 5}, {0, 30}}, 0},
		{"one seed later", []start{{0, 0}, {3, 0}, {1, 0}, {4, 0}, {2, 30}}, 0},
		{"one seed much later", []start{{0, 0}, {3, 0}, {1, 0}, {4, 0}, {2, 1000}}, 0},
		{"one seed dead", []start{{0, 0}, {2, 20}, {3, 0}, {4, 0}}, 0},
		{"killed at once", []start{{0, 0}, {1, 5}, {2, 5}, {3, 0}, {4, 0}}, 1},
		{"killed early", []start{{0, 0}, {1, 5}, {2, 5}, {3, 0}, {4, 0}}, 20},
		{"killed while a seed is missing", []start{{0, 0}, {1, 5}}, 60},
		{"killed in the first election", []start{{0, 0}, {1, 5}, {2, 5}, {3, 0}, {4, 0}}, 120},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var all []string
			for n := range 5 {
				all = append(all, fmt.Sprintf("127.0.89.%d:%d", n+1, 7801+i))
			}
			g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
			defer g.stopAll()
			dirs := map[string]string{}
			for _, s := range tt.starts {
				time.Sleep(s.after * time.Millisecond)
				dirs[all[s.store]] = t.TempDir()
				g.start(all[s.store], dirs[all[s.store]], true)
			}
			if tt.killedAfter > 0 {
				time.Sleep(tt.killedAfter * time.Millisecond)
				g.stopAll()
				for a, dir := range dirs {
					g.start(a, dir, false)
				}
			}
			g.propose(g.nodes[all[0]], "kept")
			g.waitFor("all that run to vote", g.allVote)
			g.waitFor("the change at each store", func() bool { return g.allHave("kept") })
		})
	}
}
