package main

import (
	"context"
	_ "embed" // for the route that is bound to a region
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

//go:embed held.txt
var heldRoute string

const (
	silentDay  = 40 * time.Second
	slowAt     = 10 * time.Second
	slowFor    = 6500 * time.Millisecond
	slowFactor = 7.5
	usualWork  = 500 * time.Millisecond
	callerTime = 12 * time.Second
	// leastLeft is how much work must have been left at a cut that counts.
	leastLeft = 300 * time.Millisecond
)

// silent lets the only server of a region work more slowly for some seconds, while callers ask for
// what may only run in that region.
func silent(r *rig, trouble bool) (int, error) {
	var servers []*server
	for _, p := range places {
		s, err := r.addServer("depot", p.zone, 64, 0)
		if err != nil {
			return notRun, err
		}
		s.work = usualWork
		servers = append(servers, s)
	}
	if err := r.begin(6, strings.TrimSpace(heldRoute)); err != nil {
		return notRun, err
	}
	home := servers[0]
	ctx, cancel := context.WithTimeout(context.Background(), silentDay)
	defer cancel()
	var mu sync.Mutex
	t, ended := &tally{statuses: map[int]int{}}, 0
	var wg sync.WaitGroup
	for _, g := range []int{0, 3} { // the gateways of the home
		client := &http.Client{Timeout: callerTime + time.Second}
		wg.Go(func() {
			ticker := time.NewTicker(150 * time.Millisecond)
			defer ticker.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				<-ticker.C
				id := fmt.Sprintf("%04x%012x", g, n)
				wg.Go(func() {
					began := time.Now()
					status := r.send(client, g, "/held/stock", id, callerTime, []byte(id))
					t.add(status, false)
					if status == http.StatusOK {
						return
					}
					r.record.add("caller: %s gets %d after %d ms of %d", id, status, time.Since(began).Milliseconds(), callerTime.Milliseconds())
					if left, ok := home.cut(id); ok && left >= leastLeft {
						mu.Lock()
						defer mu.Unlock()
						ended++
					}
				})
			}
		})
	}
	if trouble {
		time.Sleep(slowAt)
		home.setSlow(slowFactor)
		time.Sleep(slowFor)
		home.setSlow(1)
	}
	wg.Wait()
	r.record.add("requests: %v", t)
	r.record.add("%d requests that their server was working on were ended for their callers, who still waited", ended)
	if ended > 0 {
		return broken, nil
	}
	return held, nil
}
