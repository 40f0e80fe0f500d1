package entrynode

import (
	"net/http"
	"strings"
	"testing"
)

// maxCrashes is how many engines may crash before all hosts quarantine the request: three,
// and those that crash while the hosts are being notified.
const maxCrashes = 12

// expectRejected sends the crashing request to every host repeatedly and reports responses
// other than a rejection, and engines that crashed.
func (f *fleet) expectRejected(t *testing.T, times int) {
	t.Helper()
	crashes := f.engines.crashes.Load()
	for range times {
		for n := range fleetSize {
			f.awaitServing(t, n)
			if status := f.send(n, "/a/deadly", crashBody); status != http.StatusServiceUnavailable {
				t.Errorf("host %d: got status %d, want 503", n, status)
			}
		}
	}
	if more := f.engines.crashes.Load() - crashes; more > 0 {
		t.Errorf("%d more engines crashed, want 0", more)
	}
}

// A request that crashes its engines must be quarantined. Each engine that runs it crashes 40
// to 120 ms later. If failures are counted by server only, a host resends the request to the
// next engine, responds 502, and does not recognize it when it is repeated with the same path
// and body, 30 s later, at any host of any region and under a new ID: nine engines of a region
// crash within seconds, and again after each restart, 26 in total.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := openFleet(t)
	stopBackground := f.startBackground(2 * fleetSize)
	defer stopBackground()
	rejecting := map[int]bool{}
	for n := 0; len(rejecting) < fleetSize; n = (n + 1) % fleetSize {
		f.awaitServing(t, n)
		if f.send(n, "/a/deadly", crashBody) == http.StatusServiceUnavailable {
			rejecting[n] = true
		} else {
			delete(rejecting, n)
		}
		if crashes := f.engines.crashes.Load(); crashes > maxCrashes {
			t.Fatalf("%d engines crashed, and host %d still sends the request", crashes, n)
		}
	}
	t.Logf("%d engines crashed", f.engines.crashes.Load())
	failed := stopBackground()
	t.Run("all hosts reject it", func(t *testing.T) { f.expectRejected(t, 10) })
	t.Run("concurrent requests are served", func(t *testing.T) {
		f.expectServed(t, failed)
	})
	t.Run("similar requests are served", func(t *testing.T) {
		f.awaitReady(t)
		for n := range fleetSize {
			for _, r := range [][2]string{{"/a/deadly", crashBody + "?"}, {"/a/deadly", strings.ToUpper(crashBody)}, {"/a/other", crashBody}, {"/a/deadly?q=1", "plain"}} {
				if status := f.send(n, r[0], r[1]); status != http.StatusOK {
					t.Errorf("host %d: got status %d for %s, %q, want 200", n, status, r[0], r[1])
				}
			}
		}
	})
	t.Run("it stays quarantined when hosts restart", func(t *testing.T) {
		for n := range fleetSize {
			f.closeHost(t, n)
			f.openHost(t, n)
		}
		f.awaitReady(t)
		f.expectRejected(t, 2)
	})
	t.Run("it stays quarantined when hosts and stores restart", func(t *testing.T) {
		for n := range fleetSize {
			f.closeHost(t, n)
			f.closeStore(t, n)
		}
		for n := range fleetSize {
			f.openStore(t, n, false)
			f.openHost(t, n)
		}
		f.awaitReady(t)
		f.expectRejected(t, 2)
	})
}

// expectServed resends requests that failed before, spread over the hosts.
func (f *fleet) expectServed(t *testing.T, bodies []string) {
	t.Helper()
	f.awaitReady(t)
	for n, body := range bodies {
		if status := f.send(n%fleetSize, "/a/beside", body); status != http.StatusOK {
			t.Errorf("%q: got status %d, want 200", body, status)
		}
	}
}
