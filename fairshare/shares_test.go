package fairshare

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge/fake/manualclock"
)

func TestMaxMinLevel(t *testing.T) {
	tests := []struct {
		name    string
		demands []demand
		room    float64
		want    float64
	}{
		{"nobody", nil, 10, math.Inf(1)},
		{"all fit", []demand{{1, 3}, {1, 4}}, 10, math.Inf(1)},
		{"one asks for too much", []demand{{1, 20}, {1, 2}, {1, 2}}, 10, 6},
		{"all ask for too much", []demand{{1, 7}, {1, 8}, {1, 9}}, 6, 2},
		{"by weight", []demand{{3, 20}, {1, 20}}, 8, 2},
		{"a heavy one that asks for little", []demand{{10, 2}, {1, 20}}, 8, 6},
		{"no room", []demand{{1, 1}, {1, 2}}, 0, 0},
	}
	for _, tt := range tests {
		if got := maxMinLevel(tt.demands, tt.room); got != tt.want {
			t.Errorf("%s: got %g, want %g", tt.name, got, tt.want)
		}
	}
}

// The level shares out exactly the room, and a higher demand never gets less.
func TestLevelSharesOutTheRoom(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		var demands []demand
		asked := 0.0
		for range 1 + random.IntN(30) {
			d := demand{weight: 0.1 + 5*random.Float64(), asked: 50 * random.Float64()}
			demands = append(demands, d)
			asked += d.asked
		}
		room := asked * (0.05 + 0.9*random.Float64())
		level := maxMinLevel(demands, room)
		got := 0.0
		for _, d := range demands {
			got += min(d.asked, d.weight*level)
		}
		if math.Abs(got-room) > 1e-6*room {
			t.Fatalf("%g is shared out of %g", got, room)
		}
	}
}

// region plays a service that serves room requests a second, first those of workspaces that are
// not above their share.
type region struct {
	clock  *manualclock.Clock
	shares *Shares
	random *rand.Rand
	// due are parts of requests that were not asked yet, left is room that is not used.
	due    map[string]float64
	left   float64
	served map[string]float64
}

func newRegion() *region {
	clock := manualclock.New()
	return &region{clock: clock, shares: New(Options{Now: clock.Now, Log: logr.Discard()}), random: rand.New(rand.NewPCG(1, 2)), due: map[string]float64{}, served: map[string]float64{}}
}

// play lets workspaces ask at their rates for a time, in random order.
func (r *region) play(d time.Duration, room float64, asks, weights map[string]float64) {
	const step = 100 * time.Millisecond
	for range int(d / step) {
		r.clock.Advance(step)
		r.left = min(r.left, 1) + room*step.Seconds()
		var asking, last []string
		for _, name := range slices.Sorted(maps.Keys(asks)) {
			for r.due[name] += asks[name] * step.Seconds(); r.due[name] >= 1; r.due[name]-- {
				asking = append(asking, name)
			}
		}
		r.random.Shuffle(len(asking), func(i, j int) { asking[i], asking[j] = asking[j], asking[i] })
		for _, name := range asking {
			r.shares.Asked("s", 0, name, weights[name], 1)
			if r.shares.Above("s", 0, name) {
				last = append(last, name)
			} else {
				r.serve(name)
			}
		}
		for _, name := range last {
			r.serve(name)
		}
	}
}

// serve serves a request if there is room left.
func (r *region) serve(name string) {
	if r.left < 1 {
		return
	}
	r.left--
	r.served[name]++
	r.shares.Served("s", 0, name, 1)
}

func TestShares(t *testing.T) {
	even := map[string]float64{"a": 10, "b": 10, "c": 10}
	greedy := map[string]float64{"a": 70, "b": 10, "c": 10}
	tests := []struct {
		name    string
		room    float64
		asks    map[string]float64
		weights map[string]float64
		above   map[string]bool
	}{
		{"room for all", 200, greedy, nil, map[string]bool{}},
		{"a little short", 88, greedy, nil, map[string]bool{}},
		{"one asks for most", 45, greedy, nil, map[string]bool{"a": true}},
		{"one asks for most and has the weight", 45, greedy, map[string]float64{"a": 100, "b": 1, "c": 1}, map[string]bool{"b": true, "c": true}},
		{"all ask for the same", 15, even, nil, map[string]bool{}},
	}
	for _, tt := range tests {
		r := newRegion()
		r.play(3*span, tt.room, tt.asks, tt.weights)
		ticks := map[string]int{}
		for range 100 {
			r.play(100*time.Millisecond, tt.room, tt.asks, tt.weights)
			for name := range tt.asks {
				if r.shares.Above("s", 0, name) {
					ticks[name]++
				}
			}
		}
		for name := range tt.asks {
			// By chance, one of some that are alike gets more than the others for a moment.
			if n := ticks[name]; tt.above[name] && n < 50 || !tt.above[name] && n > 15 {
				t.Errorf("%s: %s is above its share in %d of 100 ticks, want most or few: %v", tt.name, name, n, tt.above[name])
			}
		}
	}
}

// While one asks for seven times its usual, the others get nearly all they ask for.
func TestOthersAreServed(t *testing.T) {
	r := newRegion()
	asks := map[string]float64{"greedy": 70, "b": 10, "c": 10, "d": 10}
	r.play(20*time.Second, 60, asks, nil)
	for _, name := range []string{"b", "c", "d"} {
		if got := r.served[name] / (20 * asks[name]); got < 0.9 {
			t.Errorf("%s: %.2f are served, want 0.9", name, got)
		}
	}
	if got := r.served["greedy"] / 20; got < 20 {
		t.Errorf("the greedy one gets %.0f a second, want most of the 30 left", got)
	}
}

// A workspace that was idle earns no credit, and a new one starts at the common level.
func TestNoCreditForIdleness(t *testing.T) {
	r := newRegion()
	r.play(10*time.Second, 20, map[string]float64{"b": 20, "c": 20}, nil)
	r.play(10*time.Second, 20, map[string]float64{"idle": 40, "b": 20, "c": 20}, nil)
	above := false
	for range 20 {
		r.play(100*time.Millisecond, 20, map[string]float64{"idle": 40, "b": 20, "c": 20}, nil)
		above = above || r.shares.Above("s", 0, "idle")
	}
	if share := r.served["idle"] / 200; share > 0.45 {
		t.Errorf("it gets %.2f of the room, want about a third", share)
	}
	if r.shares.Above("s", 0, "new") {
		t.Error("a workspace that has not asked is above its share")
	}
}

// A shortage for less urgent requests does not hold back urgent ones.
func TestShortageIsOfARank(t *testing.T) {
	r := newRegion()
	for range 100 {
		r.clock.Advance(50 * time.Millisecond)
		for _, name := range []string{"a", "a", "a", "b"} {
			r.shares.Asked("s", 0, name, 1, 1)
			r.shares.Served("s", 0, name, 1)
			r.shares.Asked("s", 1, name, 1, 1)
		}
	}
	if r.shares.Above("s", 0, "a") {
		t.Error("held back at the rank that is served")
	}
	if !r.shares.Above("s", 1, "a") {
		t.Error("not held back at the rank that is short")
	}
	if r.shares.Above("s", 1, "b") {
		t.Error("a workspace below its share is held back")
	}
}

// Workspaces that ask for nothing any more are forgotten, and no longer take part.
func TestForgotten(t *testing.T) {
	r := newRegion()
	r.play(time.Second, 100, map[string]float64{"a": 10, "b": 10}, nil)
	r.clock.Advance(forgetAfter)
	r.play(time.Second, 100, map[string]float64{"b": 10}, nil)
	r.shares.Above("s", 0, "b")
	if n := len(r.shares.services["s"].workspaces); n != 1 {
		t.Errorf("%d workspaces are known, want 1", n)
	}
}
