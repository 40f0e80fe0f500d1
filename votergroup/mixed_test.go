package votergroup

import (
	"flag"
	"math/rand/v2"
	"testing"

	"wheelgauge/raft"
)

var (
	mixedSeeds = flag.Uint64("mixed.seeds", 20, "seeds of schedules of mixed failures")
	mixedFirst = flag.Uint64("mixed.first", 0, "first seed of schedules of mixed failures")
)

// mixed plays a random schedule in which at most two stores are lost at a time.
type mixed struct {
	*group
	random *rand.Rand
	// lostUntil has the tick at which a store comes back; it counts as lost for some time after.
	lostUntil map[string]int
	old       map[string]raft.State
}

// reopen restarts a store on its disk.
func (m *mixed) reopen(name string) {
	s := m.stores[name]
	if s.core.Unverified() {
		m.startCopy(name, clone(s.disk))
		return
	}
	m.restart(name)
}

func (m *mixed) canLose(name string) bool {
	return len(m.lostUntil) < tolerated && m.lostUntil[name] == 0 && !m.stores[name].down
}

func (m *mixed) lose(name string, ticks int) { m.lostUntil[name] = m.tick + 1 + ticks }

func (m *mixed) returnStores() {
	for name, until := range m.lostUntil {
		if m.tick >= until {
			m.wake(name)
			m.freeDisk(name)
		}
		if m.tick >= until+2*settleTicks {
			delete(m.lostUntil, name)
		}
	}
}

func (m *mixed) freeDisk(name string) {
	s := m.stores[name]
	s.full = false
	s.core.ResumeWrites()
}

func (m *mixed) step() {
	name := m.order[m.random.IntN(len(m.order))]
	s := m.stores[name]
	if s.down {
		return
	}
	switch m.random.IntN(9) {
	case 0: // all at once, most of them on exact copies
		copies := m.random.IntN(len(m.order) + 1)
		for i, j := range m.random.Perm(len(m.order)) {
			if o := m.stores[m.order[j]]; o.down || o.asleep {
				continue
			}
			if i < copies {
				m.startCopy(m.order[j], clone(m.stores[m.order[j]].disk))
			} else {
				m.reopen(m.order[j])
			}
		}
	case 1:
		for _, name := range m.order {
			if m.lostUntil[name] == 0 {
				m.old[name] = clone(m.stores[name].disk)
			}
		}
	case 2:
		if disk, ok := m.old[name]; ok && m.canLose(name) && len(disk.Entries) > 0 {
			m.startCopy(name, clone(disk))
			m.lose(name, 0)
		}
	case 3:
		if m.canLose(name) {
			m.blank(name)
			delete(m.old, name)
			m.lose(name, 0)
		}
	case 4:
		if m.canLose(name) {
			m.sleep(name)
			m.lose(name, m.random.IntN(8*electionTicks))
		}
	case 5:
		if m.canLose(name) {
			s.full = true
			m.lose(name, m.random.IntN(8*electionTicks))
		}
	case 6:
		if len(m.order) < wanted+4 {
			m.blank(string(rune('m'+len(m.order))), "a", "b", "c", name)
		}
	case 7:
		if l := m.leader(); l != nil && len(m.lostUntil) == 0 && m.running() > wanted && l.planner.Health(l.core).Tolerated == tolerated {
			m.leave(name)
			delete(m.old, name)
		}
	default:
		if l := m.leader(); l != nil {
			_, _, _ = l.core.Propose([]byte(`"change"`))
		}
	}
}

// Random schedules of copies of disks, lost and full disks, sleep, new stores, planned stops and lost
// messages. Nothing that is committed may be lost, and a leader must come.
func TestRandomSchedulesOfMixedFailures(t *testing.T) {
	for seed := *mixedFirst; seed < *mixedFirst+*mixedSeeds; seed++ {
		random := rand.New(rand.NewPCG(seed, 17))
		m := &mixed{group: newGroup(t), random: random, lostUntil: map[string]int{}, old: map[string]raft.State{}}
		m.loss = func() bool { return random.IntN(50) == 0 }
		for range 30 {
			m.returnStores()
			m.step()
			m.run(random.IntN(2 * settleTicks))
		}
		m.loss = func() bool { return false }
		for _, name := range m.order {
			m.wake(name)
			m.freeDisk(name)
		}
		m.run(8 * settleTicks)
		m.checkMembers("after the schedule")
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
