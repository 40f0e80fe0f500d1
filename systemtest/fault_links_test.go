package systemtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/load"
)

// TestFaultOneWayHub cuts a gateway off from its hub in one direction, then in
// the other: it goes on serving, and comes back when the cut heals.
func TestFaultOneWayHub(t *testing.T) {
	tests := []struct {
		name string
		cut  func(d *deployment, hub, n *node)
	}{
		{"heartbeats are lost", func(d *deployment, hub, n *node) { d.net.cutWay(n.ip, hub.ip) }},
		{"answers are lost", func(d *deployment, hub, n *node) { d.net.cutWay(hub.ip, n.ip) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallShape()
			s.hosts = []int{3, 1, 1}
			d := launch(t, s)
			hub, n, third := d.node("karachi-1"), d.node("karachi-2"), d.node("karachi-3")
			tt.cut(d, hub, n)
			time.Sleep(1500 * time.Millisecond) // more than three heartbeats
			for i := range 10 {
				for _, through := range []*node{hub, n, third} {
					prompt := fmt.Sprint("one way ", i)
					if err := whole(d.do(through, chat(standby("karachi"), prompt, 3)), prompt, 3); err != nil {
						t.Fatalf("through %s: %v", through.name, err)
					}
				}
			}
			d.net.heal()
			eventually(t, 10*time.Second, "all are listed again", func() error {
				list, err := d.entries(hub, standby("karachi"))
				if err != nil || !listed(list, n.name) || !listed(list, third.name) {
					return fmt.Errorf("%v, %v", list, err)
				}
				return nil
			})
		})
	}
}

// TestFaultForwardCut cuts the link under a forwarded stream, both ways and one
// way: the stream is resumed in the third region, whole.
func TestFaultForwardCut(t *testing.T) {
	tests := []struct {
		name string
		cut  func(d *deployment, from, to *node)
	}{
		{"both ways", func(d *deployment, from, to *node) { d.net.cutBoth([]string{from.ip}, []string{to.ip}) }},
		{"answers only", func(d *deployment, from, to *node) { d.net.cutWay(to.ip, from.ip) }},
		{"the host is frozen", func(_ *deployment, _, to *node) { to.gateway.freeze() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := smallShape()
			s.engines = []int{0, 1, 1}
			d := launch(t, s)
			karachi := d.node("karachi-1")
			prompt := "sent away and cut on its way"
			wait := d.stream(t, karachi, chat(standby("karachi"), prompt, 400))
			first := d.node("lahore-1")
			if d.started("peshawar") > 0 {
				first = d.node("peshawar-1")
			}
			tt.cut(d, karachi, first)
			if err := whole(wait(), prompt, 400); err != nil {
				t.Error(err)
			}
			if d.counter(karachi, "streams.resumed") == 0 {
				t.Error("it was not resumed: the cut came too late to prove anything")
			}
			first.gateway.thaw()
		})
	}
}

// TestFaultForwardFrozenHost: requests sent away do not stay with a frozen host
// of a region that has another.
func TestFaultForwardFrozenHost(t *testing.T) {
	s := smallShape()
	s.hosts, s.engines = []int{1, 3, 1}, []int{0, 1, 0}
	d := launch(t, s)
	karachi := d.node("karachi-1")
	d.node("lahore-2").gateway.freeze()
	d.node("lahore-3").gateway.freeze()
	for i := range perRegion {
		prompt := fmt.Sprint("to a region with frozen hosts ", i)
		if err := whole(d.do(karachi, chat(load.ClientName("karachi", i), prompt, 3)), prompt, 3); err != nil {
			t.Error(err)
		}
	}
	d.node("lahore-2").gateway.thaw()
	d.node("lahore-3").gateway.thaw()
}

// TestFaultOnceFrozenStore freezes the claim store under a booking: it is refused
// as not run within seconds, and the key runs once after the thaw.
func TestFaultOnceFrozenStore(t *testing.T) {
	d := launch(t, smallShape())
	karachi, client, key := d.node("karachi-1"), standby("karachi"), newKey()
	karachi.store.freeze()
	if r := d.do(karachi, book(client, "tanker-f", key)); r.outcome() != wheelgauge.OutcomeNotRun || r.fault.RetryAfter() == 0 {
		t.Errorf("with a frozen store: %s", r)
	}
	if ran := d.executions()["tanker-f"]; ran != 0 {
		t.Errorf("called not run and ran %d times", ran)
	}
	karachi.store.thaw()
	eventually(t, 20*time.Second, "the key runs after the thaw", func() error {
		if r := d.do(karachi, book(client, "tanker-f", key)); r.status != http.StatusOK {
			return fmt.Errorf("got %s", r)
		}
		return nil
	})
	if ran := d.executions()["tanker-f"]; ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}

// TestFaultDirectory stops the client directory: known clients are served, an
// unknown one is refused as not run with a time to come back.
func TestFaultDirectory(t *testing.T) {
	d := launch(t, smallShape())
	karachi, known := d.node("karachi-1"), standby("karachi")
	if err := whole(d.do(karachi, chat(known, "known", 2)), "known", 2); err != nil {
		t.Fatal(err)
	}
	d.directory.kill()
	if err := whole(d.do(karachi, chat(known, "still known", 2)), "still known", 2); err != nil {
		t.Error(err)
	}
	r := d.do(karachi, chat(load.ClientName("karachi", 4), "new", 2))
	if r.reason() != wheelgauge.ReasonUnauthorized || r.outcome() != wheelgauge.OutcomeNotRun || r.fault.RetryAfter() == 0 {
		t.Errorf("an unknown client: %s", r)
	}
}
