package serverset

import (
	"math"
	"time"

	"wheelgauge"
	"wheelgauge/failurerate"
	"wheelgauge/prompt"
	"wheelgauge/pushback"
	"wheelgauge/rendezvous"
	"wheelgauge/serverconn"
)

const (
	// minPause and maxPause bound how long an unreachable server gets no work; the pause
	// doubles with each failure.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
	// minUnreachableReports is how many other hosts must report a server unreachable before
	// this host believes it: a single host may itself be cut off. Each host that has to find
	// out by itself delays a request by some hundred ms, for every unreachable server.
	minUnreachableReports = 2
	// peerReportPause keeps work off a server that other hosts report unreachable until they
	// report it again: two heartbeat intervals.
	peerReportPause = 300 * time.Millisecond
	// ownAnswerValidity is how long an answer to this host outweighs those reports.
	ownAnswerValidity = 500 * time.Millisecond
	// shedPause keeps work off a server that was full, for about the time of a few answers.
	shedPause = 100 * time.Millisecond
	// serviceTimeWeight is the weight of a new duration in the moving average.
	serviceTimeWeight = 0.1
	// staleServiceTimeAfter is how long the average of a plain service holds without an answer;
	// then what exceeds defaultServiceTime halves every staleServiceTimeHalfLife: a server that
	// gets no request for its average would keep it for good.
	staleServiceTimeAfter    = 2 * time.Second
	staleServiceTimeHalfLife = 2 * time.Second
)

// Server is one backend server as seen by this host. The lock of its table guards it,
// except for instance, address, startMS, instanceKey and pool, which never change.
type Server struct {
	instance    string
	address     string
	startMS     int64
	instanceKey string
	// spec is the server's entry in the latest list.
	spec wheelgauge.Server
	// firstSeen is when this host first listed the server; versionListedAt is when its version
	// was first listed, zero unless the version is new.
	firstSeen       time.Time
	versionListedAt time.Time
	hash            uint64
	pool            *serverconn.Pool
	// running counts this host's own requests in flight, pendingTokens the prompt tokens of
	// those without a first event.
	running       int
	pendingTokens int
	// workByRank splits both by rank.
	workByRank wheelgauge.Work
	// peerUse is what the region's other hosts had in flight at peerUseAt.
	peerUse   wheelgauge.ServerUsage
	peerUseAt time.Time
	// loadReportedAt is when the server last reported its own load.
	loadReportedAt time.Time
	// slots is the concurrency that the server reports, 0 until it answers. shedLevel is how
	// many requests it held when it refused one, or more if it held more since; 0 until it
	// refuses one.
	slots     int
	shedLevel int
	// slowdown is the moving average of the server's reports to this host of how long its work
	// takes, in hundredths of the usual time; 0 without a report.
	slowdown float64
	// slownessSums are what the model observed of the server's slowness, urgentLevels what was in
	// flight there lately; both only with a model.
	slownessSums slownessSums
	urgentLevels urgentLevels
	// coldUntil is when the server can take full load again by the list, saidColdUntil by what it
	// said itself.
	coldUntil, saidColdUntil time.Time
	failures                 failurerate.Rate
	// pausedUntil keeps work off a server that is unreachable or full.
	pausedUntil time.Time
	pause       time.Duration
	// deferredUntil is when a server whose limit allows nothing now takes requests again.
	deferredUntil time.Time
	// deferredAt are the limits at the time of the deferral; sentUnderLimit is set once a
	// request was sent under a limit.
	deferredAt     announced
	sentUnderLimit bool
	// unreachableUntil is until when this host considers the server unreachable, lastReached
	// is when it last answered.
	unreachableUntil time.Time
	lastReached      time.Time
	replaced         bool
	// pushback is what the server asks of this host. statsStale is set by a backoff, and by the
	// end of a limit, until the server answers a request sent afterwards; probeSent is set once
	// such a request is sent.
	pushback   pushback.State
	statsStale bool
	probeSent  bool
	// serviceTime is the moving average of the time to answer; for plain services without
	// the time in the queue. serviceTimeDeviation is that of how far an answer is from it,
	// serviceTimeSamples how many answers they have.
	serviceTime          time.Duration
	serviceTimeDeviation time.Duration
	serviceTimeSamples   int
	// chosenAt is the number of the last choice that fell on this server.
	chosenAt uint64
	// serviceTimeAt is when an answer last updated serviceTime.
	serviceTimeAt time.Time
	cachedParts   map[uint64]time.Time
}

func newServer(spec wheelgauge.Server, conns int, now func() time.Time) *Server {
	return &Server{
		instance: spec.Instance, address: spec.Address, startMS: spec.StartUnixMS, instanceKey: spec.InstanceKey(),
		spec: spec, hash: rendezvous.Hash(spec.Instance), pool: serverconn.New(spec.Address, conns, serverconn.SameRegion(now)),
		cachedParts: map[uint64]time.Time{}, firstSeen: now(),
	}
}

// Instance returns the server's name, which may be the same after a restart.
func (s *Server) Instance() string { return s.instance }

// Address returns the network address of the server.
func (s *Server) Address() string { return s.address }

// StartUnixMS returns the Unix millisecond of the start of this instance, 0 if it is not known.
func (s *Server) StartUnixMS() int64 { return s.startMS }

// InstanceKey identifies this instance of the server by its name and start.
func (s *Server) InstanceKey() string { return s.instanceKey }

// Pool returns the connections to the server.
func (s *Server) Pool() *serverconn.Pool { return s.pool }

// currentServiceTime returns what holds now of the average time to answer of a plain service; 0
// without any.
func (s *Server) currentServiceTime(now time.Time) time.Duration {
	stale := now.Sub(s.serviceTimeAt) - staleServiceTimeAfter
	if stale <= 0 || s.serviceTime <= defaultServiceTime {
		return s.serviceTime
	}
	left := math.Exp2(-stale.Seconds() / staleServiceTimeHalfLife.Seconds())
	return defaultServiceTime + time.Duration(left*float64(s.serviceTime-defaultServiceTime))
}

// serviceTimeNoise is by how much the average of a plain service may differ from that of another
// server by chance. It grows without answers, so that a late one keeps no work away for long.
func (s *Server) serviceTimeNoise(now time.Time) time.Duration {
	return time.Duration(float64(s.serviceTimeDeviation) * (1 + now.Sub(s.serviceTimeAt).Seconds()))
}

// use returns what this host reports to others about the server.
func (s *Server) use(now time.Time) wheelgauge.ServerUsage {
	u := wheelgauge.ServerUsage{Instance: s.spec.Instance, StartUnixMS: s.spec.StartUnixMS, Running: s.running, PrefillTokens: s.pendingTokens, Work: s.workByRank.NonZero()}
	if slowdown := s.ownSlowdown(now); slowdown > 0 {
		u.SlowdownSum, u.SlowdownHosts = int(slowdown), 1
	}
	if s.replaced || now.Before(s.unreachableUntil) {
		u.UnreachableFrom = 1
	}
	return u
}

// applyPeerReports pauses the server if enough other hosts report it unreachable.
func (s *Server) applyPeerReports(u wheelgauge.ServerUsage, now time.Time) {
	if u.UnreachableFrom < minUnreachableReports || !s.lastReached.IsZero() && now.Sub(s.lastReached) < ownAnswerValidity {
		return
	}
	if until := now.Add(peerReportPause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// inFlight returns the known requests in flight from all hosts.
func (s *Server) inFlight() int { return s.running + s.peerUse.Running }

// missingTokens estimates the prompt tokens that the server must prefill.
func (s *Server) missingTokens(p prompt.Prompt, home bool) int {
	if home {
		return p.Tokens() - p.SharedTokens()
	}
	miss := p.Tokens()
	for _, part := range p.Shared() {
		if _, ok := s.cachedParts[part.ID()]; !ok {
			break
		}
		miss -= part.Tokens()
	}
	return miss
}

// clearCache forgets which prompt parts the server is assumed to have cached.
func (s *Server) clearCache() { clear(s.cachedParts) }
