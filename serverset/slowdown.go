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
func (s *Server) slowdownFactor() float64 {
	sum, hosts := s.slowdown, 1
	if s.slowdown == 0 {
		hosts = 0
	}
	sum += float64(s.peerUse.SlowdownSum)
	hosts += s.peerUse.SlowdownHosts
	if hosts == 0 || sum <= 0 {
		return 1
	}
	return sum / float64(hosts) / nominalSlowdown
}
