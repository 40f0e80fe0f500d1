package entrynode

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelgauge/fake/judge"
	"wheelgauge/native"
)

const (
	// backoffAsked is the rest that an engine asks for, sickTime for how long it turns requests
	// away.
	backoffAsked = 1500 * time.Millisecond
	sickTime     = 700 * time.Millisecond
)

// pushbackBook notes what engines asked of hosts and what they got from them.
type pushbackBook struct {
	mu sync.Mutex
	// sick is until when an engine turns requests away, leaving since when one leaves.
	sick    map[string]time.Time
	leaving map[string]bool
	// asked and got are when a host was asked to back off, or told that the engine leaves, and
	// when its requests came, by engine and host.
	asked, told, got map[[2]string][]time.Time
}

func newPushbackBook() *pushbackBook {
	return &pushbackBook{sick: map[string]time.Time{}, leaving: map[string]bool{}, asked: map[[2]string][]time.Time{}, told: map[[2]string][]time.Time{}, got: map[[2]string][]time.Time{}}
}

// answer renders what an engine answers a request instead of running it, and what it adds to
// any answer; both are empty if it asks nothing.
func (b *pushbackBook) answer(engine, body string) (instead, more string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	host, _, _ := strings.Cut(body, " ")
	row, now := [2]string{engine, host}, time.Now()
	b.got[row] = append(b.got[row], now)
	if b.leaving[engine] {
		b.told[row] = append(b.told[row], now)
		more = native.Headers().Leaving + ": 1\r\n"
	}
	if now.Before(b.sick[engine]) {
		b.asked[row] = append(b.asked[row], now)
		instead = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nRetry-After: %g\r\n%sContent-Length: 0\r\n\r\n", native.Headers().NotRun, backoffAsked.Seconds(), more)
	}
	return instead, more
}

// rest lets engines turn requests away for a while.
func (b *pushbackBook) rest(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		b.sick[name] = time.Now().Add(sickTime)
	}
}

func (b *pushbackBook) leave(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		b.leaving[name] = true
	}
}

// Engines that asked hosts for a backoff got requests all the same.
func TestBackoffIsKept(t *testing.T) {
	tests := []struct {
		name string
		all  bool
		// patient callers come back when they are told to.
		patient bool
	}{
		{"some", false, true},
		{"all", true, true},
		{"all, and callers that do not wait", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := openFleet(t)
			c := f.hostCallers(4, tt.patient)
			names := f.engines.names()
			if !tt.all {
				names = f.busy(t, c)
			}
			f.engines.book.rest(names)
			time.Sleep(sickTime + backoffAsked)
			until(t, "every engine that asked to back off is used again", f.engines.book.usedAgain)
			c.end()
			f.engines.book.checkBackoffs(t)
			if c.unpromised.Load() > 0 {
				t.Errorf("%d requests were refused without a time to come back, or failed", c.unpromised.Load())
			}
			refused := c.asked.Load() - c.served.Load()
			t.Logf("%d of %d requests were refused", refused, c.asked.Load())
			if most := c.count(); tt.patient && refused > most {
				t.Errorf("%d requests were refused, want one of each of %d callers at most", refused, most)
			}
			if !tt.all && refused > 0 {
				t.Errorf("%d of %d requests were refused", refused, c.asked.Load())
			}
		})
	}
}

// Engines that said that they leave got requests for as long as they were listed.
func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	f := openFleet(t)
	c := f.hostCallers(4, true)
	defer c.end()
	f.engines.book.leave(f.busy(t, c))
	time.Sleep(backoffAsked)
	c.end()
	f.engines.book.mu.Lock()
	defer f.engines.book.mu.Unlock()
	for row, told := range f.engines.book.told {
		if n := len(told); told[n-1].Sub(told[0]) > time.Second {
			t.Errorf("%v got %d requests over %s since it was told", row, n, told[n-1].Sub(told[0]))
		}
	}
	if c.served.Load() < c.asked.Load() {
		t.Errorf("%d of %d requests were served", c.served.Load(), c.asked.Load())
	}
}

// busy returns two of the engines that callers' requests go to, or one: a request that is
// turned away by both still has a send left.
func (f *fleet) busy(t *testing.T, c *callers) []string {
	t.Helper()
	until(t, "callers are served", func() bool { return c.served.Load() >= 100 })
	used := f.engines.book.usedSince(time.Time{})
	return used[:min(2, len(used))]
}

// names returns those of the engines.
func (e *engines) names() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, s := range e.list {
		out = append(out, s.Instance)
	}
	return out
}

// usedSince returns the engines that got a request after a moment, in order of their names.
func (b *pushbackBook) usedSince(at time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := map[string]bool{}
	for row, got := range b.got {
		if got[len(got)-1].After(at) {
			used[row[0]] = true
		}
	}
	return slices.Sorted(maps.Keys(used))
}

// usedAgain tells whether each engine got requests after the last rest that it asked for.
func (b *pushbackBook) usedAgain() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	again := map[string]bool{}
	for row, asked := range b.asked {
		got := b.got[row]
		again[row[0]] = again[row[0]] || got[len(got)-1].After(asked[len(asked)-1].Add(backoffAsked))
	}
	for _, one := range again {
		if !one {
			return false
		}
	}
	return true
}

func (b *pushbackBook) checkBackoffs(t *testing.T) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.asked) == 0 {
		t.Error("no host was asked to back off")
	}
	for row, asked := range b.asked {
		for _, at := range asked {
			if err := judge.ServerBackoff().Check(at, backoffAsked, b.got[row]); err != nil {
				t.Errorf("%v: %v", row, err)
				break
			}
		}
	}
}

// hostCallers are so many callers at each host; their bodies begin with its name.
func (f *fleet) hostCallers(each int, patient bool) *callers {
	return f.callersWith(callerOptions{count: each * fleetSize, word: "host-%d", impatient: !patient})
}
