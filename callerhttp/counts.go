package callerhttp

// Counts are totals of a Server since its start.
type Counts struct {
	// TurnedAway is the number of connections closed for want of places, Evicted that of idle
	// connections closed for the sake of new ones.
	TurnedAway int64
	Evicted    int64
	// RefusedEarly is the number of requests refused before their bodies were read.
	RefusedEarly int64
	// BodyBytes is the size of the bodies read for requests, DroppedBytes that of those read
	// and dropped after refusals.
	BodyBytes    int64
	DroppedBytes int64
}

// Counts returns the totals.
func (s *Server) Counts() Counts {
	return Counts{
		TurnedAway: s.turnedAway.Load(), Evicted: s.evicted.Load(), RefusedEarly: s.refusedEarly.Load(),
		BodyBytes: s.bodyBytes.Load(), DroppedBytes: s.droppedBytes.Load(),
	}
}
