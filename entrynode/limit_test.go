package entrynode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge/fake/judge"
)

const (
	// measureTime is how long arrivals are measured.
	measureTime = 6 * time.Second
	// requestInterval is the pause between the requests of a caller.
	requestInterval = 40 * time.Millisecond
)

// Servers that send a rate limit must not get more requests than that from all hosts together.
// If hosts ignore the limit and choose servers by load, limited servers respond quickly and look
// idle: servers with limits of 1.3 and 2.1 requests a second get 47 and 65 within four seconds,
// where 13 and 18 are allowed, even five seconds after they sent the limits. If each host applied
// the limit on its own, it would be exceeded by a factor of the number of hosts.
func TestServerLimits(t *testing.T) {
	f := openFleet(t)
	tests := []limitCase{
		{"two servers", 2, 2, 4, 1, 0.6},
		{"below one a second", 2, 0.5, 4, 1, 0.3},
		{"all servers", 8, 3, 4, 0, 0.6},
		{"all servers, and callers that want ten times as much", 8, 1, 40, 0, 0.6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.run(t, f) })
	}
}

// Hosts of a region without servers forward requests to limited servers through the hosts of
// the servers' region, and get their share of the limit.
func TestServerLimitsAcrossRegions(t *testing.T) {
	f := openFleetIn(t, "s", "n", "s", "s")
	tests := []limitCase{
		{"two servers", 2, 2, 4, 0.9, 0.5},
		{"all servers", 8, 3, 4, 0, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := tt.run(t, f)
			if c.servedBy[0].Load() == 0 {
				t.Error("got no responses for callers of the other region, want some")
			}
		})
	}
}

// limitCase is a load on servers that send limits.
type limitCase struct {
	name string
	// limited is how many engines send a limit of rate requests a second.
	limited int
	rate    float64
	// callers is the number of callers at each host.
	callers int
	// minServed is the smallest allowed share of requests served, minUsed that of the
	// limited engines' capacity used.
	minServed, minUsed float64
}

func (lc limitCase) run(t *testing.T, f *fleet) *callers {
	t.Helper()
	names := f.engines.setLimits(lc.limited, lc.rate)
	c := f.startCallers(lc.callers * fleetSize)
	defer c.stop()
	waitFor(t, "every host of the region has received the limits", func() bool { return f.limitsKnown(names) })
	from := time.Now().Add(measureTime / 6)
	time.Sleep(time.Until(from))
	c.reset()
	time.Sleep(measureTime)
	c.stop()
	used := 0
	var usedByServer []int
	for _, name := range names {
		arrivals := f.engines.arrivalsSince(name, from)
		used += len(arrivals)
		usedByServer = append(usedByServer, len(arrivals))
		if err := judge.ServerLimit().Check(lc.rate, arrivals); err != nil {
			t.Errorf("requests to %s: %v", name, err)
		}
	}
	offered := lc.rate * float64(lc.limited) * measureTime.Seconds()
	t.Logf("used %d of %.0f requests within the limits, by server %v; served %d of %d", used, offered, usedByServer, c.served.Load(), c.sent.Load())
	if float64(used) < lc.minUsed*offered {
		t.Errorf("used too few requests within the limits: %d of %.0f, by server %v", used, offered, usedByServer)
	}
	if served := float64(c.served.Load()); served < lc.minServed*float64(c.sent.Load()) {
		t.Errorf("served too few requests: %.0f of %d", served, c.sent.Load())
	}
	if c.noRetryAfter.Load() > 0 {
		t.Errorf("%d requests failed or were rejected without Retry-After, want 0", c.noRetryAfter.Load())
	}
	return c
}

// setLimits makes only the first engines send a limit, and returns their names.
func (e *engines) setLimits(count int, rate float64) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.limits)
	clear(e.limitSentAt)
	var names []string
	for _, s := range e.list[:count] {
		e.limits[s.Instance] = rate
		names = append(names, s.Instance)
	}
	return names
}

// arrivalsSince returns the times of requests to an engine at or after a time.
func (e *engines) arrivalsSince(name string, from time.Time) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := e.arrivals[name]
	for i, at := range all {
		if !at.Before(from) {
			return all[i:]
		}
	}
	return nil
}

// firstLimitAt returns when an engine first sent its limit; zero if it has not.
func (e *engines) firstLimitAt(name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limitSentAt[name]
}

// limitsKnown reports whether every host of the engines' region knows the limits.
func (f *fleet) limitsKnown(names []string) bool {
	for n, h := range f.hosts {
		if f.halls[n] != f.engines.hall {
			continue
		}
		for _, name := range names {
			if _, ok := h.limits.Rate(name); !ok {
				return false
			}
		}
	}
	return true
}

// callers send requests repeatedly and observe Retry-After.
type callers struct {
	options callerOptions
	fleet   *fleet
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// sent, served and noRetryAfter count requests, those that were served, and those that
	// failed or were rejected without Retry-After.
	sent, served, noRetryAfter atomic.Int64
	// servedBy counts the requests served by each host.
	servedBy [fleetSize]atomic.Int64
	// unexpected holds responses that were neither 200 nor 503.
	mu         sync.Mutex
	unexpected []response
}

// response is what a caller received from a host.
type response struct {
	host   int
	status int
	at     time.Time
}

func (f *fleet) startCallers(count int) *callers {
	return f.startCallersWith(callerOptions{count: count, bodyPrefix: "caller"})
}

// callerOptions configures callers.
type callerOptions struct {
	count int
	// bodyPrefix begins the bodies; %d in it is replaced by the host's number.
	bodyPrefix string
	// impatient callers ignore Retry-After.
	impatient bool
	// paths are requested in turn; /a/plain if empty.
	paths []string
}

// count returns the number of callers.
func (c *callers) count() int64 { return int64(c.options.count) }

func (f *fleet) startCallersWith(o callerOptions) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{fleet: f, cancel: cancel, options: o}
	for n := range o.count {
		c.group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				path := "/a/plain"
				if len(o.paths) > 0 {
					path = o.paths[i%len(o.paths)]
				}
				c.send(ctx, n%fleetSize, path, fmt.Sprintf("%s %d %d", strings.ReplaceAll(o.bodyPrefix, "%d", strconv.Itoa(n%fleetSize)), n, i))
			}
		})
	}
	return c
}

func (c *callers) reset() {
	c.sent.Store(0)
	c.served.Store(0)
	c.noRetryAfter.Store(0)
	for n := range c.servedBy {
		c.servedBy[n].Store(0)
	}
}

func (c *callers) stop() {
	c.cancel()
	c.group.Wait()
}

func (c *callers) send(ctx context.Context, host int, path, body string) {
	status, retryAfter, err := postFor(c.fleet.callerAddress(host), path, body)
	c.sent.Add(1)
	c.record(host, status)
	wait := requestInterval
	switch {
	case err == nil && status == http.StatusOK:
		c.served.Add(1)
		c.servedBy[host].Add(1)
	case err == nil && status == http.StatusServiceUnavailable && retryAfter > 0:
		if !c.options.impatient {
			wait = retryAfter
		}
	default:
		c.noRetryAfter.Add(1)
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

func (c *callers) record(host, status int) {
	if status == 0 || status == http.StatusOK || status == http.StatusServiceUnavailable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unexpected = append(c.unexpected, response{host, status, time.Now()})
}

// postFor sends a request and returns the status and the Retry-After time.
func postFor(address, path, body string) (int, time.Duration, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}
