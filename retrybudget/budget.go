// Package retrybudget bounds repeats over all hosts: each host spends a part
// of its own first sends and of a common allowance, so that the sum stays
// within the bound without messages.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// part of the ratio is spent: first sends of other hosts count in other
	// windows than theirs.
	part = 0.7
	// slackPart of the common allowance is shared among the hosts.
	slackPart = 0.6
)

// Options of a Budget.
type Options struct {
	// Ratio is the repeats allowed for each first send.
	Ratio float64
	// Slack is the repeats allowed beyond that in a window, over all hosts.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
}

// Budget counts for each service. It is safe for concurrent use.
type Budget struct {
	options Options
	mu      sync.Mutex
	hosts   int
	left    map[string]float64
	at      map[string]time.Time
	now     func() time.Time
}

// New returns a budget for one of several hosts.
func New(o Options, now func() time.Time) *Budget {
	return &Budget{options: o, hosts: 1, left: map[string]float64{}, at: map[string]time.Time{}, now: now}
}

// SetHosts tells how many hosts share the allowance.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// allowance is this host's part of the slack in one window, and the most that
// is saved up from earlier ones.
func (b *Budget) allowance() float64 {
	return b.options.Slack * slackPart / float64(b.hosts)
}

// refill lets the allowance come back evenly over a window.
func (b *Budget) refill(service string) {
	now := b.now()
	at, ok := b.at[service]
	b.at[service] = now
	if !ok {
		b.left[service] = b.allowance() / 2
		return
	}
	gain := b.allowance() / 2 * now.Sub(at).Seconds() / b.options.Window.Seconds()
	b.left[service] = min(b.allowance(), b.left[service]+gain)
}

// First counts a first send.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(service)
	b.left[service] = min(b.allowance(), b.left[service]+b.options.Ratio*part)
}

// Repeat takes one repeat; false means that there is none left.
func (b *Budget) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(service)
	if b.left[service] < 1 {
		return false
	}
	b.left[service]--
	return true
}
