// Package retrybudget bounds retries over all hosts without messages: each host may spend a
// fraction of its own first sends and a share of a common allowance, so that the sum stays
// within the bound.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// ratioFraction of the ratio is spent, as the first sends of other hosts fall into other
	// windows.
	ratioFraction = 0.7
	// slackFraction of the common allowance is shared among the hosts.
	slackFraction = 0.6
	// shrinkDelay is how long a larger number of hosts stays in effect after it falls. The
	// missing hosts may be cut off and still spend their shares of the allowance; partitions
	// between regions last minutes.
	shrinkDelay = 5 * time.Minute
)

// Options of a Budget.
type Options struct {
	// Ratio is the number of retries allowed for each first send.
	Ratio float64
	// Slack is the number of retries allowed beyond that in a window, over all hosts.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget keeps a window for each service. It is safe for concurrent use.
type Budget struct {
	options Options
	mu      sync.Mutex
	hosts   int
	// known is set once the number of hosts is.
	known bool
	// previousHosts is the number of hosts that stays in effect until shrinkAt.
	previousHosts int
	shrinkAt      time.Time
	windows       map[string]*window
	started       time.Time
	now           func() time.Time
}

// New returns the budget of one host, which shares with no others until SetHosts.
func New(o Options, now func() time.Time) *Budget {
	return &Budget{options: o, hosts: 1, windows: map[string]*window{}, started: now(), now: now}
}

// SetHosts sets how many hosts share the allowance. A smaller number takes effect only after
// shrinkDelay. With 0, while the number is not known, the last one stays in effect; before the first
// one this host has no part of the allowance.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == 0 {
		if !b.known {
			b.hosts = 0
		}
		return
	}
	if previous := b.sharing(); b.known && n < previous {
		b.previousHosts = previous
		if b.hosts == previous {
			b.shrinkAt = b.now().Add(shrinkDelay)
		}
	}
	b.hosts, b.known = n, true
}

// sharing returns how many hosts share the allowance now. The lock must be held.
func (b *Budget) sharing() int {
	if b.now().Before(b.shrinkAt) {
		return max(b.hosts, b.previousHosts)
	}
	return b.hosts
}

// RecordFirst counts a first send.
func (b *Budget) RecordFirst(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, at := b.window(service)
	w.at(at).firsts++
}

// TryRetry takes one retry; false means that none is left. The whole budget of a window may be
// spent at once: when a server fails, all requests that it ran are retried at the same time.
func (b *Budget) TryRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, at := b.window(service)
	firsts, retries := w.sums(at)
	most := ratioFraction * b.options.Ratio * float64(firsts)
	if hosts := b.sharing(); hosts > 0 {
		most += slackFraction * b.options.Slack / float64(hosts)
	}
	if float64(retries+1) > most {
		return false
	}
	w.at(at).retries++
	return true
}

// window returns a service's window and the current slot. The lock must be held.
func (b *Budget) window(service string) (*window, int64) {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	// Slots begin above zero, which is the slot of an unused count.
	return w, slotAt(b.now().Sub(b.started), b.options.Window) + slots + 1
}
