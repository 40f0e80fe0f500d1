package votergroup

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"wheelgauge/raft"
)

var copySeeds = flag.Uint64("copies.seeds", 40, "seeds of schedules of copied disks")

// schedules are plays of a group of five voters, a to e, whose seeds are a, b and c.
var schedules = []struct {
	name string
	play func(g *group)
}{
	{"nothing happens", func(*group) {}},
	{"a voter is removed while it is asleep", func(g *group) {
		g.blank("n", "a", "b", "c")
		g.run(settleTicks)
		g.replaceAsleep("b")
		g.wake("b")
	}},
	{"a voter is removed while it is asleep, and its successor leads", func(g *group) {
		g.blank("n", "a", "b", "c")
		g.run(settleTicks)
		g.replaceAsleep("b")
		g.lead("n")
		g.wake("b")
	}},
	{"a voter is removed while it is asleep, and all stores restart", func(g *group) {
		g.blank("n", "a", "b", "c")
		g.run(settleTicks)
		g.replaceAsleep("b")
		g.restart("n", "a", "b", "c", "d", "e")
	}},
	{"a voter is removed while it is asleep, and another leaves as planned", func(g *group) {
		g.blank("n", "a", "b", "c")
		g.run(settleTicks)
		g.replaceAsleep("b")
		g.lead("n")
		g.wake("b")
		g.run(settleTicks)
		g.leave("c")
	}},
	{"a learner is removed after silence", func(g *group) {
		g.blank("n", "a", "b", "c")
		g.run(settleTicks)
		g.sleep("n")
		g.run(testOptions.RemoveLearnerTicks + settleTicks)
		g.requireMember("n", false)
		g.lead("c")
		g.wake("n")
		g.run(settleTicks)
		g.requireMember("n", true)
		g.leave("b")
	}},
	{"a disk is lost while the first seed hangs", func(g *group) {
		g.lead("c")
		g.sleep("a")
		g.blank("d")
		g.run(settleTicks)
		g.requireMember("d", true)
		g.wake("a")
	}},
	{"a disk is lost while the leader hangs", func(g *group) {
		g.lead("b")
		g.sleep("b")
		g.blank("d")
		g.run(settleTicks)
		g.requireMember("d", true)
		g.wake("b")
	}},
	{"two voters are replaced while both are asleep", func(g *group) {
		g.blank("m", "a", "b", "c")
		g.blank("n", "c")
		g.run(settleTicks)
		g.replaceAsleep("bd")
		g.wake("bd")
	}},
	{"all others are replaced while a voter is asleep", func(g *group) {
		g.sleep("e")
		g.blank("n", "a")
		g.run(settleTicks)
		for i, old := range []string{"a", "b", "c", "d"} {
			g.blank(string(rune('p'+i)), "n")
			g.run(settleTicks)
			g.leave(old)
		}
		g.stores["e"].peers = []string{"p"}
		g.wake("e")
	}},
	{"the leader leaves as planned", func(g *group) {
		g.blank("n", "a", "b", "c")
		g.run(settleTicks)
		g.lead("d")
		g.leave("d")
	}},
	{"a voter leaves as planned and comes back on its disk", func(g *group) {
		g.blank("n", "a", "b", "c")
		g.run(settleTicks)
		g.lead("a")
		g.leave("d")
		g.restart("d")
	}},
	{"a voter that announced its shutdown stays", func(g *group) {
		g.lead("a")
		g.stores["a"].planner.Leave(g.stores["a"].core, g.stores["b"].core.ID())
		g.run(settleTicks)
		g.blank("n", "a")
		g.run(settleTicks)
		g.requireVoter("b")
	}},
	{"a disk is lost while its old member is still believed active", func(g *group) {
		g.blank("d")
	}},
}

// Each store that works is a member in its time to catch up, and the group survives the loss of
// any two disks then.
func TestWorkingStoresAreMembers(t *testing.T) {
	for _, tt := range schedules {
		t.Run(tt.name, func(t *testing.T) {
			play := func() *group {
				g := newGroup(t)
				tt.play(g)
				g.run(settleTicks)
				return g
			}
			voters := play().checkMembers("after the schedule")
			for i, first := range voters {
				for _, second := range voters[i+1:] {
					g := play()
					g.loseDisks(first, second)
				}
			}
		})
	}
}

// Random schedules of sleep, restarts, lost disks, new stores and planned stops, in which at most
// two stores are lost at a time.
func TestRandomMembershipSchedules(t *testing.T) {
	for seed := range uint64(60) {
		g := newGroup(t)
		random := rand.New(rand.NewPCG(seed, 11))
		g.loss = func() bool { return random.IntN(50) == 0 }
		lostUntil := map[string]int{}
		for range 25 {
			for name, until := range lostUntil {
				if g.tick >= until {
					g.wake(name)
				}
				if g.tick >= until+2*settleTicks {
					delete(lostUntil, name)
				}
			}
			name := g.order[random.IntN(len(g.order))]
			if s := g.stores[name]; len(lostUntil) < tolerated && lostUntil[name] == 0 && !s.down {
				g.disturb(random, name, lostUntil)
			}
			g.run(random.IntN(settleTicks))
		}
		g.loss = func() bool { return false }
		for _, s := range g.stores {
			s.asleep = false
		}
		g.run(4 * settleTicks)
		voters := g.checkMembers("after the schedule")
		if len(voters) == wanted {
			g.loseDisks(voters[random.IntN(2)], voters[2+random.IntN(3)])
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func (g *group) disturb(random *rand.Rand, name string, lostUntil map[string]int) {
	switch random.IntN(6) {
	case 0:
		g.restart(name)
	case 1:
		g.blank(name)
		lostUntil[name] = g.tick + 1
	case 2:
		if len(g.order) < wanted+4 {
			g.blank(string(rune('m'+len(g.order))), "a", "b", "c", name)
		}
	case 3:
		if l := g.leader(); l != nil && len(lostUntil) == 0 && g.running() > wanted && l.planner.Health(l.core).Tolerated == tolerated {
			g.leave(name)
		}
	default:
		g.sleep(name)
		lostUntil[name] = g.tick + 1 + random.IntN(6*electionTicks)
	}
}

// replaceAsleep puts voters to sleep until learners have replaced them.
func (g *group) replaceAsleep(names string) {
	g.t.Helper()
	for _, name := range names {
		if l := g.leader(); l.name == string(name) {
			g.lead("e")
		}
	}
	g.sleep(names)
	g.run(2 * settleTicks)
	for _, name := range names {
		g.requireMember(string(name), false)
	}
}

// lead makes a store the leader, by short sleeps of the others.
func (g *group) lead(name string) {
	g.t.Helper()
	for range 100 {
		l := g.leader()
		if l != nil && l.name == name {
			g.run(electionTicks)
			return
		}
		if l != nil {
			g.sleep(l.name)
		}
		for range testOptions.ReplaceVoterTicks - 2 {
			if other := g.leader(); other != nil && other != l {
				break
			}
			g.run(1)
		}
		if l != nil {
			g.wake(l.name)
		}
		g.run(electionTicks)
	}
	g.t.Fatalf("store %s does not lead", name)
}

// leave ends a store as planned: it announces that and waits while it should.
func (g *group) leave(name string) {
	s := g.stores[name]
	for range 2 * settleTicks {
		l := g.leader()
		if l != nil && !l.planner.Leave(l.core, s.core.ID()) {
			break
		}
		g.run(1)
	}
	s.down = true
}

func (g *group) running() int {
	n := 0
	for _, s := range g.stores {
		if !s.down && !s.asleep {
			n++
		}
	}
	return n
}

func (g *group) requireMember(name string, want bool) {
	g.t.Helper()
	l := g.leader()
	if l == nil {
		g.t.Fatal("no store leads")
	}
	if got := indexOf(l.core.Members(), g.stores[name].core.ID()) >= 0; got != want {
		g.t.Fatalf("store %s is a member: %v, want %v", name, got, want)
	}
}

func (g *group) requireVoter(name string) {
	g.t.Helper()
	members := g.leader().core.Members()
	if i := indexOf(members, g.stores[name].core.ID()); i < 0 || !members[i].Voter {
		g.t.Fatalf("store %s does not vote", name)
	}
}

// checkMembers fails unless each store that runs is a member and the group survives as many
// failures as it is meant to. It returns the voters.
func (g *group) checkMembers(when string) []string {
	g.t.Helper()
	l := g.leader()
	if l == nil {
		g.t.Fatalf("%s: no store leads", when)
	}
	members := l.core.Members()
	var voters []string
	for _, name := range g.order {
		s := g.stores[name]
		i := indexOf(members, s.core.ID())
		switch {
		case s.down || s.asleep:
		case i < 0:
			g.t.Errorf("%s: store %s works and is no member", when, name)
		case members[i].Voter:
			voters = append(voters, name)
		}
	}
	if h := l.planner.Health(l.core); h.Tolerated < tolerated || h.Short() || len(voters) < wanted {
		g.t.Errorf("%s: voters %v run, health %+v, want %d voters and %d failures", when, voters, h, wanted, tolerated)
	}
	return voters
}

// loseDisks commits a change, empties the disks of two stores at once and fails unless the change
// is kept and both are members again.
func (g *group) loseDisks(names ...string) {
	g.t.Helper()
	l := g.leader()
	index, _, err := l.core.Propose([]byte(`"kept"`))
	if err != nil {
		g.t.Fatal(err)
	}
	g.run(electionTicks)
	if l.core.Commit() < index {
		g.t.Fatalf("the change is not committed before %v lose their disks", names)
	}
	for _, name := range names {
		g.blank(name)
	}
	g.run(3 * settleTicks)
	l = g.leader()
	if l == nil {
		g.t.Fatalf("no store leads after %v lost their disks", names)
	}
	if l.core.Commit() < index {
		g.t.Errorf("the leader has committed up to %d, want %d and more", l.core.Commit(), index)
	}
	voters := g.checkMembers("after two lost disks")
	for _, name := range names {
		if !slices.Contains(voters, name) && len(voters) < wanted {
			g.t.Errorf("store %s does not vote on its new disk", name)
		}
	}
}

// clone returns a copy of a disk that later writes do not change.
func clone(disk raft.State) raft.State {
	disk.Entries = slices.Clone(disk.Entries)
	return disk
}

// Random schedules in which stores start on copies of their disks, exact ones at all stores at once
// or an old one at a store that counts as lost; at most two stores are lost at a time. No
// acknowledged change may be lost, and a leader must come.
func TestRandomSchedulesOfCopiedDisks(t *testing.T) {
	for seed := range *copySeeds {
		g := newGroup(t)
		random := rand.New(rand.NewPCG(seed, 13))
		lostUntil := map[string]int{}
		old := map[string]raft.State{}
		for range 30 {
			for name, until := range lostUntil {
				if g.tick >= until {
					g.wake(name)
				}
				if g.tick >= until+2*settleTicks {
					delete(lostUntil, name)
				}
			}
			name := g.order[random.IntN(len(g.order))]
			canLose := len(lostUntil) < tolerated && lostUntil[name] == 0
			switch random.IntN(6) {
			case 0:
				for _, name := range g.order {
					if s := g.stores[name]; !s.asleep && random.IntN(5) > 0 {
						g.startCopy(name, clone(s.disk))
					}
				}
			case 1:
				for _, name := range g.order {
					if lostUntil[name] == 0 {
						old[name] = clone(g.stores[name].disk)
					}
				}
			case 2:
				if disk, ok := old[name]; ok && canLose && len(disk.Entries) > 0 {
					g.startCopy(name, clone(disk))
					lostUntil[name] = g.tick + 1
				}
			case 3:
				if canLose {
					g.blank(name)
					lostUntil[name] = g.tick + 1
				}
			case 4:
				if canLose {
					g.sleep(name)
					lostUntil[name] = g.tick + 1 + random.IntN(8*electionTicks)
				}
			default:
				if l := g.leader(); l != nil {
					_, _, _ = l.core.Propose([]byte(`"change"`))
				}
			}
			g.run(random.IntN(2 * settleTicks))
		}
		for _, s := range g.stores {
			s.asleep = false
		}
		g.run(8 * settleTicks)
		g.checkMembers("after the schedule")
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func TestBlankStoreAtTheAddressOfALostOneJoinsAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		address string
		want    bool
	}{
		{"at its address", "d", true},
		{"elsewhere", "x", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newGroup(t).leader()
			if !l.core.RecentlyActive(4) && l.core.ID() != 4 {
				t.Fatal("the member is not believed active")
			}
			next, err := l.planner.Join(l.core, raft.Member{ID: 101, Name: "d", Address: tt.address})
			if joined := err == nil && indexOf(next, 101) >= 0; joined != tt.want {
				t.Errorf("got members %+v, error %v, want that it joins: %v", next, err, tt.want)
			}
		})
	}
}
