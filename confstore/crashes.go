package confstore

import (
	"context"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
	"wheelgauge/quarantine"
)

const (
	// crashSyncInterval is how often a store checks for crashes to persist. It is shorter than
	// the time in which hosts learn of them.
	crashSyncInterval = 100 * time.Millisecond
	// crashProposeTimeout bounds one attempt to persist them; the next check retries.
	crashProposeTimeout = time.Second
	// quarantineDuration is how long a request that no trial releases stays quarantined after this
	// store first knew of it: a server release that no longer crashes on it is deployed within a day.
	// Afterwards it takes crashes of three more servers to quarantine it again.
	quarantineDuration = 24 * time.Hour
	// partQuarantineDuration is the same for a part of prompts: many requests may hold it, and one
	// that was blamed wrongly while no server answered must not be refused for a day.
	partQuarantineDuration = 15 * time.Minute
)

// syncCrashes commits the crashes reported by hosts to the replicated state, so that the
// quarantine survives a restart of all processes at once.
func (n *Node) syncCrashes(ctx context.Context) {
	index := n.replica.Status().Applied // the state has at least these entries
	persisted := n.machine.State().Crashes
	n.crashes.SetPersisted(persisted)
	n.crashesIndex.Store(index)
	n.crashes.Prune()
	known := n.crashes.CrashesToPersist()
	proposeCtx, cancel := context.WithTimeout(ctx, crashProposeTimeout)
	defer cancel()
	if _, changed := quarantine.MergePersisted(persisted, known); changed {
		n.proposeCrashes(proposeCtx, configstate.Command{Op: configstate.OpCrashes, Crashes: known})
	}
	if expired := n.expiredQuarantines(persisted); len(expired) > 0 && n.replica.IsLeader() {
		n.proposeCrashes(proposeCtx, configstate.Command{Op: configstate.OpForget, Requests: expired})
	}
}

func (n *Node) proposeCrashes(ctx context.Context, c configstate.Command) {
	res, err := n.proposeChange(ctx, c)
	if err != nil {
		n.meter.Count("crashes.failed")
		n.o.Log.Info("Crashes could not be persisted; the next check retries.", "order", c.Op, "crashes", len(c.Crashes), "cause", err.Error())
		return
	}
	n.o.Log.Info("Crashes are kept.", "order", c.Op, "crashes", len(c.Crashes), "requests", c.Requests, "taken", res.Applied, "held", n.crashes.Quarantined())
}

// expiredQuarantines returns the requests and parts whose crashes have been persisted for longer
// than quarantineDuration or partQuarantineDuration. Only syncCrashes uses it.
func (n *Node) expiredQuarantines(persisted []wheelgauge.Crash) []wheelgauge.Fingerprint {
	now := n.now()
	since := map[wheelgauge.Fingerprint]time.Time{}
	var expired []wheelgauge.Fingerprint
	for _, c := range persisted {
		first, known := n.quarantinedSince[c.Fingerprint]
		if !known {
			first = now
		}
		since[c.Fingerprint] = first
		duration := quarantineDuration
		if c.IsPart() {
			duration = partQuarantineDuration
		}
		if now.Sub(first) > duration && !slices.Contains(expired, c.Fingerprint) {
			expired = append(expired, c.Fingerprint)
		}
	}
	n.quarantinedSince = since
	return expired
}

// addCrashes adds the crashes of quarantine candidates if they changed, and again once this
// store knows all that the replica group has persisted. The lowest bit of the version marks
// that it does not know them yet.
func (n *Node) addCrashes(a *wheelgauge.FleetHeartbeatResponse, hb wheelgauge.FleetHeartbeat) {
	a.CrashesIndex = max(1, n.crashesIndex.Load()) // a blank store is behind all others
	candidates, version := n.crashes.Candidates()
	a.CrashesVersion = 2 * version
	if a.Partial || !a.Connected {
		a.CrashesVersion++
	}
	if hb.StoreBoot != n.boot || hb.CrashesVersion != a.CrashesVersion {
		a.Crashes = candidates
	}
}
