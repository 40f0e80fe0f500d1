package systemtest

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

// takenOrder is an order as an engine stand-in took it.
type takenOrder struct {
	wheelgauge.Order
	AtMS int64 `json:"at_ms"`
}

func ordersAt(t testing.TB, s *server) []takenOrder {
	t.Helper()
	var out []takenOrder
	if err := getJSON("http://"+s.addr+"/v1/orders", &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func placement(servers ...string) wheelgauge.Resource {
	return wheelgauge.Resource{Kind: wheelgauge.KindPlacement, Name: "small", Spec: spec(wheelgauge.PlacementSpec{Model: "small", Version: "1", Servers: servers})}
}

// TestFaultOrders moves a model while leaders are killed and frozen. It is
// served all the time, and no engine takes an order of an earlier leader after
// one of a later leader, whether it checks fences or not.
func TestFaultOrders(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences checked %t", fences), func(t *testing.T) {
			s := smallShape()
			s.engines, s.fences = []int{2, 0, 0}, fences
			s.engine = []string{"--load-time", "1s", fmt.Sprintf("--checks-fences=%t", fences)}
			moveUnderFaults(t, launch(t, s))
		})
	}
}

func moveUnderFaults(t *testing.T, d *deployment) {
	karachi := d.node("karachi-1")
	one, two := d.server("engine-karachi-0"), d.server("engine-karachi-1")
	d.apply([]wheelgauge.Resource{placement(one.name)})
	eventually(t, 30*time.Second, "the model is served where it is placed", func() error {
		// Without a Placement each engine serves it: a gateway that has not got this one yet
		// answers before any engine has loaded the model, and there is nothing to move.
		if len(ordersAt(t, one)) == 0 {
			return errors.New("no order yet")
		}
		return whole(d.do(karachi, chat(standby("karachi"), "first", 2)), "first", 2)
	})
	for round, to := range []*server{two, one, two} {
		leader := d.leader()
		if round%2 == 0 {
			leader.store.kill()
		} else {
			leader.store.freeze()
		}
		d.apply([]wheelgauge.Resource{placement(to.name)})
		eventually(t, 30*time.Second, "the model has moved", func() error {
			prompt := fmt.Sprint("round ", round)
			if err := whole(d.do(karachi, chat(standby("karachi"), prompt, 2)), prompt, 2); err != nil {
				t.Fatalf("not served while it moves: %v", err)
			}
			last := ordersAt(t, to)
			if len(last) == 0 || last[len(last)-1].Action != wheelgauge.ActionLoad {
				return fmt.Errorf("orders %v", last)
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
	// An engine that restarts has lost what it had loaded: it is loaded again.
	two.run.kill()
	d.startServer(two)
	eventually(t, 30*time.Second, "the model is served after a restart of its engine", func() error {
		var taken []takenOrder
		if err := getJSON("http://"+two.addr+"/v1/orders", &taken); err != nil || len(taken) == 0 {
			return fmt.Errorf("no order yet, %v", err)
		}
		return whole(d.do(karachi, chat(standby("karachi"), "restarted", 2)), "restarted", 2)
	})
	for _, s := range []*server{one, two} {
		var stats struct {
			Unready int `json:"unready"`
		}
		if err := getJSON("http://"+s.addr+"/v1/stats", &stats); err != nil || stats.Unready > 0 {
			t.Errorf("%s got %d requests for a model that it had not loaded, %v", s.name, stats.Unready, err)
		}
		var highest uint64
		for _, o := range ordersAt(t, s) {
			if o.Fence < highest {
				t.Errorf("%s took an order with fence %d after %d", s.name, o.Fence, highest)
			}
			highest = max(highest, o.Fence)
		}
	}
}
