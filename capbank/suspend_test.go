package capbank

import (
	"math/rand/v2"
	"testing"
	"time"
)

// suspendableClock is the clock of one store that is suspended now and then: the steady one does
// not count that time.
type suspendableClock struct {
	base     *clock
	suspended  time.Duration
	steady bool
}

func (s *suspendableClock) now() time.Time {
	if s.steady {
		return s.base.now().Add(-s.suspended)
	}
	return s.base.now()
}

// maxShareSum plays stores that are suspended for 3, 10 or 60 s each, one at a time, and returns
// the largest sum of all parts of a cap: those of a store that sleeps don't count, but
// what it goes by when it wakes does.
func maxShareSum(seed uint64, steady bool) float64 {
	r, c := rand.New(rand.NewPCG(seed, 9)), newClock()
	members := []string{"a", "b", "c"}
	var banks []*Bank
	var sleepers []*suspendableClock
	for _, m := range members {
		s := &suspendableClock{base: c, steady: steady}
		b := New(Options{Self: m, Boot: 1, Window: testWindow, Overage: testOverage, Slack: testSlack, Now: s.now})
		b.SetMembers(members)
		b.SetCaps(caps())
		banks, sleepers = append(banks, b), append(sleepers, s)
	}
	all := func(but int) {
		for i, from := range banks {
			for j, to := range banks {
				if i != j && i != but && j != but {
					sent := sleepers[i].now()
					from.Borrow(members[j], sent, to.Lend(members[i], 1, from.News(members[j])))
				}
			}
		}
	}
	top := 0.0
	for range 8 {
		busy := r.IntN(len(banks))
		for range 20 {
			c.advance(200 * time.Millisecond)
			draw(banks[busy], 1e6*r.Float64())
			all(-1)
		}
		// The busy one holds what the others lent it, and is suspended.
		nap := []time.Duration{3, 10, 60}[r.IntN(3)] * time.Second
		next := (busy + 1) % len(banks)
		for range int(nap / (200 * time.Millisecond)) {
			c.advance(200 * time.Millisecond)
			draw(banks[next], 1e6*r.Float64())
			all(busy)
		}
		sleepers[busy].suspended += nap
		sum := 0.0
		for _, b := range banks {
			sum += shareOfCap(b)
		}
		top = max(top, sum)
	}
	return top
}

// A store that is suspended wakes with parts that were lent for ten seconds, long lent to
// others since: by the steady clock parts of all stores add up to 1.5 of the cap, by one
// that counts the time they never exceed it.
func TestSuspendedStore(t *testing.T) {
	worst, before := 0.0, 0.0
	for seed := range uint64(50) {
		worst, before = max(worst, maxShareSum(seed, false)), max(before, maxShareSum(seed, true))
	}
	t.Logf("parts add up to %.2f, by the steady clock %.2f", worst, before)
	if worst > 1.0001 {
		t.Errorf("parts add up to %.3f of the cap", worst)
	}
	if before <= 1 {
		t.Errorf("by the steady clock they add up to %.3f: the schedule proves nothing", before)
	}
}
