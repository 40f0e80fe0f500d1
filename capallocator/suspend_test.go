package capallocator

import (
	"math/rand/v2"
	"testing"
	"time"
)

// suspendableClock is the clock of a store whose machine is suspended at times; the
// monotonic clock does not count that time.
type suspendableClock struct {
	base      *clock
	suspended time.Duration
	monotonic bool
}

func (s *suspendableClock) now() time.Time {
	if s.monotonic {
		return s.base.now().Add(-s.suspended)
	}
	return s.base.now()
}

// maxShareSum runs stores that are suspended for 3, 10 or 60 s each, one at a time, and
// returns the largest sum of all shares of a cap. A suspended store does not count, the shares
// it uses after it resumes do.
func maxShareSum(seed uint64, monotonic bool) float64 {
	r, c := rand.New(rand.NewPCG(seed, 9)), newClock()
	members := []string{"a", "b", "c"}
	var stores []*Allocator
	var clocks []*suspendableClock
	for _, m := range members {
		s := &suspendableClock{base: c, monotonic: monotonic}
		a := New(Options{Self: m, Boot: 1, Window: testWindow, Overage: testOverage, Slack: testSlack, Now: s.now})
		a.SetMembers(members)
		a.SetCaps(caps())
		stores, clocks = append(stores, a), append(clocks, s)
	}
	exchangeAll := func(except int) {
		for i, from := range stores {
			for j, to := range stores {
				if i != j && i != except && j != except {
					sent := clocks[i].now()
					from.ApplyLease(members[j], sent, to.GrantLease(members[i], 1, from.Report(members[j])))
				}
			}
		}
	}
	largest := 0.0
	for range 8 {
		busy := r.IntN(len(stores))
		for range 20 {
			c.advance(200 * time.Millisecond)
			draw(stores[busy], 1e6*r.Float64())
			exchangeAll(-1)
		}
		// The store with demand holds leases from the others when it is suspended.
		pause := []time.Duration{3, 10, 60}[r.IntN(3)] * time.Second
		next := (busy + 1) % len(stores)
		for range int(pause / (200 * time.Millisecond)) {
			c.advance(200 * time.Millisecond)
			draw(stores[next], 1e6*r.Float64())
			exchangeAll(busy)
		}
		clocks[busy].suspended += pause
		sum := 0.0
		for _, store := range stores {
			sum += shareOfCap(store)
		}
		largest = max(largest, sum)
	}
	return largest
}

// A store resumes with shares of 10 s leases that others have been granted since. By the
// monotonic clock, which does not count the suspension, the shares of all stores add up to 1.5 of
// the cap; by a clock that counts it they never exceed the cap.
func TestSuspendedStore(t *testing.T) {
	worst, before := 0.0, 0.0
	for seed := range uint64(50) {
		worst, before = max(worst, maxShareSum(seed, false)), max(before, maxShareSum(seed, true))
	}
	t.Logf("shares add up to %.2f, by the steady clock %.2f", worst, before)
	if worst > 1.0001 {
		t.Errorf("shares add up to %.3f of the cap, want at most 1", worst)
	}
	if before <= 1 {
		t.Errorf("by the steady clock shares add up to %.3f, want more than 1: the schedule proves nothing", before)
	}
}
