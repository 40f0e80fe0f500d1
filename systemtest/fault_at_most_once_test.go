package systemtest

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/load"
)

// TestFaultAtMostOnceResends sends one booking repeatedly through several hosts and
// regions, also while the first attempt is still running.
func TestFaultAtMostOnceResends(t *testing.T) {
	s := smallTopology()
	s.serviceArgs = []string{"--time", "300ms"}
	d := launch(t, s)
	client, key := testClient("karachi"), newKey()
	var mu sync.Mutex
	var group sync.WaitGroup
	answered := 0
	for i := range 9 {
		n := d.nodes[i%len(d.nodes)]
		group.Go(func() {
			r := d.send(n, book(client, "tanker-1", key))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status == http.StatusOK:
				answered++
			case r.reason() != wheelgauge.ReasonClaimHeld || r.outcome() != wheelgauge.OutcomeUnknown:
				t.Errorf("%s: got %s, want an answer or an unknown outcome with the claim held", n.name, r)
			}
		})
	}
	group.Wait()
	for _, n := range d.nodes {
		r := d.send(n, book(client, "tanker-1", key))
		if r.status != http.StatusOK || r.header.Get(wheelgauge.HeaderServed) != "record" {
			t.Errorf("resend through %s: got %s, want the recorded answer", n.name, r)
		}
	}
	if r := d.send(d.nodes[0], book(client, "another", key)); r.reason() != wheelgauge.ReasonConflict || r.outcome() != wheelgauge.OutcomeNotRun {
		t.Errorf("another request under the same key: got %s, want a conflict that did not run", r)
	}
	ran := d.executions()
	if answered != 1 || ran["tanker-1"] != 1 || ran["another"] != 0 {
		t.Errorf("answered %d times, want once; executions %v", answered, ran)
	}
}

// TestFaultAtMostOnceCrash kills the gateway between the dispatch and the answer: the
// caller's resends must not run the booking again.
func TestFaultAtMostOnceCrash(t *testing.T) {
	s := smallTopology()
	s.serviceArgs = []string{"--time", "1s"}
	d := launch(t, s)
	client, key := testClient("karachi"), newKey()
	karachi := d.node("karachi-1")
	first := make(chan reply, 1)
	go func() { first <- d.send(karachi, book(client, "tanker-2", key)) }()
	eventually(t, 10*time.Second, "the booking runs", func() error {
		if d.executions()["tanker-2"] == 0 {
			return fmt.Errorf("not yet")
		}
		return nil
	})
	karachi.gateway.kill()
	if r := <-first; r.err == nil {
		t.Fatalf("the killed gateway answered: %s", r)
	}
	d.startGateway(karachi)
	d.awaitReady()
	for range 2 {
		for _, n := range d.nodes {
			if r := d.send(n, book(client, "tanker-2", key)); r.outcome() != wheelgauge.OutcomeUnknown {
				t.Errorf("resend through %s: got %s, want an unknown outcome", n.name, r)
			}
		}
	}
	if ran := d.executions()["tanker-2"]; ran != 1 {
		t.Errorf("ran %d times, want once", ran)
	}
}

// TestFaultAtMostOnceStore kills the claim store, restarts it on its disk, and then on
// an empty disk.
func TestFaultAtMostOnceStore(t *testing.T) {
	d := launch(t, smallTopology())
	client, key := testClient("karachi"), newKey()
	karachi, lahore := d.node("karachi-1"), d.node("lahore-1")
	if r := d.send(karachi, book(client, "tanker-3", key)); r.status != http.StatusOK {
		t.Fatalf("booking: %s", r)
	}
	karachi.store.kill()
	early := newKey()
	for _, n := range []*node{karachi, lahore} {
		r := d.send(n, book(client, "tanker-4", early))
		if r.outcome() != wheelgauge.OutcomeNotRun || r.apiErr.RetryAfter() == 0 {
			t.Errorf("without a claim store through %s: got %s, want not run with a time to retry", n.name, r)
		}
	}
	// Restarted on its disk, the store still has the record.
	d.startStore(karachi)
	d.awaitStore(karachi, 1)
	if r := d.send(lahore, book(client, "tanker-3", key)); r.status != http.StatusOK || r.header.Get(wheelgauge.HeaderServed) != "record" {
		t.Errorf("resend after a restart: got %s, want the recorded answer", r)
	}
	// On an empty disk, the store must treat earlier keys as possibly claimed.
	karachi.store.kill()
	if err := os.RemoveAll(filepath.Join(karachi.dir, "store")); err != nil {
		t.Fatal(err)
	}
	d.startStore(karachi)
	d.awaitStore(karachi, 1)
	for _, n := range d.nodes {
		r := d.send(n, book(client, "tanker-3", key))
		if r.reason() != wheelgauge.ReasonClaimHeld || r.outcome() != wheelgauge.OutcomeUnknown {
			t.Errorf("resend after a lost disk through %s: got %s, want an unknown outcome with the claim held", n.name, r)
		}
	}
	ran := d.executions()
	if ran["tanker-3"] != 1 || ran["tanker-4"] != 0 {
		t.Errorf("ran %v", ran)
	}
}

// TestFaultAtMostOncePartition: while a client's home region is partitioned, its
// bookings are refused as not run in other regions and served at home.
func TestFaultAtMostOncePartition(t *testing.T) {
	d := launch(t, smallTopology())
	client := testClient("karachi")
	d.isolateRegion("karachi")
	eventually(t, 20*time.Second, "lahore refuses within a second", func() error {
		started := time.Now()
		r := d.send(d.node("lahore-1"), book(client, "tanker-5", newKey()))
		if r.outcome() != wheelgauge.OutcomeNotRun {
			t.Fatalf("got %s, want not run", r)
		}
		if took := time.Since(started); took > time.Second {
			return fmt.Errorf("took %s", took)
		}
		return nil
	})
	if r := d.send(d.node("karachi-1"), book(client, "tanker-6", newKey())); r.status != http.StatusOK {
		t.Errorf("at home during the partition: %s", r)
	}
	ran := d.executions()
	if ran["tanker-5"] != 0 || ran["tanker-6"] != 1 {
		t.Errorf("ran %v", ran)
	}
}

// TestFaultAtMostOnceWithoutKey: a non-repeatable call without a key is dispatched
// once, also if its server is killed.
func TestFaultAtMostOnceWithoutKey(t *testing.T) {
	s := smallTopology()
	s.services = []int{2, 0, 0}
	s.serviceArgs = []string{"--time", "700ms"}
	d := launch(t, s)
	karachi := d.node("karachi-1")
	done := make(chan reply, 1)
	go func() { done <- d.send(karachi, book(testClient("karachi"), "tanker-7", "")) }()
	var holder *server
	eventually(t, 10*time.Second, "the booking runs", func() error {
		for _, sv := range d.servers {
			counts := map[string]int{}
			if sv.pool != "services" || getJSON("http://"+sv.addr+"/counts", &counts) != nil {
				continue
			}
			if counts["tanker-7"] > 0 {
				holder = sv
				return nil
			}
		}
		return fmt.Errorf("not yet")
	})
	holder.process.kill()
	r := <-done
	if r.outcome() != wheelgauge.OutcomeUnknown {
		t.Errorf("after its server was killed: got %s, want an unknown outcome", r)
	}
	if ran := d.executions()["tanker-7"]; ran != 0 { // counts the running servers only
		t.Errorf("ran %d more times on other servers, want 0", ran)
	}
}

// TestFaultNotRun: calls that are reported as not run did not run, while servers
// freeze, connections are reset and deadlines pass.
func TestFaultNotRun(t *testing.T) {
	s := smallTopology()
	s.services = []int{2, 1, 1}
	d := launch(t, s)
	type booking struct {
		ref string
		r   reply
	}
	var mu sync.Mutex
	var bookings []booking
	var group sync.WaitGroup
	stop := make(chan struct{})
	for w := range 4 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				ref := fmt.Sprintf("tanker-%d-%d", w, i)
				c := book(load.ClientName("karachi", w), ref, newKey())
				c.header[wheelgauge.HeaderDeadline] = "400"
				r := d.send(d.nodes[w%len(d.nodes)], c)
				mu.Lock()
				bookings = append(bookings, booking{ref, r})
				mu.Unlock()
			}
		})
	}
	one, two := d.server("service-karachi-0"), d.server("service-karachi-1")
	for range 3 {
		one.process.freeze()
		time.Sleep(400 * time.Millisecond)
		one.process.thaw()
		two.process.freeze()
		time.Sleep(400 * time.Millisecond)
		two.process.thaw()
		d.network.reset()
	}
	close(stop)
	group.Wait()
	ran, outcomes := d.executions(), map[wheelgauge.Outcome]int{}
	for _, b := range bookings {
		outcomes[b.r.outcome()]++
		if b.r.outcome() == wheelgauge.OutcomeNotRun && ran[b.ref] != 0 {
			t.Errorf("%s was reported as not run but ran %d times: %s", b.ref, ran[b.ref], b.r)
		}
		if ran[b.ref] > 1 {
			t.Errorf("%s ran %d times, want at most once", b.ref, ran[b.ref])
		}
		if b.r.status == http.StatusOK && ran[b.ref] != 1 {
			t.Errorf("%s was answered but ran %d times, want once", b.ref, ran[b.ref])
		}
	}
	t.Logf("%d bookings: outcomes %v", len(bookings), outcomes)
	if outcomes[wheelgauge.OutcomeRan] == 0 {
		t.Error("no booking was answered, want at least one")
	}
}

// TestFaultNotRunAfterRetry: a repeatable call that fails with an unknown outcome on
// one server, and cannot be sent to another, is not reported as not run.
func TestFaultNotRunAfterRetry(t *testing.T) {
	s := smallTopology()
	s.engines = []int{2, 0, 0}
	d := launch(t, s)
	one, two := d.server("engine-karachi-0"), d.server("engine-karachi-1")
	c := chat(testClient("karachi"), "begun on one engine", 500)
	c.body = fmt.Sprintf(`{"model":"small","max_tokens":500,"messages":[{"role":"user","content":%q}]}`, "begun on one engine")
	done := make(chan reply, 1)
	go func() { done <- d.send(d.node("karachi-1"), c) }()
	eventually(t, 10*time.Second, "an engine has started the call", func() error {
		if startedBy(t, one)+startedBy(t, two) == 0 {
			return fmt.Errorf("not yet")
		}
		return nil
	})
	if startedBy(t, one) > 0 {
		one, two = two, one
	}
	one.process.kill()
	two.process.kill()
	if r := <-done; r.apiErr == nil || r.outcome() == wheelgauge.OutcomeNotRun {
		t.Errorf("the call had started, but the caller got %s", r)
	}
}
