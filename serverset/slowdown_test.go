package serverset

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

// Single slowdown reports are noisy; the average over reports and hosts counts.
func TestSlowdownFactor(t *testing.T) {
	tests := []struct {
		name    string
		reports []int
		others  wheelgauge.ServerUsage
		least   float64
		most    float64
	}{
		{"no reports", nil, wheelgauge.ServerUsage{}, 1, 1},
		{"as usual", []int{100, 100}, wheelgauge.ServerUsage{}, 1, 1},
		{"once slow", []int{100, 100, 100, 400}, wheelgauge.ServerUsage{}, 1.2, 2},
		{"always slow", []int{400, 400, 400}, wheelgauge.ServerUsage{}, 4, 4},
		{"no reports for a while", []int{400, 0, 0}, wheelgauge.ServerUsage{}, 4, 4},
		{"other hosts got reports", nil, wheelgauge.ServerUsage{SlowdownSum: 600, SlowdownHosts: 3}, 2, 2},
		{"most other hosts got other reports", []int{400}, wheelgauge.ServerUsage{SlowdownSum: 300, SlowdownHosts: 3}, 1.75, 1.75},
	}
	for _, tt := range tests {
		s := &Server{peerUse: tt.others}
		for _, r := range tt.reports {
			s.recordSlowdown(r)
		}
		if got := s.slowdownFactor(); got < tt.least || got > tt.most {
			t.Errorf("%s: %.2f, want %.2f to %.2f", tt.name, got, tt.least, tt.most)
		}
	}
}

// Waits must be shorter if slow engines get fewer requests because of their reports.
func TestSlowdownReportsShortenWaits(t *testing.T) {
	var means [2]time.Duration
	for n, reported := range []bool{false, true} {
		means[n] = simulateSlowdowns(reported)
	}
	t.Logf("mean wait %s without reports, %s with them", means[0], means[1])
	if means[1] > means[0]*9/10 {
		t.Errorf("mean wait is %s without reports and %s with them, want at least a tenth less", means[0], means[1])
	}
}

// simulateSlowdowns returns the mean time to the first event.
func simulateSlowdowns(reported bool) time.Duration {
	const (
		engines = 8
		rate    = 60 // requests a second
		prefill = 40 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(3, 4))
	at := time.Unix(1000, 0)
	service := &wheelgauge.Service{Name: "s", MaxConns: 100, KVCacheTokens: 500_000}
	table := New(Place{Host: "g", Hall: "h", Peers: []string{"g"}}, func(string) *wheelgauge.Service { return service }, func() time.Time { return at })
	var list []wheelgauge.Server
	slowdowns := map[string]float64{}
	for n := range engines {
		s := wheelgauge.Server{Instance: fmt.Sprint("i", n), Service: "s", Hall: "h", Slots: 64, Address: fmt.Sprint("127.0.0.1:", 9000+n)}
		slowdowns[s.Instance] = []float64{0.6, 1, 1, 1.5}[n%4]
		list = append(list, s)
	}
	table.replaceList(list, at)
	freeAt := map[string]time.Time{}
	type running struct {
		pick  *Pick
		first time.Time
		ends  time.Time
	}
	var open []running
	total, count := time.Duration(0), 0
	for range 60 * rate {
		at = at.Add(time.Duration(float64(time.Second) * rng.ExpFloat64() / rate))
		var left []running
		for _, r := range open {
			if !at.Before(r.first) {
				r.pick.FirstEvent()
			}
			if at.Before(r.ends) {
				left = append(left, r)
				continue
			}
			if slowdown := slowdowns[r.pick.Server().Instance()] * (0.6 + 0.8*rng.Float64()); reported {
				r.pick.Report(LoadReport{running: 1, slots: 64, slowdown: int(100 * slowdown)}, false)
			}
			r.pick.Done(Served)
		}
		open = left
		k := table.Choose(NewJob("s", prompt.Parse(fmt.Sprintf("own%d:4480", count), "4480,100", ""), 0, nil))
		if k == nil {
			continue
		}
		name := k.Server().Instance()
		begin := freeAt[name]
		if begin.Before(at) {
			begin = at
		}
		first := begin.Add(time.Duration(slowdowns[name] * float64(prefill)))
		freeAt[name] = first
		total, count = total+first.Sub(at), count+1
		open = append(open, running{k, first, first.Add(time.Duration(slowdowns[name] * float64(time.Second)))})
	}
	return total / time.Duration(count)
}
