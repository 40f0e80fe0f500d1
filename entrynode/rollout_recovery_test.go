package entrynode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"wheelgauge"
)

// An acknowledged rollout continues after all stores stop at once and one loses its disk.
func TestRolloutSurvivesStoreRestarts(t *testing.T) {
	f := openFleet(t)
	req := wheelgauge.RolloutRequest{Service: "s", Version: "v2", DurationMS: time.Hour.Milliseconds()}
	waitFor(t, "the rollout is accepted", func() bool { return f.stores[0].StartRollout(context.Background(), waitingSender{}, req) == nil })
	var before wheelgauge.Rollout
	waitFor(t, "the rollout has run for 4 s", func() bool {
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
	waitFor(t, "the stores know the rollout again", func() bool {
		after = f.rollout(t)
		return after.Number != 0
	})
	if after.Number != before.Number || after.RolloutRequest != req || !after.Running() {
		t.Errorf("rollout before the restart %+v, after it %+v, want the same one, running", before, after)
	}
	if lost := before.ElapsedMS - after.ElapsedMS; lost > 4000 {
		t.Errorf("lost %d ms of %d ms elapsed", lost, before.ElapsedMS)
	}
}

// A rollout ends when its service is removed from the configuration, and cannot be started
// again without it.
func TestRolloutOfRemovedService(t *testing.T) {
	f := openFleet(t)
	req := wheelgauge.RolloutRequest{Service: "s", Version: "v2", DurationMS: 1500}
	waitFor(t, "the rollout is accepted", func() bool { return f.stores[0].StartRollout(context.Background(), waitingSender{}, req) == nil })
	body, err := json.Marshal(wheelgauge.RouteSet{
		Version: 2, Services: []wheelgauge.Service{{Name: "x", MaxConns: 100}},
		Routes: []wheelgauge.PathRoute{{
			Name: "b", Host: "h", Prefix: "/b/", Kind: wheelgauge.RouteOnce, Timeout: testTimeout, MaxAttempts: 1,
			Shares: []wheelgauge.TrafficShare{{Service: "x", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.stores[1].PutRoutes(context.Background(), body); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the rollout ends", func() bool { r := f.rollout(t); return r.Number != 0 && !r.Running() })
	if err := f.stores[2].StartRollout(context.Background(), waitingSender{}, req); err == nil {
		t.Error("got no error for a rollout of a removed service")
	}
}
