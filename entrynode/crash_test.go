package entrynode

import (
	"net/http"
	"strings"
	"testing"
)

// mostEnds is how many engines may end until all hosts know: three, and those that
// it ends while they are told.
const mostEnds = 12

// refused sends the deadly request to every host again and again, and tells how often
// it was not refused or an engine ended.
func (f *fleet) refused(t *testing.T, times int) {
	t.Helper()
	ended := f.engines.ended.Load()
	for range times {
		for n := range fleetSize {
			f.serves(t, n)
			if status := f.ask(n, "/a/deadly", deadly); status != http.StatusServiceUnavailable {
				t.Errorf("host %d answers %d, want 503", n, status)
			}
		}
	}
	if more := f.engines.ended.Load() - ended; more > 0 {
		t.Errorf("%d more engines ended", more)
	}
}

// Users saw one region's engines end one after another, nine within seconds, and again
// whenever they were back: 26 in all. A request came again and again, with the same
// path and body, at any host and under a new id; each engine that began to run it ended
// 40 to 120 ms later. A host that lost an engine so sent the request to the next one,
// answered 502, and knew nothing of it when it came again. Evidence: the stories of
// failed requests show the same request running at each engine that ended, at
// hosts of both regions, 30 s apart; the code counted failures by server only.
func TestRequestThatEndsItsServers(t *testing.T) {
	f := openFleet(t)
	stop := f.beside(2 * fleetSize)
	defer stop()
	turns := map[int]bool{}
	for n := 0; len(turns) < fleetSize; n = (n + 1) % fleetSize {
		f.serves(t, n)
		if f.ask(n, "/a/deadly", deadly) == http.StatusServiceUnavailable {
			turns[n] = true
		} else {
			delete(turns, n)
		}
		if ended := f.engines.ended.Load(); ended > mostEnds {
			t.Fatalf("%d engines ended, and host %d still sends the request to the next one", ended, n)
		}
	}
	t.Logf("%d engines ended", f.engines.ended.Load())
	failed := stop()
	t.Run("no host sends it any more", func(t *testing.T) { f.refused(t, 10) })
	t.Run("what stood beside it is served", func(t *testing.T) {
		f.served(t, failed)
	})
	t.Run("what resembles it is served", func(t *testing.T) {
		f.ready(t)
		for n := range fleetSize {
			for _, r := range [][2]string{{"/a/deadly", deadly + "?"}, {"/a/deadly", strings.ToUpper(deadly)}, {"/a/other", deadly}, {"/a/deadly?q=1", "plain"}} {
				if status := f.ask(n, r[0], r[1]); status != http.StatusOK {
					t.Errorf("host %d answers %d to %s, %q", n, status, r[0], r[1])
				}
			}
		}
	})
	t.Run("hosts that start again know", func(t *testing.T) {
		for n := range fleetSize {
			f.closeHost(t, n)
			f.openHost(t, n)
		}
		f.ready(t)
		f.refused(t, 2)
	})
	t.Run("all that start again know", func(t *testing.T) {
		for n := range fleetSize {
			f.closeHost(t, n)
			f.closeStore(t, n)
		}
		for n := range fleetSize {
			f.openStore(t, n, false)
			f.openHost(t, n)
		}
		f.ready(t)
		f.refused(t, 2)
	})
}

// served sends requests that failed once more, at any host.
func (f *fleet) served(t *testing.T, bodies []string) {
	t.Helper()
	f.ready(t)
	for n, body := range bodies {
		if status := f.ask(n%fleetSize, "/a/beside", body); status != http.StatusOK {
			t.Errorf("%q is answered %d", body, status)
		}
	}
}
