package reachability

import (
	"sync"
	"time"
)

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

// Send is a request that was sent to a server or to a host of another region. A nil one does nothing.
type Send struct {
	tracker *Tracker
	// service is nil for a request that another host has got: it tells nothing of servers here.
	service *service
	server  string
	timeout time.Duration
	move    func() bool
	// mu is held while it is decided whether the request moves: nothing of its answer is passed on
	// meanwhile, and its exchange does not end. It is taken before the tracker's lock.
	mu sync.Mutex
	// waiting is set while the server is to send something, since the given time of the tracker;
	// noted once that was found to be silence.
	waiting, noted bool
	since          time.Duration
}

// Sent records that a request was sent to a server, whose first bytes are expected after some
// time; listed is how many servers the service has in the region. move sends the request elsewhere
// if it can go on there, and reports whether it does: the exchange is over then. It returns nil where
// so much time is expected that silence tells nothing.
func (t *Tracker) Sent(name, server string, listed int, expected time.Duration, move func() bool) *Send {
	if expected > maxSilence {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entry(name)
	r := &Send{
		tracker: t, service: s, server: server, move: move, waiting: true, since: t.observed,
		timeout: min(maxSilence, max(minSilence, silenceFactor*expected)),
	}
	s.sends[r], s.listed = struct{}{}, listed
	return r
}

// Forwarded records that a request was sent to a host of another region. Its silence tells nothing of
// servers; move is asked once it has lasted.
func (t *Tracker) Forwarded(move func() bool) *Send {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Send{tracker: t, move: move, waiting: true, since: t.observed, timeout: minSilence}
	t.forwarded[r] = struct{}{}
	return r
}

// Received records that the server sent something. It reports whether its service had been out of
// reach for silence alone.
func (r *Send) Received() (was bool) {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.waiting = false
	if r.service == nil {
		return false
	}
	r.service.receivedAt = r.tracker.observed
	return r.service.hanging && r.service.reached(r.tracker.now())
}

// Await records that more is expected of the server. Time in which the caller does not read is not
// the server's.
func (r *Send) Await() {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.waiting, r.noted, r.since = true, false, r.tracker.observed
}

// End records that nothing more is expected of the server. The request does not move afterwards.
func (r *Send) End() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.waiting = false
	r.tracker.forget(r)
}

// forget removes a request. The lock is held.
func (t *Tracker) forget(r *Send) {
	if r.service == nil {
		delete(t.forwarded, r)
		return
	}
	delete(r.service.sends, r)
}

// MoveSilent finds services out of reach of which no server sends anything any more, and moves the
// requests that wait for silent servers of services out of reach, where they can go on elsewhere. All
// others wait on: a slow server looks the same. It is called several times a second.
func (t *Tracker) MoveSilent() (isolated []string, moved int) {
	isolated, silent := t.findSilent()
	for _, r := range silent {
		if r.moveSilent() {
			moved++
		}
	}
	return isolated, moved
}

// findSilent finds services out of reach, and the requests that may move.
func (t *Tracker) findSilent() (isolated []string, movable []*Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if step := now.Sub(t.checkedAt); !t.checkedAt.IsZero() && step > 0 {
		t.observed += min(maxStep, step)
	}
	t.checkedAt = now
	for name, s := range t.services {
		silent := silentOf(s.sends, t.observed)
		if !s.unconfirmed(now) {
			if !s.hangs(silent, t.observed) {
				continue
			}
			s.isolated, s.failedAt, s.probedAt = true, now, now
			s.hanging, s.hangingSince = true, max(s.receivedAt, earliest(silent))
			isolated = append(isolated, name)
		}
		for _, r := range silent {
			if !r.noted {
				r.noted, s.failedAt = true, now
			}
		}
		movable = append(movable, silent...)
	}
	return isolated, append(movable, silentOf(t.forwarded, t.observed)...)
}

// hangs reports whether silent requests show that no server of the service sends anything any more.
func (s *service) hangs(silent []*Send, observed time.Duration) bool {
	servers := map[string]bool{}
	for _, r := range silent {
		servers[r.server] = true
	}
	return observed-s.receivedAt >= minSilence && len(silent) >= minFailures && len(servers) >= min(minServers, s.listed)
}

// moveSilent moves a request that still waits, if it can go on elsewhere.
func (r *Send) moveSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.move == nil || !r.stillSilent() || !r.move() {
		return false
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.waiting = false
	r.tracker.forget(r)
	return true
}

// stillSilent reports whether nothing has come since the request was found silent, of its server nor
// of another one of the service.
func (r *Send) stillSilent() bool {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.isSilent(t.observed) && (r.service == nil || r.service.unconfirmed(t.now()))
}

// isSilent reports whether the server has sent nothing for longer than expected. The lock is held.
func (r *Send) isSilent(observed time.Duration) bool {
	return r.waiting && observed-r.since >= r.timeout
}

// MayHang reports whether a request that can go nowhere else may go to a server of a service that is
// out of reach only because its servers are silent: they may be slow. Servers that have been silent for
// as long as the request has left are not expected to answer it.
func (t *Tracker) MayHang(name string, left time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s.unconfirmed(t.now()) && s.hanging && t.observed-s.hangingSince < left
}

// silentOf returns the requests whose servers have sent nothing for longer than expected.
func silentOf(sends map[*Send]struct{}, observed time.Duration) []*Send {
	var out []*Send
	for r := range sends {
		if r.isSilent(observed) {
			out = append(out, r)
		}
	}
	return out
}

// earliest returns since when the first of some requests has waited.
func earliest(sends []*Send) time.Duration {
	first := sends[0].since
	for _, r := range sends {
		first = min(first, r.since)
	}
	return first
}
