package replica

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"syscall"
	"testing"

	"wheelgauge/raft"
)

// fullDisk is a journal on a disk that takes no writes for a while.
type fullDisk struct {
	journal
	full     atomic.Bool
	poisoned atomic.Bool
	refused  atomic.Int64
	// small has no room for a rewrite only.
	small atomic.Bool
}

func (d *fullDisk) refuse() bool {
	if d.full.Load() {
		d.refused.Add(1)
	}
	return d.full.Load()
}

func (d *fullDisk) Append(records ...[]byte) error {
	if d.refuse() {
		return syscall.ENOSPC
	}
	return d.journal.Append(records...)
}

func (d *fullDisk) Rewrite(records ...[]byte) error {
	if d.refuse() {
		return syscall.ENOSPC
	}
	if d.small.Load() {
		d.refused.Add(1)
		return syscall.ENOSPC
	}
	err := d.journal.Rewrite(records...)
	d.poisoned.Store(err != nil)
	return err
}

func (d *fullDisk) Poisoned() bool { return d.poisoned.Load() || d.journal.Poisoned() }

// disks gives each replica of a group a disk that can be filled.
func disks(g *group) map[string]*fullDisk {
	out := map[string]*fullDisk{}
	g.options = func(o *Options) {
		d := &fullDisk{}
		out[o.Address] = d
		o.journal = func(j journal) journal {
			d.journal = j
			return d
		}
	}
	return out
}

func (g *group) leader() *node {
	for _, n := range g.nodes {
		if n.replica.Leading() && !n.replica.Refuses() {
			return n
		}
	}
	return nil
}

func running(n *node) bool {
	select {
	case <-n.replica.Done():
		return false
	default:
		return true
	}
}

// A leader whose disk is full stays up and leads no more; changes asked of it are
// taken by the others, and it holds them once there is room again.
func TestFullDiskOfLeader(t *testing.T) {
	tests := []struct {
		name     string
		poisoned bool
	}{
		{"writes fail", false},
		{"what is on disk is not known", true},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			base := []string{"127.0.79.1", "127.0.79.2", "127.0.79.3"}
			var all []string
			for _, a := range base {
				all = append(all, a+":"+[]string{"7801", "7802"}[i])
			}
			g := &group{t: t, seeds: all, nodes: map[string]*node{}}
			defer g.stopAll()
			filled := disks(g)
			for _, a := range all {
				g.start(a, t.TempDir(), true)
			}
			g.waitFor("three voters", func() bool { return g.voters() == 3 })
			g.propose(g.nodes[all[0]], "before")
			old := g.leader()
			disk := filled[old.address]
			disk.poisoned.Store(tt.poisoned)
			disk.full.Store(true)
			g.propose(old, "during")
			g.waitFor("the full disk is noticed", old.replica.Refuses)
			g.waitFor("another leader", func() bool { return g.leader() != nil && g.leader() != old })
			g.propose(old, "still")
			g.waitFor("refused writes", func() bool { return disk.refused.Load() > 2 })
			if old.machine.value() == `"still"` {
				t.Error("a change was applied that is not on disk")
			}
			if !running(old) {
				t.Fatal("the replica ended by a full disk")
			}
			disk.full.Store(false)
			g.waitFor("the disk takes writes", func() bool { return !old.replica.Refuses() })
			g.waitFor("the change at the disk", func() bool { return old.machine.value() == `"still"` })
			dir := old.dir
			g.stop(old)
			g.options = nil
			again := g.start(old.address, dir, false)
			g.waitFor("the change after a restart", func() bool { return again.machine.value() == `"still"` })
		})
	}
}

// A store that starts on a full disk keeps its identity to itself until it is on
// disk, serves as a reader, and joins once there is room.
func TestStartOnFullDisk(t *testing.T) {
	all := []string{"127.0.80.1:7801", "127.0.80.2:7801", "127.0.80.3:7801", "127.0.80.4:7801"}
	g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
	defer g.stopAll()
	filled := disks(g)
	for _, a := range all[:3] {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("three voters", func() bool { return g.voters() == 3 })
	g.propose(g.nodes[all[0]], "kept")
	g.options = func(o *Options) {
		d := &fullDisk{}
		d.full.Store(true)
		d.poisoned.Store(true)
		filled[o.Address] = d
		o.journal = func(j journal) journal {
			d.journal = j
			return d
		}
		o.full = syscall.ENOSPC
	}
	late := g.start(all[3], t.TempDir(), false)
	g.waitFor("refused writes", func() bool { return filled[all[3]].refused.Load() > 2 })
	if !running(late) || g.voters() != 3 {
		t.Fatalf("running %v, %d voters, want a running store that has not joined", running(late), g.voters())
	}
	if err := late.replica.ReadBarrier(context.Background()); err == nil {
		t.Error("a store that holds nothing confirmed a read")
	}
	filled[all[3]].full.Store(false)
	g.waitFor("four voters", func() bool { return g.voters() == 4 })
	g.waitFor("the state at the new disk", func() bool { return late.machine.value() == `"kept"` })
}

// A compaction that finds no room loses nothing and does not end the replica.
func TestFullDiskInCompaction(t *testing.T) {
	a := "127.0.81.1:7801"
	g := &group{t: t, seeds: []string{a}, nodes: map[string]*node{}}
	defer g.stopAll()
	disk := disks(g)
	n := g.start(a, t.TempDir(), true)
	g.waitFor("a leader", n.replica.Leading)
	disk[a].small.Store(true)
	for range compactEvery + 1 {
		g.propose(n, "filled")
	}
	g.waitFor("a compaction that is refused", func() bool { return disk[a].refused.Load() > 0 })
	g.propose(n, "after")
	if !running(n) || n.machine.value() != `"after"` {
		t.Errorf("running %v, value %s", running(n), n.machine.value())
	}
	dir := n.dir
	g.stop(n)
	g.options = nil
	again := g.start(a, dir, false)
	g.waitFor("all changes after a restart", func() bool { return again.machine.value() == `"after"` })
}

// A change that could not be written is not acknowledged.
func TestFullDiskAcknowledgesNothing(t *testing.T) {
	a := "127.0.81.1:7802"
	g := &group{t: t, seeds: []string{a}, nodes: map[string]*node{}}
	defer g.stopAll()
	disk := disks(g)
	n := g.start(a, t.TempDir(), true)
	g.waitFor("a leader", n.replica.Leading)
	disk[a].full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	command, _ := json.Marshal("lost")
	if _, err := n.replica.Propose(ctx, command); err == nil || ctx.Err() != nil {
		t.Errorf("got %v, %v, want an error at once", err, ctx.Err())
	}
}

// A storage whose first records found no room holds them once there is some: what
// it then appends must not stand under an identity that the disk does not have.
func TestMendWritesIdentity(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	disk := &fullDisk{journal: s.log}
	s.log = disk
	disk.full.Store(true)
	s.self.ID = mint()
	state, err := s.found([]raft.Member{{ID: s.self.ID, Name: "a", Voter: true}})
	if err == nil {
		t.Fatal("a full disk was written")
	}
	disk.full.Store(false)
	if err := s.mend(state.Snapshot, state.HardState, nil); err != nil {
		t.Fatal(err)
	}
	if err := s.log.Close(); err != nil {
		t.Fatal(err)
	}
	again, kept, blank, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer again.log.Close()
	if blank || again.self.ID != s.self.ID || kept.Snapshot == nil {
		t.Errorf("blank %v, identity %d, want %d, snapshot %v", blank, again.self.ID, s.self.ID, kept.Snapshot)
	}
}
