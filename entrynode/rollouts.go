package entrynode

import (
	"wheelgauge"
	"wheelgauge/rollout/ledger"
	"wheelgauge/rollout/tally"
)

// rolloutReports implements beat.RolloutLog.
type rolloutReports struct {
	versions *ledger.Ledger
	tally    *tally.Tally
}

// Reports implements beat.RolloutLog.
func (r rolloutReports) Reports() []wheelgauge.RolloutReport {
	out := r.versions.Reports()
	for i := range out {
		out[i].Counts = r.tally.Counts(out[i].Service, out[i].Number)
	}
	return out
}

// Changes implements beat.RolloutLog.
func (r rolloutReports) Changes() uint64 { return r.versions.Changes() }
