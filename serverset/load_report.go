package serverset

import (
	"strconv"
	"strings"
	"time"
)

const (
	// loadReportMaxAge is how long a server's report of its load is preferred to the sum that
	// the region's hosts report, which is 0.1 to 0.4 s old on arrival.
	loadReportMaxAge = 200 * time.Millisecond
	// nearlyFullShare is the share of its shed level from which a server may be full when one
	// more request arrives: other hosts send some in the meantime.
	nearlyFullShare = 0.6
	// shedCostMS is the cost of a refusal by a full server to a user, in milliseconds of
	// waiting: a second round trip, and one of the few retries that all hosts may make.
	shedCostMS = 300.0
	// maxReported bounds each number that a server reports of its load, so that their sums do
	// not overflow.
	maxReported = 1_000_000
	// nominalSlowdown is reported by a server whose work takes as long as usual; minSlowdown and
	// maxSlowdown bound the values accepted, so that no report draws all requests to one server.
	nominalSlowdown = 100
	minSlowdown     = nominalSlowdown / 4
	maxSlowdown     = 100 * nominalSlowdown
)

// LoadReport is the load that a server reports in an answer.
type LoadReport struct {
	running int
	waiting int
	slots   int
	// slowdown is how long work takes there now, nominalSlowdown as usual; 0 if not reported.
	slowdown int
}

// Running returns the requests that run, without those that wait.
func (r LoadReport) Running() int { return r.running }

// Waiting returns the requests that wait.
func (r LoadReport) Waiting() int { return r.waiting }

// ParseLoadReport reads "running,waiting,slots", optionally with ",slowdown"; ok is false for
// anything else.
func ParseLoadReport(text string) (r LoadReport, ok bool) {
	parts := strings.Split(text, ",")
	fields := []*int{&r.running, &r.waiting, &r.slots, &r.slowdown}
	if len(parts) < 3 || len(parts) > len(fields) {
		return r, false
	}
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return LoadReport{}, false
		}
		*fields[i] = min(n, maxReported)
	}
	if len(parts) < len(fields) {
		return r, true
	}
	if r.slowdown == 0 {
		return LoadReport{}, false // no work takes no time
	}
	r.slowdown = min(max(r.slowdown, minSlowdown), maxSlowdown)
	return r, true
}

// Report records the load that the server reported in its answer to this request; shed
// is set if it refused the request because it was full.
func (k *Pick) Report(r LoadReport, shed bool) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := k.server
	if r.slots > 0 {
		s.slots = r.slots
	}
	s.recordSlowdown(r.slowdown)
	held := r.running + r.waiting
	switch {
	case s.pushback.BackingOff(t.now()):
	case shed && held > 0:
		s.shedLevel = held
	case held > s.shedLevel && s.shedLevel > 0:
		s.shedLevel = held
	}
	if t.isEngine(s) {
		return // the report does not cover tokens to prefill
	}
	// The request just answered is no longer in flight there.
	s.peerUse.Running = max(0, held-(s.running-1))
	s.peerUseAt, s.loadReportedAt = t.now(), t.now()
	if t.servers[s.instance] == s {
		t.usedByPeers[s] = true
	}
}

// hasRecentReport reports whether the server's own report is preferred to the region's sum.
func (s *Server) hasRecentReport(now time.Time) bool {
	return !s.loadReportedAt.IsZero() && now.Sub(s.loadReportedAt) < loadReportMaxAge
}

// shedRisk is the expected cost of a refusal, in milliseconds, at a server that refuses
// requests at shedLevel; 0 while that is not known.
func shedRisk(inFlight, shedLevel float64) float64 {
	if shedLevel <= 0 {
		return 0
	}
	threshold := nearlyFullShare * shedLevel
	return shedCostMS * min(1, max(0, (inFlight+1-threshold)/(shedLevel-threshold)))
}
