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
	// requestedBackoff is the backoff that an engine asks for, overloadTime how long it rejects
	// requests.
	requestedBackoff = 1500 * time.Millisecond
	overloadTime     = 700 * time.Millisecond
)

// pushbackLog records what engines asked of hosts and the requests that they got.
type pushbackLog struct {
	mu sync.Mutex
	// overloadedUntil is until when an engine rejects requests, leaving whether it announces
	// that it leaves.
	overloadedUntil map[string]time.Time
	leaving         map[string]bool
	// Times of backoff requests, of leaving announcements and of arrivals, by engine and host.
	backoffs, leavingSent, arrivals map[[2]string][]time.Time
}

func newPushbackLog() *pushbackLog {
	return &pushbackLog{overloadedUntil: map[string]time.Time{}, leaving: map[string]bool{}, backoffs: map[[2]string][]time.Time{}, leavingSent: map[[2]string][]time.Time{}, arrivals: map[[2]string][]time.Time{}}
}

// respond returns the response with which an engine rejects a request, and the headers that it
// adds to any response; both may be empty.
func (b *pushbackLog) respond(engine, body string) (rejection, headers string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	host, _, _ := strings.Cut(body, " ")
	pair, now := [2]string{engine, host}, time.Now()
	b.arrivals[pair] = append(b.arrivals[pair], now)
	if b.leaving[engine] {
		b.leavingSent[pair] = append(b.leavingSent[pair], now)
		headers = native.Headers().Leaving + ": 1\r\n"
	}
	if now.Before(b.overloadedUntil[engine]) {
		b.backoffs[pair] = append(b.backoffs[pair], now)
		rejection = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nRetry-After: %g\r\n%sContent-Length: 0\r\n\r\n", native.Headers().NotRun, requestedBackoff.Seconds(), headers)
	}
	return rejection, headers
}

// overload makes engines reject requests for overloadTime.
func (b *pushbackLog) overload(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		b.overloadedUntil[name] = time.Now().Add(overloadTime)
	}
}

func (b *pushbackLog) markLeaving(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		b.leaving[name] = true
	}
}

// Engines that ask a host for a backoff must not get requests from it until the backoff ends.
func TestBackoffIsRespected(t *testing.T) {
	tests := []struct {
		name string
		all  bool
		// patient callers observe Retry-After.
		patient bool
	}{
		{"some", false, true},
		{"all", true, true},
		{"all, and callers that do not wait", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := openFleet(t)
			c := f.startHostCallers(4, tt.patient)
			names := f.engines.names()
			if !tt.all {
				names = f.enginesInUse(t, c)
			}
			f.engines.pushback.overload(names)
			time.Sleep(overloadTime + requestedBackoff)
			waitFor(t, "every engine that asked to back off is used again", f.engines.pushback.resumed)
			c.stop()
			f.engines.pushback.checkBackoffs(t)
			if c.noRetryAfter.Load() > 0 {
				t.Errorf("%d requests failed or were rejected without Retry-After, want 0", c.noRetryAfter.Load())
			}
			refused := c.sent.Load() - c.served.Load()
			t.Logf("%d of %d requests were rejected", refused, c.sent.Load())
			if limit := c.count(); tt.patient && refused > limit {
				t.Errorf("%d requests were rejected, want at most one for each of %d callers", refused, limit)
			}
			if !tt.all && refused > 0 {
				t.Errorf("%d of %d requests were rejected, want 0", refused, c.sent.Load())
			}
		})
	}
}

// Engines that announce that they leave must get no more requests, though they are still listed.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	f := openFleet(t)
	c := f.startHostCallers(4, true)
	defer c.stop()
	f.engines.pushback.markLeaving(f.enginesInUse(t, c))
	time.Sleep(requestedBackoff)
	c.stop()
	f.engines.pushback.mu.Lock()
	defer f.engines.pushback.mu.Unlock()
	for pair, sentAt := range f.engines.pushback.leavingSent {
		if n := len(sentAt); sentAt[n-1].Sub(sentAt[0]) > time.Second {
			t.Errorf("%v: got %d requests over %s since the first announcement", pair, n, sentAt[n-1].Sub(sentAt[0]))
		}
	}
	if c.served.Load() < c.sent.Load() {
		t.Errorf("served %d of %d requests, want all", c.served.Load(), c.sent.Load())
	}
}

// enginesInUse returns at most two of the engines that get requests: a request that both reject
// still has one attempt left.
func (f *fleet) enginesInUse(t *testing.T, c *callers) []string {
	t.Helper()
	waitFor(t, "callers are served", func() bool { return c.served.Load() >= 100 })
	used := f.engines.pushback.usedSince(time.Time{})
	return used[:min(2, len(used))]
}

// names returns the names of the running engines.
func (e *engines) names() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, s := range e.list {
		out = append(out, s.Instance)
	}
	return out
}

// usedSince returns the sorted names of the engines that got a request after a time.
func (b *pushbackLog) usedSince(at time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := map[string]bool{}
	for pair, arrivals := range b.arrivals {
		if arrivals[len(arrivals)-1].After(at) {
			used[pair[0]] = true
		}
	}
	return slices.Sorted(maps.Keys(used))
}

// resumed reports whether each engine got requests after the last backoff that it asked for.
func (b *pushbackLog) resumed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	resumed := map[string]bool{}
	for pair, backoffs := range b.backoffs {
		arrivals := b.arrivals[pair]
		resumed[pair[0]] = resumed[pair[0]] || arrivals[len(arrivals)-1].After(backoffs[len(backoffs)-1].Add(requestedBackoff))
	}
	for _, ok := range resumed {
		if !ok {
			return false
		}
	}
	return true
}

func (b *pushbackLog) checkBackoffs(t *testing.T) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.backoffs) == 0 {
		t.Error("got no backoff requests, want some")
	}
	for pair, backoffs := range b.backoffs {
		for _, at := range backoffs {
			if err := judge.ServerBackoff().Check(at, requestedBackoff, b.arrivals[pair]); err != nil {
				t.Errorf("%v: %v", pair, err)
				break
			}
		}
	}
}

// startHostCallers starts callers at each host; their bodies begin with its name.
func (f *fleet) startHostCallers(perHost int, patient bool) *callers {
	return f.startCallersWith(callerOptions{count: perHost * fleetSize, bodyPrefix: "host-%d", impatient: !patient})
}
