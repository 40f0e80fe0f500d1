package confstore

import (
	"context"
	"fmt"
	"net/http"

	"wheelgauge"
	"wheelgauge/configstate"
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
		crashes := n.crashes.Crashes(f)
		if len(crashes) > 0 {
			out = append(out, wheelgauge.Quarantined{Fingerprint: f, Part: crashes[0].IsPart(), Crashes: len(crashes)})
		}
	}
	return out, nil
}

// ReleaseQuarantined implements wheelgauge.Operations. It clears the crashes as a good run does.
func (n *Node) ReleaseQuarantined(ctx context.Context, f wheelgauge.Fingerprint) error {
	list, err := n.Quarantined(ctx)
	if err != nil {
		return err
	}
	crashes := n.crashes.Crashes(f)
	if len(crashes) == 0 {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "not in quarantine: "+string(f))
	}
	for i := range crashes {
		crashes[i].Cleared = true
	}
	if _, err := n.proposeChange(ctx, configstate.Command{Op: configstate.OpCrashes, Crashes: crashes}); err != nil {
		return fmt.Errorf("release %s: %w", f, err)
	}
	n.crashes.SetPersisted(n.machine.State().Crashes)
	n.o.Log.Info("An operator released a request or part from quarantine.", "released", f, "crashes", len(crashes), "held_before", len(list))
	return nil
}
