package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge/fake/judge"
)

// limitRate is what each engine takes, in requests a second.
const limitRate = 1.5

// TestFaultServersThatNameALimit: engines in need name a limit in their answers. Hosts of all
// regions passed it over: each engine got 222 to 232 in four seconds, 14 being allowed. Cause:
// as in the mode with routes nothing read the header. Evidence: no host was restarted or cut
// off, no region forwards here, and the code named the header nowhere.
func TestFaultServersThatNameALimit(t *testing.T) {
	s := smallShape()
	s.hosts, s.engines = []int{2, 1, 1}, []int{2, 1, 1}
	s.engine = []string{"--limit", fmt.Sprint(limitRate), "--step", "2ms"}
	d := launch(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	var served, refused, silent atomic.Int64
	for _, n := range d.nodes {
		for w := range 3 {
			group.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					r := d.do(n, chat(standby(n.region), fmt.Sprintf("question %d of %d at %s", i, w, n.name), 2))
					switch {
					case r.status == http.StatusOK:
						served.Add(1)
					case r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "":
						refused.Add(1)
					default:
						silent.Add(1)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second) // hosts tell each other
	from := time.Now()
	served.Store(0)
	time.Sleep(2 * judge.ServerLimit().Window())
	to := time.Now()
	cancel()
	got := served.Load()
	offered := 0.0
	for _, e := range d.servers {
		if e.pool != "engines" {
			continue
		}
		offered += limitRate * to.Sub(from).Seconds()
		var at []int64
		if err := getJSON("http://"+e.addr+"/v1/arrivals", &at); err != nil {
			t.Fatal(err)
		}
		var arrivals []time.Time
		for _, ms := range at {
			if ms >= from.UnixMilli() {
				arrivals = append(arrivals, time.UnixMilli(ms))
			}
		}
		if err := judge.ServerLimit().Check(limitRate, arrivals); err != nil {
			t.Errorf("%s got %v", e.name, err)
		}
	}
	t.Logf("%d served of %.0f offered, %d refused, %d otherwise", got, offered, refused.Load(), silent.Load())
	if float64(got) < offered/2 {
		t.Errorf("%d were served of %.0f that the engines offered", got, offered)
	}
	if silent.Load() > 0 {
		t.Errorf("%d requests were neither served nor told when to come back", silent.Load())
	}
}
