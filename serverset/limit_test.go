package serverset

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/prompt"
)

// A server whose limit allows nothing gets no work until it does, or until the limit changes
// or ends. A server limited to 0.1 requests a second must not stay excluded for ten seconds
// after its limit has ended.
func TestDeferred(t *testing.T) {
	const wait = 10 * time.Second
	tests := []struct {
		name    string
		elapsed time.Duration
		// rate is the limit by then; negative for none.
		rate      float64
		takes     bool
		takesSoon bool
	}{
		{"at once", 0, 0.1, false, false},
		{"shortly before", wait - 100*time.Millisecond, 0.1, false, true},
		{"after the wait", wait, 0.1, true, false},
		{"the limit rose", time.Second, 5, true, false},
		{"the limit ended", time.Second, -1, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, c, _ := newTestTable(plain, 1)
			rate := 0.1
			tb.SetLimits(func(string) (float64, bool) { return max(0, rate), rate >= 0 })
			job := NewJob(plain, prompt.Prompt{}, 0, nil)
			tb.Choose(job).Defer(wait)
			c.advance(tt.elapsed)
			rate = tt.rate
			if k := tb.ChooseDeferred(job, time.Second); (k != nil) != tt.takesSoon {
				t.Errorf("takes a request soon: %v, want %v", k != nil, tt.takesSoon)
			} else if k != nil {
				k.Done(Abandoned)
			}
			k := tb.Choose(job)
			if (k != nil) != tt.takes {
				t.Errorf("takes a request now: %v, want %v", k != nil, tt.takes)
			}
			if k != nil && k.LoadBefore().Running() != 0 {
				t.Errorf("%d requests still count as in flight, want none", k.LoadBefore().Running())
			}
		})
	}
}

// A server limited to 2 requests a second must get work under light load too. Servers are
// compared by their average answer time, which only answers update and which outweighs a
// request in flight, so one late answer can make a server lose every comparison: one of two
// servers got 0 and 1 requests in 6 s where 12 were allowed, though it was neither refused,
// paused nor deferred; its average stood at 24 to 39 ms against 21 to 24 ms of the others.
func TestLimitedServerGetsWork(t *testing.T) {
	const (
		tick  = 5 * time.Millisecond
		usual = 20 * time.Millisecond
		span  = 10 * time.Second
		rate  = 2.0
		least = 0.6
	)
	tests := []struct {
		name string
		slow time.Duration
	}{
		{"answered as fast as others", usual},
		{"answered somewhat later once", 2 * usual},
		{"answered much later once", 20 * usual},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, c, _ := newTestTable(plain, 6)
			tb.SetLimits(func(instanceKey string) (float64, bool) { return rate, instanceKey == limitedInstance })
			job := NewJob(plain, prompt.Prompt{}, 0, nil)
			for range 6 {
				k := tb.Choose(job)
				took := usual
				if k.Server().InstanceKey() == limitedInstance {
					took = tt.slow
				}
				c.advance(took)
				k.Done(Served)
			}
			got := simulateLimited(tb, c, job, tick, usual, span, rate)
			if got < least*rate*span.Seconds() {
				t.Errorf("the server got %.0f of the %.0f requests that it takes", got, rate*span.Seconds())
			}
		})
	}
}

// limitedInstance is the server with a limit.
const limitedInstance = "i5"

// simulateLimited sends a request each tick, keeps the server with a limit to its rate, and
// returns how many requests it got.
func simulateLimited(tb *Table, c *clock, job Job, tick, serviceTime, span time.Duration, rate float64) float64 {
	type running struct {
		pick *Pick
		ends time.Time
	}
	var flight []running
	got, due := 0.0, c.now()
	for end := c.now().Add(span); c.now().Before(end); c.advance(tick) {
		for len(flight) > 0 && !c.now().Before(flight[0].ends) {
			flight[0].pick.Done(Served)
			flight = flight[1:]
		}
		k := tb.Choose(job)
		for k != nil && k.Server().InstanceKey() == limitedInstance {
			if wait := due.Sub(c.now()); wait > 0 {
				k.Defer(wait)
				k = tb.Choose(job)
				continue
			}
			got++
			due = c.now().Add(time.Duration(float64(time.Second) / rate))
			break
		}
		if k != nil {
			flight = append(flight, running{k, c.now().Add(serviceTime)})
		}
	}
	return got
}

// Waiting for a permit must not count as the server's time to answer. With all servers
// limited requests wait up to 300 ms, and averages that contain it outlast the limits.
func TestPermitWaitNotInServiceTime(t *testing.T) {
	const usual, waited = 20 * time.Millisecond, 300 * time.Millisecond
	tb, c, _ := newTestTable(plain, 1)
	job := NewJob(plain, prompt.Prompt{}, 0, nil)
	for range 20 {
		k := tb.Choose(job)
		c.advance(waited)
		k.Sent()
		c.advance(usual)
		k.Done(Served)
	}
	e, ok := tb.Predict(job)
	if !ok || e.Wait() > usual+time.Millisecond {
		t.Errorf("predicted wait is %v, want %v", e.Wait(), usual)
	}
}

// A server that was slow before its backoff or under a limit must get its share afterwards.
func TestServerRegainsShare(t *testing.T) {
	const (
		tick   = 5 * time.Millisecond
		usual  = 20 * time.Millisecond
		slow   = 200 * time.Millisecond
		span   = 10 * time.Second
		server = "i0"
	)
	tests := []struct {
		name  string
		setUp func(tb *Table, c *clock, job Job, limited *bool)
	}{
		{"after a backoff", func(tb *Table, c *clock, job Job, _ *bool) {
			k := chooseInstance(t, tb, job, server)
			k.BackOff(2 * time.Second)
			k.Done(BackedOff)
			c.advance(2 * time.Second)
		}},
		{"after a limit", func(tb *Table, c *clock, job Job, limited *bool) {
			*limited = true
			for range 4 {
				k := chooseInstance(t, tb, job, server)
				k.Sent()
				c.advance(slow)
				k.Done(Served)
			}
			*limited = false
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tb, c, _ := newTestTable(plain, 6)
			limited := false
			tb.SetLimits(func(instanceKey string) (float64, bool) { return 0.4, limited && instanceKey == server })
			job := NewJob(plain, prompt.Prompt{}, 0, nil)
			for range 20 {
				for n := range 6 {
					k := chooseInstance(t, tb, job, fmt.Sprint("i", n))
					c.advance(usual)
					if k.Server().InstanceKey() == server {
						c.advance(slow)
					}
					k.Done(Served)
				}
			}
			tt.setUp(tb, c, job, &limited)
			got, all := 0, 0
			var flight []*Pick
			for end := c.now().Add(span); c.now().Before(end); c.advance(tick) {
				if len(flight) == int(usual/tick) {
					flight[0].Done(Served)
					flight = flight[1:]
				}
				k := tb.Choose(job)
				flight = append(flight, k)
				all++
				if k.Server().InstanceKey() == server {
					got++
				}
			}
			if got < all/12 {
				t.Errorf("the server got %d of %d requests, want at least half of a sixth", got, all)
			}
		})
	}
}

// chooseInstance chooses a server by its instance key.
func chooseInstance(t *testing.T, tb *Table, job Job, instanceKey string) *Pick {
	t.Helper()
	for {
		k := tb.Choose(job)
		if k == nil {
			t.Fatalf("%s is not available", instanceKey)
		}
		if k.Server().InstanceKey() == instanceKey {
			return k
		}
		job.tried = append(job.tried, k.Server().Instance())
		k.Done(Abandoned)
	}
}

// A server that has not answered since another one of its service became brittle counts as
// brittle, also after all of them have ended.
func TestServerCountsAsBrittleLikeItsSiblings(t *testing.T) {
	c := manualclock.New()
	tb := New(Place{Host: "h"}, func(string) *wheelgauge.Service { return nil }, c.Now)
	bears := map[string]float64{}
	tb.SetRejections(func(instanceKey string) (float64, bool) {
		n, ok := bears[instanceKey]
		return n, ok
	})
	list := func(instances ...string) {
		var servers []wheelgauge.Server
		for _, name := range instances {
			servers = append(servers, wheelgauge.Server{Instance: name, Service: "s", Slots: 4})
		}
		tb.replaceList(servers, c.Now())
	}
	check := func(when, instance string, wantBrittle bool) {
		t.Helper()
		tb.mu.Lock()
		defer tb.mu.Unlock()
		if _, brittle := tb.bears(tb.servers[instance]); brittle != wantBrittle {
			t.Errorf("%s: %s counts as brittle: %v, want %v", when, instance, brittle, wantBrittle)
		}
	}
	answer := func(instance string) {
		c.Advance(time.Millisecond)
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.servers[instance].lastReached = c.Now()
	}
	list("a", "b")
	answer("b")
	check("no server is brittle", "b", false)
	c.Advance(time.Millisecond)
	bears["a"] = 5
	check("its sibling is brittle", "b", true)
	answer("b")
	check("it answers without the number", "b", false)
	list("c", "d") // both have ended and started again
	check("it starts", "c", true)
	answer("c")
	check("the new one answers", "c", false)
	c.Advance(brittleMemory + time.Second)
	check("long after", "d", false)
}
