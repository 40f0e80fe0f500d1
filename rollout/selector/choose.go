package selector

import (
	"math"
	"time"

	"wheelgauge"
)

// Choose returns the versions that may serve a request of a route, which is expected to last
// for the given time. A retry goes to versions that are known to work. The choice is tracked
// until release is called, which happens once: when the request has ended, or when it is not
// sent to a server of this region.
func (sel *Selector) Choose(name, route string, expected time.Duration, retry bool) (c wheelgauge.VersionFilter, release func()) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	s := sel.service(name)
	c = sel.choose(s, route, expected, retry)
	return c, sel.trackChoice(s, c)
}

// ChooseVersion returns the filter for a request that only one version may serve, as it continues
// what that version began; it allows none while the rollout excludes the version.
func (sel *Selector) ChooseVersion(name, version string) (c wheelgauge.VersionFilter, release func()) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	s := sel.service(name)
	c = wheelgauge.NoVersion()
	if sel.allowsVersion(s, version) {
		c = wheelgauge.OnlyVersion(version)
	}
	return c, sel.trackChoice(s, c)
}

// allowsVersion reports whether one more request may go to a version. The caller holds the lock.
func (sel *Selector) allowsVersion(s *service, version string) bool {
	if !s.hasRollout {
		return true
	}
	now, target := sel.options.Now(), version == s.rollout.Version
	switch {
	case s.rollout.State == wheelgauge.RolloutCompleted:
		return target || now.After(s.deadline.Add(wheelgauge.OldVersionGracePeriod))
	case !s.rollout.Running():
		return !target
	}
	sel.closeOthers(s, now)
	if !target {
		return !s.othersClosed
	}
	return sel.allowsTarget(s, now) && (s.othersClosed || now.Sub(sel.confirmedAt) <= stateLease)
}

// ChooseFallback returns the versions to use if no server of the chosen version takes the request;
// ok is false if no other version may serve it. listed reports whether the chosen version has
// servers in the region.
func (sel *Selector) ChooseFallback(name string, prev wheelgauge.VersionFilter, listed bool) (c wheelgauge.VersionFilter, release func(), ok bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	s := sel.service(name)
	version, only := prev.Only()
	switch {
	case !only || s.othersClosed && s.rollout.Running() || s.rollout.Version != version:
		return c, nil, false
	case s.rollout.Running():
		c = wheelgauge.ExceptVersion(version)
	case s.rollout.State != wheelgauge.RolloutCompleted || listed:
		return c, nil, false
	}
	return c, sel.trackChoice(s, c), true
}

// trackChoice counts a choice as open until release is called. The caller holds the lock.
func (sel *Selector) trackChoice(s *service, c wheelgauge.VersionFilter) (release func()) {
	version, only := c.Only()
	if !only {
		version = ""
	}
	s.open[version]++
	return func() {
		sel.mu.Lock()
		defer sel.mu.Unlock()
		if s.open[version]--; s.open[version] == 0 {
			delete(s.open, version)
		}
	}
}

func (sel *Selector) choose(s *service, route string, expected time.Duration, retry bool) wheelgauge.VersionFilter {
	if !s.hasRollout {
		return wheelgauge.VersionFilter{}
	}
	target, others := wheelgauge.OnlyVersion(s.rollout.Version), wheelgauge.ExceptVersion(s.rollout.Version)
	now := sel.options.Now()
	switch {
	case s.rollout.State == wheelgauge.RolloutCompleted && now.After(s.deadline.Add(wheelgauge.OldVersionGracePeriod)):
		return wheelgauge.VersionFilter{}
	case s.rollout.State == wheelgauge.RolloutCompleted:
		return target
	case !s.rollout.Running():
		return others
	}
	sel.closeOthers(s, now)
	switch {
	case s.othersClosed && !sel.allowsTarget(s, now):
		return wheelgauge.NoVersion() // only until the time limit, which is near
	case s.othersClosed:
		return target
	case retry || now.Sub(sel.confirmedAt) > stateLease || !sel.allowsTarget(s, now):
		return others
	case s.rollout.Shifting && !now.Add(expected).Before(s.deadline.Add(-completionMargin)):
		return target // on another version it would not end in time
	case sel.routeCredit(s, route) >= 1 || sel.allowsSlackCanary(s, route, now):
		return target
	}
	return others
}

// allowsTarget reports whether one more request may go to the target version: always after
// the time limit, within this host's share before it.
func (sel *Selector) allowsTarget(s *service, now time.Time) bool {
	return s.rollout.Shifting && !now.Before(s.deadline) || sel.remainingShare(s) >= 1
}

// allowsSlackCanary reports whether a request may be a canary from the slack. These canaries
// are spread over the rollout's time and go to the routes with the fewest canaries so far.
// The caller holds the lock.
func (sel *Selector) allowsSlackCanary(s *service, route string, now time.Time) bool {
	if !s.sawStart || s.rollout.Shifting || !now.Before(s.deadline) {
		return false
	}
	duration := time.Duration(s.rollout.DurationMS) * time.Millisecond
	elapsed := 1 - float64(s.deadline.Sub(now))/float64(duration)
	if sel.hostSlack()*elapsed-s.slackUsed < 1 {
		return false
	}
	for _, sent := range s.canaries {
		if sent < s.canaries[route] {
			return false
		}
	}
	return true
}

// hostSlack returns this host's share of the slack.
func (sel *Selector) hostSlack() float64 {
	if sel.hostCount == 0 {
		return 0
	}
	return slackRatio * sel.options.Slack / float64(sel.hostCount)
}

// remainingShare returns how many more requests this host may send to the target version.
func (sel *Selector) remainingShare(s *service) float64 {
	allowed := usedShareRatio * sel.options.Share * float64(s.sent+1)
	if s.sawStart {
		allowed += sel.hostSlack()
	}
	return allowed - float64(s.sentTarget)
}

// closeOthers closes the other versions once this host needs to send nothing to them any
// more.
func (sel *Selector) closeOthers(s *service, now time.Time) {
	if s.othersClosed || !s.rollout.Shifting || s.sent > 0 && s.sentTarget == 0 {
		return // no server of the target version is known to answer here
	}
	unconfirmed := now.Sub(sel.confirmedAt)
	switch {
	case !now.Before(s.deadline):
		s.othersClosed = unconfirmed <= stateLease || unconfirmed > presumedCompleteAfter
	case now.Before(s.deadline.Add(-completionMargin)) || unconfirmed > stateLease:
	default:
		expected := s.rate.At(now) * s.deadline.Sub(now).Seconds()
		s.othersClosed = sel.remainingShare(s) >= 1+expected+spareDeviations*math.Sqrt(expected+1)
	}
}
