// Package retrybudget bounds repeats over all hosts: each host spends a part
// of its own first sends and of a common allowance, so that the sum stays
// within the bound without messages.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// ratioFraction of the ratio is spent: first sends of other hosts count in other
	// windows than theirs.
	ratioFraction = 0.7
	// slackFraction of the common allowance is shared among the hosts.
	slackFraction = 0.6
	// shrinkDelay is how long a number of hosts holds that has become smaller: the
	// others may be cut off, and spend their parts of the allowance. Regions lose
	// each other for minutes.
	shrinkDelay = 5 * time.Minute
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
	// before is the largest number of hosts until some time, from when on hosts holds.
	previousHosts  int
	shrinkAt   time.Time
	windows map[string]*window
	started   time.Time
	now     func() time.Time
}

// New returns a budget for one of several hosts.
func New(o Options, now func() time.Time) *Budget {
	return &Budget{options: o, hosts: 1, windows: map[string]*window{}, started: now(), now: now}
}

// SetHosts tells how many hosts share the allowance. Fewer than before count
// only after a while.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if was := b.sharing(); n < was {
		b.previousHosts = was
		if b.hosts == was {
			b.shrinkAt = b.now().Add(shrinkDelay)
		}
	}
	b.hosts = max(1, n)
}

// sharing returns how many hosts share the allowance now; the lock is held.
func (b *Budget) sharing() int {
	if b.now().Before(b.shrinkAt) {
		return max(b.hosts, b.previousHosts)
	}
	return b.hosts
}

// First counts a first send.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, at := b.window(service)
	w.at(at).firsts++
}

// Repeat takes one repeat; false means that there is none left. Whatever was sent
// first in a window may be spent at once: when a server is lost, all that it ran
// is repeated in the same moment.
func (b *Budget) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, at := b.window(service)
	firsts, repeats := w.sums(at)
	most := ratioFraction*b.options.Ratio*float64(firsts) + slackFraction*b.options.Slack/float64(b.sharing())
	if float64(repeats+1) > most {
		return false
	}
	w.at(at).retries++
	return true
}

// window returns a service's window and the present step; the lock is held.
func (b *Budget) window(service string) (*window, int64) {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	// Steps begin at one: none of them is that of an empty count.
	return w, slotAt(b.now().Sub(b.started), b.options.Window) + slots + 1
}
