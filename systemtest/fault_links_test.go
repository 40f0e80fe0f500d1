package systemtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/load"
)

// TestFaultOneWayHub blocks one direction between a gateway and its hub: the gateway
// keeps serving, and is listed again when the link heals.
func TestFaultOneWayHub(t *testing.T) {
	tests := []struct {
		name string
		cut  func(d *deployment, hub, n *node)
	}{
		{"heartbeats are lost", func(d *deployment, hub, n *node) { d.network.blockOneWay(n.ip, hub.ip) }},
		{"answers are lost", func(d *deployment, hub, n *node) { d.network.blockOneWay(hub.ip, n.ip) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallTopology()
			s.hosts = []int{3, 1, 1}
			d := launch(t, s)
			hub, n, third := d.node("karachi-1"), d.node("karachi-2"), d.node("karachi-3")
			tt.cut(d, hub, n)
			time.Sleep(1500 * time.Millisecond) // longer than three heartbeats
			for i := range 10 {
				for _, through := range []*node{hub, n, third} {
					prompt := fmt.Sprint("one way ", i)
					if err := checkComplete(d.send(through, chat(testClient("karachi"), prompt, 3)), prompt, 3); err != nil {
						t.Fatalf("through %s: %v", through.name, err)
					}
				}
			}
			d.network.heal()
			eventually(t, 10*time.Second, "all are listed again", func() error {
				list, err := d.entries(hub, testClient("karachi"))
				if err != nil || !listed(list, n.name) || !listed(list, third.name) {
					return fmt.Errorf("%v, %v", list, err)
				}
				return nil
			})
		})
	}
}

// TestFaultForwardCut breaks the link of a forwarded stream in both directions or in
// one, or freezes the remote host: the stream is resumed in the third region and
// stays complete.
func TestFaultForwardCut(t *testing.T) {
	tests := []struct {
		name string
		cut  func(d *deployment, from, to *node)
	}{
		{"both ways", func(d *deployment, from, to *node) { d.network.partition([]string{from.ip}, []string{to.ip}) }},
		{"answers only", func(d *deployment, from, to *node) { d.network.blockOneWay(to.ip, from.ip) }},
		{"the host is frozen", func(_ *deployment, _, to *node) { to.gateway.freeze() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallTopology()
			s.engines = []int{0, 1, 1}
			d := launch(t, s)
			karachi := d.node("karachi-1")
			prompt := "sent away and cut on its way"
			wait := d.stream(t, karachi, chat(testClient("karachi"), prompt, 400))
			first := d.node("lahore-1")
			if d.startedInRegion("peshawar") > 0 {
				first = d.node("peshawar-1")
			}
			tt.cut(d, karachi, first)
			if err := checkComplete(wait(), prompt, 400); err != nil {
				t.Error(err)
			}
			if d.counter(karachi, "streams.resumed") == 0 {
				t.Error("the stream was not resumed: the link was cut too late for the test to be valid")
			}
			first.gateway.thaw()
		})
	}
}

// TestFaultForwardFrozenHost: forwarded requests do not hang at a frozen host if its
// region has another.
func TestFaultForwardFrozenHost(t *testing.T) {
	s := smallTopology()
	s.hosts, s.engines = []int{1, 3, 1}, []int{0, 1, 0}
	d := launch(t, s)
	karachi := d.node("karachi-1")
	d.node("lahore-2").gateway.freeze()
	d.node("lahore-3").gateway.freeze()
	for i := range clientsPerRegion {
		prompt := fmt.Sprint("to a region with frozen hosts ", i)
		if err := checkComplete(d.send(karachi, chat(load.ClientName("karachi", i), prompt, 3)), prompt, 3); err != nil {
			t.Error(err)
		}
	}
	d.node("lahore-2").gateway.thaw()
	d.node("lahore-3").gateway.thaw()
}

// TestFaultAtMostOnceFrozenStore freezes the claim store during a booking: the booking
// is refused as not run, and runs once under its key after the store resumes.
func TestFaultAtMostOnceFrozenStore(t *testing.T) {
	d := launch(t, smallTopology())
	karachi, client, key := d.node("karachi-1"), testClient("karachi"), newKey()
	karachi.store.freeze()
	if r := d.send(karachi, book(client, "tanker-f", key)); r.outcome() != wheelgauge.OutcomeNotRun || r.apiErr.RetryAfter() == 0 {
		t.Errorf("with a frozen store: got %s, want not run with a time to retry", r)
	}
	if ran := d.executions()["tanker-f"]; ran != 0 {
		t.Errorf("reported as not run but ran %d times", ran)
	}
	karachi.store.thaw()
	eventually(t, 20*time.Second, "the key runs after the thaw", func() error {
		if r := d.send(karachi, book(client, "tanker-f", key)); r.status != http.StatusOK {
			return fmt.Errorf("got %s", r)
		}
		return nil
	})
	if ran := d.executions()["tanker-f"]; ran != 1 {
		t.Errorf("ran %d times, want once", ran)
	}
}

// TestFaultDirectory stops the client directory: known clients are served, an
// unknown one is refused as not run with a time to retry.
func TestFaultDirectory(t *testing.T) {
	d := launch(t, smallTopology())
	karachi, known := d.node("karachi-1"), testClient("karachi")
	if err := checkComplete(d.send(karachi, chat(known, "known", 2)), "known", 2); err != nil {
		t.Fatal(err)
	}
	d.directory.kill()
	if err := checkComplete(d.send(karachi, chat(known, "still known", 2)), "still known", 2); err != nil {
		t.Error(err)
	}
	r := d.send(karachi, chat(load.ClientName("karachi", 4), "new", 2))
	if r.reason() != wheelgauge.ReasonUnauthorized || r.outcome() != wheelgauge.OutcomeNotRun || r.apiErr.RetryAfter() == 0 {
		t.Errorf("unknown client: got %s, want unauthorized, not run and a time to retry", r)
	}
}
