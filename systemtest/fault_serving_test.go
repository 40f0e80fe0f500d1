package systemtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/load"
)

// TestFaultRegionPartition: a partitioned region keeps serving its own callers, also if
// its gateway and its store restart during the partition.
func TestFaultRegionPartition(t *testing.T) {
	d := launch(t, smallTopology())
	karachi := d.node("karachi-1")
	client := testClient("karachi")
	serves := func(prompt string) func() error {
		return func() error { return checkComplete(d.send(karachi, chat(client, prompt, 4)), prompt, 4) }
	}
	d.isolateRegion("karachi")
	for i := range 20 {
		if err := serves(fmt.Sprint("inside the cut ", i))(); err != nil {
			t.Fatal(err)
		}
	}
	if r := d.send(karachi, book(client, "tanker-cut", newKey())); r.status != http.StatusOK {
		t.Errorf("booking during the partition: %s", r)
	}
	karachi.gateway.kill()
	d.startGateway(karachi)
	eventually(t, 20*time.Second, "a gateway restarted during the partition serves", serves("after the gateway"))
	karachi.store.kill()
	if err := serves("without a store")(); err != nil {
		t.Error(err)
	}
	d.startStore(karachi)
	karachi.gateway.kill()
	d.startGateway(karachi)
	eventually(t, 20*time.Second, "the gateway serves after both restarted during the partition", serves("after both"))
	eventually(t, 20*time.Second, "the gateway books after both restarted during the partition", func() error {
		if r := d.send(karachi, book(client, "tanker-cut-2", newKey())); r.status != http.StatusOK {
			return fmt.Errorf("got %s", r)
		}
		return nil
	})
	d.network.heal()
	d.awaitVoters(3)
}

// TestFaultCompleteAnswers: every caller gets its own complete answer while engines
// are killed and frozen under many streams.
func TestFaultCompleteAnswers(t *testing.T) {
	s := smallTopology()
	s.engines = []int{3, 1, 1}
	d := launch(t, s)
	karachi := d.node("karachi-1")
	var group sync.WaitGroup
	errs := make(chan error, 64)
	for i := range 12 {
		group.Go(func() {
			prompt := fmt.Sprintf("question %d of many, asked at length", i)
			errs <- checkComplete(d.send(karachi, chat(load.ClientName("karachi", i%3), prompt, 150)), prompt, 150)
		})
	}
	eventually(t, 10*time.Second, "streams run", func() error {
		if n := d.startedInRegion("karachi"); n < 12 {
			return fmt.Errorf("%d of 12 streams have started", n)
		}
		return nil
	})
	d.server("engine-karachi-0").process.kill()
	d.server("engine-karachi-1").process.freeze()
	time.Sleep(1500 * time.Millisecond)
	d.server("engine-karachi-1").process.thaw() // its delayed answers arrive now
	group.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			t.Error(err)
		}
	}
	if d.counter(karachi, "streams.resumed") == 0 {
		t.Error("no stream was resumed: the engine was killed too late for the test to be valid")
	}
}

// TestFaultLeavingServer: a backend server that is drained by the operator or reports
// that it leaves gets no new requests after two heartbeats and a configuration
// update; its streams finish.
func TestFaultLeavingServer(t *testing.T) {
	tests := []struct {
		name  string
		leave func(d *deployment, s *server)
	}{
		{"by the operator", func(d *deployment, s *server) { d.runCtl("drain", "server", s.name) }},
		{"by its own report", func(d *deployment, s *server) {
			resp, err := callerClient.Post("http://"+s.addr+"/v1/leave", "", nil)
			if err != nil {
				d.t.Fatal(err)
			}
			_ = resp.Body.Close()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallTopology()
			s.engines = []int{2, 1, 1}
			d := launch(t, s)
			karachi, engine := d.node("karachi-1"), d.server("engine-karachi-0")
			running := startOn(t, d, karachi, engine)
			tt.leave(d, engine)
			time.Sleep(3 * time.Second) // the bound of two heartbeats and a configuration update
			before := startedBy(t, engine)
			for i := range 30 {
				prompt := fmt.Sprint("after the leave ", i)
				if err := checkComplete(d.send(karachi, chat(testClient("karachi"), prompt, 2)), prompt, 2); err != nil {
					t.Fatal(err)
				}
			}
			if after := startedBy(t, engine); after != before {
				t.Errorf("a leaving server got %d new requests, want none", after-before)
			}
			if err := running(); err != nil {
				t.Errorf("a stream was cut: %v", err)
			}
		})
	}
}

func startedBy(t testing.TB, s *server) int {
	t.Helper()
	var stats struct {
		Started int `json:"started"`
	}
	if err := getJSON("http://"+s.addr+"/v1/stats", &stats); err != nil {
		t.Fatal(err)
	}
	return stats.Started
}

// startOn starts long streams until one runs on the given engine, and returns the
// check of that stream.
func startOn(t testing.TB, d *deployment, n *node, s *server) func() error {
	t.Helper()
	for i := range 40 {
		prompt := fmt.Sprint("a long stream ", i)
		before := startedBy(t, s)
		wait := d.stream(t, n, chat(testClient(n.region), prompt, 500))
		if startedBy(t, s) > before {
			return func() error { return checkComplete(wait(), prompt, 500) }
		}
	}
	t.Fatalf("no stream went to %s", s.name)
	return nil
}

// TestFaultPlannedStop stops a gateway and the store of another host while streams are
// open through both gateways: no stream breaks, and the entry list drops the leaving
// host but still names others.
func TestFaultPlannedStop(t *testing.T) {
	s := smallTopology()
	s.hosts = []int{3, 1, 1}
	d := launch(t, s)
	first, second := d.node("karachi-1"), d.node("karachi-2")
	var waits []func() error
	for _, n := range []*node{first, second} {
		for i := range 5 {
			prompt := fmt.Sprintf("open through %s %d", n.name, i)
			wait := d.stream(t, n, chat(testClient("karachi"), prompt, 250))
			waits = append(waits, func() error { return checkComplete(wait(), prompt, 250) })
		}
	}
	ended := make(chan error, 2)
	go func() { ended <- second.gateway.terminate(30 * time.Second) }()
	go func() { ended <- first.store.terminate(30 * time.Second) }()
	eventually(t, 10*time.Second, "the leaving host is removed from the list", func() error {
		list, err := d.entries(first, testClient("karachi"))
		if err != nil || listed(list, second.name) || len(list) == 0 {
			return fmt.Errorf("got %v, %v", list, err)
		}
		return nil
	})
	for i, wait := range waits {
		if err := wait(); err != nil {
			t.Errorf("stream %d was cut: %v", i, err)
		}
	}
	for range 2 {
		if err := <-ended; err != nil {
			t.Errorf("a planned stop ended with %v", err)
		}
	}
	// Two of three stores still accept changes.
	d.apply([]wheelgauge.Resource{{Kind: wheelgauge.KindClientClass, Name: "later", Spec: spec(wheelgauge.ClientClassSpec{Priority: 1})}})
	if err := checkComplete(d.send(d.node("karachi-3"), chat(testClient("karachi"), "after the stop", 4)), "after the stop", 4); err != nil {
		t.Error(err)
	}
}

// TestFaultEntryList: killed, frozen and drained hosts are removed from the entry list
// although the platform's host list lags; hosts that come back are listed again.
func TestFaultEntryList(t *testing.T) {
	s := smallTopology()
	s.hosts = []int{3, 1, 1}
	d := launch(t, s)
	queried, client := d.node("karachi-1"), testClient("karachi")
	absent := func(name string) func() error {
		return func() error {
			list, err := d.entries(queried, client)
			if err != nil || listed(list, name) {
				return fmt.Errorf("%v, %v", list, err)
			}
			return nil
		}
	}
	present := func(name string) func() error {
		return func() error {
			list, err := d.entries(queried, client)
			if err != nil || !listed(list, name) {
				return fmt.Errorf("%v, %v", list, err)
			}
			return nil
		}
	}
	two, three := d.node("karachi-2"), d.node("karachi-3")
	eventually(t, 10*time.Second, "all are listed", present(two.name))
	two.gateway.kill()
	eventually(t, 5*time.Second, "a killed host is removed", absent(two.name))
	d.startGateway(two)
	eventually(t, 10*time.Second, "a restarted host is listed again", present(two.name))
	three.gateway.freeze()
	eventually(t, 5*time.Second, "a frozen host is removed", absent(three.name))
	three.gateway.thaw()
	eventually(t, 10*time.Second, "a resumed host is listed again", present(three.name))
	d.runCtl("drain", "host", two.name)
	eventually(t, 5*time.Second, "a drained host is removed", absent(two.name))
	d.runCtl("drain", "host", two.name, "--back")
	eventually(t, 5*time.Second, "an undrained host is listed again", present(two.name))
	// The hub itself stops answering: a gateway takes over.
	queried.store.freeze()
	three.gateway.kill()
	eventually(t, 10*time.Second, "a host killed while the hub does not answer is removed", absent(three.name))
	queried.store.thaw()
}
