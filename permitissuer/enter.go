package permitissuer

import (
	"time"

	"wheelgauge"
)

// Report takes over what a host has in flight, and grants the places that have become free.
func (i *Issuer) Report(uses *wheelgauge.HostUses) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	for _, u := range uses.Uses {
		i.report(uses, u, now).serve(now)
	}
}

// report applies the report of one server. The lock must be held.
func (i *Issuer) report(uses *wheelgauge.HostUses, u wheelgauge.PlaceUse, now time.Time) *places {
	p := i.places[u.Server]
	if p == nil {
		p = newPlaces(now)
		i.places[u.Server] = p
	}
	p.expire(now)
	p.apply(uses, u, now)
	return p
}

// Enter asks for a place at the first server of a request's uses. done is called once, with the
// lock held and perhaps before Enter returns. withdraw ends the wait, if there is one.
func (i *Issuer) Enter(req wheelgauge.PermitRequest, done func(wheelgauge.PermitResponse)) (withdraw func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now, maxWait := i.now(), min(wheelgauge.MaxPermitLead, time.Duration(req.MaxWaitMS)*time.Millisecond)
	p := i.report(req.Uses, req.Uses.Uses[0], now)
	p.serve(now)
	w := &waiter{host: req.Uses.Host, number: req.Place.Number, rank: req.Place.Rank, fallback: req.Fallback}
	w.done = func(granted bool) {
		if granted {
			done(wheelgauge.PermitResponse{Granted: true})
			return
		}
		done(p.refusal(w.rank, i.now()))
	}
	if !p.enter(w, maxWait, now) {
		w.done(false)
	}
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		if p.withdraw(w) {
			w.done(false)
		}
	}
}

func (p *places) refusal(rank int, now time.Time) wheelgauge.PermitResponse {
	after := min(wheelgauge.MaxPermitLead, max(minRetryAfter, p.expectedWait(p.waitersAhead(rank), now)))
	return wheelgauge.PermitResponse{DelayMS: after.Milliseconds()}
}

// answerPlace answers a request for a place, after a wait if there is none now.
func (i *Issuer) answerPlace(req wheelgauge.PermitRequest) wheelgauge.PermitResponse {
	answer := make(chan wheelgauge.PermitResponse, 1)
	withdraw := i.Enter(req, func(a wheelgauge.PermitResponse) { answer <- a })
	timer := time.NewTimer(min(wheelgauge.MaxPermitLead, time.Duration(req.MaxWaitMS)*time.Millisecond))
	defer timer.Stop()
	select {
	case a := <-answer:
		return a
	case <-timer.C:
		withdraw()
		return <-answer
	}
}
