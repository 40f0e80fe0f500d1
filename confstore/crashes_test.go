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
	three := []wheelgauge.Crash{{Fingerprint: "p", Server: "a"}, {Fingerprint: "p", Server: "b"}, {Fingerprint: "p", Server: "c"}}
	n := &Node{o: Options{Clock: wheelgauge.MonotonicClock{}}, boot: 7, crashes: quarantine.New(time.Now)}
	respond := func(hb wheelgauge.FleetHeartbeat, connected bool) wheelgauge.FleetHeartbeatResponse {
		a := wheelgauge.FleetHeartbeatResponse{Connected: connected}
		n.addCrashes(&a, hb)
		return a
	}
	n.crashes.Merge(three[:2])
	if a := respond(wheelgauge.FleetHeartbeat{}, true); len(a.Crashes) > 0 {
		t.Errorf("got crashes %v for a request that crashed two servers, want none", a.Crashes)
	}
	n.crashes.Merge(three)
	partial := respond(wheelgauge.FleetHeartbeat{}, false)
	complete := respond(wheelgauge.FleetHeartbeat{StoreBoot: 7, CrashesVersion: partial.CrashesVersion}, true)
	unchanged := respond(wheelgauge.FleetHeartbeat{StoreBoot: 7, CrashesVersion: complete.CrashesVersion}, true)
	otherStore := respond(wheelgauge.FleetHeartbeat{StoreBoot: 8, CrashesVersion: complete.CrashesVersion}, true)
	for _, a := range []wheelgauge.FleetHeartbeatResponse{partial, complete, otherStore} {
		if !slices.Equal(a.Crashes, three) {
			t.Errorf("got crashes %v, want %v", a.Crashes, three)
		}
	}
	if unchanged.CrashesVersion != complete.CrashesVersion || unchanged.Crashes != nil {
		t.Errorf("unchanged crashes are sent again: %v", unchanged)
	}
}

func TestQuarantineExpires(t *testing.T) {
	n := &Node{o: Options{Clock: wheelgauge.MonotonicClock{}}}
	persisted := []wheelgauge.Crash{{Fingerprint: "p", Server: "a"}, {Fingerprint: "p", Server: "b"}, {Fingerprint: "q", Server: "a"}}
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
