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

// Operators order, look at and take back rollouts through the product's own API.
func TestRolloutByOperator(t *testing.T) {
	f := openFleet(t)
	const address = "127.0.84.9:7804"
	serve(t, f.stores[0], address)
	c := opsclient.New([]string{address}, "", nil)
	ctx := context.Background()
	if _, err := c.Rollout(ctx, "s"); wheelgauge.AsError(err).Status() != http.StatusNotFound {
		t.Errorf("without a rollout: %v", err)
	}
	order := wheelgauge.RolloutOrder{Service: "s", Version: "v2", DurationMS: time.Minute.Milliseconds()}
	for range 2 {
		if err := c.StartRollout(ctx, order); err != nil {
			t.Fatal(err)
		}
	}
	other := order
	other.Version = "v3"
	if err := c.StartRollout(ctx, other); wheelgauge.AsError(err).Status() != http.StatusUnprocessableEntity {
		t.Errorf("another order meanwhile: %v", err)
	}
	if r, err := c.Rollout(ctx, "s"); err != nil || r.RolloutOrder != order || !r.Running() || r.Left() > time.Minute {
		t.Errorf("%+v, %v", r, err)
	}
	if err := c.AbortRollout(ctx, "s"); err != nil {
		t.Fatal(err)
	}
	if r, err := c.Rollout(ctx, "s"); err != nil || r.State != wheelgauge.RolloutRolledBack || r.Cause == "" {
		t.Errorf("%+v, %v", r, err)
	}
}

// serve offers the product's own API for operators at an address.
func serve(t *testing.T, s *confstore.Node, address string) {
	t.Helper()
	l, err := httpserve.Listen(address, native.Control(s), httpserve.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		_, _ = httpserve.CloseAll(ctx, []*httpserve.Server{l})
	})
}
