package promiserelay

import (
	"encoding/json"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

func promise(hash int, in time.Duration) wheelgauge.ReturnPromises {
	return wheelgauge.ReturnPromises{{Hash: wheelgauge.RequestHash(hash), BodySize: 7, In: in}}
}

// Promises go to the region's other hosts, each once, with the time that is left then.
func TestRelay(t *testing.T) {
	clock := manualclock.New()
	r := New(clock.Now)
	r.Add("north", "a", promise(1, time.Second))
	r.Add("north", "a", promise(1, time.Second)) // the answer was lost
	clock.Advance(300 * time.Millisecond)
	got, version := r.Since("north", "b", 0)
	if len(got) != 1 || got[0].Hash != 1 || got[0].In != 700*time.Millisecond {
		t.Errorf("host b gets %v, want promise 1 in 700 ms", got)
	}
	if again, _ := r.Since("north", "b", version); len(again) != 0 {
		t.Errorf("host b gets %v again", again)
	}
	if own, _ := r.Since("north", "a", 0); len(own) != 0 {
		t.Errorf("host a gets its own promise back: %v", own)
	}
	if other, _ := r.Since("south", "b", 0); len(other) != 0 {
		t.Errorf("a host of another region gets %v", other)
	}
	clock.Advance(time.Minute)
	if old, _ := r.Since("north", "c", 0); len(old) != 0 {
		t.Errorf("promises whose time is over are sent: %v", old)
	}
}

// Updates of another store are lost or come twice: the next one brings the promises, and its hosts
// get each once. They do not go back to the store that sent them.
func TestStores(t *testing.T) {
	clock := manualclock.New()
	here, there := New(clock.Now), New(clock.Now)
	here.Add("north", "a", promise(1, time.Second))
	here.OfHosts("north") // lost
	clock.Advance(200 * time.Millisecond)
	for range 2 {
		there.Add("north", "", here.OfHosts("north"))
	}
	if got, _ := there.Since("north", "b", 0); len(got) != 1 || got[0].In != 800*time.Millisecond {
		t.Errorf("host b at the other store gets %v, want one promise in 800 ms", got)
	}
	if back := there.OfHosts("north"); len(back) != 0 {
		t.Errorf("the promises go back: %v", back)
	}
	clock.Advance(storeOverlap)
	if old := here.OfHosts("north"); len(old) != 0 {
		t.Errorf("still sent after the overlap: %v", old)
	}
}

// What is held and what is sent is bounded; of too many the newest are sent, and no backlog
// delays those that come next.
func TestBounds(t *testing.T) {
	clock := manualclock.New()
	r := New(clock.Now)
	for i := range maxPerRegion + 100 {
		r.Add("north", "a", promise(i, time.Second))
	}
	got, version := r.Since("north", "b", 0)
	if len(got) != maxSent || got[0].Hash != maxPerRegion-1 || version != maxPerRegion+1 {
		t.Errorf("%d promises sent from %d on, version %d, want the newest %d of the %d held", len(got), got[0].Hash, version, maxSent, maxPerRegion)
	}
	if more, _ := r.Since("north", "b", version); len(more) != 0 {
		t.Errorf("%d promises of the backlog come later", len(more))
	}
	if got := r.OfHosts("north"); len(got) != maxStoreSent {
		t.Errorf("%d promises for another store, want %d", len(got), maxStoreSent)
	}
}

// A promise takes 11 bytes of a message and arrives as it was; without any the message has none.
func TestPacking(t *testing.T) {
	sent := wheelgauge.FleetHeartbeat{}
	empty, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		sent.Promises = append(sent.Promises, wheelgauge.ReturnPromise{Hash: wheelgauge.RequestHash(1<<32 - 1 - i), BodySize: uint16(i), In: time.Duration(i-5) * 100 * time.Millisecond})
	}
	full, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	if size := len(full) - len(empty); size > 30*11+len(`"promises":"",`) {
		t.Errorf("30 promises take %d bytes", size)
	}
	var got wheelgauge.FleetHeartbeat
	if err := json.Unmarshal(full, &got); err != nil {
		t.Fatal(err)
	}
	for i, p := range got.Promises {
		if p != sent.Promises[i] {
			t.Errorf("promise %d arrives as %+v, want %+v", i, p, sent.Promises[i])
		}
	}
	if len(got.Promises) != 30 {
		t.Errorf("%d promises arrive, want 30", len(got.Promises))
	}
	if err := json.Unmarshal([]byte(`{"promises":"!"}`), &got); err == nil {
		t.Error("a malformed list is accepted")
	}
}
