package entrynode

import (
	"wheelgauge"
	"wheelgauge/rollout/ledger"
	"wheelgauge/rollout/tally"
)

// rolloutReports is the source of the rollout reports that heartbeats carry.
type rolloutReports struct {
	versions *ledger.Ledger
	tally    *tally.Tally
}

// Reports returns one report for each running rollout, with response counts by version.
func (r rolloutReports) Reports() []wheelgauge.RolloutReport {
	out := r.versions.Reports()
	for i := range out {
		out[i].Counts = r.tally.Counts(out[i].Service, out[i].Number)
	}
	return out
}

// Changes grows with each change that has to reach all stores at once.
func (r rolloutReports) Changes() uint64 { return r.versions.Changes() }
