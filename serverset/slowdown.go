package serverset

// slowdownWeight is the weight of a server's newest report in the average. Reports change
// many times a second: the average is closer to what a request meets while it runs.
const slowdownWeight = 0.25

// recordSlowdown records a reported slowdown; 0 is none. The lock is held.
func (s *Server) recordSlowdown(slowdown int) {
	switch {
	case slowdown == 0:
	case s.slowdown == 0:
		s.slowdown = float64(slowdown)
	default:
		s.slowdown += slowdownWeight * (float64(slowdown) - s.slowdown)
	}
}

// slowdownFactor is how many times as long as usual work takes at the server, by its reports
// to all hosts of the region; 1 without reports.
func (s *Server) slowdownFactor() float64 { return s.meanSlowdown(s.slowdown) }

// meanSlowdown is the mean of this host's figure, 0 if it has none, and of the others', as a
// factor; 1 without any.
func (s *Server) meanSlowdown(own float64) float64 {
	sum, hosts := own, 1
	if own == 0 {
		hosts = 0
	}
	sum += float64(s.peerUse.SlowdownSum)
	hosts += s.peerUse.SlowdownHosts
	if hosts == 0 || sum <= 0 {
		return 1
	}
	return sum / float64(hosts) / nominalSlowdown
}
