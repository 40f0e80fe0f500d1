package replica

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"syscall"
	"testing"

	"wheelgauge/raft"
)

// fullDisk is a recordLog on a disk that can be made full.
type fullDisk struct {
	recordLog
	full           atomic.Bool
	poisoned       atomic.Bool
	rejectedWrites atomic.Int64
	// rewriteFull makes only rewrites fail for lack of space.
	rewriteFull atomic.Bool
}

func (d *fullDisk) failWrite() bool {
	if d.full.Load() {
		d.rejectedWrites.Add(1)
	}
	return d.full.Load()
}

func (d *fullDisk) Append(records ...[]byte) error {
	if d.failWrite() {
		return syscall.ENOSPC
	}
	return d.recordLog.Append(records...)
}

func (d *fullDisk) Rewrite(records ...[]byte) error {
	if d.failWrite() {
		return syscall.ENOSPC
	}
	if d.rewriteFull.Load() {
		d.rejectedWrites.Add(1)
		return syscall.ENOSPC
	}
	err := d.recordLog.Rewrite(records...)
	d.poisoned.Store(err != nil)
	return err
}

func (d *fullDisk) Poisoned() bool { return d.poisoned.Load() || d.recordLog.Poisoned() }

// useFullDisks gives each replica started later a disk that can be made full.
func useFullDisks(g *group) map[string]*fullDisk {
	out := map[string]*fullDisk{}
	g.editOptions = func(o *Options) {
		d := &fullDisk{}
		out[o.Address] = d
		o.wrapLog = func(j recordLog) recordLog {
			d.recordLog = j
			return d
		}
	}
	return out
}

func (g *group) leader() *node {
	for _, n := range g.nodes {
		if n.replica.IsLeader() && !n.replica.DiskUnwritable() {
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

// A leader whose disk is full keeps running but steps down. Changes sent to it are
// committed by the others, and it applies them once its disk has space again.
func TestFullDiskOnLeader(t *testing.T) {
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
			filled := useFullDisks(g)
			for _, a := range all {
				g.start(a, t.TempDir(), true)
			}
			g.waitFor("three voters", func() bool { return g.voters() == 3 })
			g.propose(g.nodes[all[0]], "before")
			oldLeader := g.leader()
			disk := filled[oldLeader.address]
			disk.poisoned.Store(tt.poisoned)
			disk.full.Store(true)
			g.propose(oldLeader, "during")
			g.waitFor("the full disk to be detected", oldLeader.replica.DiskUnwritable)
			g.waitFor("another leader", func() bool { return g.leader() != nil && g.leader() != oldLeader })
			g.propose(oldLeader, "still")
			g.waitFor("rejected writes", func() bool { return disk.rejectedWrites.Load() > 2 })
			if oldLeader.machine.value() == `"still"` {
				t.Error("a change was applied that is not on disk")
			}
			if !running(oldLeader) {
				t.Fatal("the replica stopped because of a full disk")
			}
			disk.full.Store(false)
			g.waitFor("the disk to be writable", func() bool { return !oldLeader.replica.DiskUnwritable() })
			g.waitFor("the change on the replica with the full disk", func() bool { return oldLeader.machine.value() == `"still"` })
			dir := oldLeader.dir
			g.stop(oldLeader)
			g.editOptions = nil
			restarted := g.start(oldLeader.address, dir, false)
			g.waitFor("the change after a restart", func() bool { return restarted.machine.value() == `"still"` })
		})
	}
}

// A store that starts on a full disk does not join until its ID is on disk, keeps
// running meanwhile, and joins once there is space.
func TestStartOnFullDisk(t *testing.T) {
	all := []string{"127.0.80.1:7801", "127.0.80.2:7801", "127.0.80.3:7801", "127.0.80.4:7801"}
	g := &group{t: t, seeds: all[:3], nodes: map[string]*node{}}
	defer g.stopAll()
	filled := useFullDisks(g)
	for _, a := range all[:3] {
		g.start(a, t.TempDir(), true)
	}
	g.waitFor("three voters", func() bool { return g.voters() == 3 })
	g.propose(g.nodes[all[0]], "kept")
	g.editOptions = func(o *Options) {
		d := &fullDisk{}
		d.full.Store(true)
		d.poisoned.Store(true)
		filled[o.Address] = d
		o.wrapLog = func(j recordLog) recordLog {
			d.recordLog = j
			return d
		}
		o.firstWriteErr = syscall.ENOSPC
	}
	newcomer := g.start(all[3], t.TempDir(), false)
	g.waitFor("rejected writes", func() bool { return filled[all[3]].rejectedWrites.Load() > 2 })
	if !running(newcomer) || g.voters() != 3 {
		t.Fatalf("got running %v, %d voters, want a running store that has not joined", running(newcomer), g.voters())
	}
	if err := newcomer.replica.ReadBarrier(context.Background()); err == nil {
		t.Error("a store without any state confirmed a read")
	}
	filled[all[3]].full.Store(false)
	g.waitFor("four voters", func() bool { return g.voters() == 4 })
	g.waitFor("the state on the new disk", func() bool { return newcomer.machine.value() == `"kept"` })
}

// A compaction that fails on a full disk loses no data and does not stop the
// replica.
func TestFullDiskDuringCompaction(t *testing.T) {
	a := "127.0.81.1:7801"
	g := &group{t: t, seeds: []string{a}, nodes: map[string]*node{}}
	defer g.stopAll()
	disk := useFullDisks(g)
	n := g.start(a, t.TempDir(), true)
	g.waitFor("a leader", n.replica.IsLeader)
	disk[a].rewriteFull.Store(true)
	for range compactEntries + 1 {
		g.propose(n, "filled")
	}
	g.waitFor("a compaction that fails", func() bool { return disk[a].rejectedWrites.Load() > 0 })
	g.propose(n, "after")
	if !running(n) || n.machine.value() != `"after"` {
		t.Errorf("got running %v, value %s, want a running replica with the last change", running(n), n.machine.value())
	}
	dir := n.dir
	g.stop(n)
	g.editOptions = nil
	restarted := g.start(a, dir, false)
	g.waitFor("all changes after a restart", func() bool { return restarted.machine.value() == `"after"` })
}

// A change that cannot be written to disk is not acknowledged.
func TestFullDiskAcknowledgesNothing(t *testing.T) {
	a := "127.0.81.1:7802"
	g := &group{t: t, seeds: []string{a}, nodes: map[string]*node{}}
	defer g.stopAll()
	disk := useFullDisks(g)
	n := g.start(a, t.TempDir(), true)
	g.waitFor("a leader", n.replica.IsLeader)
	disk[a].full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	command, _ := json.Marshal("lost")
	if _, err := n.replica.Propose(ctx, command); err == nil || ctx.Err() != nil {
		t.Errorf("got %v, context error %v, want an error before the timeout", err, ctx.Err())
	}
}

// A storage whose first write failed on a full disk writes its identity and
// initial state once there is space: entries must not be appended to a log that
// lacks the identity they belong to.
func TestRepairWritesIdentity(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	disk := &fullDisk{recordLog: s.log}
	s.log = disk
	disk.full.Store(true)
	s.self.ID = newID()
	state, err := s.bootstrap([]raft.Member{{ID: s.self.ID, Name: "a", Voter: true}})
	if err == nil {
		t.Fatal("bootstrap on a full disk succeeded, want an error")
	}
	disk.full.Store(false)
	if err := s.repair(state.Snapshot, state.HardState, nil); err != nil {
		t.Fatal(err)
	}
	if err := s.log.Close(); err != nil {
		t.Fatal(err)
	}
	reopened, restored, blank, err := openStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer reopened.log.Close()
	if blank || reopened.self.ID != s.self.ID || restored.Snapshot == nil {
		t.Errorf("got blank %v, ID %d, want %d, snapshot %v", blank, reopened.self.ID, s.self.ID, restored.Snapshot)
	}
}
