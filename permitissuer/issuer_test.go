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
	for range 5 { // as five hosts would
		after, ok := i.Take("server", 2, 0, false)
		fmt.Println(after, ok)
		c.Pass(200 * time.Millisecond)
	}
	// Output:
	// 500ms false
	// 800ms false
	// 1.1s false
	// 0s true
	// 1.2s false
}

// Whoever asks, however often, a server gets its limit, what was saved, and no more.
func TestGrantedRate(t *testing.T) {
	const span = 40 * time.Second
	tests := []struct {
		name    string
		rate    float64
		instead bool
		every   time.Duration
		least   int
		most    int
	}{
		{"asked all the time", 2, false, time.Millisecond, 79, 83},
		{"asked now and then", 2, false, 700 * time.Millisecond, 56, 58},
		{"asked about as often as it takes", 2, false, 500 * time.Millisecond, 79, 80},
		{"below one a second", 0.25, false, 10 * time.Millisecond, 9, 13},
		{"much", 50, false, time.Millisecond, 1990, 2003},
		{"in place of another store", 2, true, time.Millisecond, 31, 33},
		{"nothing: it is asked now and then whether it still is", 0, false, 10 * time.Millisecond, 3, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := manualclock.New()
			i := New(serverlimit.New(c.Now), c.Now)
			given := 0
			for passed := time.Duration(0); passed < span; passed += tt.every {
				if _, ok := i.Take("s", tt.rate, 0, tt.instead); ok {
					given++
				}
				c.Pass(tt.every)
			}
			if given < tt.least || given > tt.most {
				t.Errorf("%d were given in %v, want %d to %d", given, span, tt.least, tt.most)
			}
		})
	}
}

// Requests that can wait get the permits to come, one each, and no later ones.
func TestWaitingRequests(t *testing.T) {
	c := manualclock.New()
	i := New(serverlimit.New(c.Now), c.Now)
	i.Take("s", 10, 0, false)
	c.Pass(time.Minute)
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

// A limit that changes holds from then on: nothing that was given ahead at the larger one
// is given again, and nothing is owed at the pace of the smaller one.
func TestLimitChanges(t *testing.T) {
	c := manualclock.New()
	i := New(serverlimit.New(c.Now), c.Now)
	count := func(rate float64, span time.Duration) int {
		given := 0
		for passed := time.Duration(0); passed < span; passed += 10 * time.Millisecond {
			if _, ok := i.Take("s", rate, 0, false); ok {
				given++
			}
			c.Pass(10 * time.Millisecond)
		}
		return given
	}
	count(20, 10*time.Second)
	if given := count(0.5, 10*time.Second); given < 4 || given > 6 {
		t.Errorf("%d were given in 10 s at 0.5 a second", given)
	}
	if given := count(20, 10*time.Second); given < 195 || given > 203 {
		t.Errorf("%d were given in 10 s at 20 a second", given)
	}
}

// Hosts that are refused together come back one after another.
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
		t.Errorf("8 hosts come back at %d moments: %v", len(seen), seen)
	}
	c.Pass(2 * idleTTL)
	i.Prune()
	if len(i.schedules) != 0 {
		t.Error("a server that nobody asks for is kept")
	}
}

// One asking at a store that knows of 600 servers with limits takes 0.3 us: the call
// that carries it is all.
func BenchmarkAnswer(b *testing.B) {
	c := manualclock.New()
	limits := serverlimit.New(c.Now)
	i := New(limits, c.Now)
	var asks []wheelgauge.PermitAsk
	for n := range 600 {
		asks = append(asks, wheelgauge.PermitAsk{Limit: wheelgauge.ServerLimit{Server: fmt.Sprint("server-", n), Rate: 3}})
	}
	for n := 0; b.Loop(); n++ {
		c.Pass(time.Millisecond)
		i.Answer(asks[n%len(asks)])
	}
}
