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
	// lostSeen is how much later a caller may see what a waking or an end was the cause of.
	lostSeen = time.Second
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
	l := &lostTime{fleet: f}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(strings.Join(l.log, "\n"))
		}
	})
	c := f.callers(4 * fleetSize)
	defer c.end()
	limited, rate := []string(nil), []float64{0.5, 2, 5}[r.IntN(3)]
	for i := range lostEvents {
		if i == 2 {
			limited = f.engines.limit(1+r.IntN(3), rate)
			l.note("engines %v name a limit of %g", limited, rate)
		}
		l.lose(t, r)
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
	for _, a := range c.answers {
		if !l.excuse(a) {
			t.Errorf("host %d answered %d at %s, with nothing to excuse it", a.host, a.status, a.at.Format("05.000"))
		}
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

// lostTime is what has happened to the machines of a fleet.
type lostTime struct {
	fleet *fleet
	log   []string
	// wokeLate is when each host woke after more than a request's time.
	wokeLate [fleetSize][]time.Time
}

func (l *lostTime) note(format string, args ...any) {
	l.log = append(l.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// lose lets some machines lose time, or starts one again.
func (l *lostTime) lose(t *testing.T, r *rand.Rand) {
	n, lost := r.IntN(fleetSize), lostTimes[r.IntN(len(lostTimes))]
	switch r.IntN(6) {
	case 0, 1:
		l.note("host %d is suspended for %v", n, lost)
		l.suspendHost(n, lost)
	case 2, 3:
		l.note("store %d is suspended for %v", n, lost)
		l.fleet.storeClocks[n].Suspend(lost)
	case 4:
		l.note("all are suspended for %v", lost)
		for i := range fleetSize {
			l.suspendHost(i, lost)
			l.fleet.storeClocks[i].Suspend(lost)
		}
	case 5:
		l.note("host %d starts again", n)
		l.fleet.closeHost(t, n)
		l.fleet.openHost(t, n)
	}
}

func (l *lostTime) suspendHost(n int, lost time.Duration) {
	if lost >= testLimit {
		l.wokeLate[n] = append(l.wokeLate[n], time.Now())
	}
	l.fleet.hostClocks[n].Suspend(lost)
}

// excuse tells whether an answer may be neither success nor refusal: the request's time was
// over when its host woke, or the engine that ran it ended.
func (l *lostTime) excuse(a answered) bool {
	recently := func(at time.Time) bool { return a.at.After(at) && a.at.Sub(at) < lostSeen }
	switch a.status {
	case http.StatusGatewayTimeout:
		return slices.ContainsFunc(l.wokeLate[a.host], recently)
	case http.StatusBadGateway:
		l.fleet.engines.mu.Lock()
		defer l.fleet.engines.mu.Unlock()
		return slices.ContainsFunc(l.fleet.engines.endedAt, recently)
	default:
		return false
	}
}
