package quarantine

import (
	"fmt"
	"slices"
	"time"

	"wheelgauge"
)

const (
	// firstTrialDelay is how long after its first refusal at a host a quarantined request may be
	// tried there: servers that crashed for a reason of their own are back by then, most of them.
	firstTrialDelay = 10 * time.Second
	// trialBackoff is the factor from one delay to the next.
	trialBackoff = 8
	// maxTrialCrashes is after how many crashes under a trial a request is not tried any more.
	maxTrialCrashes = 3
	// maxTrialDelay bounds the delay.
	maxTrialDelay = 24 * time.Hour
)

// trial is what a host knows of the trials of a quarantined request.
type trial struct {
	granted grantedTrials
	// isStale is set if granted has to be derived anew.
	isStale bool
	// since is when this host first refused the request after it learned of the last trial.
	since time.Time
	// used is the last trial of this host that it has begun.
	used int
}

// grantedTrials are the trials of a request at all hosts.
type grantedTrials struct {
	// number counts them, tried those that were sent since the last good run, crashed the crashes
	// under these.
	number, tried, crashed int
	// holder is the host that the last one was granted to, empty if a run has ended it.
	holder string
}

// trialName is the name of a trial in place of that of a server, so that the group of stores
// persists one host for each.
func trialName(number int) string { return fmt.Sprint("trial/", number) }

// trialDelay returns how long a host waits for the next trial after a number of them were sent.
func trialDelay(tried int) time.Duration {
	delay := firstTrialDelay
	for range tried {
		delay = min(trialBackoff*delay, maxTrialDelay)
	}
	return delay
}

// SetTrialHost lets this host try quarantined requests, under a name that no other host and no
// earlier start of this one has.
func (t *Table) SetTrialHost(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trialHost = name
}

// TakeTrial reports whether a host that is about to refuse a quarantined request may send it once
// instead. If the time for a trial has come, it asks the stores for one, which grant it to a single
// host. A request that crashed servers in maxTrialCrashes trials is not tried again.
func (t *Table) TakeTrial(request wheelgauge.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.trialHost == "" {
		return false
	}
	t.refresh()
	if !t.snapshot.Load().quarantined[request] {
		return false
	}
	own := t.trials[request]
	if own == nil {
		own = &trial{isStale: true, since: t.now()}
		t.trials[request] = own
	}
	if own.isStale {
		before := own.granted.number
		own.granted, own.isStale = t.grantedTrials(request), false
		if own.granted.number != before {
			own.since = t.now()
		}
	}
	granted := own.granted
	if granted.holder == t.trialHost && own.used < granted.number {
		own.used = granted.number
		return true
	}
	if granted.crashed < maxTrialCrashes && t.now().Sub(own.since) >= trialDelay(granted.tried) {
		t.put(wheelgauge.Crash{Fingerprint: request, Server: trialName(granted.number + 1), Trial: t.trialHost})
	}
	return false
}

// RecordTried records that a trial of this host is about to reach a server. One that is not sent,
// as its host ends before, does not delay the next.
func (t *Table) RecordTried(request wheelgauge.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := t.trials[request]; own != nil && own.used > 0 {
		t.put(wheelgauge.Crash{Fingerprint: request, Server: trialName(own.used), Trial: t.trialHost, Tried: true})
	}
}

// ReturnTrial gives back a trial whose request has reached no server.
func (t *Table) ReturnTrial(request wheelgauge.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := t.trials[request]; own != nil && own.used > 0 {
		own.used--
	}
}

// grantedTrials returns the trials of a request. The caller holds the lock.
func (t *Table) grantedTrials(request wheelgauge.Fingerprint) grantedTrials {
	var out grantedTrials
	crashes := t.merged(func(f wheelgauge.Fingerprint) bool { return f == request })
	for _, c := range crashes {
		if c.Trial != "" {
			out.number++
		}
		switch {
		case !c.Tried || c.Cleared:
		case c.Trial != "":
			out.tried++
		default:
			out.crashed++
		}
	}
	out.tried = max(out.tried, out.crashed)
	for _, c := range crashes {
		if c.Trial != "" && c.Server == trialName(out.number) && !c.Cleared {
			out.holder = c.Trial
		}
	}
	return out
}

// updateTrials forgets the trials of requests that are not quarantined any more, and has those of
// the others derived anew. The caller holds the lock.
func (t *Table) updateTrials(quarantined map[wheelgauge.Fingerprint]bool) {
	for request, own := range t.trials {
		own.isStale = true
		if !quarantined[request] {
			delete(t.trials, request)
		}
	}
}

// askedTrials returns the trials of quarantined requests that hosts ask for and that are not
// granted, sorted. The caller holds the lock.
func (t *Table) askedTrials() []wheelgauge.Crash {
	quarantined := t.snapshot.Load().quarantined
	var out []wheelgauge.Crash
	for _, e := range t.entries {
		if e.crash.Trial != "" && !e.crash.Cleared && quarantined[e.crash.Fingerprint] {
			out = append(out, e.crash)
		}
	}
	slices.SortFunc(out, compareCrashes)
	return out
}
