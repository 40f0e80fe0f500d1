package serverset

import (
	"math"
	"time"
)

const (
	// speedHalfLife is how long it takes until half of what was observed of a server's speed is
	// forgotten: servers are slow for seconds.
	speedHalfLife = 5 * time.Second
	// speedPriorMS is the predicted time that counts as if it had been observed at the reported
	// speed, or at the usual one; maxSpeedSampleMS bounds the part of one observation, so that no
	// single request moves the speed by more than a third of its own.
	speedPriorMS     = 4000.0
	maxSpeedSampleMS = 500.0
	// minSpeed and maxSpeed bound a speed and that of a single observation.
	minSpeed = 1.0 / 4
	maxSpeed = 4.0
	// minPredictedMS is the shortest predicted time that says something of a speed.
	minPredictedMS = 1.0
)

// speedSums are decaying sums of observed and predicted times at a server.
type speedSums struct {
	observed, predicted float64
	at                  time.Time
}

// add adds an observation in milliseconds. reported is the speed that the server itself reports.
func (u *speedSums) add(observed, predicted, reported float64, now time.Time) {
	if predicted < minPredictedMS {
		return
	}
	kept := u.kept(now)
	ratio := min(maxSpeed, max(minSpeed, observed/predicted))
	if !u.known() {
		// The odd first sample of a server counts as half.
		ratio = math.Sqrt(ratio * reported)
	}
	part := min(maxSpeedSampleMS, predicted)
	u.observed, u.predicted, u.at = kept*u.observed+ratio*part, kept*u.predicted+part, now
}

func (u *speedSums) kept(now time.Time) float64 {
	return math.Exp2(-max(0, now.Sub(u.at).Seconds()) / speedHalfLife.Seconds())
}

func (u *speedSums) known() bool { return u.predicted > 0 }

// speed is observed against predicted times, pulled to the reported speed.
func (u *speedSums) speed(reported float64, now time.Time) float64 {
	kept := u.kept(now)
	return (kept*u.observed + speedPriorMS*reported) / (kept*u.predicted + speedPriorMS)
}

// reportedSpeed is how many times as long as usual work takes by the server's own reports to this
// host; 1 without any.
func (s *Server) reportedSpeed() float64 {
	if s.slowdown == 0 {
		return 1
	}
	return s.slowdown / nominalSlowdown
}

// ownSlowdown is what this host knows of the server's speed, in hundredths; 0 if nothing. What it
// has observed includes what the server reports.
func (s *Server) ownSlowdown(now time.Time) float64 {
	if s.speedSums.known() {
		return nominalSlowdown * s.speedSums.speed(s.reportedSpeed(), now)
	}
	return s.slowdown
}

// speed is how many times as long as usual work takes at the server, as observed by all hosts of
// the region; 1 if nothing is known.
func (s *Server) speed(now time.Time) float64 {
	return min(maxSpeed, max(minSpeed, s.meanSlowdown(s.ownSlowdown(now))))
}
