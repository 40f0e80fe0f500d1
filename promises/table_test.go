package promises

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

func of(f wheelgauge.Fingerprint) func() wheelgauge.Fingerprint {
	return func() wheelgauge.Fingerprint { return f }
}

// A caller is recognised within the window around its moment only, and once.
func TestTake(t *testing.T) {
	tests := []struct {
		name             string
		after            time.Duration
		bodyBytes        int
		request          wheelgauge.Fingerprint
		returning, early bool
	}{
		{"at its moment", 2 * time.Second, 70, "f", true, false},
		{"at once", 0, 70, "f", false, true},
		{"too early", 2*time.Second - earlyTolerance - time.Millisecond, 70, "f", false, true},
		{"first moment", 2*time.Second - earlyTolerance, 70, "f", true, false},
		{"last moment", 2*time.Second + lateTolerance, 70, "f", true, false},
		{"too late", 2*time.Second + lateTolerance + time.Millisecond, 70, "f", false, false},
		{"another request", 2 * time.Second, 70, "g", false, false},
		{"another size", 2 * time.Second, 71, "f", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := manualclock.New()
			table := New(clock.Now)
			table.Add("f", 70, clock.Now().Add(2*time.Second))
			clock.Advance(tt.after)
			returning, early := table.Take(tt.bodyBytes, of(tt.request))
			if returning != tt.returning || early != tt.early {
				t.Errorf("got returning %v early %v, want %v %v", returning, early, tt.returning, tt.early)
			}
			if again, _ := table.Take(tt.bodyBytes, of(tt.request)); again {
				t.Error("the promise was used twice")
			}
		})
	}
}

// Without promises, or with none for a body of that size, no fingerprint is computed: it takes
// longer than the rest of the decision.
func TestFingerprintIsSpared(t *testing.T) {
	clock := manualclock.New()
	table := New(clock.Now)
	none := func() wheelgauge.Fingerprint { t.Error("fingerprint was computed"); return "" }
	table.Take(70, none)
	table.Add("f", 71, clock.Now().Add(time.Second))
	table.Take(70, none)
	clock.Advance(time.Minute)
	table.Prune()
	table.Take(71, none)
}

// Promises travel as ages: a host whose clock shows another time recognises the caller, and its
// own promises are not sent back as new ones.
func TestClocksDiffer(t *testing.T) {
	here, there := manualclock.New(), manualclock.New()
	there.Advance(9 * time.Hour)
	a, b := New(here.Now), New(there.Now)
	a.Add("f", 70, here.Now().Add(time.Second))
	list, change := a.LocalSince(0)
	b.Merge(list)
	there.Advance(time.Second)
	if returning, _ := b.Take(70, of("f")); !returning {
		t.Error("the caller is not recognised at the other host")
	}
	if more, _ := b.LocalSince(0); len(more) != 0 {
		t.Errorf("promises of others are reported as own: %v", more)
	}
	if more, _ := a.LocalSince(change); len(more) != 0 {
		t.Errorf("an acknowledged promise is sent again: %v", more)
	}
}

// A clock that jumps, in either direction, leaves no promise valid for ever and none for callers
// that come at any time.
func TestClockJumps(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		clock := manualclock.New()
		table := New(clock.Now)
		table.Add("f", 70, clock.Now().Add(time.Second))
		clock.Advance(jump)
		if returning, early := table.Take(70, of("f")); returning || early {
			t.Errorf("jump by %v: returning %v early %v, want a new caller", jump, returning, early)
		}
		table.Prune()
		if n := table.outstanding.Load(); n != 0 {
			t.Errorf("jump by %v: %d promises left", jump, n)
		}
		if !table.Add("g", 70, clock.Now().Add(time.Second)) {
			t.Errorf("jump by %v: no promise can be made any more", jump)
		}
	}
}

// A promise that arrives twice is valid once, also if it was used between.
func TestDuplicates(t *testing.T) {
	clock := manualclock.New()
	table := New(clock.Now)
	list := wheelgauge.ReturnPromises{{Hash: wheelgauge.HashOf("f"), BodySize: 70, In: 100 * time.Millisecond}}
	table.Merge(list)
	table.Merge(list)
	if returning, _ := table.Take(70, of("f")); !returning {
		t.Fatal("the caller is not recognised")
	}
	clock.Advance(lateTolerance)
	table.Merge(list)
	if returning, _ := table.Take(70, of("f")); returning {
		t.Error("a promise that was used is valid again")
	}
}

// What others send is bounded in number and in time, and messages are bounded too.
func TestBounds(t *testing.T) {
	clock := manualclock.New()
	table := New(clock.Now)
	table.Merge(wheelgauge.ReturnPromises{{Hash: 1, In: time.Minute}, {Hash: 2, In: -time.Minute}})
	if n := table.outstanding.Load(); n != 0 {
		t.Errorf("%d promises kept that are out of time, want 0", n)
	}
	for i := range maxEntries + 10 {
		table.Add(wheelgauge.Fingerprint(fmt.Sprint(i)), i, clock.Now().Add(time.Second))
	}
	if n := table.outstanding.Load(); n != maxEntries {
		t.Errorf("%d promises kept, want %d", n, maxEntries)
	}
	if list, _ := table.LocalSince(0); len(list) != maxReported {
		t.Errorf("%d promises in a message, want %d", len(list), maxReported)
	}
	if table.Add("one more", 1, clock.Now().Add(time.Second)) {
		t.Error("a promise was made that the table does not hold")
	}
	clock.Advance(time.Minute)
	if !table.Add("one more", 1, clock.Now().Add(time.Second)) || table.outstanding.Load() != 1 {
		t.Error("promises whose time is over still take room")
	}
}

// All of a host's promises are sent, each once, over several messages.
func TestLocalSince(t *testing.T) {
	clock := manualclock.New()
	table := New(clock.Now)
	const promised = 3*maxReported - 5
	for i := range promised {
		table.Add(wheelgauge.Fingerprint(fmt.Sprint(i)), i, clock.Now().Add(time.Second))
	}
	seen := map[wheelgauge.RequestHash]int{}
	var change uint64
	for range 4 {
		var list wheelgauge.ReturnPromises
		list, change = table.LocalSince(change)
		for _, p := range list {
			seen[p.Hash]++
		}
	}
	if len(seen) != promised {
		t.Errorf("%d promises sent, want %d", len(seen), promised)
	}
	for hash, n := range seen {
		if n != 1 {
			t.Errorf("promise %d was sent %d times, want once", hash, n)
		}
	}
}

// A request that is promised a moment again and again leaves one promise to report, however long
// that goes on.
func TestPromisedAgain(t *testing.T) {
	clock := manualclock.New()
	table := New(clock.Now)
	for range 100 {
		table.Add("f", 70, clock.Now().Add(time.Second))
		clock.Advance(time.Second)
		if returning, _ := table.Take(70, of("f")); !returning {
			t.Fatal("the caller is not recognised")
		}
	}
	table.Add("f", 70, clock.Now().Add(time.Second))
	table.Prune()
	if n := len(table.local); n != 1 {
		t.Errorf("%d promises kept to report, want 1", n)
	}
	if list, _ := table.LocalSince(0); len(list) != 1 || list[0].In != time.Second {
		t.Errorf("got %v, want the last promise", list)
	}
}
