package entrynode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"wheelgauge"
)

// An acknowledged rollout goes on after all stores ended at once and one lost its disk.
func TestRolloutOutlivesStores(t *testing.T) {
	f := openFleet(t)
	order := wheelgauge.RolloutOrder{Service: "s", Version: "v2", DurationMS: time.Hour.Milliseconds()}
	until(t, "the order is taken", func() bool { return f.stores[0].StartRollout(context.Background(), order) == nil })
	var before wheelgauge.Rollout
	until(t, "it has run for a while", func() bool {
		before = f.rollout(t)
		return before.ElapsedMS > 4000
	})
	for n := range fleetSize {
		f.closeStore(t, n)
	}
	f.dirs[1] = t.TempDir()
	for n := range fleetSize {
		f.openStore(t, n, false)
	}
	var after wheelgauge.Rollout
	until(t, "the rollout is known again", func() bool {
		after = f.rollout(t)
		return after.Number != 0
	})
	if after.Number != before.Number || after.RolloutOrder != order || !after.Running() {
		t.Errorf("before %+v, after %+v", before, after)
	}
	if lost := before.ElapsedMS - after.ElapsedMS; lost > 4000 {
		t.Errorf("%d ms of %d are forgotten", lost, before.ElapsedMS)
	}
}

// A rollout whose service leaves the configuration ends, and may be ordered again.
func TestRolloutOfServiceThatLeaves(t *testing.T) {
	f := openFleet(t)
	order := wheelgauge.RolloutOrder{Service: "s", Version: "v2", DurationMS: 1500}
	until(t, "the order is taken", func() bool { return f.stores[0].StartRollout(context.Background(), order) == nil })
	body, err := json.Marshal(wheelgauge.RouteSet{
		Version: 2, Services: []wheelgauge.Service{{Name: "x", Conns: 100}},
		Routes: []wheelgauge.PathRoute{{
			Name: "b", Host: "h", Prefix: "/b/", Kind: wheelgauge.RouteOnce, Timeout: testLimit, Attempts: 1,
			Shares: []wheelgauge.Share{{Service: "x", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.stores[1].PutRoutes(context.Background(), body); err != nil {
		t.Fatal(err)
	}
	until(t, "the rollout ends", func() bool { r := f.rollout(t); return r.Number != 0 && !r.Running() })
	if err := f.stores[2].StartRollout(context.Background(), order); err == nil {
		t.Error("a rollout of a service that is not there was taken")
	}
}
