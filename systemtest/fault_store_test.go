package systemtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wheelgauge"
	"wheelgauge/opsclient"
	"wheelgauge/raft"
)

func class(name string, priority int) wheelgauge.Resource {
	return wheelgauge.Resource{Kind: wheelgauge.KindClientClass, Name: name, Spec: spec(wheelgauge.ClientClassSpec{Priority: priority})}
}

// operatorAt returns an operator client that uses one store only.
func (d *deployment) operatorAt(n *node) *opsclient.Client {
	return opsclient.New([]string{fmt.Sprintf("%s:%d", n.ip, portStoreOps)}, writeToken, nil)
}

func (d *deployment) leader() *node {
	d.t.Helper()
	var found *node
	eventually(d.t, readyTimeout, "a leader is known", func() error {
		for _, n := range d.storeNodes() {
			if n.store.exited {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			s, err := d.operatorAt(n).Status(ctx)
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

// TestFaultInForce applies changes while stores are killed, frozen and partitioned:
// each accepted change is in force everywhere within 14 s, and no host returns to an
// earlier generation.
func TestFaultInForce(t *testing.T) {
	d := launch(t, smallTopology())
	highest := map[string]uint64{}
	check := func(step string, limit time.Duration) {
		t.Helper()
		result := d.apply([]wheelgauge.Resource{class("moving", len(step)%10), class("still", (len(step)+1)%10)})
		started := time.Now()
		eventually(t, limit, step, func() error {
			for _, n := range d.nodes {
				g, err := d.generation(n)
				if err != nil || g < result {
					return fmt.Errorf("%s is at generation %d, want %d, %v", n.name, g, result, err)
				}
				if g < highest[n.name] {
					t.Fatalf("%s went back from generation %d to %d", n.name, highest[n.name], g)
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
	// The region's store is separated from the other stores, not from its gateway.
	d.isolateRegion("peshawar")
	if _, err := d.put(class("moving", 7)); err != nil {
		t.Fatal(err)
	}
	d.network.heal()
	check("healed after a cut", 14*time.Second)
	for _, n := range d.nodes {
		n.gateway.kill()
		d.startGateway(n)
	}
	d.awaitReady()
	check("gateways restarted", 14*time.Second)
}

// TestFaultSilentStore freezes the store that a gateway watches: within the wait and
// silent settings the gateway moves to another store and reports it in its log and
// metrics.
func TestFaultSilentStore(t *testing.T) {
	d := launch(t, smallTopology())
	lahore := d.node("lahore-1")
	lahore.store.freeze()
	eventually(t, 5*time.Second, "the gateway leaves the frozen store", func() error {
		if d.counter(lahore, "config.store_moves") == 0 || !strings.Contains(lahore.gateway.log.String(), "Watch moves to another store") {
			return errors.New("no move reported")
		}
		return nil
	})
	generation := d.apply([]wheelgauge.Resource{class("news", 3)})
	eventually(t, 10*time.Second, "changes arrive from another store", func() error {
		if g, err := d.generation(lahore); err != nil || g < generation {
			return fmt.Errorf("at %d of %d, %v", g, generation, err)
		}
		return nil
	})
	lahore.store.thaw()
}

// TestFaultPartitionedStore: a gateway also leaves a store that still answers it but
// is partitioned from the other stores.
func TestFaultPartitionedStore(t *testing.T) {
	s := smallTopology()
	s.hosts = []int{1, 2, 1}
	d := launch(t, s)
	lahore, second := d.node("lahore-1"), d.node("lahore-2")
	d.network.partition([]string{lahore.ip}, d.ips("lahore", true))
	eventually(t, 15*time.Second, "the gateway leaves the partitioned store", func() error {
		if d.counter(second, "config.store_moves") == 0 {
			return errors.New("no move reported")
		}
		return nil
	})
	generation := d.apply([]wheelgauge.Resource{class("news", 3)})
	eventually(t, 14*time.Second, "changes arrive from another region", func() error {
		if g, err := d.generation(second); err != nil || g < generation {
			return fmt.Errorf("at %d of %d, %v", g, generation, err)
		}
		return nil
	})
}

// TestFaultRestartBesideLaggingStore: a restarted gateway whose regional store lags
// loads the newest configuration that it can reach, not that store's.
func TestFaultRestartBesideLaggingStore(t *testing.T) {
	s := smallTopology()
	s.hosts = []int{1, 2, 1}
	d := launch(t, s)
	lahore, second := d.node("lahore-1"), d.node("lahore-2")
	d.network.partition([]string{lahore.ip}, d.ips("lahore", true))
	generation := d.apply([]wheelgauge.Resource{class("news", 3)})
	eventually(t, 15*time.Second, "the change arrives from another region", func() error {
		if g, err := d.generation(second); err != nil || g < generation {
			return fmt.Errorf("at %d of %d, %v", g, generation, err)
		}
		return nil
	})
	for range 3 {
		second.gateway.kill()
		d.startGateway(second)
		eventually(t, readyTimeout, "the gateway has a configuration", func() error {
			g, err := d.generation(second)
			if err != nil || g == 0 {
				return fmt.Errorf("at %d, %v", g, err)
			}
			if g < generation {
				t.Fatalf("went back to generation %d from %d", g, generation)
			}
			return nil
		})
	}
}

// TestFaultOperatorsRace: nine concurrent changes write one resource at the same
// expected generation through three stores, with connections reset and a leader
// killed. One change wins each round, each loser gets a conflict that names the
// winning operator, and a resent change ID gets its first result through any store.
func TestFaultOperatorsRace(t *testing.T) {
	d := launch(t, smallTopology())
	stores := d.storeNodes()
	type attempt struct {
		change wheelgauge.Change
		result wheelgauge.ChangeResult
		err    error
	}
	var all []attempt
	for round := range 6 {
		current, err := d.operator.Get(context.Background(), wheelgauge.KindClientClass, "standard")
		if err != nil {
			t.Fatal(err)
		}
		attempts := make([]attempt, 9)
		var group sync.WaitGroup
		for i := range attempts {
			c := wheelgauge.Change{ID: fmt.Sprintf("round-%d-%d", round, i), Op: wheelgauge.OpPut, Kind: wheelgauge.KindClientClass, Name: "standard", ExpectedGeneration: &current.Generation}
			c.Spec = spec(wheelgauge.ClientClassSpec{Priority: i, Burst: round + 1})
			attempts[i].change = c
			group.Go(func() {
				attempts[i].result, attempts[i].err = d.operatorAt(stores[i%3]).Change(context.Background(), c, false)
			})
		}
		if round%2 == 1 {
			d.network.reset() // responses are lost; the client sends again
		}
		group.Wait()
		won := 0
		for _, a := range attempts {
			if a.err == nil {
				won++
				continue
			}
			apiErr := wheelgauge.AsError(a.err)
			if apiErr.Reason() != wheelgauge.ReasonConflict || !strings.Contains(apiErr.Detail(), "operator-a") {
				t.Errorf("round %d: a losing change got %v, want a conflict that names the operator", round, a.err)
			}
		}
		if won != 1 {
			t.Errorf("round %d: %d changes won, want 1", round, won)
		}
		all = append(all, attempts...)
	}
	leader := d.leader()
	leader.store.kill()
	var alive []*node
	for _, n := range stores {
		if n != leader {
			alive = append(alive, n)
		}
	}
	d.leader()
	// Enough changes to compact the log, so that the results come from a snapshot.
	d.putMany(alive[0], 600)
	for i, a := range all {
		again, err := d.operatorAt(alive[i%2]).Change(context.Background(), a.change, false)
		if (err == nil) != (a.err == nil) || again.Generation != a.result.Generation {
			t.Errorf("%s: first %+v, %v; again %+v, %v", a.change.ID, a.result, a.err, again, err)
		}
	}
}

// TestFaultLostDisk: a store whose disk is lost rejoins as a new member, and losing
// a second disk right afterwards loses no data.
func TestFaultLostDisk(t *testing.T) {
	d := launch(t, smallTopology())
	generation := d.apply([]wheelgauge.Resource{class("kept", 4)})
	lost, second := d.node("peshawar-1"), d.node("lahore-1")
	before, err := d.operatorAt(lost).Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	lost.store.kill()
	if err := os.RemoveAll(filepath.Join(lost.dir, "store")); err != nil {
		t.Fatal(err)
	}
	d.startStore(lost)
	d.awaitStore(lost, generation)
	after, err := d.operatorAt(lost).Status(context.Background())
	if err != nil || after.Replica.Self.ID == before.Replica.Self.ID {
		t.Fatalf("the store kept its old identity after losing its disk: %v", err)
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
			if _, err := d.operatorAt(n).Get(context.Background(), wheelgauge.KindClientClass, name); err != nil {
				t.Errorf("%s at %s: %v", name, n.name, err)
			}
		}
	}
}

// awaitStore waits until a store is one of three voters and has reached a generation.
func (d *deployment) awaitStore(n *node, generation uint64) {
	d.t.Helper()
	eventually(d.t, readyTimeout, n.name+" votes again", func() error {
		s, err := d.operatorAt(n).Status(context.Background())
		if err != nil {
			return err
		}
		voters := votersOf(s)
		if !s.Replica.Self.Voter || voters != 3 || len(s.Replica.Members) != 3 || s.Generation < generation {
			return fmt.Errorf("voter %t, %d voters of %d members, generation %d, want %d", s.Replica.Self.Voter, voters, len(s.Replica.Members), s.Generation, generation)
		}
		return nil
	})
}

// TestFaultRestoredDisk: a store on a folder restored from an old copy must not vote
// as the member whose log the copy holds.
func TestFaultRestoredDisk(t *testing.T) {
	d := launch(t, smallTopology())
	lost := d.node("peshawar-1")
	folder, copied := filepath.Join(lost.dir, "store"), filepath.Join(lost.dir, "backup")
	lost.store.kill()
	if out, err := exec.Command("cp", "-a", folder, copied).CombinedOutput(); err != nil {
		t.Fatalf("copy: %v %s", err, out)
	}
	d.startStore(lost)
	d.awaitVoters(3)
	before, err := d.operatorAt(lost).Status(context.Background())
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
	after, err := d.operatorAt(lost).Status(context.Background())
	if err != nil || after.Replica.Self.ID == before.Replica.Self.ID {
		t.Fatalf("the store kept its old identity on a restored folder: %v", err)
	}
}

// TestFaultReplacedDiskReturns: a store starts on a disk whose member has been replaced.
// It joins again by itself, and takes the place of the member of its name.
func TestFaultReplacedDiskReturns(t *testing.T) {
	d := launch(t, smallTopology())
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
	d.awaitStore(n, generation)
	s, err := d.operatorAt(n).Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	named := slices.DeleteFunc(slices.Clone(s.Replica.Members), func(m raft.Member) bool { return m.Name != n.name })
	if len(named) != 1 || named[0].ID != s.Replica.Self.ID {
		t.Errorf("members named %s: got %+v, want only the store that runs", n.name, named)
	}
}

// corruptFile inverts one byte in the middle of a file.
func corruptFile(t testing.TB, path string) {
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

// TestFaultCorruptDisk: a store with a corrupt log does not start and reports the
// damage and the file.
func TestFaultCorruptDisk(t *testing.T) {
	d := launch(t, smallTopology())
	n := d.node("peshawar-1")
	n.store.kill()
	path := filepath.Join(n.dir, "store", "replica", "raft.log")
	corruptFile(t, path)
	d.startStore(n)
	n.store.awaitFailure(readyTimeout)
	if text := n.store.log.String(); !strings.Contains(text, "corrupt") || !strings.Contains(text, path) {
		t.Errorf("the output does not report the corrupt file: %s", text)
	}
	// An incomplete last record is not corruption.
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
	putManyNames   = 50
	putManyWriters = 20
)

// putMany makes concurrent changes through one store and returns the newest generation.
func (d *deployment) putMany(n *node, changes int) uint64 {
	d.t.Helper()
	var group errgroup.Group
	group.SetLimit(putManyWriters)
	var last atomic.Uint64
	for i := range changes {
		group.Go(func() error {
			c := class(fmt.Sprint("piled-", i%putManyNames), 0)
			c.Spec = spec(wheelgauge.ClientClassSpec{Burst: i + 1})
			result, err := d.changeUntilMade(d.operatorAt(n), putChange(c))
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

// TestFaultRestartAfterChanges restarts all stores at once after 700 changes: no
// change is lost and no overwritten state returns.
func TestFaultRestartAfterChanges(t *testing.T) {
	d := launch(t, smallTopology())
	const changes = 700
	last := d.putMany(d.leader(), changes)
	for _, n := range d.storeNodes() {
		n.store.kill()
	}
	started := time.Now()
	for _, n := range d.storeNodes() {
		d.startStore(n)
	}
	list, err := d.operator.List(context.Background(), wheelgauge.KindClientClass)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("first response %s after the restart of all stores with %d changes", time.Since(started).Round(time.Millisecond), changes)
	if list.Generation != last || len(list.Resources) != putManyNames+1 {
		t.Errorf("generation %d, want %d; %d classes", list.Generation, last, len(list.Resources))
	}
}

// TestFaultClaimsDisk: a store with a corrupt claims log does not start, and bookings
// are refused as not run.
func TestFaultClaimsDisk(t *testing.T) {
	d := launch(t, smallTopology())
	n := d.node("karachi-1")
	for i := range 3 {
		if r := d.send(n, book(testClient("karachi"), fmt.Sprint("tanker-c", i), newKey())); r.status != 200 {
			t.Fatalf("booking: %s", r)
		}
	}
	n.store.kill()
	path := filepath.Join(n.dir, "store", "claims", "claims.log")
	corruptFile(t, path)
	d.startStore(n)
	n.store.awaitFailure(readyTimeout)
	if r := d.send(n, book(testClient("karachi"), "tanker-c9", newKey())); r.outcome() != wheelgauge.OutcomeNotRun {
		t.Errorf("without a claim store: got %s, want not run", r)
	}
}
