package capclient

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Caps hold in every window over all hosts, whatever happens. Without faults at most 1% of
// what they allow is refused, which is the users' requirement.
func TestCalm(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{24, 68} {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(t, 1, hosts)
			s.run(nil)
			s.check(fmt.Sprint("calm, hosts ", hosts), 0.01)
		})
	}
}

// A workspace whose demand rises to 8 times its usual within a second gets its cap and no
// more.
func TestOverload(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"small", "middle", "large", "plain"} {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(t, 2, 68)
			s.overload(name, 8, 6*time.Second, 16*time.Second)
			s.run(nil)
			s.check("hot "+name, 0.05)
		})
	}
}

// fault is a kind of fault that lasts for a while.
type fault struct {
	name string
	play func(s *schedule)
}

func faults() []fault {
	return []fault{
		{"regions partitioned", func(s *schedule) {
			s.set(func() { s.cutRegions["a"], s.cutRegions["b"], s.cutRegions["c"] = true, true, true })
			s.pause(2, 9)
			s.set(func() { clear(s.cutRegions) })
		}},
		{"a region cut off", func(s *schedule) {
			s.set(func() { s.cutRegions[s.regions[s.r.IntN(3)]] = true })
			s.pause(2, 9)
			s.set(func() { clear(s.cutRegions) })
		}},
		{"a store killed", func(s *schedule) {
			st := s.stores[s.intN(len(s.stores))]
			s.stop(st)
			s.pause(0.3, 4)
			s.start(st)
		}},
		{"all stores killed", func(s *schedule) {
			for _, st := range s.stores {
				s.stop(st)
			}
			s.pause(0.3, 3.5)
			for _, st := range s.stores {
				s.start(st)
			}
		}},
		{"a store frozen", func(s *schedule) {
			st := s.stores[s.intN(len(s.stores))]
			s.set(func() { st.frozen = true })
			s.pause(1, 6)
			s.set(func() { st.frozen = false })
		}},
		{"many hosts killed at once", func(s *schedule) {
			s.set(func() {
				for h := range s.hosts {
					if s.r.Float64() < 0.55 {
						s.downUntil[h] = time.Now().Add(2 * time.Second)
					}
				}
			})
		}},
		{"a cap reduced", func(s *schedule) {
			w := s.workspaces[s.intN(len(s.workspaces))]
			s.set(func() {
				if w.reducedTo == 0 {
					w.reducedAt, w.reducedTo = s.elapsed(), 0.2
					w.spec.Cap.Rate *= w.reducedTo
					w.spec.Cap.Burst *= w.reducedTo
				}
				for _, st := range s.stores {
					if st.allocator != nil {
						st.allocator.SetCaps(s.specs())
					}
				}
			})
		}},
	}
}

func (s *schedule) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// intN returns a random number below n.
func (s *schedule) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

// pause waits for a random time in seconds.
func (s *schedule) pause(least, most float64) {
	s.mu.Lock()
	d := least + (most-least)*s.r.Float64()
	s.mu.Unlock()
	time.Sleep(time.Duration(d * float64(time.Second)))
}

// Each fault by itself, beside an overloaded workspace.
func TestEachFault(t *testing.T) {
	t.Parallel()
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			for seed := range *repeats {
				synctest.Test(t, func(t *testing.T) {
					s := newSchedule(t, uint64(3+seed), 68)
					s.overload("large", 8, 4*time.Second, 14*time.Second)
					s.run(func(context.Context) {
						time.Sleep(6 * time.Second)
						f.play(s)
					})
					s.check(f.name, 0.25)
				})
			}
		})
	}
}

// Overlapping faults, by seed. The bound holds in every window.
func TestSchedules(t *testing.T) {
	t.Parallel()
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			s := newSchedule(t, uint64(100+seed), []int{8, 24, 68, 200}[seed%4])
			names := []string{"small", "middle", "large", "plain"}
			s.overload(names[s.intN(4)], 2+float64(s.intN(9)), 3*time.Second, 15*time.Second)
			var played []string
			s.run(func(context.Context) {
				var group sync.WaitGroup
				for range 2 + s.intN(4) {
					all := faults()
					f := all[s.intN(len(all))]
					played = append(played, f.name)
					group.Go(func() { f.play(s) })
					s.pause(0, 4)
				}
				group.Wait()
			})
			s.check(fmt.Sprintf("seed %d, %v", 100+seed, played), 1)
		})
	}
}
