package ledger

import (
	"math"
	"time"

	"wheelgauge"
)

// Choose says which versions may get a request of a route that is expected to last for a
// while. A repeat goes to the versions that are known to work. The choice holds until release
// is called, once: when the request has ended, or is not sent to a server of this region.
func (l *Ledger) Choose(name, route string, lasts time.Duration, repeat bool) (c wheelgauge.VersionChoice, release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(name)
	c = l.choose(s, route, lasts, repeat)
	return c, l.hold(s, c)
}

// Otherwise chooses anew where no server of the version chosen takes the request; ok is
// false if no other may get it. listed is set if the version has servers in the region.
func (l *Ledger) Otherwise(name string, was wheelgauge.VersionChoice, listed bool) (c wheelgauge.VersionChoice, release func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(name)
	version, only := was.Only()
	switch {
	case !only || s.closed && s.rollout.Running() || s.rollout.Version != version:
		return c, nil, false
	case s.rollout.Running():
		c = wheelgauge.ExceptVersion(version)
	case s.rollout.State != wheelgauge.RolloutCompleted || listed:
		return c, nil, false
	}
	return c, l.hold(s, c), true
}

// hold keeps a choice open; the lock is held.
func (l *Ledger) hold(s *service, c wheelgauge.VersionChoice) (release func()) {
	version, only := c.Only()
	if !only {
		version = ""
	}
	s.open[version]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if s.open[version]--; s.open[version] == 0 {
			delete(s.open, version)
		}
	}
}

func (l *Ledger) choose(s *service, route string, lasts time.Duration, repeat bool) wheelgauge.VersionChoice {
	if !s.known {
		return wheelgauge.VersionChoice{}
	}
	target, others := wheelgauge.OnlyVersion(s.rollout.Version), wheelgauge.ExceptVersion(s.rollout.Version)
	now := l.options.Now()
	switch {
	case s.rollout.State == wheelgauge.RolloutCompleted && now.After(s.limit.Add(wheelgauge.RetiredAfter)):
		return wheelgauge.VersionChoice{}
	case s.rollout.State == wheelgauge.RolloutCompleted:
		return target
	case !s.rollout.Running():
		return others
	}
	l.close(s, now)
	switch {
	case s.closed && !l.allows(s, now):
		return wheelgauge.NoVersion() // for the moments until the time limit
	case s.closed:
		return target
	case repeat || now.Sub(l.confirmed) > lease || !l.allows(s, now):
		return others
	case s.rollout.Shifting && !now.Add(lasts).Before(s.limit.Add(-settleBefore)):
		return target // on another version it would still be in flight then
	case l.creditOf(s, route) >= 1 || l.seldom(s, route, now):
		return target
	}
	return others
}

// allows tells whether one more request may go to the target version: all of them after the
// time limit, this host's part of the share before.
func (l *Ledger) allows(s *service, now time.Time) bool {
	return s.rollout.Shifting && !now.Before(s.limit) || l.spare(s) >= 1
}

// seldom tells whether a request is a canary of the slack: it is spread over the rollout's time
// and goes to the routes that have shown the least. The lock is held.
func (l *Ledger) seldom(s *service, route string, now time.Time) bool {
	if !s.early || s.rollout.Shifting || !now.Before(s.limit) {
		return false
	}
	duration := time.Duration(s.rollout.DurationMS) * time.Millisecond
	passed := 1 - float64(s.limit.Sub(now))/float64(duration)
	if l.slack()*passed-s.slackUsed < 1 {
		return false
	}
	for _, sent := range s.canaries {
		if sent < s.canaries[route] {
			return false
		}
	}
	return true
}

// slack is this host's part of it.
func (l *Ledger) slack() float64 { return slackPart * l.options.Slack / float64(l.hosts) }

// spare is how many more requests may go to the target version by the host's share.
func (l *Ledger) spare(s *service) float64 {
	allowed := countedPart * l.options.Share * float64(s.sent+1)
	if s.early {
		allowed += l.slack()
	}
	return allowed - float64(s.sentTarget)
}

// close notes when nothing may be sent to other versions any more.
func (l *Ledger) close(s *service, now time.Time) {
	if s.closed || !s.rollout.Shifting || s.sent > 0 && s.sentTarget == 0 {
		return // no server of the target version is known to answer here
	}
	silent := now.Sub(l.confirmed)
	switch {
	case !now.Before(s.limit):
		s.closed = silent <= lease || silent > lostLease
	case now.Before(s.limit.Add(-settleBefore)) || silent > lease:
	default:
		expected := s.rate.At(now) * s.limit.Sub(now).Seconds()
		s.closed = l.spare(s) >= 1+expected+spareDeviations*math.Sqrt(expected+1)
	}
}
