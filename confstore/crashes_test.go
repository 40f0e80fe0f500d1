package confstore

import (
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/quarantine"
)

// What a primary heartbeat is told of crashes: all of them when their number changed, and
// once more when the store knows what the group keeps.
func TestCrashesAreTold(t *testing.T) {
	three := []wheelgauge.Crash{{Request: "p", Server: "a"}, {Request: "p", Server: "b"}, {Request: "p", Server: "c"}}
	n := &Node{o: Options{Clock: wheelgauge.SteadyClock{}}, boot: 7, crashes: quarantine.New(time.Now)}
	tell := func(b wheelgauge.Beat, touch bool) wheelgauge.BeatAnswer {
		a := wheelgauge.BeatAnswer{InTouch: touch}
		n.addCrashes(&a, b)
		return a
	}
	n.crashes.Merge(three[:2])
	if a := tell(wheelgauge.Beat{}, true); len(a.Crashes) > 0 {
		t.Errorf("two ends are told: %v", a.Crashes)
	}
	n.crashes.Merge(three)
	early := tell(wheelgauge.Beat{}, false)
	whole := tell(wheelgauge.Beat{Store: 7, CrashesAt: early.CrashesAt}, true)
	same := tell(wheelgauge.Beat{Store: 7, CrashesAt: whole.CrashesAt}, true)
	other := tell(wheelgauge.Beat{Store: 8, CrashesAt: whole.CrashesAt}, true)
	for _, a := range []wheelgauge.BeatAnswer{early, whole, other} {
		if !slices.Equal(a.Crashes, three) {
			t.Errorf("told %v, want %v", a.Crashes, three)
		}
	}
	if same.CrashesAt != whole.CrashesAt || same.Crashes != nil {
		t.Errorf("the same is told again: %v", same)
	}
}

func TestHeldRequestsAreLetGoInTime(t *testing.T) {
	n := &Node{o: Options{Clock: wheelgauge.SteadyClock{}}}
	kept := []wheelgauge.Crash{{Request: "p", Server: "a"}, {Request: "p", Server: "b"}, {Request: "q", Server: "a"}}
	if old := n.heldLong(kept); len(old) > 0 {
		t.Errorf("let go at once: %v", old)
	}
	n.heldSince["p"] = time.Now().Add(-heldFor - time.Second)
	if old := n.heldLong(kept); !slices.Equal(old, []wheelgauge.Fingerprint{"p"}) {
		t.Errorf("let go %v, want p", old)
	}
	n.heldLong(nil)
	if len(n.heldSince) > 0 {
		t.Error("what is kept no more is still counted")
	}
}
