package reachability

import "time"

const (
	// minSilence is the shortest wait for a server that counts as silence: a sound one may
	// pause for a second or so.
	minSilence = 2 * time.Second
	// maxSilence bounds the wait where more was expected. Waits that were expected to take
	// longer tell nothing.
	maxSilence = 4 * time.Second
	// silenceFactor is the wait that counts as silence, as a multiple of the one expected.
	silenceFactor = 3
	// maxStep bounds the time that counts between two checks: a host that was stopped has not
	// read yet what arrived meanwhile.
	maxStep = 500 * time.Millisecond
)

// Send is a request that was sent to a server. A nil one does nothing.
type Send struct {
	tracker *Tracker
	service *service
	server  string
	timeout time.Duration
	abort   func()
	// waiting is set while the server is to send something, since the given time of the tracker.
	waiting bool
	since   time.Duration
}

// Sent records that a request was sent to a server, whose first bytes are expected after some
// time; listed is how many servers the service has in the region. abort ends the exchange; nil for
// a request that cannot be sent again. It returns nil where so much time is expected that silence
// tells nothing.
func (t *Tracker) Sent(name, server string, listed int, expected time.Duration, abort func()) *Send {
	if expected > maxSilence {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entry(name)
	r := &Send{
		tracker: t, service: s, server: server, abort: abort, waiting: true, since: t.observed,
		timeout: min(maxSilence, max(minSilence, silenceFactor*expected)),
	}
	s.sends[r], s.listed = struct{}{}, listed
	return r
}

// Received records that the server sent something.
func (r *Send) Received() {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.waiting = false
	r.service.receivedAt = r.tracker.observed
}

// Await records that more is expected of the server. Time in which the caller does not read is not
// the server's.
func (r *Send) Await() {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.waiting, r.since = true, r.tracker.observed
}

// End records that nothing more is expected of the server.
func (r *Send) End() {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	delete(r.service.sends, r)
}

// AbortSilent finds services out of reach of which no server sends anything any more, and aborts
// the requests that wait for silent servers of services out of reach. It is called several times a
// second.
func (t *Tracker) AbortSilent() (isolated []string, aborted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if step := now.Sub(t.checkedAt); !t.checkedAt.IsZero() && step > 0 {
		t.observed += min(maxStep, step)
	}
	t.checkedAt = now
	for name, s := range t.services {
		silent := s.silent(t.observed)
		if !s.unconfirmed(now) {
			servers := map[string]bool{}
			for _, r := range silent {
				servers[r.server] = true
			}
			if t.observed-s.receivedAt < minSilence || len(silent) < minFailures || len(servers) < min(minServers, s.listed) {
				continue
			}
			s.isolated, s.failedAt, s.probedAt = true, now, now
			isolated = append(isolated, name)
		}
		for _, r := range silent {
			if r.abort == nil {
				continue
			}
			delete(s.sends, r)
			r.abort()
			aborted++
		}
	}
	return isolated, aborted
}

// silent returns the requests whose servers have sent nothing for longer than expected.
func (s *service) silent(observed time.Duration) []*Send {
	var out []*Send
	for r := range s.sends {
		if r.waiting && observed-r.since >= r.timeout {
			out = append(out, r)
		}
	}
	return out
}
