package serverset

import (
	"math"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
	"wheelgauge/pushback"
	"wheelgauge/rendezvous"
	"wheelgauge/serverconn"
)

const (
	// failWeight is the weight of a new outcome in a server's failure rate: a
	// server that fails two in five is told from a sound one in a few answers.
	failWeight = 0.15
	// failForget is how long a failure rate takes to halve without new answers,
	// so that a server that recovered is tried again.
	failForget = 3 * time.Second
	// firstPause and longestPause bound how long a server that is not reached
	// gets no work; the pause doubles with each failure.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// lostTo is how many other hosts must have found a server out of reach before this
	// one believes it: one alone may itself be cut off. Each host that finds out for
	// itself costs a request some hundred ms, times hosts and dark servers.
	lostTo = 2
	// heardPause keeps work off a server that others cannot reach, until they say it
	// anew: two of their heartbeats.
	heardPause = 300 * time.Millisecond
	// provenFor is how long an own answer from the server counts more than that.
	provenFor = 500 * time.Millisecond
	// shedPause keeps work off a server that was full: some answers' time.
	shedPause = 100 * time.Millisecond
	// timeWeight is the weight of a new duration in a running mean.
	timeWeight = 0.1
)

// Server is one backend server as this host sees it. Its table guards it, but
// for what never changes: instance, address, born, life and pool.
type Server struct {
	instance string
	address  string
	born     int64
	life     string
	// spec is what the list says now.
	spec wheelgauge.Server
	// since is when this host first knew of it, versionAt since when its version is listed
	// if that is new.
	since     time.Time
	versionAt time.Time
	hash      uint64
	pool      *serverconn.Pool
	// running and tokens are this host's own requests in flight and the prompt
	// tokens of those without a first event.
	running int
	tokens  int
	// work tells both by rank.
	work wheelgauge.Work
	// others is what the region's other hosts had in flight at othersAt.
	others   wheelgauge.ServerUse
	othersAt time.Time
	// reportedAt is when the server last said itself what it had in flight.
	reportedAt time.Time
	// slots is what the server says of itself, 0 while it has not answered; full how
	// many requests it held when it refused one, 0 while it has not.
	slots int
	full  int
	// pace is the mean of what the server reported to this host of how long its work takes, in
	// hundredths of the usual time; 0 while it has not.
	pace float64
	// coldUntil is when the server bears full load again.
	coldUntil time.Time
	failRate  float64
	failAt    time.Time
	// pausedUntil keeps work off a server that was not reached.
	pausedUntil time.Time
	pause       time.Duration
	// limitedUntil is until when a server that has named a limit takes no more.
	limitedUntil time.Time
	// limitedTo is the limit that this was by; limited is set once requests went there by one.
	limitedTo float64
	limited   bool
	// lostUntil is until when this host itself takes the server for out of reach,
	// reached when it last answered.
	lostUntil time.Time
	reached   time.Time
	gone      bool
	// pushback is what the server asks of this host; stale is set by a backoff, and by the end of a
	// limit, until the server answers after it, resumed once a request is sent there after it.
	pushback pushback.State
	stale    bool
	resumed  bool
	// service is the mean time of an answer of a plain service.
	service time.Duration
	cached  map[uint64]time.Time
}

func newServer(spec wheelgauge.Server, conns int, now func() time.Time) *Server {
	return &Server{
		instance: spec.Instance, address: spec.Address, born: spec.Born, life: spec.Life(),
		spec: spec, hash: rendezvous.Hash(spec.Instance), pool: serverconn.New(spec.Address, conns, serverconn.Near(now)),
		cached: map[uint64]time.Time{}, since: now(),
	}
}

// Instance returns the name of this start of the server.
func (s *Server) Instance() string { return s.instance }

// Address returns where the server is reached.
func (s *Server) Address() string { return s.address }

// Born tells this start of the server, as in wheelgauge.Server.
func (s *Server) Born() int64 { return s.born }

// Life names this start of the server.
func (s *Server) Life() string { return s.life }

// Pool returns the connections to the server.
func (s *Server) Pool() *serverconn.Pool { return s.pool }

func (s *Server) fails(now time.Time) float64 {
	if s.failRate == 0 {
		return 0
	}
	return s.failRate * math.Exp2(-now.Sub(s.failAt).Seconds()/failForget.Seconds())
}

func (s *Server) outcome(now time.Time, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	s.failRate = s.fails(now)*(1-failWeight) + value*failWeight
	s.failAt = now
}

// use is what this host tells others of the server.
func (s *Server) use(now time.Time) wheelgauge.ServerUse {
	u := wheelgauge.ServerUse{Instance: s.spec.Instance, Born: s.spec.Born, Running: s.running, Tokens: s.tokens, Work: s.work.Used()}
	if s.pace > 0 {
		u.Pace, u.Paced = int(s.pace), 1
	}
	if s.gone || now.Before(s.lostUntil) {
		u.Lost = 1
	}
	return u
}

// heard takes what other hosts found out about the server.
func (s *Server) heard(u wheelgauge.ServerUse, now time.Time) {
	if u.Lost < lostTo || !s.reached.IsZero() && now.Sub(s.reached) < provenFor {
		return
	}
	if until := now.Add(heardPause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// inFlight returns the requests of all hosts at the server, by what is known.
func (s *Server) inFlight() int { return s.running + s.others.Running }

// missing estimates the prompt tokens that the server must read.
func (s *Server) missing(p prompt.Prompt, home bool) int {
	if home {
		return p.Tokens() - p.SharedTokens()
	}
	miss := p.Tokens()
	for _, part := range p.Shared() {
		if _, ok := s.cached[part.ID()]; !ok {
			break
		}
		miss -= part.Tokens()
	}
	return miss
}

// forget drops what the server's memory is taken to hold.
func (s *Server) forget() { clear(s.cached) }
