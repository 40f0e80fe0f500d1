package returnschedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/promiserelay"
	"wheelgauge/promises"
)

const (
	simStep      = 10 * time.Millisecond
	simHosts     = 20
	simCapacity  = 600.0 // requests a second
	simHeartbeat = 150 * time.Millisecond
	simFloor     = 500 * time.Millisecond
	simStart     = 6 * time.Second // of the overload
	// simEnd is when the last callers that came during the overload have their answers or left.
	simEnd = 24 * time.Second
)

// simClass is a class of callers. They leave after time, and their answers take run.
type simClass struct {
	rank                 int
	share                float64
	time, objective, run time.Duration
}

var simClasses = []simClass{
	{rank: 0, share: 0.7, time: 3 * time.Second, objective: 600 * time.Millisecond, run: 200 * time.Millisecond},
	{rank: 1, share: 0.3, time: 12 * time.Second, objective: time.Second, run: 3 * time.Second},
}

// simPolicy is how refused callers are told to return.
type simPolicy string

const (
	sameMoment simPolicy = "same moment" // a quarter of the time left, as without a schedule
	uniform    simPolicy = "uniform"
	scheduled  simPolicy = "schedule"
)

// simLoad is an overload: for a time, demand is multiplied by demand and capacity by capacity.
type simLoad struct {
	name             string
	load             float64 // of the capacity, before and after
	demand, capacity float64
	lasts            time.Duration
}

func (l simLoad) at(elapsed time.Duration) (arrivals, capacity float64) {
	arrivals, capacity = l.load*simCapacity, simCapacity
	if elapsed >= simStart && elapsed < simStart+l.lasts {
		return arrivals * l.demand, capacity * l.capacity
	}
	return arrivals, capacity
}

type simCaller struct {
	id              int
	class           *simClass
	first, deadline time.Time
	queued          time.Time
	tries           int
	ignores         bool
	returning       bool
	host            *simHost
}

// simTally is what the callers of a class got.
type simTally struct {
	callers, first, second, twice, left int
	// refused is how many were refused at least once, late how many were told a moment after
	// which they cannot be served any more.
	refused, late int
	wait          time.Duration
}

func (t simTally) served() float64 { return float64(t.first+t.second) / float64(max(1, t.callers)) }

func (t simTally) twiceOfRefused() float64 { return float64(t.twice) / float64(max(1, t.refused)) }

func (t simTally) String() string {
	return fmt.Sprintf("callers %d, served at first %d, at return %d, refused twice %d (%.2f of the refused), left %d, %d ms to the answer",
		t.callers, t.first, t.second, t.twice, t.twiceOfRefused(), t.left, t.wait.Milliseconds()/int64(max(1, t.first+t.second)))
}

type simHost struct {
	schedule *Schedule
	table    *promises.Table
	// seen is the queue by rank as known here: that of the last heartbeat and own requests since.
	seen          [2]float64
	acked         uint64
	version       uint64
	meanWait      [2]float64
	heartbeatStep int
}

// sim is a region whose servers share one queue by rank.
type sim struct {
	clock *manualclock.Clock
	start time.Time
	rng   *rand.Rand
	// arrivals are the same for all policies.
	arrivals *rand.Rand
	policy   simPolicy
	hosts    []*simHost
	relay    *promiserelay.Relay
	queue    [2][]*simCaller
	returns  map[int][]*simCaller // by step
	tally    [2]simTally
	ignore   [2]simTally
	respect  [2]simTally
	// lossy drops that share of the messages.
	lossy float64
}

func newSim(policy simPolicy, seed uint64) *sim {
	clock := manualclock.New()
	s := &sim{clock: clock, start: clock.Now(), rng: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), policy: policy, relay: promiserelay.New(clock.Now), returns: map[int][]*simCaller{}}
	for i := range simHosts {
		s.hosts = append(s.hosts, s.newHost(i))
	}
	return s
}

func (s *sim) newHost(i int) *simHost {
	table := promises.New(s.clock.Now)
	return &simHost{table: table, schedule: New(Options{Promises: table, Random: s.rng.Float64, Now: s.clock.Now}), heartbeatStep: i % int(simHeartbeat/simStep)}
}

// run plays an overload and returns the tallies by class. ignoring is the share of callers that
// repeat once, at once, whatever they are told.
func (s *sim) run(load simLoad, ignoring float64, each func(step int)) [2]simTally {
	id, tokens := 0, 0.0
	for step := range int(simEnd / simStep) {
		if each != nil {
			each(step)
		}
		now := s.clock.Now()
		arrivals, capacity := load.at(now.Sub(s.start))
		for range s.poisson(arrivals * simStep.Seconds()) {
			id++
			class := &simClasses[0]
			if s.arrivals.Float64() > class.share {
				class = &simClasses[1]
			}
			s.arrive(&simCaller{id: id, class: class, first: now, deadline: now.Add(class.time), ignores: s.arrivals.Float64() < ignoring}, step, capacity)
		}
		for _, c := range s.returns[step] {
			s.arrive(c, step, capacity)
		}
		delete(s.returns, step)
		tokens = min(tokens+capacity*simStep.Seconds(), 2+capacity*simStep.Seconds())
		for tokens >= 1 && len(s.queue[0])+len(s.queue[1]) > 0 {
			tokens--
			s.serveNext()
		}
		for i, h := range s.hosts {
			if (step+i)%int(simHeartbeat/simStep) == 0 {
				s.heartbeat(i, h)
			}
		}
		s.clock.Advance(simStep)
	}
	return s.tally
}

func (s *sim) poisson(mean float64) int {
	n := 0
	for mean -= s.arrivals.ExpFloat64(); mean > 0; mean -= s.arrivals.ExpFloat64() {
		n++
	}
	return n
}

func (c *simCaller) fingerprint() wheelgauge.Fingerprint {
	return wheelgauge.Fingerprint(fmt.Sprint("request", c.id))
}

func (c *simCaller) size() int { return 1000 + c.id%997 }

// count changes the tallies of a caller's class.
func (s *sim) count(c *simCaller, f func(t *simTally)) {
	f(&s.tally[c.class.rank])
	if c.ignores {
		f(&s.ignore[c.class.rank])
		return
	}
	f(&s.respect[c.class.rank])
}

// arrive lets a random host take or refuse a caller, by the limits that gates use.
func (s *sim) arrive(c *simCaller, step int, capacity float64) {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	c.host, c.returning = h, false
	c.tries++
	if c.tries == 1 {
		s.count(c, func(t *simTally) { t.callers++ })
	}
	if s.policy == scheduled {
		c.returning, _ = h.schedule.Returning(c.size(), c.fingerprint)
		h.schedule.Arrived("s", c.returning)
	}
	rank, ahead := c.class.rank, 0.0
	for r := range rank + 1 {
		ahead += h.seen[r]
	}
	factor := 1.5
	if h.meanWait[rank] > 0.5*c.class.objective.Seconds() {
		factor = 0.75
		if c.returning {
			factor = 1
		}
	}
	if s.policy == scheduled && !c.returning {
		factor *= 1 - h.schedule.PromisedShare("s", rank)
	}
	if ahead/capacity <= factor*c.class.objective.Seconds() {
		h.seen[rank]++
		c.queued = s.clock.Now()
		s.queue[rank] = append(s.queue[rank], c)
		return
	}
	if c.tries == 2 {
		s.count(c, func(t *simTally) { t.twice++ })
		return
	}
	s.count(c, func(t *simTally) { t.refused++ })
	s.refuse(c, h, step)
}

// refuse tells a caller when to return.
func (s *sim) refuse(c *simCaller, h *simHost, step int) {
	left := c.deadline.Sub(s.clock.Now())
	latest := min(left/3, left-c.class.run)
	var after time.Duration
	switch s.policy {
	case sameMoment:
		after = min(3*time.Second, max(simFloor, left/4))
	case uniform:
		after = simFloor + time.Duration(s.rng.Float64()*float64(latest-simFloor))
	case scheduled:
		after = h.schedule.Next(wheelgauge.RefusedRequest{
			Service: "s", Rank: c.class.rank, Fingerprint: c.fingerprint(), BodyBytes: c.size(), Earliest: min(simFloor, latest), Latest: latest,
		}).After
	}
	if after > left/3 || left-after < c.class.run {
		s.count(c, func(t *simTally) { t.late++ })
	}
	if c.ignores {
		after = 2 * simStep
	}
	next := step + max(1, int((after+simStep-1)/simStep)) + s.rng.IntN(4) // connecting takes up to 40 ms
	s.returns[next] = append(s.returns[next], c)
}

// serveNext takes the most urgent caller that still waits for its answer.
func (s *sim) serveNext() {
	rank := 0
	if len(s.queue[0]) == 0 {
		rank = 1
	}
	c := s.queue[rank][0]
	s.queue[rank] = s.queue[rank][1:]
	wait := s.clock.Now().Sub(c.first)
	if s.clock.Now().Add(c.class.run).After(c.deadline) {
		s.count(c, func(t *simTally) { t.left++ })
		return
	}
	c.host.meanWait[rank] += 0.05 * (s.clock.Now().Sub(c.queued).Seconds() - c.host.meanWait[rank])
	if s.policy == scheduled {
		c.host.schedule.Served("s")
	}
	s.count(c, func(t *simTally) {
		t.wait += wait
		if c.tries == 1 {
			t.first++
			return
		}
		t.second++
	})
}

// heartbeat brings a host what it knows of the queue and of promises.
func (s *sim) heartbeat(i int, h *simHost) {
	if s.rng.Float64() < s.lossy {
		return
	}
	for r := range h.seen {
		h.seen[r] = float64(len(s.queue[r]))
	}
	name := fmt.Sprint(i)
	list, acked := h.table.LocalSince(h.acked)
	s.relay.Add("here", name, list)
	h.acked = acked
	got, version := s.relay.Since("here", name, h.version)
	h.table.Merge(got)
	h.version = version
}

var simSeeds = []uint64{1, 2, 3}

// playAll plays an overload with all seeds and returns the sums by class.
func playAll(policy simPolicy, load simLoad, ignoring float64, lossy float64) (all, ignore, respect [2]simTally) {
	add := func(sum *[2]simTally, t [2]simTally) {
		for r := range sum {
			sum[r].callers += t[r].callers
			sum[r].first += t[r].first
			sum[r].second += t[r].second
			sum[r].twice += t[r].twice
			sum[r].left += t[r].left
			sum[r].refused += t[r].refused
			sum[r].late += t[r].late
			sum[r].wait += t[r].wait
		}
	}
	for _, seed := range simSeeds {
		s := newSim(policy, seed)
		s.lossy = lossy
		add(&all, s.run(load, ignoring, nil))
		add(&ignore, s.ignore)
		add(&respect, s.respect)
	}
	return all, ignore, respect
}

// reports logs what callers got, for all policies.
func report(t *testing.T, name string, got map[simPolicy][2]simTally) {
	t.Helper()
	for _, p := range []simPolicy{sameMoment, uniform, scheduled} {
		for r, v := range got[p] {
			t.Logf("%s, %s, class %d: %v", name, p, r, v)
		}
	}
}

// What callers get in overloads that are over within some callers' time. Of the callers for whom
// there is room by the latest moment at which they may return, less than one in five that are
// refused is refused again; for no class more are than with the other ways, beyond chance, and
// not fewer callers are served.
func TestOverload(t *testing.T) {
	const (
		target  = 0.2
		atLeast = 0.995 // of what the other ways serve: seeds differ by less
		chance  = 0.1   // of refused twice, as a share of the refused
	)
	tests := []struct {
		load simLoad
		// roomFor tells, by class, whether there is room by the latest moment of return.
		roomFor [2]bool
	}{
		{simLoad{"dip of 1 s", 0.7, 1, 0.15, 1 * time.Second}, [2]bool{true, true}},
		{simLoad{"dip of 2 s", 0.7, 1, 0.15, 2 * time.Second}, [2]bool{false, true}},
		{simLoad{"dip of 3 s", 0.7, 1, 0.15, 3 * time.Second}, [2]bool{false, true}},
		{simLoad{"dip of 2 s near capacity", 0.95, 1, 0.4, 2 * time.Second}, [2]bool{true, true}},
		{simLoad{"twice the capacity for 6 s", 0.7, 2 / 0.7, 1, 6 * time.Second}, [2]bool{false, false}},
	}
	for _, tt := range tests {
		t.Run(tt.load.name, func(t *testing.T) {
			got := map[simPolicy][2]simTally{}
			for _, p := range []simPolicy{sameMoment, uniform, scheduled} {
				got[p], _, _ = playAll(p, tt.load, 0, 0)
			}
			report(t, tt.load.name, got)
			for r, mine := range got[scheduled] {
				if mine.refused == 0 {
					t.Errorf("class %d: nobody was refused, the load tests nothing", r)
				}
				if tt.roomFor[r] && mine.twiceOfRefused() >= target {
					t.Errorf("class %d: %.2f of the refused are refused again, want less than %.2f", r, mine.twiceOfRefused(), target)
				}
				if mine.late > 0 {
					t.Errorf("class %d: %d callers were told a moment that is too late for them", r, mine.late)
				}
				for _, p := range []simPolicy{sameMoment, uniform} {
					other := got[p][r]
					if mine.served() < atLeast*other.served() {
						t.Errorf("class %d: %.4f are served, %.4f with %s", r, mine.served(), other.served(), p)
					}
					if mine.twiceOfRefused() > other.twiceOfRefused()+chance {
						t.Errorf("class %d: %.2f of the refused are refused again, %.2f with %s", r, mine.twiceOfRefused(), other.twiceOfRefused(), p)
					}
				}
			}
		})
	}
}

// Callers that repeat once, at once, whatever they are told, are not served more often for it.
func TestRepeatingOnceGainsNothing(t *testing.T) {
	for _, load := range []simLoad{
		{"dip of 2 s", 0.7, 1, 0.15, 2 * time.Second},
		{"twice the capacity for 6 s", 0.7, 2 / 0.7, 1, 6 * time.Second},
	} {
		_, ignore, respect := playAll(scheduled, load, 0.1, 0)
		for r := range ignore {
			t.Logf("%s, class %d: %.3f of those that repeat at once are served, %.3f of the others", load.name, r, ignore[r].served(), respect[r].served())
			if ignore[r].served() >= respect[r].served() {
				t.Errorf("%s, class %d: repeating at once pays", load.name, r)
			}
		}
	}
}

// With every second message lost, callers that other hosts promised a moment are new at some:
// not fewer are served than without promises.
func TestMessagesAreLost(t *testing.T) {
	load := simLoad{"dip of 3 s", 0.7, 1, 0.15, 3 * time.Second}
	all, _, _ := playAll(scheduled, load, 0, 0)
	half, _, _ := playAll(scheduled, load, 0, 0.5)
	old, _, _ := playAll(sameMoment, load, 0, 0.5)
	for r := range all {
		t.Logf("class %d: all messages: %v", r, all[r])
		t.Logf("class %d: half of them: %v", r, half[r])
		t.Logf("class %d: half of them, same moment: %v", r, old[r])
		if half[r].late > 0 || half[r].served() < 0.99*old[r].served() {
			t.Errorf("class %d: %.3f are served with half of the messages, %.3f with the same moment for all", r, half[r].served(), old[r].served())
		}
	}
}

// A host that dies takes only its promises along that it has not sent: its other callers are
// recognised elsewhere, and those of the lost ones are new.
func TestHostDies(t *testing.T) {
	clock := manualclock.New()
	s := &sim{clock: clock, rng: rand.New(rand.NewPCG(1, 1)), relay: promiserelay.New(clock.Now)}
	dead, other := s.newHost(0), s.newHost(1)
	tell := func(id int) time.Duration {
		c := &simCaller{id: id}
		return dead.schedule.Next(wheelgauge.RefusedRequest{
			Service: "s", Fingerprint: c.fingerprint(), BodyBytes: c.size(), Earliest: simFloor, Latest: time.Second,
		}).After
	}
	for range 200 {
		dead.schedule.Served("s")
	}
	after := tell(1)
	s.heartbeat(0, dead)
	s.heartbeat(1, other)
	tell(2)
	clock.Advance(after)
	for id, want := range map[int]bool{1: true, 2: false} {
		c := &simCaller{id: id}
		if got, _ := other.schedule.Returning(c.size(), c.fingerprint); got != want {
			t.Errorf("caller %d is recognised: %v, want %v", id, got, want)
		}
	}
}

// A store that dies leaves each host with its own promises; the next store gets those again that
// are still to come.
func TestStoreDies(t *testing.T) {
	clock := manualclock.New()
	s := &sim{clock: clock, rng: rand.New(rand.NewPCG(1, 1)), relay: promiserelay.New(clock.Now)}
	a, b := s.newHost(0), s.newHost(1)
	for range 200 {
		a.schedule.Served("s")
	}
	c := &simCaller{id: 1}
	after := a.schedule.Next(wheelgauge.RefusedRequest{Service: "s", Fingerprint: c.fingerprint(), BodyBytes: c.size(), Earliest: simFloor, Latest: 3 * time.Second}).After
	s.heartbeat(0, a)
	s.relay = promiserelay.New(clock.Now) // nothing was passed on
	a.acked, b.version = 0, 0             // as after an answer of another store
	clock.Advance(300 * time.Millisecond)
	s.heartbeat(0, a)
	s.heartbeat(1, b)
	clock.Advance(after - 300*time.Millisecond)
	if got, _ := b.schedule.Returning(c.size(), c.fingerprint); !got {
		t.Error("the other host does not recognise the caller by the next store")
	}
	// Views differ: the promise is used at b, and a knows nothing of that. It is used once there
	// too at most.
	first, _ := a.schedule.Returning(c.size(), c.fingerprint)
	second, _ := a.schedule.Returning(c.size(), c.fingerprint)
	if !first || second {
		t.Errorf("at the host that promised: recognised %v and %v, want once", first, second)
	}
}
