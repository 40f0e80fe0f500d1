package systemtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheelgauge"
	"wheelgauge/opsclient"
)

func class(name string, priority int) wheelgauge.Resource {
	return wheelgauge.Resource{Kind: wheelgauge.KindClientClass, Name: name, Spec: spec(wheelgauge.ClientClassSpec{Priority: priority})}
}

// opsAt returns a client of one store only.
func (d *deployment) opsAt(n *node) *opsclient.Client {
	return opsclient.New([]string{fmt.Sprintf("%s:%d", n.ip, portStoreOps)}, writeToken, nil)
}

func (d *deployment) leader() *node {
	d.t.Helper()
	var found *node
	eventually(d.t, readyLimit, "a leader is known", func() error {
		for _, n := range d.storeNodes() {
			if n.store.gone {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			s, err := d.opsAt(n).Status(ctx)
			cancel()
			if err != nil {
				continue
			}
			for _, m := range s.Replica.Members {
				if m.ID == s.Replica.Leader {
					found = d.node(m.Name)
					return nil
				}
			}
		}
		return errors.New("none")
	})
	return found
}

// TestFaultInForce applies changes while stores are killed, frozen and cut off;
// each accepted one is in force everywhere within seconds, and no host ever
// goes back.
func TestFaultInForce(t *testing.T) {
	d := launch(t, smallShape())
	highest := map[string]uint64{}
	check := func(step string, limit time.Duration) {
		t.Helper()
		result := d.apply([]wheelgauge.Resource{class("moving", len(step)%10), class("still", (len(step)+1)%10)})
		started := time.Now()
		eventually(t, limit, step, func() error {
			for _, n := range d.nodes {
				g, err := d.generation(n)
				if err != nil || g < result {
					return fmt.Errorf("%s is at %d of %d, %v", n.name, g, result, err)
				}
				if g < highest[n.name] {
					t.Fatalf("%s went back from %d to %d", n.name, highest[n.name], g)
				}
				highest[n.name] = g
			}
			return nil
		})
		t.Logf("%s: in force everywhere after %s", step, time.Since(started).Round(time.Millisecond))
	}
	check("calm", 14*time.Second)
	leader := d.leader()
	leader.store.kill()
	check("leader killed", 14*time.Second)
	d.startStore(leader)
	d.awaitVoters(3)
	other := d.leader()
	other.store.freeze()
	check("leader frozen in silence", 14*time.Second)
	other.store.thaw()
	check("leader thawed again", 14*time.Second)
	// The region's store is cut off from the other stores, not from its gateway.
	d.cutRegion("peshawar")
	if _, err := d.put(class("moving", 7)); err != nil {
		t.Fatal(err)
	}
	d.net.heal()
	check("healed after a cut", 14*time.Second)
	for _, n := range d.nodes {
		n.gateway.kill()
		d.startGateway(n)
	}
	d.awaitReady()
	check("gateways restarted", 14*time.Second)
}

// TestFaultSilentStore freezes the store that a gateway watches: the gateway
// notices within the wait and the silence that are set, says so in its log and
// metrics, and follows another store.
func TestFaultSilentStore(t *testing.T) {
	d := launch(t, smallShape())
	lahore := d.node("lahore-1")
	lahore.store.freeze()
	eventually(t, 5*time.Second, "the silent store is left", func() error {
		if d.counter(lahore, "config.store_moves") == 0 || !strings.Contains(lahore.gateway.log.String(), "Watch moves to another store") {
			return errors.New("not noticed")
		}
		return nil
	})
	generation := d.apply([]wheelgauge.Resource{class("news", 3)})
	eventually(t, 10*time.Second, "changes come from another store", func() error {
		if g, err := d.generation(lahore); err != nil || g < generation {
			return fmt.Errorf("at %d of %d, %v", g, generation, err)
		}
		return nil
	})
	lahore.store.thaw()
}

// TestFaultCutStore: a store that answers but is cut off from the others is
// left too, though its gateway still reaches it.
func TestFaultCutStore(t *testing.T) {
	s := smallShape()
	s.hosts = []int{1, 2, 1}
	d := launch(t, s)
	lahore, second := d.node("lahore-1"), d.node("lahore-2")
	d.net.cutBoth([]string{lahore.ip}, d.ips("lahore", true))
	eventually(t, 15*time.Second, "the cut-off store is left", func() error {
		if d.counter(second, "config.store_moves") == 0 {
			return errors.New("not noticed")
		}
		return nil
	})
	generation := d.apply([]wheelgauge.Resource{class("news", 3)})
	eventually(t, 14*time.Second, "changes come from another region", func() error {
		if g, err := d.generation(second); err != nil || g < generation {
			return fmt.Errorf("at %d of %d, %v", g, generation, err)
		}
		return nil
	})
}

// TestFaultNeverOlder: a gateway that restarts beside a store that lags takes
// the newest configuration it can reach, not that store's.
func TestFaultNeverOlder(t *testing.T) {
	s := smallShape()
	s.hosts = []int{1, 2, 1}
	d := launch(t, s)
	lahore, second := d.node("lahore-1"), d.node("lahore-2")
	d.net.cutBoth([]string{lahore.ip}, d.ips("lahore", true))
	generation := d.apply([]wheelgauge.Resource{class("news", 3)})
	eventually(t, 15*time.Second, "news come from another region", func() error {
		if g, err := d.generation(second); err != nil || g < generation {
			return fmt.Errorf("at %d of %d, %v", g, generation, err)
		}
		return nil
	})
	for range 3 {
		second.gateway.kill()
		d.startGateway(second)
		eventually(t, readyLimit, "the gateway has a configuration", func() error {
			g, err := d.generation(second)
			if err != nil || g == 0 {
				return fmt.Errorf("at %d, %v", g, err)
			}
			if g < generation {
				t.Fatalf("fell back to %d from %d", g, generation)
			}
			return nil
		})
	}
}

// TestFaultOperatorsRace: many operators change one resource at the same
// generation with different content through different stores, with lost
// answers and a leader killed. One wins each round, each loser is told by whom,
// and a resend of a change ID gets its first answer through any store.
func TestFaultOperatorsRace(t *testing.T) {
	d := launch(t, smallShape())
	stores := d.storeNodes()
	type try struct {
		change wheelgauge.Change
		result wheelgauge.ChangeResult
		err    error
	}
	var all []try
	for round := range 6 {
		current, err := d.ops.Get(context.Background(), wheelgauge.KindClientClass, "standard")
		if err != nil {
			t.Fatal(err)
		}
		tries := make([]try, 9)
		var group sync.WaitGroup
		for i := range tries {
			c := wheelgauge.Change{ID: fmt.Sprintf("round-%d-%d", round, i), Op: wheelgauge.OpPut, Kind: wheelgauge.KindClientClass, Name: "standard", Expected: &current.Generation}
			c.Spec = spec(wheelgauge.ClientClassSpec{Priority: i, Burst: round + 1})
			tries[i].change = c
			group.Go(func() {
				tries[i].result, tries[i].err = d.opsAt(stores[i%3]).Change(context.Background(), c, false)
			})
		}
		if round%2 == 1 {
			d.net.reset() // answers are lost; the client sends again
		}
		group.Wait()
		won := 0
		for _, one := range tries {
			if one.err == nil {
				won++
				continue
			}
			fault := wheelgauge.AsError(one.err)
			if fault.Reason() != wheelgauge.ReasonConflict || !strings.Contains(fault.Detail(), "operator-a") {
				t.Errorf("round %d: a loser was told %v", round, one.err)
			}
		}
		if won != 1 {
			t.Errorf("round %d: %d won", round, won)
		}
		all = append(all, tries...)
	}
	leader := d.leader()
	leader.store.kill()
	var living []*node
	for _, n := range stores {
		if n != leader {
			living = append(living, n)
		}
	}
	d.leader()
	// Push the log over its compaction, so that the answers come from a snapshot.
	d.pile(living[0], 600)
	for i, one := range all {
		again, err := d.opsAt(living[i%2]).Change(context.Background(), one.change, false)
		if (err == nil) != (one.err == nil) || again.Generation != one.result.Generation {
			t.Errorf("%s: first %+v, %v; again %+v, %v", one.change.ID, one.result, one.err, again, err)
		}
	}
}

// TestFaultLostDisk: a store whose disk is lost comes back as a new member; a
// second failure right after its repair loses nothing.
func TestFaultLostDisk(t *testing.T) {
	d := launch(t, smallShape())
	generation := d.apply([]wheelgauge.Resource{class("kept", 4)})
	lost, second := d.node("peshawar-1"), d.node("lahore-1")
	before, err := d.opsAt(lost).Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	lost.store.kill()
	if err := os.RemoveAll(filepath.Join(lost.dir, "store")); err != nil {
		t.Fatal(err)
	}
	d.startStore(lost)
	d.awaitStore(lost, generation)
	after, err := d.opsAt(lost).Status(context.Background())
	if err != nil || after.Replica.Self.ID == before.Replica.Self.ID {
		t.Fatalf("it votes under its old identity: %v", err)
	}
	second.store.kill()
	if err := os.RemoveAll(filepath.Join(second.dir, "store")); err != nil {
		t.Fatal(err)
	}
	newer := d.apply([]wheelgauge.Resource{class("after", 5)})
	d.startStore(second)
	d.awaitStore(second, newer)
	for _, name := range []string{"kept", "after", "standard"} {
		for _, n := range d.storeNodes() {
			if _, err := d.opsAt(n).Get(context.Background(), wheelgauge.KindClientClass, name); err != nil {
				t.Errorf("%s at %s: %v", name, n.name, err)
			}
		}
	}
}

// awaitStore waits until a store is one of three voters and has a generation.
func (d *deployment) awaitStore(n *node, generation uint64) {
	d.t.Helper()
	eventually(d.t, readyLimit, n.name+" votes again", func() error {
		s, err := d.opsAt(n).Status(context.Background())
		if err != nil {
			return err
		}
		voters := votersOf(s)
		if !s.Replica.Self.Voter || voters != 3 || len(s.Replica.Members) != 3 || s.Generation < generation {
			return fmt.Errorf("voter %t, %d voters of %d, generation %d of %d", s.Replica.Self.Voter, voters, len(s.Replica.Members), s.Generation, generation)
		}
		return nil
	})
}

// TestFaultRestoredDisk: a folder restored from a copy is not taken for the
// member whose log it holds.
func TestFaultRestoredDisk(t *testing.T) {
	d := launch(t, smallShape())
	lost := d.node("peshawar-1")
	folder, copied := filepath.Join(lost.dir, "store"), filepath.Join(lost.dir, "backup")
	lost.store.kill()
	if out, err := exec.Command("cp", "-a", folder, copied).CombinedOutput(); err != nil {
		t.Fatalf("copy: %v %s", err, out)
	}
	d.startStore(lost)
	d.awaitVoters(3)
	before, err := d.opsAt(lost).Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	generation := d.apply([]wheelgauge.Resource{class("newer", 4)})
	d.awaitInForce(generation)
	lost.store.kill()
	if err := errors.Join(os.RemoveAll(folder), os.Rename(copied, folder)); err != nil {
		t.Fatal(err)
	}
	d.startStore(lost)
	d.awaitStore(lost, generation)
	after, err := d.opsAt(lost).Status(context.Background())
	if err != nil || after.Replica.Self.ID == before.Replica.Self.ID {
		t.Fatalf("a restored folder votes under its old identity: %v", err)
	}
}

// TestFaultOldDiskBack: a disk whose place a new member has taken comes back; it
// gives its old identity up and joins anew.
func TestFaultOldDiskBack(t *testing.T) {
	d := launch(t, smallShape())
	n := d.node("peshawar-1")
	folder, kept := filepath.Join(n.dir, "store"), filepath.Join(n.dir, "kept")
	n.store.kill()
	if err := os.Rename(folder, kept); err != nil {
		t.Fatal(err)
	}
	d.startStore(n)
	d.awaitStore(n, 1)
	generation := d.apply([]wheelgauge.Resource{class("newer", 4)})
	n.store.kill()
	if err := errors.Join(os.RemoveAll(folder), os.Rename(kept, folder)); err != nil {
		t.Fatal(err)
	}
	d.startStore(n)
	n.store.fails(readyLimit)
	d.startStore(n)
	d.awaitStore(n, generation)
}

// damage flips the bits of a byte in the middle of a file.
func damage(t testing.TB, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 0xff
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestFaultCorruptDisk: a store with damage in its log does not start, and says
// what is wrong and where.
func TestFaultCorruptDisk(t *testing.T) {
	d := launch(t, smallShape())
	n := d.node("peshawar-1")
	n.store.kill()
	path := filepath.Join(n.dir, "store", "replica", "raft.log")
	damage(t, path)
	d.startStore(n)
	n.store.fails(readyLimit)
	if text := n.store.log.String(); !strings.Contains(text, "corrupt") || !strings.Contains(text, path) {
		t.Errorf("the log does not say what is wrong: %s", text)
	}
	// A torn tail is no damage.
	n2 := d.node("lahore-1")
	n2.store.kill()
	torn := filepath.Join(n2.dir, "store", "replica", "raft.log")
	f, err := os.OpenFile(torn, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 'h', 'a', 'l', 'f'})
	if err := errors.Join(err, f.Close()); err != nil {
		t.Fatal(err)
	}
	d.startStore(n2)
	d.leader()
}

const (
	pileNames   = 50
	pileWriters = 20
)

// pile makes many changes through one store and returns the last generation.
func (d *deployment) pile(n *node, changes int) uint64 {
	d.t.Helper()
	var group errgroup.Group
	group.SetLimit(pileWriters)
	var last atomic.Uint64
	for i := range changes {
		group.Go(func() error {
			c := class(fmt.Sprint("piled-", i%pileNames), 0)
			c.Spec = spec(wheelgauge.ClientClassSpec{Burst: i + 1})
			result, err := d.opsAt(n).Change(context.Background(), wheelgauge.Change{Op: wheelgauge.OpPut, Kind: c.Kind, Name: c.Name, Spec: c.Spec}, false)
			for {
				was := last.Load()
				if was >= result.Generation || last.CompareAndSwap(was, result.Generation) {
					return err
				}
			}
		})
	}
	if err := group.Wait(); err != nil {
		d.t.Fatal(err)
	}
	return last.Load()
}

// TestFaultRestartAfterChanges restarts all stores at once after hundreds of
// changes; nothing is lost and nothing comes back.
func TestFaultRestartAfterChanges(t *testing.T) {
	d := launch(t, smallShape())
	const changes = 700
	last := d.pile(d.leader(), changes)
	for _, n := range d.storeNodes() {
		n.store.kill()
	}
	started := time.Now()
	for _, n := range d.storeNodes() {
		d.startStore(n)
	}
	list, err := d.ops.List(context.Background(), wheelgauge.KindClientClass)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("answers %s after the restart of all stores with %d changes", time.Since(started).Round(time.Millisecond), changes)
	if list.Generation != last || len(list.Resources) != pileNames+1 {
		t.Errorf("generation %d of %d, %d classes", list.Generation, last, len(list.Resources))
	}
}

// TestFaultClaimsDisk: a store whose claims are damaged does not start.
func TestFaultClaimsDisk(t *testing.T) {
	d := launch(t, smallShape())
	n := d.node("karachi-1")
	for i := range 3 {
		if r := d.do(n, book(standby("karachi"), fmt.Sprint("tanker-c", i), newKey())); r.status != 200 {
			t.Fatalf("booking: %s", r)
		}
	}
	n.store.kill()
	path := filepath.Join(n.dir, "store", "claims", "claims.log")
	damage(t, path)
	d.startStore(n)
	n.store.fails(readyLimit)
	if r := d.do(n, book(standby("karachi"), "tanker-c9", newKey())); r.outcome() != wheelgauge.OutcomeNotRun {
		t.Errorf("without claims: %s", r)
	}
}
