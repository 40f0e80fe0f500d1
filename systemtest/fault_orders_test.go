package systemtest

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

// receivedOrder is an order that a fake engine accepted, with the time.
type receivedOrder struct {
	wheelgauge.Order
	AtMS int64 `json:"at_ms"`
}

func ordersOf(t testing.TB, s *server) []receivedOrder {
	t.Helper()
	var out []receivedOrder
	if err := getJSON("http://"+s.addr+"/v1/orders", &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func placement(servers ...string) wheelgauge.Resource {
	return wheelgauge.Resource{Kind: wheelgauge.KindPlacement, Name: "small", Spec: spec(wheelgauge.PlacementSpec{Model: "small", Version: "1", Servers: servers})}
}

// TestFaultOrders moves a model between engines while leaders are killed and frozen.
// The model is served all the time, and no engine accepts an order from an earlier
// leader after one from a later leader, whether or not it checks fences.
func TestFaultOrders(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences checked %t", fences), func(t *testing.T) {
			s := smallTopology()
			s.engines, s.checksFences = []int{2, 0, 0}, fences
			s.engineArgs = []string{"--load-time", "1s", fmt.Sprintf("--checks-fences=%t", fences)}
			moveModelUnderFaults(t, launch(t, s))
		})
	}
}

func moveModelUnderFaults(t *testing.T, d *deployment) {
	karachi := d.node("karachi-1")
	engineA, engineB := d.server("engine-karachi-0"), d.server("engine-karachi-1")
	d.apply([]wheelgauge.Resource{placement(engineA.name)})
	eventually(t, 30*time.Second, "the model is served where it is placed", func() error {
		// Without a Placement each engine serves the model: a gateway that has not received
		// this one yet answers before any engine has loaded the model, and there is nothing
		// to move.
		if len(ordersOf(t, engineA)) == 0 {
			return errors.New("no order yet")
		}
		return checkComplete(d.send(karachi, chat(testClient("karachi"), "first", 2)), "first", 2)
	})
	for round, to := range []*server{engineB, engineA, engineB} {
		leader := d.leader()
		if round%2 == 0 {
			leader.store.kill()
		} else {
			leader.store.freeze()
		}
		d.apply([]wheelgauge.Resource{placement(to.name)})
		eventually(t, 30*time.Second, "the model has moved", func() error {
			prompt := fmt.Sprint("round ", round)
			if err := checkComplete(d.send(karachi, chat(testClient("karachi"), prompt, 2)), prompt, 2); err != nil {
				t.Fatalf("model not served while it moves: %v", err)
			}
			last := ordersOf(t, to)
			if len(last) == 0 || last[len(last)-1].Action != wheelgauge.ActionLoad {
				return fmt.Errorf("the last order is no load: %v", last)
			}
			return nil
		})
		if round%2 == 0 {
			d.startStore(leader)
		} else {
			leader.store.thaw()
		}
		d.awaitStore(leader, 1)
	}
	// A restarted engine has lost its loaded model and must be told to load it again.
	engineB.process.kill()
	d.startServer(engineB)
	eventually(t, 30*time.Second, "the model is served after a restart of its engine", func() error {
		var received []receivedOrder
		if err := getJSON("http://"+engineB.addr+"/v1/orders", &received); err != nil || len(received) == 0 {
			return fmt.Errorf("no order yet, %v", err)
		}
		return checkComplete(d.send(karachi, chat(testClient("karachi"), "restarted", 2)), "restarted", 2)
	})
	for _, s := range []*server{engineA, engineB} {
		var stats struct {
			Unready int `json:"unready"`
		}
		if err := getJSON("http://"+s.addr+"/v1/stats", &stats); err != nil || stats.Unready > 0 {
			t.Errorf("%s got %d requests for a model that it had not loaded, want none; %v", s.name, stats.Unready, err)
		}
		var highest uint64
		for _, o := range ordersOf(t, s) {
			if o.Fence < highest {
				t.Errorf("%s accepted an order with fence %d after one with fence %d", s.name, o.Fence, highest)
			}
			highest = max(highest, o.Fence)
		}
	}
}
