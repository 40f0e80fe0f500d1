package systemtest

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

// TestFaultOverload fills every region: a further request is refused as not run with
// a time to retry, and reaches no engine.
func TestFaultOverload(t *testing.T) {
	s := smallTopology()
	s.slots = 1
	s.gatewaySettings = "[requests]\nlongest_wait = 10ms\n"
	d := launch(t, s)
	var waits []func() reply
	for i, n := range d.nodes {
		for k := range 2 { // one runs, one is queued
			waits = append(waits, d.sendAsync(t, n, chat(testClient(n.region), fmt.Sprint("filler ", i, k), 300)))
		}
	}
	karachi := d.node("karachi-1")
	started := func() int {
		return d.startedInRegion("karachi") + d.startedInRegion("lahore") + d.startedInRegion("peshawar")
	}
	last := 0
	eventually(t, 10*time.Second, "every region is full and no request is in transit", func() error {
		before := last
		last = started()
		time.Sleep(300 * time.Millisecond)
		if last != before || last < len(d.nodes) {
			return fmt.Errorf("%d sequences have started, %d before the pause", last, before)
		}
		return nil
	})
	eventually(t, 10*time.Second, "a further request is refused", func() error {
		before := started()
		began := time.Now()
		r := d.send(karachi, chat(testClient("karachi"), "one too many", 2))
		if r.reason() != wheelgauge.ReasonOverloaded || r.outcome() != wheelgauge.OutcomeNotRun || r.apiErr.RetryAfter() == 0 {
			return fmt.Errorf("after %s got %s", time.Since(began), r)
		}
		if after := started(); after != before {
			t.Fatalf("a refused request was run by an engine")
		}
		return nil
	})
	for _, wait := range waits {
		wait()
	}
}

// sendAsync starts a call and returns a function that waits for its reply.
func (d *deployment) sendAsync(t testing.TB, n *node, c call) func() reply {
	t.Helper()
	done := make(chan reply, 1)
	go func() { done <- d.send(n, c) }()
	return func() reply { return <-done }
}
