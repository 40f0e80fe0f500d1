package entrynode

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"wheelgauge/fake/judge"
)

var (
	lostSeeds = flag.Int("lost.seeds", 1, "seeds of lost time to play")
	lostFrom  = flag.Uint64("lost.from", 1, "the first of them")
)

const (
	lostEvents = 14
	lostPause  = 300 * time.Millisecond
	// lostHeard is how long hosts have to tell each other of a limit.
	lostHeard = 1500 * time.Millisecond
)

// lostTimes are how long a machine is suspended: in sum less than what ended engines is
// remembered for.
var lostTimes = []time.Duration{time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second}

// Machines lose time, one after another and several at once, while hosts and stores start
// again, engines name limits and a request ends those that run it. What a machine believes
// when it wakes may cost requests a little time, but never a promise.
func TestLostTime(t *testing.T) {
	for i := range *lostSeeds {
		seed := *lostFrom + uint64(i)
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { playLostTime(t, seed) })
	}
}

func playLostTime(t *testing.T, seed uint64) {
	f, r := openFleet(t), rand.New(rand.NewPCG(seed, 11))
	var log []string
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(strings.Join(log, "\n"))
		}
	})
	note := func(format string, args ...any) { log = append(log, fmt.Sprintf(format, args...)) }
	c := f.callers(4 * fleetSize)
	defer c.end()
	limited, rate := []string(nil), []float64{0.5, 2, 5}[r.IntN(3)]
	for i := range lostEvents {
		if i == 2 {
			limited = f.engines.limit(1+r.IntN(3), rate)
			note("engines %v name a limit of %g", limited, rate)
		}
		f.loseTime(t, r, note)
		f.ask(r.IntN(fleetSize), "/a/deadly", deadly)
		time.Sleep(time.Duration(r.Int64N(int64(lostPause))))
	}
	f.ready(t)
	c.reset()
	until(t, "callers are served by every host", func() bool {
		for n := range c.servedAt {
			if c.servedAt[n].Load() == 0 {
				return false
			}
		}
		return true
	})
	c.end()
	if ended := f.engines.ended.Load(); ended > mostEnds {
		t.Errorf("%d engines ended under one request", ended)
	}
	if foreign := c.foreignStatuses(); len(foreign) > 0 {
		t.Errorf("answers that no caller should get: %v", foreign)
	}
	for _, name := range limited {
		f.engines.mu.Lock()
		at := slices.Clone(f.engines.arrivals[name])
		f.engines.mu.Unlock()
		told := f.engines.toldLimit(name)
		at = slices.DeleteFunc(at, func(a time.Time) bool { return told.IsZero() || a.Before(told.Add(lostHeard)) })
		if err := judge.ServerLimit().Check(rate, at); err != nil {
			t.Errorf("%s got %v", name, err)
		}
	}
}

// loseTime lets some machines lose time, or starts one again.
func (f *fleet) loseTime(t *testing.T, r *rand.Rand, note func(format string, args ...any)) {
	n, lost := r.IntN(fleetSize), lostTimes[r.IntN(len(lostTimes))]
	switch r.IntN(6) {
	case 0, 1:
		note("host %d is suspended for %v", n, lost)
		f.hostClocks[n].Suspend(lost)
	case 2, 3:
		note("store %d is suspended for %v", n, lost)
		f.storeClocks[n].Suspend(lost)
	case 4:
		note("all are suspended for %v", lost)
		for i := range fleetSize {
			f.hostClocks[i].Suspend(lost)
			f.storeClocks[i].Suspend(lost)
		}
	case 5:
		note("host %d starts again", n)
		f.closeHost(t, n)
		f.openHost(t, n)
	}
}

// foreignStatuses are those of answers that say neither that a request was served nor that
// it was not run and when to come back, nor that the host is away.
func (c *callers) foreignStatuses() map[int]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int]int64{}
	for status, count := range c.statuses {
		if status != http.StatusOK && status != http.StatusServiceUnavailable && status != 0 {
			out[status] = count
		}
	}
	return out
}
