package admission

import (
	"testing"
	"time"

	"wheelgauge"
)

func TestLimiter(t *testing.T) {
	class := wheelgauge.ClientClassSpec{Rate: 10, Burst: 4}
	tests := []struct {
		name    string
		share   float64
		gap     time.Duration
		calls   int
		allowed int
	}{
		{"burst", 1, 0, 10, 4},
		{"at the rate", 1, 100 * time.Millisecond, 50, 50},
		{"twice the rate", 1, 50 * time.Millisecond, 100, 53},
		{"a share of it", 0.5, 50 * time.Millisecond, 100, 26},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, now, got := NewLimiter(), time.Unix(0, 0), 0
			for range tt.calls {
				if l.Take("c", 7, class, tt.share, now) == 0 {
					got++
				}
				now = now.Add(tt.gap)
			}
			if got != tt.allowed {
				t.Fatalf("%d of %d requests were allowed, want %d", got, tt.calls, tt.allowed)
			}
		})
	}
}

func TestFloodingClientDoesNotLimitOthers(t *testing.T) {
	l, now := NewLimiter(), time.Unix(0, 0)
	class := wheelgauge.ClientClassSpec{Rate: 5, Burst: 5}
	for range 1000 {
		l.Take("flood", 7, class, 1, now)
	}
	if l.Take("calm", 7, class, 1, now) != 0 {
		t.Fatal("a client under its rate is limited because of another one in its shard")
	}
}

func TestShouldShedAndMissesDeadline(t *testing.T) {
	const maxWait = 10 * time.Second
	tests := []struct {
		name     string
		priority int
		wait     time.Duration
		left     time.Duration
		shed     bool
		late     bool
	}{
		{"idle", 0, 0, time.Second, false, false},
		{"low priority first", 0, 2 * time.Second, time.Minute, true, false},
		{"high priority later", 9, 9 * time.Second, time.Minute, false, false},
		{"high priority too", 9, 11 * time.Second, time.Minute, true, false},
		{"cannot make it", 9, 5 * time.Second, 5 * time.Second, false, true},
	}
	for _, tt := range tests {
		if got := ShouldShed(tt.priority, tt.wait, maxWait); got != tt.shed {
			t.Errorf("%s: shed is %t", tt.name, got)
		}
		if got := MissesDeadline(tt.wait, 10*time.Millisecond, tt.left); got != tt.late {
			t.Errorf("%s: misses its deadline is %t", tt.name, got)
		}
	}
}

// TestRetryBudget checks that retries stay bounded when every attempt fails.
func TestRetryBudget(t *testing.T) {
	b, retries := NewRetryBudget(), 0
	for range 1000 {
		b.FirstAttempt()
		for range 2 {
			if b.TakeRetry() {
				retries++
			}
		}
	}
	if limit := 1000*retriesPerRequest + maxRetries; float64(retries) > limit {
		t.Fatalf("got %d retries for 1000 requests, want at most %g", retries, limit)
	}
}

func TestRetryAfterSpreads(t *testing.T) {
	seen := map[time.Duration]bool{}
	for range 100 {
		d := RetryAfter(time.Second)
		if d < time.Second || d > 2*time.Second {
			t.Fatalf("got %s, want between 1 s and 2 s", d)
		}
		seen[d] = true
	}
	if len(seen) < 50 {
		t.Fatalf("got only %d distinct times, want at least 50", len(seen))
	}
}

func BenchmarkTake(b *testing.B) {
	l, now := NewLimiter(), time.Now()
	class := wheelgauge.ClientClassSpec{Rate: 1e9, Burst: 1 << 30}
	names := make([]string, 890)
	for i := range names {
		names[i] = string(rune('a'+i%26)) + string(rune('a'+i/26))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := i % len(names)
		l.Take(names[k], uint64(k), class, 1, now)
	}
}
