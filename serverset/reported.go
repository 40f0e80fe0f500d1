package serverset

import (
	"strconv"
	"strings"
	"time"
)

const (
	// reportFresh is how long a server's own word of its load holds against the sum
	// that the region's hosts tell: that is 0.1 to 0.4 s old when it comes.
	reportFresh = 200 * time.Millisecond
	// fullFrom is the part of the requests that a server holds at most from which on
	// it may be full when one more arrives: some come from other hosts meanwhile.
	fullFrom = 0.6
	// shedCost is what a refusal by a full server costs a user, in milliseconds of
	// waiting: a second way, and a repeat of the few that all hosts may make.
	shedCost = 300.0
	// mostReported bounds each number that a server says of its load: sums of them stay
	// numbers of requests.
	mostReported = 1_000_000
	// usualPace is what a server reports whose work takes as long as usual; fastestPace and
	// slowestPace bound what is believed, so that no report draws all requests to one server.
	usualPace   = 100
	fastestPace = usualPace / 4
	slowestPace = 100 * usualPace
)

// Reported is what a server says of its own load in an answer.
type Reported struct {
	running int
	waiting int
	slots   int
	// pace is how long work takes there now, usualPace as usual; 0 if it is not told.
	pace int
}

// ParseReported reads "running,waiting,slots", perhaps with ",pace"; ok is false for anything
// else.
func ParseReported(text string) (r Reported, ok bool) {
	parts := strings.Split(text, ",")
	to := []*int{&r.running, &r.waiting, &r.slots, &r.pace}
	if len(parts) < 3 || len(parts) > len(to) {
		return r, false
	}
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return Reported{}, false
		}
		*to[i] = min(n, mostReported)
	}
	if len(parts) < len(to) {
		return r, true
	}
	if r.pace == 0 {
		return Reported{}, false // nothing takes no time
	}
	r.pace = min(max(r.pace, fastestPace), slowestPace)
	return r, true
}

// Report takes what the server said in its answer to this request; shed is set
// when it refused the request because it was full.
func (k *Pick) Report(r Reported, shed bool) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := k.server
	if r.slots > 0 {
		s.slots = r.slots
	}
	s.notePace(r.pace)
	held := r.running + r.waiting
	switch {
	case s.pushback.BackingOff(t.now()):
	case shed && held > 0:
		s.full = held
	case held > s.full && s.full > 0:
		s.full = held
	}
	if t.engine(s) {
		return // what an engine has to read is not in it
	}
	// Of this host's own requests, the one just answered is there no more.
	s.others.Running = max(0, held-(s.running-1))
	s.othersAt, s.reportedAt = t.now(), t.now()
}

// reportedLately tells whether the server's own word is newer than sums of the region.
func (s *Server) reportedLately(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < reportFresh
}

// shedRisk is what the danger of a refusal costs, in milliseconds, at a server
// with so many requests that holds full at most; 0 while that is not known.
func shedRisk(inFlight, full float64) float64 {
	if full <= 0 {
		return 0
	}
	from := fullFrom * full
	return shedCost * min(1, max(0, (inFlight+1-from)/(full-from)))
}
