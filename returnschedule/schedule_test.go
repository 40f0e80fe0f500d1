package returnschedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/promises"
)

// newSchedule returns a schedule of a host that has served and received requests at some rates.
func newSchedule(served, arrived int) (*Schedule, *manualclock.Clock) {
	clock := manualclock.New()
	s := New(Options{Promises: promises.New(clock.Now), Random: rand.New(rand.NewPCG(1, 1)).Float64, Now: clock.Now})
	for range 100 { // 10 s
		clock.Advance(100 * time.Millisecond)
		for range served / 10 {
			s.Served("s")
		}
		for range arrived / 10 {
			s.Arrived("s", false)
		}
	}
	return s, clock
}

func refused(i int, earliest, latest time.Duration) wheelgauge.RefusedRequest {
	return wheelgauge.RefusedRequest{Service: "s", Rank: 1, Fingerprint: wheelgauge.Fingerprint(fmt.Sprint(i)), BodyBytes: i, Earliest: earliest, Latest: latest}
}

// Moments are promised at the rate at which room comes free, whatever the number of callers; the
// rest return late and are promised nothing.
func TestPromisedRate(t *testing.T) {
	tests := []struct {
		name            string
		served, arrived int
		// room is what may be promised a second.
		room float64
	}{
		{"no new callers", 40, 0, 40},
		{"some new callers", 100, 60, 40},
		{"twice the room asked for", 100, 200, 10},
		{"few served", 10, 100, 1},
		{"nothing served", 0, 100, 0},
	}
	const earliest, latest = 500 * time.Millisecond, 3 * time.Second
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := newSchedule(tt.served, tt.arrived)
			promised, half := 0, 0
			for i := range 500 {
				got := s.Next(refused(i, earliest, latest))
				if got.After < earliest || got.After > latest {
					t.Errorf("told %v, outside of %v to %v", got.After, earliest, latest)
				}
				if !got.Promised {
					if got.After < latest-time.Duration(spreadShare*float64(latest-earliest)) {
						t.Errorf("told %v without a promise, before the last moments", got.After)
					}
					continue
				}
				promised++
				if got.After < (earliest+latest)/2 {
					half++
				}
			}
			want := tt.room * (latest - earliest).Seconds()
			if low, high := 0.7*want-1, 1.3*want+countedPromises; float64(promised) < low || float64(promised) > high {
				t.Errorf("%d promised, want about %.0f", promised, want)
			}
			if float64(half) > 0.6*float64(promised)+1 {
				t.Errorf("%d of %d come in the first half", half, promised)
			}
		})
	}
}

// No span of slots holds more promises than the rate allows, in whatever order callers with more
// and less time come, and at the low rates of one host of many as well.
func TestNoSpanHoldsMore(t *testing.T) {
	tests := []struct{ served, arrived int }{{10, 0}, {40, 0}, {100, 0}, {100, 200}, {20, 100}, {10, 100}}
	for _, tt := range tests {
		for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8} {
			rng := rand.New(rand.NewPCG(seed, 1))
			s, _ := newSchedule(tt.served, tt.arrived)
			var rate float64
			for i := range 300 {
				latest := time.Duration(600+rng.IntN(4000)) * time.Millisecond
				rate = s.Next(refused(i, 500*time.Millisecond, latest)).RoomRate
			}
			span, most := counted(rate)
			now := indexOf(s.options.Now().Sub(s.start))
			for from := now - span; from < now+int64(slots)-span; from++ {
				n := 0
				for i := from; i < from+span; i++ {
					n += s.services["s"].promised(i)
				}
				if n > most {
					t.Fatalf("%d served, %d new a second, seed %d: %d promises in %d slots, want %d at most", tt.served, tt.arrived, seed, n, span, most)
				}
			}
		}
	}
}

// Who can wait longer gets a later moment, and leaves the next ones to those who cannot.
func TestLongerWaitsLater(t *testing.T) {
	s, _ := newSchedule(40, 0)
	var patient, urgent time.Duration
	const callers = 10
	for i := range callers {
		patient += s.Next(refused(i, 500*time.Millisecond, 4*time.Second)).After
		urgent += s.Next(refused(callers+i, 500*time.Millisecond, time.Second)).After
	}
	if patient < 2*urgent {
		t.Errorf("callers with 4 s wait %v on average, those with 1 s %v", patient/callers, urgent/callers)
	}
}

// No moment is outside of what the caller can use, whatever is served and asked for.
func TestMomentsAreUsable(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		rng := rand.New(rand.NewPCG(seed, 1))
		s, clock := newSchedule(10*rng.IntN(50), 10*rng.IntN(50))
		for i := range 2000 {
			clock.Advance(time.Duration(rng.IntN(20)) * time.Millisecond)
			latest := time.Duration(150+rng.IntN(10000)) * time.Millisecond
			earliest := min(latest, time.Duration(rng.IntN(700))*time.Millisecond)
			r := refused(i, earliest, latest)
			r.Returning = rng.IntN(5) == 0
			got := s.Next(r)
			if got.After < earliest || got.After > latest {
				t.Fatalf("seed %d: told %v, outside of %v to %v", seed, got.After, earliest, latest)
			}
			if r.Returning && got.Promised {
				t.Fatalf("seed %d: a second promise", seed)
			}
			if share := s.PromisedShare("s", rng.IntN(10)-1); share < 0 || share > maxKeptShare {
				t.Fatalf("seed %d: a share of %v is promised", seed, share)
			}
		}
	}
}

// A caller that asks again before its moment gets the same moment, and takes no more room.
func TestAskingAgainGetsTheSameMoment(t *testing.T) {
	s, clock := newSchedule(40, 0)
	first := s.Next(refused(1, 500*time.Millisecond, 3*time.Second))
	clock.Advance(100 * time.Millisecond)
	if returning, early := s.Returning(1, func() wheelgauge.Fingerprint { return "1" }); returning || !early {
		t.Errorf("returning %v early %v, want a new caller that comes early", returning, early)
	}
	second := s.Next(refused(1, 500*time.Millisecond, 3*time.Second))
	if !first.Promised || !second.Promised || second.After != first.After-100*time.Millisecond {
		t.Errorf("told %+v, then %+v, want the same moment", first, second)
	}
}

// Room is kept for promised callers only around their moments, and not from more urgent ones.
func TestPromisedShare(t *testing.T) {
	s, clock := newSchedule(40, 0)
	for i := range 100 {
		s.Next(refused(i, 500*time.Millisecond, 3*time.Second))
	}
	steps := []struct {
		advance time.Duration
		rank    int
		kept    bool
	}{
		{0, 1, false},
		{time.Second, 1, true},
		{0, 2, true},
		{0, 0, false},
		{5 * time.Second, 1, false},
	}
	for i, step := range steps {
		clock.Advance(step.advance)
		if share := s.PromisedShare("s", step.rank); (share > 0) != step.kept {
			t.Errorf("step %d: a share of %v is kept, want some: %v", i, share, step.kept)
		}
	}
	if share := s.PromisedShare("unknown", 0); share != 0 {
		t.Errorf("a share of %v is kept of a service without promises", share)
	}
}

// A host that knows nothing yet promises nothing, tells a late moment and keeps no room.
func TestNothingKnown(t *testing.T) {
	s, _ := newSchedule(0, 0)
	got := s.Next(refused(1, 500*time.Millisecond, 3*time.Second))
	if got.Promised || got.After < 2*time.Second {
		t.Errorf("told %+v, want a late moment without a promise", got)
	}
	if share := s.PromisedShare("s", 0); share != 0 {
		t.Errorf("a share of %v is kept", share)
	}
}

// A clock that jumps, in either direction, neither stops promises nor keeps room for callers of
// the time before.
func TestScheduleAfterClockJump(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		s, clock := newSchedule(40, 0)
		for i := range 100 {
			s.Next(refused(i, 500*time.Millisecond, 3*time.Second))
		}
		clock.Advance(jump)
		if share := s.PromisedShare("s", 7); share != 0 {
			t.Errorf("jump by %v: a share of %v is kept", jump, share)
		}
		for range 200 {
			s.Served("s")
		}
		if got := s.Next(refused(1000, 500*time.Millisecond, 3*time.Second)); !got.Promised {
			t.Errorf("jump by %v: nothing is promised any more", jump)
		}
	}
}

// BenchmarkNext measures one refusal while the schedule is full.
func BenchmarkNext(b *testing.B) {
	for _, served := range []int{10, 100} {
		b.Run(fmt.Sprintf("%d_served", served), func(b *testing.B) {
			s, _ := newSchedule(served, 2*served)
			requests := make([]wheelgauge.RefusedRequest, 4096)
			for i := range requests {
				requests[i] = refused(i, 500*time.Millisecond, 4*time.Second)
				s.Next(requests[i])
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.Next(requests[i%len(requests)])
			}
		})
	}
}
