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
	// sickTime is for how long an engine turns requests away, backoffAsked the rest that it asks
	// for each time.
	sickTime     = 2 * time.Second
	backoffAsked = 3 * time.Second
)

// Engines that asked hosts for a backoff got requests all the same, then none for long.
func TestFaultBackoffIsKept(t *testing.T) {
	load := launchAsking(t)
	until := time.Now().Add(sickTime)
	load.tell(t, fmt.Sprintf("/v1/back-off?for_ms=%d&retry_after=%g", sickTime.Milliseconds(), backoffAsked.Seconds()))
	time.Sleep(time.Until(until.Add(backoffAsked + judge.ServerBackoff().Again())))
	load.await(t, "each engine is used again", func() bool {
		for _, s := range load.asking {
			if at := load.last(t, s); at.Before(until.Add(backoffAsked)) {
				return false
			}
		}
		return true
	})
	load.end()
	turned := 0
	for _, s := range load.asking {
		for host, log := range load.read(t, s) {
			var arrivals []time.Time
			for _, one := range log {
				arrivals = append(arrivals, time.UnixMilli(one.AtMS))
			}
			for i, one := range log {
				if one.RetryAfter == "" {
					continue
				}
				turned++
				if err := judge.ServerBackoff().Check(arrivals[i], backoffAsked, arrivals); err != nil {
					t.Errorf("%s from %s: %v", s.name, host, err)
					break
				}
			}
		}
	}
	if turned == 0 {
		t.Error("no request was turned away")
	}
	load.report(t)
}

// Engines that said in their answers that they leave got requests all the same.
func TestFaultServerThatSaysItLeaves(t *testing.T) {
	const known = time.Second
	load := launchAsking(t)
	load.tell(t, "/v1/say-leaving")
	time.Sleep(2 * backoffAsked)
	load.end()
	for _, s := range load.asking {
		for host, log := range load.read(t, s) {
			var told time.Time
			late := 0
			for _, one := range log {
				at := time.UnixMilli(one.AtMS)
				if one.Leaving && told.IsZero() {
					told = at
				}
				if !told.IsZero() && at.Sub(told) > known {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%s got %d requests from %s later than %s after it had said that it leaves", s.name, late, host, known)
			}
		}
	}
	load.report(t)
}

// askingLoad is a load on all hosts while the first engine of each region asks something.
type askingLoad struct {
	asking []*server
	cancel context.CancelFunc
	group  sync.WaitGroup
	// served, refused and silent count requests by their end; silent ones were neither served
	// nor told when to come back.
	served, refused, silent atomic.Int64
}

func launchAsking(t *testing.T) *askingLoad {
	t.Helper()
	s := smallShape()
	s.hosts, s.engines = []int{2, 1, 1}, []int{3, 2, 2}
	s.engine = []string{"--step", "2ms"}
	d := launch(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	l := &askingLoad{cancel: cancel}
	t.Cleanup(l.end)
	seen := map[string]bool{}
	for _, e := range d.servers {
		if e.pool == "engines" && !seen[e.region] {
			seen[e.region] = true
			l.asking = append(l.asking, e)
		}
	}
	for _, n := range d.nodes {
		for w := range 3 {
			l.group.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					l.note(d.do(n, chat(standby(n.region), fmt.Sprintf("question %d of %d at %s", i, w, n.name), 2)))
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	l.await(t, "each engine is used", func() bool {
		for _, s := range l.asking {
			if l.last(t, s).IsZero() {
				return false
			}
		}
		return true
	})
	return l
}

func (l *askingLoad) note(r reply) {
	switch {
	case r.status == http.StatusOK:
		l.served.Add(1)
	case r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "":
		l.refused.Add(1)
	default:
		l.silent.Add(1)
	}
}

func (l *askingLoad) end() {
	l.cancel()
	l.group.Wait()
}

// tell sends a command to the engines that ask.
func (l *askingLoad) tell(t *testing.T, path string) {
	t.Helper()
	for _, s := range l.asking {
		resp, err := http.Get("http://" + s.addr + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}

// read returns the requests that an engine got, by the host that sent them.
func (l *askingLoad) read(t *testing.T, s *server) map[string][]engine.Asked {
	t.Helper()
	var log []engine.Asked
	if err := getJSON("http://"+s.addr+"/v1/asked", &log); err != nil {
		t.Fatal(err)
	}
	out := map[string][]engine.Asked{}
	for _, one := range log {
		parts := strings.Split(one.ID, "-")
		host := strings.Join(parts[:len(parts)-2], "-")
		out[host] = append(out[host], one)
	}
	return out
}

// last returns when an engine got its last request; zero if it has not got any.
func (l *askingLoad) last(t *testing.T, s *server) time.Time {
	t.Helper()
	var last time.Time
	for _, log := range l.read(t, s) {
		if at := time.UnixMilli(log[len(log)-1].AtMS); at.After(last) {
			last = at
		}
	}
	return last
}

func (l *askingLoad) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not seen: %s", what)
		}
	}
}

func (l *askingLoad) report(t *testing.T) {
	t.Helper()
	t.Logf("%d served, %d refused, %d otherwise", l.served.Load(), l.refused.Load(), l.silent.Load())
	if l.refused.Load() > 0 || l.silent.Load() > 0 {
		t.Errorf("%d requests were refused and %d failed, with other engines idle", l.refused.Load(), l.silent.Load())
	}
}
