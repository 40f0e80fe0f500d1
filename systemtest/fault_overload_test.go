package systemtest

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

// TestFaultOverload fills every region: a further request is refused at once as
// not run, with when to come back, and waits at no engine.
func TestFaultOverload(t *testing.T) {
	s := smallShape()
	s.slots = 1
	s.gateway = "[requests]\nlongest_wait = 10ms\n"
	d := launch(t, s)
	var waits []func() reply
	for i, n := range d.nodes {
		for k := range 2 { // one runs, one waits
			waits = append(waits, d.sendLater(t, n, chat(standby(n.region), fmt.Sprint("filler ", i, k), 300)))
		}
	}
	karachi := d.node("karachi-1")
	begun := func() int { return d.started("karachi") + d.started("lahore") + d.started("peshawar") }
	last := 0
	eventually(t, 10*time.Second, "every region is full and nothing is on its way", func() error {
		was := last
		last = begun()
		time.Sleep(300 * time.Millisecond)
		if last != was || last < len(d.nodes) {
			return fmt.Errorf("%d have begun, %d before", last, was)
		}
		return nil
	})
	eventually(t, 10*time.Second, "everybody is refused", func() error {
		before := begun()
		began := time.Now()
		r := d.do(karachi, chat(standby("karachi"), "one too many", 2))
		if r.reason() != wheelgauge.ReasonOverloaded || r.outcome() != wheelgauge.OutcomeNotRun || r.fault.RetryAfter() == 0 {
			return fmt.Errorf("after %s got %s", time.Since(began), r)
		}
		if after := begun(); after != before {
			t.Fatalf("a refused request was run")
		}
		return nil
	})
	for _, wait := range waits {
		wait()
	}
}

// sendLater sends a call and returns what waits for its answer.
func (d *deployment) sendLater(t testing.TB, n *node, c call) func() reply {
	t.Helper()
	done := make(chan reply, 1)
	go func() { done <- d.do(n, c) }()
	return func() reply { return <-done }
}
