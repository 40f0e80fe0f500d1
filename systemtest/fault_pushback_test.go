package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge/fake/engine"
	"wheelgauge/fake/judge"
)

const (
	// refusalPeriod is how long an engine refuses requests; requestedBackoff is the
	// Retry-After of each refusal.
	refusalPeriod    = 2 * time.Second
	requestedBackoff = 3 * time.Second
)

// TestFaultServerBackoff: hosts send an engine no requests during the backoff that it
// requests, and use it again soon afterwards.
func TestFaultServerBackoff(t *testing.T) {
	load := launchPushbackLoad(t)
	until := time.Now().Add(refusalPeriod)
	load.command(t, fmt.Sprintf("/v1/back-off?for_ms=%d&retry_after=%g", refusalPeriod.Milliseconds(), requestedBackoff.Seconds()))
	time.Sleep(time.Until(until.Add(requestedBackoff + judge.ServerBackoff().Again())))
	load.await(t, "each engine gets requests again after its backoff", func() bool {
		for _, s := range load.engines {
			if at := load.lastArrival(t, s); at.Before(until.Add(requestedBackoff)) {
				return false
			}
		}
		return true
	})
	load.stop()
	refused := 0
	for _, s := range load.engines {
		for host, log := range load.arrivals(t, s) {
			var arrivals []time.Time
			for _, a := range log {
				arrivals = append(arrivals, time.UnixMilli(a.AtMS))
			}
			for i, a := range log {
				if a.RetryAfter == "" {
					continue
				}
				refused++
				if err := judge.ServerBackoff().Check(arrivals[i], requestedBackoff, arrivals); err != nil {
					t.Errorf("%s, requests from %s: %v", s.name, host, err)
					break
				}
			}
		}
	}
	if refused == 0 {
		t.Error("no request was refused by an engine, want at least one")
	}
	load.report(t)
}

// TestFaultServerLeavingHeader: an engine that announces in its responses that it
// leaves gets no more requests after one second.
func TestFaultServerLeavingHeader(t *testing.T) {
	const known = time.Second
	load := launchPushbackLoad(t)
	load.command(t, "/v1/say-leaving")
	time.Sleep(2 * requestedBackoff)
	load.stop()
	for _, s := range load.engines {
		for host, log := range load.arrivals(t, s) {
			var announced time.Time
			late := 0
			for _, a := range log {
				at := time.UnixMilli(a.AtMS)
				if a.Leaving && announced.IsZero() {
					announced = at
				}
				if !announced.IsZero() && at.Sub(announced) > known {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%s got %d requests from %s later than %s after it announced that it leaves, want none", s.name, late, host, known)
			}
		}
	}
	load.report(t)
}

// pushbackLoad sends load through all hosts while the first engine of each region
// pushes back.
type pushbackLoad struct {
	engines []*server
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// served, refused and failed count requests by result; failed ones were neither
	// served nor refused with Retry-After.
	served, refused, failed atomic.Int64
}

func launchPushbackLoad(t *testing.T) *pushbackLoad {
	t.Helper()
	s := smallTopology()
	s.hosts, s.engines = []int{2, 1, 1}, []int{3, 2, 2}
	s.engineArgs = []string{"--step", "2ms"}
	d := launch(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	l := &pushbackLoad{cancel: cancel}
	t.Cleanup(l.stop)
	seen := map[string]bool{}
	for _, e := range d.servers {
		if e.pool == "engines" && !seen[e.region] {
			seen[e.region] = true
			l.engines = append(l.engines, e)
		}
	}
	for _, n := range d.nodes {
		for w := range 3 {
			l.group.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					l.record(d.send(n, chat(testClient(n.region), fmt.Sprintf("question %d of %d at %s", i, w, n.name), 2)))
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	l.await(t, "each engine gets requests", func() bool {
		for _, s := range l.engines {
			if l.lastArrival(t, s).IsZero() {
				return false
			}
		}
		return true
	})
	return l
}

func (l *pushbackLoad) record(r reply) {
	switch {
	case r.status == http.StatusOK:
		l.served.Add(1)
	case r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "":
		l.refused.Add(1)
	default:
		l.failed.Add(1)
	}
}

func (l *pushbackLoad) stop() {
	l.cancel()
	l.group.Wait()
}

// command sends a control request to the engines that push back.
func (l *pushbackLoad) command(t *testing.T, path string) {
	t.Helper()
	for _, s := range l.engines {
		resp, err := http.Get("http://" + s.addr + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

// arrivals returns the requests that an engine received, by sending host.
func (l *pushbackLoad) arrivals(t *testing.T, s *server) map[string][]engine.Asked {
	t.Helper()
	var log []engine.Asked
	if err := getJSON("http://"+s.addr+"/v1/asked", &log); err != nil {
		t.Fatal(err)
	}
	out := map[string][]engine.Asked{}
	for _, a := range log {
		parts := strings.Split(a.ID, "-")
		host := strings.Join(parts[:len(parts)-2], "-")
		out[host] = append(out[host], a)
	}
	return out
}

// lastArrival returns when an engine received its last request; zero if none.
func (l *pushbackLoad) lastArrival(t *testing.T, s *server) time.Time {
	t.Helper()
	var last time.Time
	for _, log := range l.arrivals(t, s) {
		if at := time.UnixMilli(log[len(log)-1].AtMS); at.After(last) {
			last = at
		}
	}
	return last
}

func (l *pushbackLoad) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

func (l *pushbackLoad) report(t *testing.T) {
	t.Helper()
	t.Logf("%d served, %d refused, %d failed", l.served.Load(), l.refused.Load(), l.failed.Load())
	if l.refused.Load() > 0 || l.failed.Load() > 0 {
		t.Errorf("%d requests were refused and %d failed while other engines were idle, want none", l.refused.Load(), l.failed.Load())
	}
}
