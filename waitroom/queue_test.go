package waitroom

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

// patientRequest returns a request that arrives now and can wait for five seconds, and whose
// caller waits for the whole answer.
func patientRequest(now time.Time, hasRoom func() bool) wheelgauge.QueuedRequest {
	return wheelgauge.QueuedRequest{
		Service: "s", Route: "r", Rank: 1, ArrivedAt: now, ObjectiveAt: now.Add(time.Second), StartBy: now.Add(5 * time.Second),
		Run: 4 * time.Second, HasRoom: hasRoom,
	}
}

func always() bool { return true }

func never() bool { return false }

func TestOrder(t *testing.T) {
	now := manualclock.New().Now()
	early := func(q *wheelgauge.QueuedRequest) { q.ObjectiveAt = now.Add(500 * time.Millisecond) }
	// late requests have missed their objective.
	late := func(startBy time.Duration) func(q *wheelgauge.QueuedRequest) {
		return func(q *wheelgauge.QueuedRequest) { q.ObjectiveAt, q.StartBy = now.Add(-time.Second), now.Add(startBy) }
	}
	rank := func(rank int) func(q *wheelgauge.QueuedRequest) {
		return func(q *wheelgauge.QueuedRequest) { q.Rank = rank }
	}
	above := func(q *wheelgauge.QueuedRequest) { q.AboveShare, q.Rank, q.Returning = always, 0, true }
	returning := func(q *wheelgauge.QueuedRequest) { q.Returning, q.Rank = true, 2 }
	tests := []struct {
		name          string
		first, second func(q *wheelgauge.QueuedRequest)
	}{
		{"above the share is last", rank(3), above},
		{"returning is first", returning, rank(0)},
		{"the more urgent", rank(0), early},
		{"the earlier objective", early, rank(1)},
		{"those that can make the objective", rank(1), late(time.Second)},
		{"of the late ones, those with less time", late(time.Second), late(2 * time.Second)},
	}
	for _, tt := range tests {
		a, b := patientRequest(now, always), patientRequest(now, always)
		tt.first(&a)
		tt.second(&b)
		x, y := newEntry(a, now), newEntry(b, now)
		if !x.before(y, now) || y.before(x, now) {
			t.Errorf("%s: not before the other", tt.name)
		}
	}
}

func TestEnter(t *testing.T) {
	tests := []struct {
		name   string
		ahead  int
		rate   float64
		change func(q *wheelgauge.QueuedRequest)
		want   refusal
	}{
		{"the first, nothing known", 0, firstRate, func(*wheelgauge.QueuedRequest) {}, ""},
		{"some ahead, nothing known", 15, firstRate, func(*wheelgauge.QueuedRequest) {}, ""},
		{"many ahead, nothing known", 16, firstRate, func(*wheelgauge.QueuedRequest) {}, refusedTurn},
		{"many ahead at a high rate", 30, 10, func(*wheelgauge.QueuedRequest) {}, ""},
		{"the first at a low rate", 0, 0.1, func(*wheelgauge.QueuedRequest) {}, refusedTurn},
		{"a more urgent one at a low rate of the others", 30, 0.1, func(q *wheelgauge.QueuedRequest) { q.Rank = 0 }, ""},
		{"no time", 0, firstRate, func(q *wheelgauge.QueuedRequest) { q.StartBy = q.ArrivedAt }, refusedShort},
		{"cannot be sent", 0, firstRate, func(q *wheelgauge.QueuedRequest) { q.Ended = always }, refusedEnded},
		// A quarter of the objective is a quarter of a second.
		{"a short one", 0, firstRate, func(q *wheelgauge.QueuedRequest) { q.Run = q.ObjectiveAt.Sub(q.ArrivedAt) }, ""},
		{"a short one behind others", 1, firstRate, func(q *wheelgauge.QueuedRequest) { q.Run = q.ObjectiveAt.Sub(q.ArrivedAt) }, refusedTurn},
	}
	for _, tt := range tests {
		now := manualclock.New().Now()
		k := newQueue(now)
		for range tt.ahead {
			k.entries = append(k.entries, newEntry(patientRequest(now, never), now))
		}
		k.rates[1] = tt.rate
		q := patientRequest(now, never)
		tt.change(&q)
		if got := k.enter(newEntry(q, now), now); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
		if got := len(k.entries) - tt.ahead; (got == 1) != (tt.want == "") {
			t.Errorf("%s: %d entered", tt.name, got)
		}
	}
}

// fill enters requests that find room while room is positive.
func fill(k *queue, n int, room *int, now time.Time) []*entry {
	var entries []*entry
	for range n {
		e := newEntry(patientRequest(now, func() bool { return *room > 0 }), now)
		k.entries = append(k.entries, e)
		entries = append(entries, e)
	}
	return entries
}

func countReleased(ended []*entry) (n int) {
	for _, e := range ended {
		if e.released {
			n++
		}
	}
	return n
}

// Only a part of those that wait goes at a time, and nobody without room.
func TestReleaseInParts(t *testing.T) {
	clock, room := manualclock.New(), 1
	k := newQueue(clock.Now())
	fill(k, 16, &room, clock.Now())
	steps := []struct {
		name string
		wait time.Duration
		room int
		want int
	}{
		{"a part", 0, 1, 3},
		{"not again at once", tickInterval, 1, 0},
		{"the next part", releaseInterval, 1, 2},
		{"no room", releaseInterval, 0, 0},
		{"room again", tickInterval, 1, 2},
	}
	for _, st := range steps {
		clock.Advance(st.wait)
		room = st.room
		if got := countReleased(k.tick(clock.Now())); got != st.want {
			t.Errorf("%s: %d are let go, want %d", st.name, got, st.want)
		}
	}
}

// After a release that found no room, the room pauses and forgets that release.
func TestReleaseWithoutRoom(t *testing.T) {
	clock, room := manualclock.New(), 1
	k := newQueue(clock.Now())
	fill(k, 2, &room, clock.Now())
	released := k.tick(clock.Now())
	rate := k.rate(1)
	again := released[0].request
	again.Again = true
	if why := k.enter(newEntry(again, clock.Now()), clock.Now()); why != "" {
		t.Fatalf("refused: %s", why)
	}
	if k.rate(1) >= rate {
		t.Errorf("rate %.2f, want less than %.2f", k.rate(1), rate)
	}
	clock.Advance(releaseInterval)
	if n := countReleased(k.tick(clock.Now())); n != 0 {
		t.Errorf("%d are let go within the pause", n)
	}
	clock.Advance(againPause - releaseInterval)
	if n := countReleased(k.tick(clock.Now())); n != 1 {
		t.Errorf("%d are let go after the pause, want 1", n)
	}
}

// The one that has waited longest goes after some releases, though more urgent ones wait.
func TestLongestWaitingGoes(t *testing.T) {
	clock := manualclock.New()
	k := newQueue(clock.Now())
	oldest := newEntry(patientRequest(clock.Now(), always), clock.Now())
	oldest.request.Rank = 9
	k.entries = append(k.entries, oldest)
	for n := 1; n <= longestEvery; n++ {
		q := patientRequest(clock.Now().Add(time.Millisecond), always)
		k.entries = append(k.entries, newEntry(q, clock.Now()))
		ended := k.tick(clock.Now())
		if goes := slices.Contains(ended, oldest); goes != (n == longestEvery) {
			t.Fatalf("release %d: the oldest goes: %v", n, goes)
		}
		clock.Advance(releaseInterval)
	}
}

// Those that find no room do not hold up others that do.
func TestOthersGoPast(t *testing.T) {
	clock := manualclock.New()
	k := newQueue(clock.Now())
	none := 0
	fill(k, 20, &none, clock.Now())
	last := newEntry(patientRequest(clock.Now(), always), clock.Now())
	last.request.Rank = 2
	k.entries = append(k.entries, last)
	for range 20/maxTries + 1 {
		if slices.Contains(k.tick(clock.Now()), last) {
			return
		}
		clock.Advance(tickInterval)
	}
	t.Error("a request with room is not let go")
}

// When the rate falls, those whose turn will not come are refused before their time is over, the
// last ones first.
func TestRateFalls(t *testing.T) {
	clock, room := manualclock.New(), 1
	k := newQueue(clock.Now())
	k.rates[1] = 10
	entries := fill(k, 30, &room, clock.Now())
	start := clock.Now()
	k.tick(clock.Now())
	room = 0
	refusedAt := map[*entry]time.Duration{}
	for len(k.entries) > 0 {
		clock.Advance(tickInterval)
		for _, e := range k.tick(clock.Now()) {
			refusedAt[e] = clock.Now().Sub(start)
		}
	}
	if len(refusedAt) != len(entries)-4 {
		t.Fatalf("%d are refused, want all but the 4 let go", len(refusedAt))
	}
	half := 0
	for e, at := range refusedAt {
		if clock.Now().After(e.startBy.Add(tickInterval)) {
			t.Errorf("held for %v, past its time", at)
		}
		if at < 5*time.Second/2 {
			half++
		}
	}
	if half < len(refusedAt)/2 {
		t.Errorf("%d of %d are refused within half of their time, want half of them", half, len(refusedAt))
	}
}

// Whatever happens, nobody is let go without room or after the last moment, nobody stays past
// it, and short requests wait for a quarter of their objective at most.
func TestNobodyIsHeldForNothing(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		clock, room := manualclock.New(), false
		k := newQueue(clock.Now())
		for range 2000 {
			clock.Advance(tickInterval)
			now := clock.Now()
			room = random.IntN(4) == 0
			if random.IntN(3) > 0 {
				q := patientRequest(now, func() bool { return room })
				q.Rank, q.Returning = random.IntN(3), random.IntN(9) == 0
				q.StartBy = now.Add(time.Duration(random.IntN(6000)) * time.Millisecond)
				q.Run = time.Duration(random.IntN(6000)) * time.Millisecond
				above := random.IntN(5) == 0
				q.AboveShare = func() bool { return above }
				k.enter(newEntry(q, now), now)
			}
			for _, e := range k.tick(now) {
				if e.released && (!room || !now.Before(e.startBy)) {
					t.Fatalf("seed %d: let go with room %v, %v before its last moment", seed, room, e.startBy.Sub(now))
				}
				if e.released == (e.refused != "") {
					t.Fatalf("seed %d: let go %v, refused %q", seed, e.released, e.refused)
				}
			}
			for _, e := range k.entries {
				if !now.Before(e.startBy) {
					t.Fatalf("seed %d: held past its time", seed)
				}
				if q := e.request; q.Run < 2*time.Second && now.Sub(q.ArrivedAt) > 250*time.Millisecond {
					t.Fatalf("seed %d: a short request has waited for %v", seed, now.Sub(q.ArrivedAt))
				}
			}
		}
	}
}

// Late requests are let go two objectives apart, and not while others in time find no room.
func TestLateRequestsGoApart(t *testing.T) {
	tests := []struct {
		name     string
		inTime   bool
		released int
	}{{"nobody in time", false, 3}, {"one in time without room", true, 2}}
	for _, tt := range tests {
		clock := manualclock.New()
		k := newQueue(clock.Now())
		late := map[*entry]bool{}
		arrived := clock.Now()
		clock.Advance(1100 * time.Millisecond)
		start := clock.Now()
		for range 4 {
			q := patientRequest(arrived, always)
			q.StartBy = arrived.Add(time.Minute)
			e := newEntry(q, start)
			late[e] = true
			k.entries = append(k.entries, e)
		}
		released := 0
		for clock.Now().Sub(start) < 4500*time.Millisecond {
			if tt.inTime && clock.Now().Sub(start) == time.Second {
				k.entries = append(k.entries, newEntry(patientRequest(clock.Now(), never), clock.Now()))
			}
			for _, e := range k.tick(clock.Now()) {
				if late[e] && e.released {
					released++
				}
			}
			clock.Advance(tickInterval)
		}
		if released != tt.released {
			t.Errorf("%s: %d late ones are let go, want %d", tt.name, released, tt.released)
		}
	}
}
