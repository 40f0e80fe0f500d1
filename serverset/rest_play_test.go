package serverset

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

var (
	restSeeds = flag.Int("rest.seeds", 200, "how many schedules of resting servers are played")
	restFrom  = flag.Uint64("rest.from", 1, "the first of them")
)

const (
	// restPlay is how long a schedule lasts, restListEvery how often the host gets the list.
	restPlay      = 40 * time.Second
	restListEvery = time.Second
	// restTries bounds the servers that a request is sent to.
	restTries = 3
)

// restEvent is something that happens at a moment of a schedule.
type restEvent struct {
	at time.Time
	do func()
}

type restEvents []restEvent

func (e restEvents) Len() int           { return len(e) }
func (e restEvents) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e restEvents) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *restEvents) Push(x any)        { *e = append(*e, x.(restEvent)) }
func (e *restEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// restServer is a server of a schedule.
type restServer struct {
	spec wheelgauge.Server
	// sick is until when it turns requests away, rest the most that it asks for then.
	sick time.Time
	rest time.Duration
	// leaving is set once its answers say so, listed while it is on the list.
	leaving bool
	listed  bool
	// until is the end of the longest rest that the host has heard of, left is set once it
	// heard that the server leaves.
	until time.Time
	left  bool
	// usedAt is when the last request came, dueFrom since when it is to be used again and
	// chances how many requests were placed since.
	usedAt  time.Time
	dueFrom time.Time
	chances int
}

// restSchedule plays one host before servers that ask for rests and leave.
type restSchedule struct {
	t       *testing.T
	seed    uint64
	rnd     *rand.Rand
	table   *Table
	clock   *clock
	events  restEvents
	servers []*restServer
	service string
	// awake is when the host's suspension ends.
	awake time.Time
	// sent, turned and refused count requests sent, turned away, and refused as all rest.
	sent, turned, refused int
}

// Servers that rest, or leave, get nothing from a host that was told, on any way there, and
// are used again after their rest.
func TestPlayedRests(t *testing.T) {
	sent, turned, refused := 0, 0, 0
	for i := range *restSeeds {
		s := newRestSchedule(t, *restFrom+uint64(i))
		s.play()
		sent, turned, refused = sent+s.sent, turned+s.turned, refused+s.refused
	}
	t.Logf("%d requests were sent, %d turned away, %d refused as all rest", sent, turned, refused)
	if turned == 0 || refused == 0 {
		t.Error("the schedules do not ask for rests")
	}
}

func newRestSchedule(t *testing.T, seed uint64) *restSchedule {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 44))
	s := &restSchedule{t: t, seed: seed, rnd: rnd, service: []string{plain, engines}[rnd.IntN(2)]}
	s.table, s.clock, _ = table(s.service, 0)
	for n := range []int{1, 2, 3, 6, 20}[rnd.IntN(5)] {
		s.servers = append(s.servers, &restServer{listed: true, spec: wheelgauge.Server{
			Instance: fmt.Sprint("i", n), Service: s.service, Address: "127.0.0.1:1", Hall: []string{"h", "k"}[rnd.IntN(2)], Slots: 4,
		}})
	}
	return s
}

func (s *restSchedule) after(d time.Duration, do func()) {
	heap.Push(&s.events, restEvent{s.clock.at.Add(d), do})
}

func (s *restSchedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)))
}

func (s *restSchedule) play() {
	end := s.clock.at.Add(restPlay)
	s.list()
	gap := s.between(5*time.Millisecond, 300*time.Millisecond)
	s.every(gap, s.arrive)
	s.every(4*time.Second, s.fallSick)
	if len(s.servers) > 1 {
		s.every(15*time.Second, s.leave)
	}
	s.every(6*time.Second, s.flap)
	if s.rnd.IntN(3) == 0 {
		s.every(9*time.Second, s.suspend)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(restEvent)
		if e.at.After(end) {
			return
		}
		if e.at.Before(s.awake) {
			heap.Push(&s.events, restEvent{s.awake, e.do}) // the host notices when it wakes
			continue
		}
		s.clock.at = e.at
		e.do()
	}
}

// every repeats something at random times, after a mean time.
func (s *restSchedule) every(mean time.Duration, do func()) {
	s.after(s.between(0, 2*mean), func() {
		do()
		s.every(mean, do)
	})
}

func (s *restSchedule) list() {
	var list []wheelgauge.Server
	for _, one := range s.servers {
		if one.listed {
			list = append(list, one.spec)
		}
	}
	s.table.Update(list, s.clock.at)
	s.table.Prune()
	s.after(restListEvery, s.list)
}

// fallSick lets one server, or all, turn requests away for a while.
func (s *restSchedule) fallSick() {
	sick := []*restServer{s.servers[s.rnd.IntN(len(s.servers))]}
	if s.rnd.IntN(4) == 0 {
		sick = s.servers
	}
	last, rest := s.between(50*time.Millisecond, 4*time.Second), s.between(100*time.Millisecond, 6*time.Second)
	for _, one := range sick {
		one.sick, one.rest = s.clock.at.Add(last), rest
	}
}

// leave lets a server say that it leaves; it stays listed as before.
func (s *restSchedule) leave() { s.servers[s.rnd.IntN(len(s.servers))].leaving = true }

// flap takes a server off the list for a while.
func (s *restSchedule) flap() {
	one := s.servers[s.rnd.IntN(len(s.servers))]
	one.listed, one.dueFrom = false, time.Time{}
	s.after(s.between(0, 3*time.Second), func() { one.listed = true })
}

func (s *restSchedule) suspend() {
	s.awake = s.clock.at.Add(s.between(100*time.Millisecond, 8*time.Second))
}

func (s *restSchedule) arrive() { s.try(nil) }

// try places a request that went to some servers before.
func (s *restSchedule) try(tried []string) {
	job := NewJob(s.service, prompt.Prompt{}, 0, tried)
	k := s.table.Choose(job)
	if k == nil {
		s.refuse()
		return
	}
	for _, one := range s.servers {
		if !one.dueFrom.IsZero() && s.table.servers[one.spec.Instance] != nil {
			one.chances++
		}
	}
	one := s.of(k)
	if !k.Allowed() {
		s.t.Errorf("seed %d: %s was chosen, which asked for no requests", s.seed, one.spec.Instance)
	}
	wait := time.Duration(0)
	if s.rnd.IntN(4) == 0 {
		wait = s.between(0, 400*time.Millisecond) // a permit, or a connection
	}
	s.after(wait, func() { s.send(k, one, append(tried, one.spec.Instance)) })
}

func (s *restSchedule) of(k *Pick) *restServer {
	for _, one := range s.servers {
		if one.spec.Instance == k.Server().Instance() {
			return one
		}
	}
	s.t.Fatalf("seed %d: an unknown server was chosen", s.seed)
	return nil
}

func (s *restSchedule) send(k *Pick, one *restServer, tried []string) {
	now := s.clock.at
	if !k.Allowed() {
		k.Done(Left)
		s.again(tried)
		return
	}
	s.sent++
	if now.Before(one.until) {
		s.t.Errorf("seed %d: %s got a request %s before the end of its rest", s.seed, one.spec.Instance, one.until.Sub(now))
	}
	if one.left {
		s.t.Errorf("seed %d: %s got a request though it leaves", s.seed, one.spec.Instance)
	}
	one.usedAt, one.dueFrom, one.chances = now, time.Time{}, 0
	if now.Before(one.sick) {
		rest := s.between(one.rest/5, one.rest)
		s.after(s.between(time.Millisecond, 5*time.Millisecond), func() { s.turnAway(k, one, rest, tried) })
		return
	}
	s.after(s.between(5*time.Millisecond, 200*time.Millisecond), func() {
		if one.leaving {
			one.left = true
			k.Leave()
		}
		k.Done(Served)
	})
}

func (s *restSchedule) turnAway(k *Pick, one *restServer, rest time.Duration, tried []string) {
	s.turned++
	k.Rest(rest)
	k.Report(Reported{running: 1, slots: 4}, true)
	k.Done(Rested)
	if until := s.clock.at.Add(rest); until.After(one.until) {
		one.until = until
	}
	until := one.until
	s.after(until.Sub(s.clock.at)+overdue, func() { s.due(one, until) })
	s.again(tried)
}

// due begins to wait for a request to a server after its rest.
func (s *restSchedule) due(one *restServer, until time.Time) {
	if one.until != until || one.usedAt.After(until) || one.left || !one.listed {
		return
	}
	one.dueFrom, one.chances = s.clock.at, 0
	s.after(2*time.Second, func() {
		if enough := 2 * len(s.servers); one.until == until && !one.dueFrom.IsZero() && one.listed && !one.left && one.chances > enough {
			s.t.Errorf("seed %d: %s got none of %d requests since its rest was over for %s", s.seed, one.spec.Instance, one.chances, s.clock.at.Sub(until))
		}
		one.dueFrom = time.Time{}
	})
}

func (s *restSchedule) again(tried []string) {
	if len(tried) < restTries {
		s.try(tried)
	}
}

// refuse checks what a caller is told whom no server takes.
func (s *restSchedule) refuse() {
	var first time.Time
	for _, one := range s.servers {
		if s.table.servers[one.spec.Instance] == nil || one.left {
			continue
		}
		if !s.clock.at.Before(one.until) {
			return // a server that does not rest was tried
		}
		if first.IsZero() || one.until.Before(first) {
			first = one.until
		}
	}
	if first.IsZero() {
		return
	}
	s.refused++
	after, ok := s.table.RestOver(NewJob(s.service, prompt.Prompt{}, 0, nil))
	if want := first.Sub(s.clock.at); !ok || after != want {
		s.t.Errorf("seed %d: with all servers at rest for %s a caller is told %s, %t", s.seed, want, after, ok)
	}
}
