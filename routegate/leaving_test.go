package routegate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge/fake/manualclock"
)

// departureSchedule is a host that starts, serves streams, and is stopped.
type departureSchedule struct {
	name string
	// age is how long the host has run when it is stopped, rate the streams per second.
	age  time.Duration
	rate float64
	// Streams take mean on average, with the given spread, and timeout at most. Those in progress
	// at silentAt, by the time since the stop, take silence longer.
	mean, timeout     time.Duration
	spread            float64
	silentAt, silence time.Duration
}

// lostAfterAcceptance plays a schedule in which callers send until the host is gone, and returns
// how many streams were sent too late to be in flight at the end of the grace period and were in
// flight all the same, of how many accepted that late.
func (s departureSchedule) lostAfterAcceptance(seed uint64) (lost, accepted int) {
	const (
		grace    = 8 * time.Second
		step     = 5 * time.Millisecond
		allowed  = 3 * time.Second
		closesAt = grace - 250*time.Millisecond
		lastSent = grace - 700*time.Millisecond
	)
	type stream struct {
		took time.Duration
		at   time.Duration
	}
	r := rand.New(rand.NewPCG(seed, 79))
	clock := &manualclock.Clock{}
	g := New(Options{Clock: clock})
	var running []stream
	sigma := s.spread
	median := float64(s.mean) / math.Exp(sigma*sigma/2)
	for now := -s.age; now < closesAt; now += step {
		clock.Advance(step)
		if now < 0 && now+step >= 0 {
			g.ShutDownBy(clock.Now().Add(lastSent))
		}
		kept := running[:0]
		for _, x := range running {
			if now-x.at >= x.took {
				g.durations.observe("r", x.took)
				continue
			}
			kept = append(kept, x)
		}
		running = kept
		if r.Float64() >= s.rate*step.Seconds() {
			continue
		}
		took := min(s.timeout, time.Duration(median*math.Exp(sigma*r.NormFloat64())))
		if now < s.silentAt && s.silentAt < now+took {
			took = min(s.timeout, took+s.silence)
		}
		if now >= 0 && g.mayOutlastProcess("r", s.timeout, 0, now < leavePropagation) {
			continue
		}
		if now > allowed {
			accepted++
			if now+took > closesAt {
				lost++
			}
		}
		running = append(running, stream{took, now})
	}
	return lost, accepted
}

func TestLeavingHostDoesNotLoseWhatItAcceptsLate(t *testing.T) {
	const second = time.Second
	tests := []departureSchedule{
		{"long running, short requests", time.Minute, 20, 30 * time.Millisecond, second, 0.5, 0, 0},
		{"long running, short requests of a long limit", time.Minute, 20, 30 * time.Millisecond, 12 * second, 0.5, 0, 0},
		{"long running, long streams", time.Minute, 12, 1900 * time.Millisecond, 12 * second, 0.69, 0, 0},
		{"started 8 s before", 8 * second, 12, 1900 * time.Millisecond, 12 * second, 0.69, 0, 0},
		{"started 2 s before", 2 * second, 12, 1900 * time.Millisecond, 12 * second, 0.69, 0, 0},
		{"started 2 s before, few callers", 2 * second, 2, 1900 * time.Millisecond, 12 * second, 0.69, 0, 0},
		{"started 1 s before, rare long streams", second, 1, 700 * time.Millisecond, 12 * second, 1.1, 0, 0},
		{"started as it is stopped, rare long streams", 100 * time.Millisecond, 2, 700 * time.Millisecond, 12 * second, 1.1, 0, 0},
		{"started 1 s before, then servers silent", second, 1, 700 * time.Millisecond, 12 * second, 1.1, 3200 * time.Millisecond, 1300 * time.Millisecond},
		{"few callers, rare long streams", 16 * second, 2, 700 * time.Millisecond, 12 * second, 1.1, 0, 0},
		{"servers silent at 3.2 s", 8 * second, 6, 700 * time.Millisecond, 12 * second, 0.69, 3200 * time.Millisecond, 1300 * time.Millisecond},
		{"servers silent at 5.8 s", 8 * second, 6, 700 * time.Millisecond, 12 * second, 0.69, 5800 * time.Millisecond, 1300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lost, accepted := 0, 0
			for seed := range uint64(200) {
				l, a := tt.lostAfterAcceptance(seed)
				lost, accepted = lost+l, accepted+a
			}
			t.Logf("%d of %d accepted later than 3 s after the stop", lost, accepted)
			if lost > 0 {
				t.Errorf("%d of %d streams accepted later than 3 s after the stop are in flight when the host exits, want none", lost, accepted)
			}
		})
	}
}
