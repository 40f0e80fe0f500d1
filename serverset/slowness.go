package serverset

import (
	"math"
	"time"
)

const (
	// slownessHalfLife is how long it takes until half of what was observed of a server's slowness is
	// forgotten: servers are slow for seconds.
	slownessHalfLife = 5 * time.Second
	// slownessPriorMS is the predicted time that counts as if it had been observed at the reported
	// slowness, or at the usual one; maxSlownessSampleMS bounds the part of one observation, so that no
	// single request moves the slowness by more than a third of its own.
	slownessPriorMS     = 4000.0
	maxSlownessSampleMS = 500.0
	// minSlowness and maxSlowness bound a slowness and that of a single observation.
	minSlowness = 1.0 / 4
	maxSlowness = 4.0
	// minPredictedMS is the shortest predicted time that says something of a slowness.
	minPredictedMS = 1.0
)

// slownessSums are decaying sums of observed and predicted times at a server.
type slownessSums struct {
	observed, predicted float64
	at                  time.Time
}

// add adds an observation in milliseconds. reported is the slowness that the server itself reports.
func (u *slownessSums) add(observed, predicted, reported float64, now time.Time) {
	if predicted < minPredictedMS {
		return
	}
	kept := u.kept(now)
	ratio := min(maxSlowness, max(minSlowness, observed/predicted))
	if !u.known() {
		// The odd first sample of a server counts as half.
		ratio = math.Sqrt(ratio * reported)
	}
	part := min(maxSlownessSampleMS, predicted)
	u.observed, u.predicted, u.at = kept*u.observed+ratio*part, kept*u.predicted+part, now
}

func (u *slownessSums) kept(now time.Time) float64 {
	return math.Exp2(-max(0, now.Sub(u.at).Seconds()) / slownessHalfLife.Seconds())
}

func (u *slownessSums) known() bool { return u.predicted > 0 }

// slowness is observed against predicted times, pulled to the reported slowness.
func (u *slownessSums) slowness(reported float64, now time.Time) float64 {
	kept := u.kept(now)
	return (kept*u.observed + slownessPriorMS*reported) / (kept*u.predicted + slownessPriorMS)
}

// reportedSlowness is how many times as long as usual work takes by the server's own reports to this
// host; 1 without any.
func (s *Server) reportedSlowness() float64 {
	if s.slowdown == 0 {
		return 1
	}
	return s.slowdown / nominalSlowdown
}

// ownSlowdown is what this host knows of the server's slowness, in hundredths; 0 if nothing. What it
// has observed includes what the server reports.
func (s *Server) ownSlowdown(now time.Time) float64 {
	if s.slownessSums.known() {
		return nominalSlowdown * s.slownessSums.slowness(s.reportedSlowness(), now)
	}
	return s.slowdown
}

// slowness is how many times as long as usual work takes at the server, as observed by all hosts of
// the region; 1 if nothing is known.
func (s *Server) slowness(now time.Time) float64 {
	return min(maxSlowness, max(minSlowness, s.meanSlowdown(s.ownSlowdown(now))))
}
