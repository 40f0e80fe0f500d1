package confstore

import (
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/quarantine"
)

// The response to a primary heartbeat has all crashes if they changed, and again once the
// store knows what the replica group has persisted.
func TestHeartbeatSendsChangedCrashes(t *testing.T) {
	three := []wheelgauge.Crash{{Request: "p", Server: "a"}, {Request: "p", Server: "b"}, {Request: "p", Server: "c"}}
	n := &Node{o: Options{Clock: wheelgauge.SteadyClock{}}, boot: 7, crashes: quarantine.New(time.Now)}
	respond := func(b wheelgauge.Beat, connected bool) wheelgauge.BeatAnswer {
		a := wheelgauge.BeatAnswer{InTouch: connected}
		n.addCrashes(&a, b)
		return a
	}
	n.crashes.Merge(three[:2])
	if a := respond(wheelgauge.Beat{}, true); len(a.Crashes) > 0 {
		t.Errorf("got crashes %v for a request that crashed two servers, want none", a.Crashes)
	}
	n.crashes.Merge(three)
	partial := respond(wheelgauge.Beat{}, false)
	complete := respond(wheelgauge.Beat{Store: 7, CrashesAt: partial.CrashesAt}, true)
	unchanged := respond(wheelgauge.Beat{Store: 7, CrashesAt: complete.CrashesAt}, true)
	otherStore := respond(wheelgauge.Beat{Store: 8, CrashesAt: complete.CrashesAt}, true)
	for _, a := range []wheelgauge.BeatAnswer{partial, complete, otherStore} {
		if !slices.Equal(a.Crashes, three) {
			t.Errorf("got crashes %v, want %v", a.Crashes, three)
		}
	}
	if unchanged.CrashesAt != complete.CrashesAt || unchanged.Crashes != nil {
		t.Errorf("unchanged crashes are sent again: %v", unchanged)
	}
}

func TestQuarantineExpires(t *testing.T) {
	n := &Node{o: Options{Clock: wheelgauge.SteadyClock{}}}
	persisted := []wheelgauge.Crash{{Request: "p", Server: "a"}, {Request: "p", Server: "b"}, {Request: "q", Server: "a"}}
	if expired := n.expiredQuarantines(persisted); len(expired) > 0 {
		t.Errorf("expired at once: %v", expired)
	}
	n.quarantinedSince["p"] = time.Now().Add(-quarantineDuration - time.Second)
	if expired := n.expiredQuarantines(persisted); !slices.Equal(expired, []wheelgauge.Fingerprint{"p"}) {
		t.Errorf("expired %v, want p", expired)
	}
	n.expiredQuarantines(nil)
	if len(n.quarantinedSince) > 0 {
		t.Error("quarantinedSince still has a request that is no longer persisted")
	}
}
