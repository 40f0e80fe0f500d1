package confstore

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"wheelgauge"
	"wheelgauge/configstate"
	"wheelgauge/ordercheck"
)

// Quarantined implements wheelgauge.Operations.
func (n *Node) Quarantined(ctx context.Context) ([]wheelgauge.Quarantined, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if err := n.replica.ReadBarrier(ctx); err != nil {
		return nil, fmt.Errorf("read quarantine: %w", err)
	}
	n.crashes.SetPersisted(n.machine.State().Crashes)
	out := []wheelgauge.Quarantined{}
	for _, f := range n.crashes.Quarantined() {
		crashes := slices.DeleteFunc(n.crashes.Crashes(f), func(c wheelgauge.Crash) bool { return c.Trial != "" })
		if len(crashes) > 0 {
			out = append(out, wheelgauge.Quarantined{Fingerprint: f, Part: crashes[0].IsPart(), Crashes: len(crashes)})
		}
	}
	return out, nil
}

// ReleaseQuarantined implements wheelgauge.Operations. It clears the crashes as a good run does.
func (n *Node) ReleaseQuarantined(ctx context.Context, sender wheelgauge.Sender, f wheelgauge.Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	var crashes []wheelgauge.Crash
	err := n.orders.Run(ctx, sender, func(ctx context.Context, since uint64) (propose ordercheck.Propose, err error) {
		if crashes, err = n.clearedCrashes(ctx, f, since); err != nil {
			return nil, err
		}
		return n.proposal(configstate.Command{Op: configstate.OpCrashes, Crashes: crashes}, &configstate.Result{}), nil
	})
	if err != nil {
		return fmt.Errorf("release %s: %w", f, err)
	}
	n.crashes.SetPersisted(n.machine.State().Crashes)
	n.o.Log.Info("An operator released a request or part from quarantine.", "released", f, "crashes", len(crashes))
	return nil
}

// clearedCrashes returns the crashes of a request or part that are known now, marked as cleared.
// Later ones count anew.
func (n *Node) clearedCrashes(ctx context.Context, f wheelgauge.Fingerprint, since uint64) ([]wheelgauge.Crash, error) {
	if err := n.replica.AwaitApplied(ctx, since); err != nil {
		return nil, err
	}
	n.crashes.SetPersisted(n.machine.State().Crashes)
	crashes := n.crashes.Crashes(f)
	if len(crashes) == 0 {
		return nil, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "not in quarantine: "+string(f))
	}
	for i := range crashes {
		crashes[i].Cleared = true
	}
	return crashes, nil
}
