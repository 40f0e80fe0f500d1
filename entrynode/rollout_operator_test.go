package entrynode

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/confstore"
	"wheelgauge/httpserve"
	"wheelgauge/native"
	"wheelgauge/opsclient"
)

// Operators start, inspect and roll back rollouts through the native API.
func TestRolloutByOperator(t *testing.T) {
	f := openFleet(t)
	const address = "127.0.84.9:7804"
	serveOperatorAPI(t, f.stores[0], address)
	c := opsclient.New([]string{address}, "", nil)
	ctx := context.Background()
	if _, err := c.Rollout(ctx, "s"); wheelgauge.AsError(err).Status() != http.StatusNotFound {
		t.Errorf("without a rollout: got error %v, want status 404", err)
	}
	req := wheelgauge.RolloutOrder{Service: "s", Version: "v2", DurationMS: time.Minute.Milliseconds()}
	for range 2 {
		if err := c.StartRollout(ctx, req); err != nil {
			t.Fatal(err)
		}
	}
	other := req
	other.Version = "v3"
	if err := c.StartRollout(ctx, other); wheelgauge.AsError(err).Status() != http.StatusUnprocessableEntity {
		t.Errorf("another version during the rollout: got error %v, want status 422", err)
	}
	if r, err := c.Rollout(ctx, "s"); err != nil || r.RolloutOrder != req || !r.Running() || r.Left() > time.Minute {
		t.Errorf("got %+v, error %v, want the running rollout", r, err)
	}
	if err := c.AbortRollout(ctx, "s"); err != nil {
		t.Fatal(err)
	}
	if r, err := c.Rollout(ctx, "s"); err != nil || r.State != wheelgauge.RolloutRolledBack || r.Cause == "" {
		t.Errorf("got %+v, error %v, want it rolled back with a cause", r, err)
	}
}

// serveOperatorAPI serves the native operator API at an address.
func serveOperatorAPI(t *testing.T, s *confstore.Node, address string) {
	t.Helper()
	l, err := httpserve.Listen(address, native.Control(s), httpserve.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, _ = httpserve.CloseAll(ctx, []*httpserve.Server{l})
	})
}
