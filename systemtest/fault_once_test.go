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

// TestFaultOnceResends sends one booking again and again, through other hosts
// and regions, and while the first is still running.
func TestFaultOnceResends(t *testing.T) {
	s := smallShape()
	s.service = []string{"--time", "300ms"}
	d := launch(t, s)
	client, key := standby("karachi"), newKey()
	var mu sync.Mutex
	var group sync.WaitGroup
	answered := 0
	for i := range 9 {
		n := d.nodes[i%len(d.nodes)]
		group.Go(func() {
			r := d.do(n, book(client, "tanker-1", key))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status == http.StatusOK:
				answered++
			case r.reason() != wheelgauge.ReasonClaimHeld || r.outcome() != wheelgauge.OutcomeUnknown:
				t.Errorf("%s: %s", n.name, r)
			}
		})
	}
	group.Wait()
	for _, n := range d.nodes {
		r := d.do(n, book(client, "tanker-1", key))
		if r.status != http.StatusOK || r.header.Get(wheelgauge.HeaderServed) != "record" {
			t.Errorf("resend through %s: %s", n.name, r)
		}
	}
	if r := d.do(d.nodes[0], book(client, "another", key)); r.reason() != wheelgauge.ReasonConflict || r.outcome() != wheelgauge.OutcomeNotRun {
		t.Errorf("another request under the same key: %s", r)
	}
	ran := d.executions()
	if answered != 1 || ran["tanker-1"] != 1 || ran["another"] != 0 {
		t.Errorf("answered %d times, ran %v", answered, ran)
	}
}

// TestFaultOnceCrash kills the gateway between the dispatch and the answer; the
// caller's resends never run the booking again.
func TestFaultOnceCrash(t *testing.T) {
	s := smallShape()
	s.service = []string{"--time", "1s"}
	d := launch(t, s)
	client, key := standby("karachi"), newKey()
	karachi := d.node("karachi-1")
	first := make(chan reply, 1)
	go func() { first <- d.do(karachi, book(client, "tanker-2", key)) }()
	eventually(t, 10*time.Second, "the booking runs", func() error {
		if d.executions()["tanker-2"] == 0 {
			return fmt.Errorf("not yet")
		}
		return nil
	})
	karachi.gateway.kill()
	if r := <-first; r.err == nil {
		t.Fatalf("an answer came from a killed gateway: %s", r)
	}
	d.startGateway(karachi)
	d.awaitReady()
	for range 2 {
		for _, n := range d.nodes {
			if r := d.do(n, book(client, "tanker-2", key)); r.outcome() != wheelgauge.OutcomeUnknown {
				t.Errorf("resend through %s: %s", n.name, r)
			}
		}
	}
	if ran := d.executions()["tanker-2"]; ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}

// TestFaultOnceStore kills the claim store, loses its disk, and cuts it off.
func TestFaultOnceStore(t *testing.T) {
	d := launch(t, smallShape())
	client, key := standby("karachi"), newKey()
	karachi, lahore := d.node("karachi-1"), d.node("lahore-1")
	if r := d.do(karachi, book(client, "tanker-3", key)); r.status != http.StatusOK {
		t.Fatalf("booking: %s", r)
	}
	karachi.store.kill()
	early := newKey()
	for _, n := range []*node{karachi, lahore} {
		r := d.do(n, book(client, "tanker-4", early))
		if r.outcome() != wheelgauge.OutcomeNotRun || r.fault.RetryAfter() == 0 {
			t.Errorf("without a claim store through %s: %s", n.name, r)
		}
	}
	// Restarted on its disk it remembers.
	d.startStore(karachi)
	d.awaitStore(karachi, 1)
	if r := d.do(lahore, book(client, "tanker-3", key)); r.status != http.StatusOK || r.header.Get(wheelgauge.HeaderServed) != "record" {
		t.Errorf("resend after a restart: %s", r)
	}
	// On a new disk it knows that it does not know.
	karachi.store.kill()
	if err := os.RemoveAll(filepath.Join(karachi.dir, "store")); err != nil {
		t.Fatal(err)
	}
	d.startStore(karachi)
	d.awaitStore(karachi, 1)
	for _, n := range d.nodes {
		r := d.do(n, book(client, "tanker-3", key))
		if r.reason() != wheelgauge.ReasonClaimHeld || r.outcome() != wheelgauge.OutcomeUnknown {
			t.Errorf("resend after a lost disk through %s: %s", n.name, r)
		}
	}
	ran := d.executions()
	if ran["tanker-3"] != 1 || ran["tanker-4"] != 0 {
		t.Errorf("ran %v", ran)
	}
}

// TestFaultOnceCut: away from home, a booking of a client whose home region is
// cut off is refused as not run; at home it is served.
func TestFaultOnceCut(t *testing.T) {
	d := launch(t, smallShape())
	client := standby("karachi")
	d.cutRegion("karachi")
	eventually(t, 20*time.Second, "lahore refuses at once", func() error {
		started := time.Now()
		r := d.do(d.node("lahore-1"), book(client, "tanker-5", newKey()))
		if r.outcome() != wheelgauge.OutcomeNotRun {
			t.Fatalf("got %s", r)
		}
		if took := time.Since(started); took > time.Second {
			return fmt.Errorf("took %s", took)
		}
		return nil
	})
	if r := d.do(d.node("karachi-1"), book(client, "tanker-6", newKey())); r.status != http.StatusOK {
		t.Errorf("at home in the cut: %s", r)
	}
	ran := d.executions()
	if ran["tanker-5"] != 0 || ran["tanker-6"] != 1 {
		t.Errorf("ran %v", ran)
	}
}

// TestFaultOnceWithoutKey: a call that is not repeatable is dispatched once,
// whatever becomes of its server.
func TestFaultOnceWithoutKey(t *testing.T) {
	s := smallShape()
	s.services = []int{2, 0, 0}
	s.service = []string{"--time", "700ms"}
	d := launch(t, s)
	karachi := d.node("karachi-1")
	done := make(chan reply, 1)
	go func() { done <- d.do(karachi, book(standby("karachi"), "tanker-7", "")) }()
	var holder *server
	eventually(t, 10*time.Second, "the booking runs", func() error {
		for _, one := range d.servers {
			counts := map[string]int{}
			if one.pool != "services" || getJSON("http://"+one.addr+"/counts", &counts) != nil {
				continue
			}
			if counts["tanker-7"] > 0 {
				holder = one
				return nil
			}
		}
		return fmt.Errorf("not yet")
	})
	holder.run.kill()
	r := <-done
	if r.outcome() != wheelgauge.OutcomeUnknown {
		t.Errorf("after the kill of its server: %s", r)
	}
	if ran := d.executions()["tanker-7"]; ran != 0 { // of the servers that live
		t.Errorf("ran again: %d", ran)
	}
}

// TestFaultNotRun: what is called not run did not run, with servers frozen,
// killed and refusing, and deadlines passing.
func TestFaultNotRun(t *testing.T) {
	s := smallShape()
	s.services = []int{2, 1, 1}
	d := launch(t, s)
	type sent struct {
		ref string
		r   reply
	}
	var mu sync.Mutex
	var all []sent
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
				r := d.do(d.nodes[w%len(d.nodes)], c)
				mu.Lock()
				all = append(all, sent{ref, r})
				mu.Unlock()
			}
		})
	}
	one, two := d.server("service-karachi-0"), d.server("service-karachi-1")
	for range 3 {
		one.run.freeze()
		time.Sleep(400 * time.Millisecond)
		one.run.thaw()
		two.run.freeze()
		time.Sleep(400 * time.Millisecond)
		two.run.thaw()
		d.net.reset()
	}
	close(stop)
	group.Wait()
	ran, told := d.executions(), map[wheelgauge.Outcome]int{}
	for _, one := range all {
		told[one.r.outcome()]++
		if one.r.outcome() == wheelgauge.OutcomeNotRun && ran[one.ref] != 0 {
			t.Errorf("%s was called not run and ran %d times: %s", one.ref, ran[one.ref], one.r)
		}
		if ran[one.ref] > 1 {
			t.Errorf("%s ran %d times", one.ref, ran[one.ref])
		}
		if one.r.status == http.StatusOK && ran[one.ref] != 1 {
			t.Errorf("%s was answered and ran %d times", one.ref, ran[one.ref])
		}
	}
	t.Logf("%d bookings: told %v", len(all), told)
	if told[wheelgauge.OutcomeRan] == 0 {
		t.Error("nothing was answered")
	}
}

// TestFaultNotRunAfterRetry: when a call that may be repeated failed unknown on
// one server and could not be sent to another, it is not called not run.
func TestFaultNotRunAfterRetry(t *testing.T) {
	s := smallShape()
	s.engines = []int{2, 0, 0}
	d := launch(t, s)
	one, two := d.server("engine-karachi-0"), d.server("engine-karachi-1")
	c := chat(standby("karachi"), "begun on one engine", 500)
	c.body = fmt.Sprintf(`{"model":"small","max_tokens":500,"messages":[{"role":"user","content":%q}]}`, "begun on one engine")
	done := make(chan reply, 1)
	go func() { done <- d.do(d.node("karachi-1"), c) }()
	eventually(t, 10*time.Second, "an engine has begun", func() error {
		if startedBy(t, one)+startedBy(t, two) == 0 {
			return fmt.Errorf("not yet")
		}
		return nil
	})
	if startedBy(t, one) > 0 {
		one, two = two, one
	}
	one.run.kill()
	two.run.kill()
	if r := <-done; r.fault == nil || r.outcome() == wheelgauge.OutcomeNotRun {
		t.Errorf("it had begun, and the caller is told %s", r)
	}
}
