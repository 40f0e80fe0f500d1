package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge/fake/arrivalbound"
)

const (
	// engineBears is the number of rejections a second that each engine says it bears.
	engineBears = 3
	// brittleRequests is the load in requests a second, and brittleTokens the steps of 10 ms that
	// each request runs: 1.5 times what three engines of 8 slots can run.
	brittleRequests = 150
	brittleTokens   = 24
)

// Engines that say how many rejections they bear rejected more than that in most seconds.
func TestFaultServersRejectMoreThanTheyBear(t *testing.T) {
	s := smallTopology()
	s.hosts, s.engines = []int{2, 1, 1}, []int{1, 1, 1}
	s.engineArgs = []string{"--bears", fmt.Sprint(engineBears), "--queue", "1", "--step", "10ms"}
	d := launch(t, s)
	for _, n := range d.nodes { // hosts learn the number by answers
		if r := d.send(n, chat(testClient(n.region), "first question at "+n.name, 1)); r.status != http.StatusOK {
			t.Fatalf("first question at %s: %s", n.name, r)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var group sync.WaitGroup
	var served, refused, failed atomic.Int64
	tick := time.NewTicker(time.Second / brittleRequests)
	defer tick.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		<-tick.C
		n := d.nodes[i%len(d.nodes)]
		group.Go(func() {
			r := d.send(n, chat(testClient(n.region), fmt.Sprintf("question %d at %s", i, n.name), brittleTokens))
			switch {
			case r.status == http.StatusOK:
				served.Add(1)
			case r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "":
				refused.Add(1)
			default:
				failed.Add(1)
				t.Logf("question %d at %s: %s", i, n.name, r)
			}
		})
	}
	group.Wait()
	for _, e := range d.servers {
		if e.pool != "engines" {
			continue
		}
		var rejectedMS []int64
		if err := getJSON("http://"+e.addr+"/v1/rejections", &rejectedMS); err != nil {
			t.Fatal(err)
		}
		var rejections []time.Time
		for _, ms := range rejectedMS {
			rejections = append(rejections, time.UnixMilli(ms))
		}
		if err := arrivalbound.Rejections().Check(engineBears, rejections); err != nil {
			t.Errorf("rejections of %s: %v", e.name, err)
		}
		t.Logf("%s rejected %d", e.name, len(rejections))
	}
	t.Logf("%d served, %d refused, %d failed", served.Load(), refused.Load(), failed.Load())
	if could := 8.0 * 3 * 8 / (brittleTokens * 0.01); float64(served.Load()) < could/2 {
		t.Errorf("%d requests were served of %.0f that the engines can run, want at least half", served.Load(), could)
	}
	if failed.Load() > 0 {
		t.Errorf("%d requests were neither served nor refused with Retry-After", failed.Load())
	}
}
