package coldprobe

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

// answers are the times left by server; others do not answer.
type answers struct {
	mu     sync.Mutex
	left   map[string]time.Duration
	probed map[string]int
}

func (a *answers) ColdFor(_ context.Context, s wheelgauge.Server, _ string) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probed[s.Instance]++
	left, ok := a.left[s.Instance]
	if !ok {
		return 0, errors.New("no answer")
	}
	return left, nil
}

func TestRoundFindsColdServers(t *testing.T) {
	a := &answers{left: map[string]time.Duration{"warm": 0, "cold": time.Second}, probed: map[string]int{}}
	clock := manualclock.New()
	p := New(Options{
		Source: a,
		Servers: func() []wheelgauge.Server {
			return []wheelgauge.Server{{Instance: "warm", Service: "s"}, {Instance: "cold", Service: "s"}, {Instance: "silent", Service: "s"}, {Instance: "other", Service: "plain"}}
		},
		HealthPath: func(service string) string { return map[string]string{"s": "/health"}[service] },
		Now:        clock.Now, Log: logr.Discard(),
	})
	answered := p.Round(t.Context())
	clock.Advance(400 * time.Millisecond)
	if found := p.Cold(); answered != 2 || len(found) != 1 || found[0] != (wheelgauge.ColdServer{Server: "cold", LeftMS: 600}) || a.probed["other"] != 0 {
		t.Errorf("got %d answers, cold %v, probes %v, want 2, only one cold, and none of the service without a path", answered, found, a.probed)
	}
	clock.Advance(time.Second)
	if found := p.Cold(); len(found) != 0 {
		t.Errorf("got cold %v after the time, want none", found)
	}
}

// More servers than a round probes take turns.
func TestServersTakeTurns(t *testing.T) {
	const servers = 100
	a := &answers{probed: map[string]int{}}
	var list []wheelgauge.Server
	for i := range servers {
		list = append(list, wheelgauge.Server{Instance: fmt.Sprint(i)})
	}
	p := New(Options{Source: a, Servers: func() []wheelgauge.Server { return list }, HealthPath: func(string) string { return "/health" }, Now: time.Now, Log: logr.Discard()})
	for range 5 {
		p.Round(t.Context())
	}
	for name, probes := range a.probed {
		if probes != 5*maxProbes/servers {
			t.Errorf("server %s: %d probes in five rounds, want %d", name, probes, 5*maxProbes/servers)
		}
	}
	if len(a.probed) != servers {
		t.Errorf("%d servers probed, want %d", len(a.probed), servers)
	}
}
