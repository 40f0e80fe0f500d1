package permitissuer

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/serverlimit"
)

func ExampleIssuer() {
	c := manualclock.New()
	i := New(serverlimit.New(c.Now), c.Now)
	for range 5 { // as from five hosts
		after, ok := i.Take("server", 2, 0, false)
		fmt.Println(after, ok)
		c.Advance(200 * time.Millisecond)
	}
	// Output:
	// 500ms false
	// 800ms false
	// 1.1s false
	// 0s true
	// 1.2s false
}

// A server gets its limit and saved permits and no more, however often permits are requested.
func TestGrantedRate(t *testing.T) {
	const span = 40 * time.Second
	tests := []struct {
		name     string
		rate     float64
		fallback bool
		every    time.Duration
		least    int
		most     int
	}{
		{"requested all the time", 2, false, time.Millisecond, 79, 83},
		{"requested at times", 2, false, 700 * time.Millisecond, 56, 58},
		{"requested at the limit", 2, false, 500 * time.Millisecond, 79, 80},
		{"a limit below one a second", 0.25, false, 10 * time.Millisecond, 9, 13},
		{"much", 50, false, time.Millisecond, 1990, 2003},
		{"as a fallback", 2, true, time.Millisecond, 31, 33},
		{"a limit of zero is probed at the minimum rate", 0, false, 10 * time.Millisecond, 3, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := manualclock.New()
			i := New(serverlimit.New(c.Now), c.Now)
			granted := 0
			for passed := time.Duration(0); passed < span; passed += tt.every {
				if _, ok := i.Take("s", tt.rate, 0, tt.fallback); ok {
					granted++
				}
				c.Advance(tt.every)
			}
			if granted < tt.least || granted > tt.most {
				t.Errorf("%d permits granted in %v, want %d to %d", granted, span, tt.least, tt.most)
			}
		})
	}
}

// Requests that can wait get future permits, one each, and none beyond their wait.
func TestWaitingRequests(t *testing.T) {
	c := manualclock.New()
	i := New(serverlimit.New(c.Now), c.Now)
	i.Take("s", 10, 0, false)
	c.Advance(time.Minute)
	var waits []time.Duration
	for {
		after, ok := i.Take("s", 10, 250*time.Millisecond, false)
		if !ok {
			break
		}
		waits = append(waits, after)
	}
	want := "[0s 0s 0s 100ms 200ms]"
	if got := fmt.Sprint(waits); got != want {
		t.Errorf("waits are %s, want %s", got, want)
	}
}

// A change of limit applies at once: permits granted ahead at a higher limit are not granted
// again, and a lower limit leaves no debt behind.
func TestLimitChanges(t *testing.T) {
	c := manualclock.New()
	i := New(serverlimit.New(c.Now), c.Now)
	count := func(rate float64, span time.Duration) int {
		granted := 0
		for passed := time.Duration(0); passed < span; passed += 10 * time.Millisecond {
			if _, ok := i.Take("s", rate, 0, false); ok {
				granted++
			}
			c.Advance(10 * time.Millisecond)
		}
		return granted
	}
	count(20, 10*time.Second)
	if granted := count(0.5, 10*time.Second); granted < 4 || granted > 6 {
		t.Errorf("%d permits granted in 10 s at 0.5 a second, want 4 to 6", granted)
	}
	if granted := count(20, 10*time.Second); granted < 195 || granted > 203 {
		t.Errorf("%d permits granted in 10 s at 20 a second, want 195 to 203", granted)
	}
}

// Hosts that are refused together are told to retry one after another.
func TestRetryTimes(t *testing.T) {
	c := manualclock.New()
	i := New(serverlimit.New(c.Now), c.Now)
	i.Take("s", 10, 0, false)
	seen := map[time.Duration]int{}
	for range 8 {
		after, _ := i.Take("s", 10, 0, false)
		seen[after]++
	}
	if len(seen) != 8 {
		t.Errorf("8 hosts retry at %d different times: %v", len(seen), seen)
	}
	c.Advance(2 * idleTTL)
	i.Prune()
	if len(i.schedules) != 0 {
		t.Error("a server without permit requests is kept")
	}
}

// A permit request at a store that knows of 600 limited servers takes 0.3 us: the cost is that
// of the call that carries it.
func BenchmarkAnswer(b *testing.B) {
	c := manualclock.New()
	limits := serverlimit.New(c.Now)
	i := New(limits, c.Now)
	var reqs []wheelgauge.PermitRequest
	for n := range 600 {
		reqs = append(reqs, wheelgauge.PermitRequest{Limit: wheelgauge.ServerLimit{Server: fmt.Sprint("server-", n), Rate: 3}})
	}
	for n := 0; b.Loop(); n++ {
		c.Advance(time.Millisecond)
		i.Answer(reqs[n%len(reqs)])
	}
}
