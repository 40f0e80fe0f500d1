// Package permitissuer gives the permits to send requests to backend servers that have
// named a limit: as many a second as the server takes from all hosts together.
package permitissuer

import (
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/serverlimit"
)

const (
	// leastRate is what a server gets that wants less, in requests a second: without any
	// request nobody would hear that its limit has ended.
	leastRate = 0.1
	// saved is how many permits are kept that nobody asked for, besides the one that is due.
	saved = 2
	// insteadPart of the limit is given in place of the store that usually gives it, and
	// nothing is saved: some hosts may still reach that one, and both together stay below
	// one and a half times the limit.
	insteadPart = 0.4
	// furthest is how much later than the next permit a host is told to come back.
	furthest = time.Second
	// leastAfter is the soonest that a host is told to come back.
	leastAfter = 20 * time.Millisecond
	// life is how long a server is kept that nobody asks for.
	life = 5 * time.Minute
)

// key tells what is given as the server's own store from what is given in place of it.
type key struct {
	server  string
	instead bool
}

// schedule is that of one server's permits.
type schedule struct {
	// gap is the time between two permits.
	gap     time.Duration
	instead bool
	// next is when the next permit is due if none was saved.
	next time.Time
	// turn is when the last host that was refused comes back.
	turn  time.Time
	asked time.Time
}

// Issuer is safe for concurrent use.
type Issuer struct {
	limits    *serverlimit.Table
	mu        sync.Mutex
	schedules map[key]*schedule
	now       func() time.Time
}

// New returns an issuer that goes by limits and reads time from now. It has nothing saved
// for any server: what was given before its start is not known.
func New(limits *serverlimit.Table, now func() time.Time) *Issuer {
	return &Issuer{limits: limits, schedules: map[key]*schedule{}, now: now}
}

// Answer answers a host that asks, and takes what the host knows of the limit.
func (i *Issuer) Answer(ask wheelgauge.PermitAsk) wheelgauge.PermitAnswer {
	server := ask.Limit.Server
	i.limits.Merge([]wheelgauge.ServerLimit{ask.Limit})
	a := wheelgauge.PermitAnswer{Limit: i.limits.Word(server)}
	rate, limited := i.limits.Rate(server)
	if !limited {
		a.Granted = true // a later answer of the server, to another host, lacked the limit
		return a
	}
	after, ok := i.Take(server, rate, time.Duration(ask.PatienceMS)*time.Millisecond, ask.Instead)
	a.Granted, a.AfterMS = ok, after.Milliseconds()
	return a
}

// Take takes a permit for a request to a server whose limit is rate, in requests a second.
// The request may be sent after a time that is no longer than its patience. If there is no
// permit, after says when to ask again.
func (i *Issuer) Take(server string, rate float64, patience time.Duration, instead bool) (after time.Duration, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	s := i.schedule(key{server, instead}, gapOf(rate, instead), now)
	s.asked = now
	due := s.next.Add(-s.early())
	wait := max(0, due.Sub(now))
	if wait > min(patience, wheelgauge.MostPermitWait) {
		return s.comeBack(due, now), false
	}
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(s.gap)
	return wait, true
}

func gapOf(rate float64, instead bool) time.Duration {
	rate = max(rate, leastRate)
	if instead {
		rate *= insteadPart
	}
	return max(1, time.Duration(float64(time.Second)/rate))
}

// schedule returns a server's, adapted to its limit of now; the lock is held.
func (i *Issuer) schedule(k key, gap time.Duration, now time.Time) *schedule {
	s := i.schedules[k]
	if s == nil {
		s = &schedule{gap: gap, instead: k.instead}
		s.next = now.Add(gap + s.early())
		i.schedules[k] = s
	}
	if s.gap != gap {
		s.change(gap, now)
	}
	return s
}

// change adapts to another limit: what was saved is as many permits as before, and what was
// given ahead is no longer good.
func (s *schedule) change(gap time.Duration, now time.Time) {
	ahead := time.Duration(float64(s.next.Sub(now)) / float64(s.gap) * float64(gap))
	s.gap, s.turn = gap, time.Time{}
	s.next = now.Add(min(ahead, s.early()+gap))
}

// early is how long before its time a permit is given when earlier ones were saved.
func (s *schedule) early() time.Duration {
	if s.instead {
		return 0
	}
	return saved * s.gap
}

// comeBack gives hosts that are refused turns one after another: told the same moment, all
// of them would ask for the one permit.
func (s *schedule) comeBack(due, now time.Time) time.Duration {
	if s.turn.Before(due) {
		s.turn = due
	} else {
		s.turn = s.turn.Add(s.gap)
	}
	if last := due.Add(furthest); s.turn.After(last) {
		s.turn = last
	}
	return max(leastAfter, s.turn.Sub(now))
}

// Prune forgets servers that nobody asks for.
func (i *Issuer) Prune() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for k, s := range i.schedules {
		if i.now().Sub(s.asked) > life {
			delete(i.schedules, k)
		}
	}
}
