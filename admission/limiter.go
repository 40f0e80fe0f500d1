// Package admission limits clients and sheds load by priority and deadline.
package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"wheelgauge"
)

const (
	shardCount       = 32
	bucketIdleTTL    = 10 * time.Minute
	callsPerSweep    = 4096
	priorityLevels   = 10
	retryJitter      = 0.5
	minRetryAfter    = 200 * time.Millisecond
	deadlineFraction = 0.9
)

type bucket struct {
	tokens    float64
	updatedAt time.Time
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	calls   int
}

// Limiter is a token bucket for each client. It is safe for concurrent use.
type Limiter struct {
	shards [shardCount]shard
}

// NewLimiter returns an empty limiter.
func NewLimiter() *Limiter {
	l := &Limiter{}
	for i := range l.shards {
		l.shards[i].buckets = map[string]*bucket{}
	}
	return l
}

// Take counts one request of a client against the rate and burst of its class, of
// which this host enforces the fraction share. It returns zero if the request is
// allowed, or the time until the next one will be.
func (l *Limiter) Take(client string, hash uint64, class wheelgauge.ClientClassSpec, share float64, now time.Time) time.Duration {
	if class.Rate == 0 {
		return 0
	}
	rate := class.Rate * share
	burst := math.Max(1, float64(class.Burst)*share)
	s := &l.shards[hash%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	b := s.buckets[client]
	if b == nil {
		b = &bucket{tokens: burst, updatedAt: now}
		s.buckets[client] = b
	}
	b.tokens = math.Min(burst, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

func (s *shard) sweep(now time.Time) {
	s.calls++
	if s.calls%callsPerSweep != 0 {
		return
	}
	for client, b := range s.buckets {
		if now.Sub(b.updatedAt) > bucketIdleTTL {
			delete(s.buckets, client)
		}
	}
}

// ShouldShed reports whether work of a priority (0 to 9) is refused at an expected
// wait. Work of the highest priority is accepted up to maxWait.
func ShouldShed(priority int, wait, maxWait time.Duration) bool {
	allowed := maxWait * time.Duration(priority+1) / priorityLevels
	return wait > allowed
}

// MissesDeadline reports whether work that waits and then runs for at least minService
// cannot be expected to finish in the remaining time.
func MissesDeadline(wait, minService, remaining time.Duration) bool {
	return float64(wait+minService) > deadlineFraction*float64(remaining)
}

// RetryAfter adds jitter to wait, so that callers refused together do not retry together.
func RetryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(rand.Float64()*retryJitter*2*float64(wait))
}
