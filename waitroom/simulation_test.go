package waitroom

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fairshare"
	"wheelgauge/fake/manualclock"
)

const (
	simHosts   = 20
	simServers = 12
	simSlots   = 10
	simStep    = 10 * time.Millisecond
	simEnd     = 30 * time.Second
	// The load is twice the room from peakStart to peakEnd, near it before and half of it after.
	peakStart = 4 * time.Second
	peakEnd   = 10 * time.Second
	// Hosts see the others as they were viewDelay ago, rounded up by up to viewInterval.
	viewDelay    = 150 * time.Millisecond
	viewInterval = 150 * time.Millisecond
	// startDelay is the time that a request runs before its first event.
	startDelay    = 50 * time.Millisecond
	simWorkspaces = 13
	// greedyFactor is how many times as much as others the first workspace asks for.
	greedyFactor = 7
)

// simClass is a class of requests; its index is its rank.
type simClass struct {
	name             string
	objective, limit time.Duration
	least, most      time.Duration
	perSecond        float64 // at the load that fills the room
}

func (c simClass) mean() time.Duration { return (c.least + c.most) / 2 }

// scenario is a load; its first class is the most urgent.
type scenario struct {
	name    string
	classes [2]simClass
}

func newScenario(name string, checks, drafts float64) scenario {
	return scenario{name, [2]simClass{
		{"check", 500 * time.Millisecond, 3 * time.Second, 200 * time.Millisecond, 400 * time.Millisecond, checks},
		{"draft", 1500 * time.Millisecond, 12 * time.Second, 3 * time.Second, 9 * time.Second, drafts},
	}}
}

var (
	mixedLoad  = newScenario("checks and drafts", 100, 15)
	draftsLoad = newScenario("drafts", 0, 20)
	checksLoad = newScenario("checks", 400, 0)
)

// simRequest is a request and what became of it.
type simRequest struct {
	class, workspace, host int
	arrivedAt              time.Duration
	work, done             time.Duration
	sent                   bool
	sentAt                 time.Duration
	// firstAt and endedAt are 0 while there is no first event and no end.
	firstAt, endedAt time.Duration
	refusedAt        time.Duration
	entry            *entry
	again            bool
}

// view is the load of the servers by rank.
type view [simServers][2]int

// simulation plays a region: hosts with old views of one another, and servers that run the most
// urgent requests first.
type simulation struct {
	arrivals *rand.Rand
	random   *rand.Rand
	clock    *manualclock.Clock
	start    time.Time
	policy   string
	scenario
	servers [simServers][]*simRequest
	down    map[int]time.Duration
	views   []view // one a step
	// own are the requests of each host that other hosts do not see yet.
	own      [simHosts][]ownSend
	queues   [simHosts]*queue
	waiting  [simHosts][]*simRequest
	shares   [simHosts]*fairshare.Shares
	requests []*simRequest
	// usual is how long requests of each class take, as each host has seen.
	usual [simHosts][2]time.Duration
}

type ownSend struct {
	at           time.Duration
	server, rank int
}

func newSimulation(seed uint64, load scenario, policy string) *simulation {
	s := &simulation{arrivals: rand.New(rand.NewPCG(seed, 7)), random: rand.New(rand.NewPCG(seed, 8)), clock: manualclock.New(), policy: policy, scenario: load, down: map[int]time.Duration{}}
	s.start = s.clock.Now()
	for h := range simHosts {
		for class, c := range s.classes {
			s.usual[h][class] = c.mean()
		}
		s.shares[h] = fairshare.New(fairshare.Options{Now: s.clock.Now})
		s.queues[h] = newQueue(s.start)
	}
	return s
}

func (s *simulation) elapsed() time.Duration { return s.clock.Now().Sub(s.start) }

func (s *simulation) run() *simulation {
	for s.elapsed() < simEnd {
		s.runServers()
		s.views = append(s.views, s.inFlight())
		s.arrive()
		for h := range simHosts {
			if s.elapsed()%tickInterval < simStep {
				s.tick(h)
			}
		}
		s.clock.Advance(simStep)
	}
	return s
}

func (s *simulation) inFlight() (v view) {
	for i, list := range s.servers {
		for _, r := range list {
			v[i][r.class]++
		}
	}
	return v
}

func (s *simulation) runServers() {
	now := s.elapsed()
	for i := range s.servers {
		if now < s.down[i] {
			continue
		}
		slices.SortStableFunc(s.servers[i], func(a, b *simRequest) int { return a.class - b.class })
		for _, r := range s.servers[i][:min(simSlots, len(s.servers[i]))] {
			r.done += simStep
			if r.firstAt == 0 && r.done >= startDelay {
				r.firstAt = now
			}
			if r.done >= r.work {
				r.endedAt = now
				usual := &s.usual[r.host][r.class]
				*usual += (now - r.sentAt - *usual) / 10
			}
		}
		s.servers[i] = slices.DeleteFunc(s.servers[i], func(r *simRequest) bool {
			return r.endedAt > 0 || now-r.arrivedAt > s.classes[r.class].limit
		})
	}
}

func (s *simulation) arrive() {
	load, now := 0.9, s.elapsed()
	switch {
	case now >= peakEnd:
		load = 0.5
	case now >= peakStart:
		load = 2
	}
	for class, c := range s.classes {
		expected := load * c.perSecond * simStep.Seconds()
		for n := s.poisson(expected); n > 0; n-- {
			w := max(0, s.arrivals.IntN(greedyFactor+simWorkspaces-1)-greedyFactor+1)
			work := c.least + time.Duration(s.arrivals.Int64N(int64(c.most-c.least)))
			r := &simRequest{class: class, workspace: w, host: s.arrivals.IntN(simHosts), arrivedAt: s.elapsed(), work: work}
			s.requests = append(s.requests, r)
			s.place(r)
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p, limit := 0, s.arrivals.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.arrivals.Float64()
	}
	return n
}

// best returns the server with the shortest wait that a host predicts.
func (s *simulation) best(r *simRequest) (server int, wait time.Duration) {
	now := s.elapsed()
	age := viewDelay + (now+time.Duration(r.host)*viewInterval/simHosts)%viewInterval
	at := max(0, len(s.views)-1-int(age/simStep))
	seen := s.views[at]
	s.own[r.host] = slices.DeleteFunc(s.own[r.host], func(o ownSend) bool { return now-o.at > age })
	for _, o := range s.own[r.host] {
		seen[o.server][o.rank]++
	}
	first := s.random.IntN(simServers)
	least := math.Inf(1)
	for i := range simServers {
		k := (first + i) % simServers
		if now < s.down[k] {
			continue
		}
		ahead := 0
		for rank := range r.class + 1 {
			ahead += seen[k][rank]
		}
		predicted := startDelay.Seconds() + float64(ahead)/1000
		if ahead >= simSlots {
			predicted += float64(ahead-simSlots+1) * s.classes[r.class].mean().Seconds() / simSlots
		}
		if predicted < least {
			least, server = predicted, k
		}
	}
	return server, time.Duration(min(least, 1e6) * float64(time.Second))
}

func (s *simulation) above(r *simRequest) bool {
	return s.policy == "room" && s.shares[r.host].Above("s", r.class, fmt.Sprint(r.workspace))
}

func (s *simulation) tooLate(r *simRequest, wait time.Duration) bool {
	factor := 1.5
	if s.above(r) {
		factor *= aboveFactor
	}
	c := s.classes[r.class]
	if s.policy == "room" && s.elapsed()+wait > r.arrivedAt+s.startWithin(r) {
		return true
	}
	return wait > time.Duration(factor*float64(c.objective))
}

func (s *simulation) hasRoom(r *simRequest) bool {
	_, wait := s.best(r)
	return !s.tooLate(r, wait)
}

func (s *simulation) trySend(r *simRequest) bool {
	server, wait := s.best(r)
	if s.tooLate(r, wait) {
		return false
	}
	r.sent, r.sentAt = true, s.elapsed()
	s.servers[server] = append(s.servers[server], r)
	s.own[r.host] = append(s.own[r.host], ownSend{s.elapsed(), server, r.class})
	s.shares[r.host].Served("s", r.class, fmt.Sprint(r.workspace), s.classes[r.class].mean().Seconds())
	return true
}

// startWithin is how long after its arrival a request can still be sent.
func (s *simulation) startWithin(r *simRequest) time.Duration {
	return s.classes[r.class].limit - 3*s.usual[r.host][r.class]/2
}

func (s *simulation) refuse(r *simRequest) { r.refusedAt = s.elapsed() }

// place does what a host does with a new request.
func (s *simulation) place(r *simRequest) {
	s.shares[r.host].Asked("s", r.class, fmt.Sprint(r.workspace), 1, s.classes[r.class].mean().Seconds())
	switch s.policy {
	case "refuse":
		if !s.trySend(r) {
			s.refuse(r)
		}
	case "first in, first out":
		if len(s.waiting[r.host]) > 0 || !s.trySend(r) {
			s.waiting[r.host] = append(s.waiting[r.host], r)
		}
	case "room":
		s.placeInTurn(r)
	}
}

// placeInTurn follows the rules of routegate.
func (s *simulation) placeInTurn(r *simRequest) {
	k, above := s.queues[r.host], s.above(r)
	if k.holds(r.class) {
		if s.enter(r) {
			return
		}
		if above {
			s.refuse(r)
			return
		}
	}
	if !s.trySend(r) && !s.enter(r) {
		s.refuse(r)
	}
}

func (s *simulation) enter(r *simRequest) bool {
	k := s.queues[r.host]
	c := s.classes[r.class]
	arrived := s.start.Add(r.arrivedAt)
	e := newEntry(wheelgauge.QueuedRequest{
		Service: "s", Workspace: fmt.Sprint(r.workspace), Rank: r.class, ArrivedAt: arrived, ObjectiveAt: arrived.Add(c.objective),
		StartBy: arrived.Add(s.startWithin(r)), Run: s.usual[r.host][r.class], Again: r.again, HasRoom: func() bool { return s.hasRoom(r) },
		AboveShare: func() bool { return s.above(r) },
	}, s.clock.Now())
	if k.enter(e, s.clock.Now()) != "" {
		return false
	}
	r.entry = e
	s.waiting[r.host] = append(s.waiting[r.host], r)
	return true
}

func (s *simulation) tick(host int) {
	if s.policy == "first in, first out" {
		s.tickInOrder(host)
		return
	}
	ended := s.queues[host].tick(s.clock.Now())
	for _, e := range ended {
		i := slices.IndexFunc(s.waiting[host], func(r *simRequest) bool { return r.entry == e })
		r := s.waiting[host][i]
		s.waiting[host] = slices.Delete(s.waiting[host], i, i+1)
		if e.released && s.trySend(r) {
			continue
		}
		r.again = true
		if !e.released || !s.enter(r) {
			s.refuse(r)
		}
	}
}

// tickInOrder lets go those that came first, and refuses those whose time is over.
func (s *simulation) tickInOrder(host int) {
	list := s.waiting[host]
	for len(list) > 0 {
		r := list[0]
		if s.elapsed()-r.arrivedAt > s.startWithin(r) {
			s.refuse(r)
		} else if !s.trySend(r) {
			break
		}
		list = list[1:]
	}
	s.waiting[host] = list
}

// figures are what the callers of some requests got.
type figures struct {
	all, inTime, late, refused, broken float64
	// heldLong are those refused after a quarter of their time, held the time held of all that
	// were refused, in seconds.
	heldLong, held float64
}

func (f figures) served() float64 { return (f.inTime + f.late) / f.all }

func (f figures) String() string {
	return fmt.Sprintf("%.0f: in time %.2f, late %.2f, refused %.2f, not ended in time %.3f, refused after a quarter of their time %.3f, held before refusal %.0f ms",
		f.all, f.inTime/f.all, f.late/f.all, f.refused/f.all, f.broken/f.all, f.heldLong/f.all, 1000*f.held/max(1, f.refused))
}

// of counts the requests of the peak and its end that a filter selects.
func (s *simulation) of(selects func(r *simRequest) bool) (f figures) {
	for _, r := range s.requests {
		if r.arrivedAt < peakStart || r.arrivedAt >= peakEnd+time.Second || !selects(r) {
			continue
		}
		c := s.classes[r.class]
		f.all++
		switch {
		case r.refusedAt > 0:
			held := r.refusedAt - r.arrivedAt
			f.refused++
			f.held += held.Seconds()
			if held > c.limit/4 {
				f.heldLong++
			}
		case r.endedAt == 0:
			f.broken++
		case r.firstAt-r.arrivedAt <= c.objective:
			f.inTime++
		default:
			f.late++
		}
	}
	return f
}

func ofClass(class int) func(r *simRequest) bool {
	return func(r *simRequest) bool { return r.class == class }
}

func ofWorkspace(w int) func(r *simRequest) bool {
	return func(r *simRequest) bool { return r.workspace == w }
}

func TestSweep(t *testing.T) {
	for _, load := range []scenario{mixedLoad, draftsLoad, checksLoad} {
		for _, policy := range []string{"refuse", "first in, first out", "room"} {
			var fig [5]figures
			for seed := range uint64(8) {
				s := newSimulation(seed+1, load, policy).run()
				fig[0] = fig[0].plus(s.of(ofClass(0)))
				fig[1] = fig[1].plus(s.of(ofClass(1)))
				fig[2] = fig[2].plus(s.of(ofWorkspace(0)))
				fig[3] = fig[3].plus(s.of(func(r *simRequest) bool { return r.class == 1 && r.workspace == 0 }))
				fig[4] = fig[4].plus(s.of(func(r *simRequest) bool { return r.workspace != 0 }))
			}
			for i, n := range []string{"check", "draft", "greedy", "greedy draft", "others"} {
				if fig[i].all > 0 {
					t.Logf("%s: %s: %s %s", load.name, policy, n, fig[i])
				}
			}
		}
	}
}

func (f figures) plus(o figures) figures {
	return figures{f.all + o.all, f.inTime + o.inTime, f.late + o.late, f.refused + o.refused, f.broken + o.broken, f.heldLong + o.heldLong, f.held + o.held}
}

var aboveFactor = 0.25

func TestDebug(t *testing.T) {
	s := newSimulation(1, checksLoad, "room").run()
	for sec := 3; sec < 12; sec++ {
		g := s.ofTime(time.Duration(sec)*time.Second, ofWorkspace(0))
		o := s.ofTime(time.Duration(sec)*time.Second, func(r *simRequest) bool { return r.workspace > 0 })
		t.Logf("%d greedy %s", sec, g)
		t.Logf("%d others %s", sec, o)
	}
}
func (s *simulation) ofTime(at time.Duration, sel func(r *simRequest) bool) (f figures) {
	for _, r := range s.requests {
		if r.arrivedAt < at || r.arrivedAt >= at+time.Second || !sel(r) {
			continue
		}
		f.all++
		if r.refusedAt > 0 {
			f.refused++
		} else if r.endedAt == 0 {
			f.broken++
		} else if r.firstAt-r.arrivedAt < 500*time.Millisecond {
			f.inTime++
		} else {
			f.late++
		}
	}
	return f
}
