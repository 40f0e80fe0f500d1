package serverset

// paceWeight is the weight of a server's newest report of how long its work takes. Reports
// change many times a second: what a request meets while it runs is nearer the mean.
const paceWeight = 0.25

// notePace takes what the server reported; 0 is none. The lock is held.
func (s *Server) notePace(pace int) {
	switch {
	case pace == 0:
	case s.pace == 0:
		s.pace = float64(pace)
	default:
		s.pace += paceWeight * (float64(pace) - s.pace)
	}
}

// slowness is how many times as long as usual work takes at the server, by its reports to all
// hosts of the region; 1 where it reports nothing.
func (s *Server) slowness() float64 {
	sum, hosts := s.pace, 1
	if s.pace == 0 {
		hosts = 0
	}
	sum += float64(s.others.Pace)
	hosts += s.others.Paced
	if hosts == 0 || sum <= 0 {
		return 1
	}
	return sum / float64(hosts) / usualPace
}
