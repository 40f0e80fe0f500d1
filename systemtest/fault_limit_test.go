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

// engineRateLimit is what each engine accepts, in requests per second.
const engineRateLimit = 1.5

// TestFaultServerRateLimit: overloaded engines announce a rate limit in a response
// header. Hosts that ignore the header send each engine 222 to 232 requests in four
// seconds, where 14 are allowed.
func TestFaultServerRateLimit(t *testing.T) {
	s := smallTopology()
	s.hosts, s.engines = []int{2, 1, 1}, []int{2, 1, 1}
	s.engineArgs = []string{"--limit", fmt.Sprint(engineRateLimit), "--step", "2ms"}
	d := launch(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	var served, refused, failed atomic.Int64
	for _, n := range d.nodes {
		for w := range 3 {
			group.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					r := d.send(n, chat(testClient(n.region), fmt.Sprintf("question %d of %d at %s", i, w, n.name), 2))
					switch {
					case r.status == http.StatusOK:
						served.Add(1)
					case r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "":
						refused.Add(1)
					default:
						failed.Add(1)
						t.Logf("question %d of %d at %s: %s", i, w, n.name, r)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second) // the hosts exchange the limits
	from := time.Now()
	served.Store(0)
	time.Sleep(2 * arrivalbound.ServerLimit().Window())
	to := time.Now()
	cancel()
	got := served.Load()
	offered := 0.0
	for _, e := range d.servers {
		if e.pool != "engines" {
			continue
		}
		offered += engineRateLimit * to.Sub(from).Seconds()
		var arrivedMS []int64
		if err := getJSON("http://"+e.addr+"/v1/arrivals", &arrivedMS); err != nil {
			t.Fatal(err)
		}
		var arrivals []time.Time
		for _, ms := range arrivedMS {
			if ms >= from.UnixMilli() {
				arrivals = append(arrivals, time.UnixMilli(ms))
			}
		}
		if err := arrivalbound.ServerLimit().Check(engineRateLimit, arrivals); err != nil {
			t.Errorf("%s: %v", e.name, err)
		}
	}
	t.Logf("%d served of %.0f that the engines accept, %d refused, %d failed", got, offered, refused.Load(), failed.Load())
	if float64(got) < offered/2 {
		t.Errorf("%d requests were served of %.0f that the engines accept, want at least half", got, offered)
	}
	if failed.Load() > 0 {
		t.Errorf("%d requests were neither served nor refused with Retry-After", failed.Load())
	}
}
