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
	suspensionSeeds     = flag.Int("lost.seeds", 1, "number of seeds of suspended machines to run")
	firstSuspensionSeed = flag.Uint64("lost.from", 1, "first seed")
)

const (
	suspensionEvents = 14
	maxEventPause    = 300 * time.Millisecond
	// limitPropagationTime is how long a limit may take to reach all hosts.
	limitPropagationTime = 1500 * time.Millisecond
	// effectDelay is how long after a resume or a crash a caller may see its effect.
	effectDelay = time.Second
)

// suspensionTimes are how long a machine is suspended: in total less than the time for which
// crashes are remembered.
var suspensionTimes = []time.Duration{time.Second, 3 * time.Second, 10 * time.Second, 30 * time.Second}

// Machines are suspended, one after another and several at once, while hosts restart, engines
// send limits and a request crashes engines. Outdated views after a resume may delay requests,
// but must not break limits or fail requests without cause.
func TestSuspendedMachines(t *testing.T) {
	for i := range *suspensionSeeds {
		seed := *firstSuspensionSeed + uint64(i)
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { runSuspensions(t, seed) })
	}
}

func runSuspensions(t *testing.T, seed uint64) {
	f, r := openFleet(t), rand.New(rand.NewPCG(seed, 11))
	l := &faultInjector{fleet: f}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(strings.Join(l.log, "\n"))
		}
	})
	c := f.startCallers(4 * fleetSize)
	defer c.stop()
	limitedEngines, rate := []string(nil), []float64{0.5, 2, 5}[r.IntN(3)]
	for i := range suspensionEvents {
		if i == 2 {
			limitedEngines = f.engines.setLimits(1+r.IntN(3), rate)
			l.logf("engines %v send a limit of %g", limitedEngines, rate)
		}
		l.inject(t, r)
		f.send(r.IntN(fleetSize), "/a/deadly", crashBody)
		time.Sleep(time.Duration(r.Int64N(int64(maxEventPause))))
	}
	f.awaitReady(t)
	c.reset()
	waitFor(t, "callers are served by every host", func() bool {
		for n := range c.servedBy {
			if c.servedBy[n].Load() == 0 {
				return false
			}
		}
		return true
	})
	c.stop()
	if crashes := f.engines.crashes.Load(); crashes > maxCrashes {
		t.Errorf("%d engines crashed by one request", crashes)
	}
	for _, a := range c.unexpected {
		if !l.explains(a) {
			t.Errorf("host %d responded %d at %s without a suspension or crash that explains it", a.host, a.status, a.at.Format("05.000"))
		}
	}
	for _, name := range limitedEngines {
		f.engines.mu.Lock()
		arrivals := slices.Clone(f.engines.arrivals[name])
		f.engines.mu.Unlock()
		sentAt := f.engines.firstLimitAt(name)
		arrivals = slices.DeleteFunc(arrivals, func(a time.Time) bool { return sentAt.IsZero() || a.Before(sentAt.Add(limitPropagationTime)) })
		if err := judge.ServerLimit().Check(rate, arrivals); err != nil {
			t.Errorf("requests to %s: %v", name, err)
		}
	}
}

// faultInjector suspends and restarts machines of a fleet and records it.
type faultInjector struct {
	fleet *fleet
	log   []string
	// resumedLate holds the times when each host resumed after more than a request's timeout.
	resumedLate [fleetSize][]time.Time
}

func (l *faultInjector) logf(format string, args ...any) {
	l.log = append(l.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// inject suspends some machines or restarts a host.
func (l *faultInjector) inject(t *testing.T, r *rand.Rand) {
	n, duration := r.IntN(fleetSize), suspensionTimes[r.IntN(len(suspensionTimes))]
	switch r.IntN(6) {
	case 0, 1:
		l.logf("host %d is suspended for %v", n, duration)
		l.suspendHost(n, duration)
	case 2, 3:
		l.logf("store %d is suspended for %v", n, duration)
		l.fleet.storeClocks[n].Suspend(duration)
	case 4:
		l.logf("all machines are suspended for %v", duration)
		for i := range fleetSize {
			l.suspendHost(i, duration)
			l.fleet.storeClocks[i].Suspend(duration)
		}
	case 5:
		l.logf("host %d restarts", n)
		l.fleet.closeHost(t, n)
		l.fleet.openHost(t, n)
	}
}

func (l *faultInjector) suspendHost(n int, duration time.Duration) {
	if duration >= testTimeout {
		l.resumedLate[n] = append(l.resumedLate[n], time.Now())
	}
	l.fleet.hostClocks[n].Suspend(duration)
}

// explains reports whether a response may be neither 200 nor 503: the request's deadline had
// passed when its host resumed, or the engine that ran it crashed.
func (l *faultInjector) explains(a response) bool {
	recently := func(at time.Time) bool { return a.at.After(at) && a.at.Sub(at) < effectDelay }
	switch a.status {
	case http.StatusGatewayTimeout:
		return slices.ContainsFunc(l.resumedLate[a.host], recently)
	case http.StatusBadGateway:
		l.fleet.engines.mu.Lock()
		defer l.fleet.engines.mu.Unlock()
		return slices.ContainsFunc(l.fleet.engines.crashedAt, recently)
	default:
		return false
	}
}
