package confstore

import (
	"context"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/configlog"
	"wheelgauge/quarantine"
)

const (
	// crashesEvery is how often a store looks whether there are crashes to keep: it is
	// less than what hosts take to be told of them.
	crashesEvery = 100 * time.Millisecond
	// crashesTimeout bounds one attempt to keep them; the next one follows.
	crashesTimeout = time.Second
	// heldFor is how long a request is held back after this store first knew of it: a
	// server's release that no longer ends by it is out within a day. Then it takes
	// three servers anew to hold it back.
	heldFor = 24 * time.Hour
)

// keepCrashes has the group keep what hosts told of requests that end servers, so that
// it outlasts the end of all processes at once.
func (n *Node) keepCrashes(ctx context.Context) {
	kept := n.machine.State().Crashes
	n.crashes.Keep(kept)
	n.crashes.Prune()
	known := n.crashes.ToKeep()
	limit, cancel := context.WithTimeout(ctx, crashesTimeout)
	defer cancel()
	if _, news := quarantine.Join(kept, known); news {
		n.propose(limit, configlog.Command{Op: configlog.OpCrashes, Crashes: known})
	}
	if old := n.heldLong(kept); len(old) > 0 && n.replica.Leading() {
		n.propose(limit, configlog.Command{Op: configlog.OpForget, Requests: old})
	}
}

func (n *Node) propose(ctx context.Context, c configlog.Command) {
	res, err := n.change(ctx, c)
	if err != nil {
		n.meter.Count("crashes.failed")
		n.o.Log.Info("Crashes are not kept yet.", "order", c.Op, "crashes", len(c.Crashes), "cause", err.Error())
		return
	}
	n.o.Log.Info("Crashes are kept.", "order", c.Op, "crashes", len(c.Crashes), "requests", c.Requests, "taken", res.Taken, "held", n.crashes.Condemned())
}

// heldLong returns the requests whose crashes were kept for long enough. Only keepCrashes
// uses it.
func (n *Node) heldLong(kept []wheelgauge.Crash) []wheelgauge.Fingerprint {
	now := n.now()
	since := map[wheelgauge.Fingerprint]time.Time{}
	var old []wheelgauge.Fingerprint
	for _, c := range kept {
		first, known := n.heldSince[c.Request]
		if !known {
			first = now
		}
		since[c.Request] = first
		if now.Sub(first) > heldFor && !slices.Contains(old, c.Request) {
			old = append(old, c.Request)
		}
	}
	n.heldSince = since
	return old
}

// addCrashes adds the crashes of requests to hold back when they changed, and once more
// when this store knows all that the group keeps.
func (n *Node) addCrashes(a *wheelgauge.BeatAnswer, b wheelgauge.Beat) {
	serious, at := n.crashes.Serious()
	a.CrashesAt = 2 * at
	if a.Partial || !a.InTouch {
		a.CrashesAt++
	}
	if b.Store != n.boot || b.CrashesAt != a.CrashesAt {
		a.Crashes = serious
	}
}
