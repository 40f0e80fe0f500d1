package routegate

import (
	"sync"
	"time"

	"wheelgauge"
)

const (
	// maxUnprovenRuns bounds the runs that wait for proof at one server, maxUnprovenServers the
	// servers.
	maxUnprovenRuns    = 16
	maxUnprovenServers = 256
)

// unprovenRun is a run whose answer ended with its connection, as that of a server that crashes.
type unprovenRun struct {
	request wheelgauge.Fingerprint
	size    int
	endedAt time.Time
}

// unprovenRuns holds such runs, of requests that were in flight at a crash before, by server
// instance until that one answers again. It is safe for concurrent use.
type unprovenRuns struct {
	mu       sync.Mutex
	byServer map[string][]unprovenRun
}

// add keeps a run for proof. The latest runs are kept.
func (u *unprovenRuns) add(server string, run unprovenRun) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byServer == nil || len(u.byServer) >= maxUnprovenServers {
		u.byServer = map[string][]unprovenRun{}
	}
	runs := append(u.byServer[server], run)
	u.byServer[server] = runs[max(0, len(runs)-maxUnprovenRuns):]
}

// take removes and returns the runs that a server has survived: it answers a request that was sent
// some time after their ends.
func (u *unprovenRuns) take(server string, sentAt time.Time) []unprovenRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.byServer) == 0 {
		return nil
	}
	var proven, open []unprovenRun
	for _, run := range u.byServer[server] {
		if sentAt.Sub(run.endedAt) >= trialProofTime {
			proven = append(proven, run)
		} else {
			open = append(open, run)
		}
	}
	u.byServer[server] = open
	if len(open) == 0 {
		delete(u.byServer, server)
	}
	return proven
}
