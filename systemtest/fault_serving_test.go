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

// TestFaultRegionCut: a region that is cut off goes on serving its own callers,
// also when its gateway and its store restart inside the cut.
func TestFaultRegionCut(t *testing.T) {
	d := launch(t, smallShape())
	karachi := d.node("karachi-1")
	client := standby("karachi")
	serves := func(prompt string) func() error {
		return func() error { return whole(d.do(karachi, chat(client, prompt, 4)), prompt, 4) }
	}
	d.cutRegion("karachi")
	for i := range 20 {
		if err := serves(fmt.Sprint("inside the cut ", i))(); err != nil {
			t.Fatal(err)
		}
	}
	if r := d.do(karachi, book(client, "tanker-cut", newKey())); r.status != http.StatusOK {
		t.Errorf("booking inside the cut: %s", r)
	}
	karachi.gateway.kill()
	d.startGateway(karachi)
	eventually(t, 20*time.Second, "a gateway restarted inside the cut serves", serves("after the gateway"))
	karachi.store.kill()
	if err := serves("without a store")(); err != nil {
		t.Error(err)
	}
	d.startStore(karachi)
	karachi.gateway.kill()
	d.startGateway(karachi)
	eventually(t, 20*time.Second, "after both restarted inside the cut", serves("after both"))
	eventually(t, 20*time.Second, "and books", func() error {
		if r := d.do(karachi, book(client, "tanker-cut-2", newKey())); r.status != http.StatusOK {
			return fmt.Errorf("got %s", r)
		}
		return nil
	})
	d.net.heal()
	d.awaitVoters(3)
}

// TestFaultWholeAnswers: every caller gets the whole of its own answer while
// engines are killed and frozen under many streams.
func TestFaultWholeAnswers(t *testing.T) {
	s := smallShape()
	s.engines = []int{3, 1, 1}
	d := launch(t, s)
	karachi := d.node("karachi-1")
	var group sync.WaitGroup
	errs := make(chan error, 64)
	for i := range 12 {
		group.Go(func() {
			prompt := fmt.Sprintf("question %d of many, asked at length", i)
			errs <- whole(d.do(karachi, chat(load.ClientName("karachi", i%3), prompt, 150)), prompt, 150)
		})
	}
	eventually(t, 10*time.Second, "streams run", func() error {
		if n := d.started("karachi"); n < 12 {
			return fmt.Errorf("%d of 12", n)
		}
		return nil
	})
	d.server("engine-karachi-0").run.kill()
	d.server("engine-karachi-1").run.freeze()
	time.Sleep(1500 * time.Millisecond)
	d.server("engine-karachi-1").run.thaw() // late answers come now
	group.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			t.Error(err)
		}
	}
	if d.counter(karachi, "streams.resumed") == 0 {
		t.Error("no stream was resumed: the kill came too late to prove anything")
	}
}

// TestFaultLeavingServer: a backend server that is leaving, by the operator's
// word or its own, gets no new work after two heartbeats and an exchange of
// configuration; its streams finish.
func TestFaultLeavingServer(t *testing.T) {
	tests := []struct {
		name  string
		leave func(d *deployment, s *server)
	}{
		{"by the operator", func(d *deployment, s *server) { d.ctl("drain", "server", s.name) }},
		{"by its own report", func(d *deployment, s *server) {
			resp, err := callers.Post("http://"+s.addr+"/v1/leave", "", nil)
			if err != nil {
				d.t.Fatal(err)
			}
			_ = resp.Body.Close()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallShape()
			s.engines = []int{2, 1, 1}
			d := launch(t, s)
			karachi, engine := d.node("karachi-1"), d.server("engine-karachi-0")
			running := startOn(t, d, karachi, engine)
			tt.leave(d, engine)
			time.Sleep(3 * time.Second) // the few seconds that are stated
			before := startedBy(t, engine)
			for i := range 30 {
				prompt := fmt.Sprint("after the leave ", i)
				if err := whole(d.do(karachi, chat(standby("karachi"), prompt, 2)), prompt, 2); err != nil {
					t.Fatal(err)
				}
			}
			if after := startedBy(t, engine); after != before {
				t.Errorf("a leaving server got %d new requests", after-before)
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

// startOn starts a long stream that a certain engine answers.
func startOn(t testing.TB, d *deployment, n *node, s *server) func() error {
	t.Helper()
	for i := range 40 {
		prompt := fmt.Sprint("a long stream ", i)
		before := startedBy(t, s)
		wait := d.stream(t, n, chat(standby(n.region), prompt, 500))
		if startedBy(t, s) > before {
			return func() error { return whole(wait(), prompt, 500) }
		}
	}
	t.Fatalf("no stream went to %s", s.name)
	return nil
}

// TestFaultPlannedStop stops a gateway, a store and another gateway with
// streams open through each: none is cut, and callers who follow the entry list
// are never refused for good.
func TestFaultPlannedStop(t *testing.T) {
	s := smallShape()
	s.hosts = []int{3, 1, 1}
	d := launch(t, s)
	first, second := d.node("karachi-1"), d.node("karachi-2")
	var waits []func() error
	for _, n := range []*node{first, second} {
		for i := range 5 {
			prompt := fmt.Sprintf("open through %s %d", n.name, i)
			wait := d.stream(t, n, chat(standby("karachi"), prompt, 250))
			waits = append(waits, func() error { return whole(wait(), prompt, 250) })
		}
	}
	ended := make(chan error, 2)
	go func() { ended <- second.gateway.terminate(30 * time.Second) }()
	go func() { ended <- first.store.terminate(30 * time.Second) }()
	eventually(t, 10*time.Second, "the leaving host is off the list", func() error {
		list, err := d.entries(first, standby("karachi"))
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
	// The others go on: changes are accepted with two stores of three.
	d.apply([]wheelgauge.Resource{{Kind: wheelgauge.KindClientClass, Name: "later", Spec: spec(wheelgauge.ClientClassSpec{Priority: 1})}})
	if err := whole(d.do(d.node("karachi-3"), chat(standby("karachi"), "after the stop", 4)), "after the stop", 4); err != nil {
		t.Error(err)
	}
}

// TestFaultEntryList: killed, frozen and leaving hosts go off the list, though
// the platform's list lags; hosts that come back return.
func TestFaultEntryList(t *testing.T) {
	s := smallShape()
	s.hosts = []int{3, 1, 1}
	d := launch(t, s)
	asked, client := d.node("karachi-1"), standby("karachi")
	away := func(name string) func() error {
		return func() error {
			list, err := d.entries(asked, client)
			if err != nil || listed(list, name) {
				return fmt.Errorf("%v, %v", list, err)
			}
			return nil
		}
	}
	back := func(name string) func() error {
		return func() error {
			list, err := d.entries(asked, client)
			if err != nil || !listed(list, name) {
				return fmt.Errorf("%v, %v", list, err)
			}
			return nil
		}
	}
	two, three := d.node("karachi-2"), d.node("karachi-3")
	eventually(t, 10*time.Second, "all are listed", back(two.name))
	two.gateway.kill()
	eventually(t, 5*time.Second, "a killed host is off", away(two.name))
	d.startGateway(two)
	eventually(t, 10*time.Second, "a restarted host is back", back(two.name))
	three.gateway.freeze()
	eventually(t, 5*time.Second, "a frozen host is off", away(three.name))
	three.gateway.thaw()
	eventually(t, 10*time.Second, "a thawed host is back", back(three.name))
	d.ctl("drain", "host", two.name)
	eventually(t, 5*time.Second, "a drained host is off", away(two.name))
	d.ctl("drain", "host", two.name, "--back")
	eventually(t, 5*time.Second, "it is back", back(two.name))
	// The hub itself falls silent: a gateway stands in.
	asked.store.freeze()
	three.gateway.kill()
	eventually(t, 10*time.Second, "a host killed while the hub is silent is off", away(three.name))
	asked.store.thaw()
}
